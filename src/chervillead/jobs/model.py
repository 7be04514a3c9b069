"""What callers submit and operators configure, in the project's terms.

Times named `*_ms` are milliseconds; `*_unix_ms` count from 1970.
"""

import typing


class Resources(typing.NamedTuple):
    """Amounts that a task needs, a worker offers or an account may use."""

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Returns the sum of both."""
        return Resources(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Returns what is left of this after `other`; it may be negative."""
        return Resources(
            self.millicores - other.millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, factor: int) -> "Resources":
        """Returns the resources of `factor` equal tasks."""
        return Resources(
            self.millicores * factor,
            self.memory_mb * factor,
            self.accelerators * factor,
        )

    def covers(self, need: "Resources") -> bool:
        """Returns whether `need` fits into this."""
        return (
            need.millicores <= self.millicores
            and need.memory_mb <= self.memory_mb
            and need.accelerators <= self.accelerators
        )


class Step(typing.NamedTuple):
    """A group of equal tasks of a job.

    Attributes:
        tasks: Number of tasks.
        size: What one task needs.
        estimate_ms: Rough run time of one task; it may be far off.
        depends_on: Numbers of earlier steps whose tasks must all be done first.
        checkpointing: Whether a new run can resume from a checkpoint.
        gang: Whether the tasks work only while all of them are present.
        same_rack: Whether the tasks are slower when spread over racks.
        required_label: Label that the worker must have; empty for any.
        data_rack: Rack where the data is; empty for none.
        max_per_worker: Tasks of the step on one worker; 0 for no limit.
        speculative: Whether copies of a task may run side by side.
        long_running: Whether the tasks run until the job is cancelled.
        image: What the tasks run; equal images behave alike.
        latency_target_ms: Bound of the tail latency that a task serves its
            own users with; 0 for none.
        fills: Whether the tasks use only processors that others leave unused.
        max_unavailable: Tasks that may be away by orders of the system; None
            if the step has no availability budget.
    """

    tasks: int
    size: Resources
    estimate_ms: int = 0
    depends_on: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    latency_target_ms: int = 0
    fills: bool = False
    max_unavailable: int | None = None

    @property
    def reserved(self) -> Resources:
        """What one task takes of a worker's capacity."""
        return self.size._replace(millicores=0) if self.fills else self.size


class Schedule(typing.NamedTuple):
    """Repeated occurrences of a job's steps.

    Attributes:
        repeats: Number of occurrences; 0 for a job without a schedule.
        start_unix_ms: When the first one is due.
        interval_ms: Time between two occurrences.
    """

    repeats: int = 0
    start_unix_ms: int = 0
    interval_ms: int = 0


class JobSpec(typing.NamedTuple):
    """A job as it was accepted; nothing in it ever changes.

    Attributes:
        job_id: 16 hexadecimal digits, chosen by the caller.
        queue: Name of the queue that it came through.
        pool: Pool whose workers run its tasks.
        account: Client account of the key; empty on a public queue.
        payload: Text that workers get with each task.
        steps: Its steps, in the caller's order.
        schedule: When the steps are due.
        accepted_unix_ms: When it was accepted.
    """

    job_id: str
    queue: str
    pool: str
    account: str
    payload: str
    steps: tuple[Step, ...]
    schedule: Schedule = Schedule()
    accepted_unix_ms: int = 0

    @property
    def occurrences(self) -> int:
        """How many times the steps run."""
        return max(1, self.schedule.repeats)


class TaskKey(typing.NamedTuple):
    """A task within its job; `number` counts within the step."""

    occurrence: int
    step: int
    number: int


class AdvicePolicy(typing.NamedTuple):
    """Limits of the advisory service of a queue.

    Attributes:
        timeout_ms: Time of a call.
        timeout_per_worker_ms: Further time for each worker that is named.
        ticket_ttl_ms: How long a ticket is valid.
    """

    timeout_ms: int
    timeout_per_worker_ms: int
    ticket_ttl_ms: int


class Queue(typing.NamedTuple):
    """A class of work.

    Attributes:
        name: Its name.
        host: Host name of the calls that belong to it.
        path_prefix: Beginning of their path.
        pool: Pool whose workers run its tasks.
        priority: 0 comes first and may preempt others.
        max_attempts: Failed runs of a task after which its job has failed.
        stretch: Factor of the target on the longest chain of work.
        target_ms: Further part of the target.
        is_public: Whether calls need no key.
        advice: Limits of its advisory service; None if it has none.
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_ms: int = 0
    is_public: bool = False
    advice: AdvicePolicy | None = None


class Pool(typing.NamedTuple):
    """Workers that serve one service.

    Attributes:
        name: Its name.
        enforces_capacity: Whether its workers reject what doesn't fit.
        is_spare: Whether its hosts are switched off.
    """

    name: str
    enforces_capacity: bool = True
    is_spare: bool = False


class Account(typing.NamedTuple):
    """A client account.

    Attributes:
        name: Its name.
        weight: Its share when all is full.
        quota: What it may have running over all pools; 0 means no limit.
    """

    name: str
    weight: float
    quota: Resources


class FleetConfiguration(typing.NamedTuple):
    """One version of what operators published.

    Attributes:
        version: Rises with each change.
        queues: Queues by name.
        pools: Pools by name.
        accounts: Client accounts by name.
        account_of_key: Names of accounts by their keys.
        max_body_bytes: Longest body of a call.
    """

    version: int
    queues: dict[str, Queue]
    pools: dict[str, Pool]
    accounts: dict[str, Account]
    account_of_key: dict[str, str]
    max_body_bytes: int

    def match_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue of a call: the longest prefix of its host."""
        return max(
            (
                queue
                for queue in self.queues.values()
                if queue.host == host and path.startswith(queue.path_prefix)
            ),
            key=lambda queue: len(queue.path_prefix),
            default=None,
        )
