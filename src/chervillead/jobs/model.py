"""Jobs as callers submit them and configuration as operators publish it.

Durations named `*_ms` are in milliseconds; times named `*_unix_ms` are in
milliseconds since the Unix epoch. `JobSpec` and its parts are stored as
MessagePack arrays, so the order of their fields must not change.
"""

import typing


class Resources(typing.NamedTuple):
    """Amounts of CPU (in millicores), memory (in MB) and accelerators.

    Used for what a task requests, a worker offers and a quota allows.
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Returns the sum of both, amount by amount."""
        return Resources(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Returns this less `other`; amounts may become negative."""
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
        """Returns whether `need` fits in each amount."""
        return (
            need.millicores <= self.millicores
            and need.memory_mb <= self.memory_mb
            and need.accelerators <= self.accelerators
        )


class Step(typing.NamedTuple):
    """A set of identical tasks of a job.

    Attributes:
        tasks: Number of tasks.
        size: Resources that one task requests.
        estimate_ms: Caller's estimate of one task's run time; it may be far
            off.
        depends_on: Numbers of earlier steps that must complete first.
        checkpointing: Whether a new run can resume from a checkpoint.
        gang: Whether the tasks make progress only while all of them run.
        same_rack: Whether the tasks are slower when spread across racks.
        required_label: Label that the worker must have; empty for any worker.
        data_rack: Rack that holds the data; empty for no preference.
        max_per_worker: Maximum tasks of the step on one worker; 0 for no limit.
        speculative: Whether several runs of a task may be active at once.
        long_running: Whether the tasks run until the job is cancelled.
        image: Program that the tasks run; tasks with the same image behave
            alike.
        latency_target_ms: Upper bound for the tail latency of a
            latency-sensitive task; 0 for any other task.
        fills: Whether the tasks are best effort: they use only CPU time that
            other tasks leave unused.
        max_unavailable: Maximum tasks that the scheduler may make unavailable
            at once; None if the step has no availability budget.
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
        """Resources that one task reserves on its worker.

        A best-effort task reserves no CPU.
        """
        return self.size._replace(millicores=0) if self.fills else self.size


class Schedule(typing.NamedTuple):
    """Periodic occurrences of a job's steps.

    Attributes:
        repeats: Number of occurrences; 0 for a job without a schedule.
        start_unix_ms: When the first occurrence is due.
        interval_ms: Time between the starts of two occurrences.
    """

    repeats: int = 0
    start_unix_ms: int = 0
    interval_ms: int = 0


class JobSpec(typing.NamedTuple):
    """An accepted job; it is immutable.

    Attributes:
        job_id: 16 hexadecimal digits, chosen by the caller.
        queue: Name of the queue that it was submitted to.
        pool: Pool whose workers run its tasks.
        account: Client account of the key; empty on a public queue.
        payload: Text that is passed to the worker with each task.
        steps: Its steps, in the order of the submission.
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
        """Number of times that the steps run; 1 without a schedule."""
        return max(1, self.schedule.repeats)


class TaskKey(typing.NamedTuple):
    """Identity of a task within its job.

    Attributes:
        occurrence: Number of the occurrence, from 0.
        step: Number of the step, from 0.
        number: Number of the task within the step, from 0.
    """

    occurrence: int
    step: int
    number: int


class AdvicePolicy(typing.NamedTuple):
    """Limits for the advisory service of a queue.

    The service issues tickets for the workers that may run a step.

    Attributes:
        answer_ms: How long the service takes to answer a call.
        answer_per_worker_ms: How much longer it takes for each worker in it.
        ticket_ttl_ms: How long a ticket is valid.
    """

    answer_ms: int
    answer_per_worker_ms: int
    ticket_ttl_ms: int


class JobTerms(typing.NamedTuple):
    """What a job is owed, as its queue said when the job was accepted.

    It is stored with the job and holds whatever becomes of the queue.

    Attributes:
        max_attempts: Failed runs of a task after which the job fails.
        priority: Scheduling priority; 0 is the highest.
        stretch: Factor by which the completion target exceeds the critical
            path of the job.
        target_ms: Constant part of the completion target.
        advice: Limits for the advisory service; None if there is none.
        queue_address: Address of the queue. Its name may change.
    """

    max_attempts: int = 1
    priority: int = 0
    stretch: float = 1.0
    target_ms: int = 0
    advice: AdvicePolicy | None = None
    queue_address: str = ""


class Queue(typing.NamedTuple):
    """A class of jobs with a common route, pool and completion target.

    Attributes:
        name: Its name.
        host: Host name of the requests that it receives.
        path_prefix: Prefix of their path.
        pool: Pool whose workers run its tasks.
        priority: Scheduling priority; 0 is the highest.
        max_attempts: Failed runs of a task after which its job fails.
        stretch: Factor by which the completion target exceeds the critical
            path of a job.
        target_ms: Constant part of the completion target.
        is_public: Whether requests need no key.
        advice: Limits for its advisory service; None if it has none.
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

    @property
    def address(self) -> str:
        """Where callers submit its jobs; ids of jobs are unique within it."""
        return self.host + self.path_prefix

    @property
    def terms(self) -> JobTerms:
        """Terms of the jobs that are accepted now."""
        return JobTerms(
            self.max_attempts,
            self.priority,
            self.stretch,
            self.target_ms,
            self.advice,
            self.address,
        )


class Pool(typing.NamedTuple):
    """A set of workers that run the tasks of the same queues.

    Attributes:
        name: Its name.
        enforces_capacity: Whether its workers reject tasks that exceed their
            capacity.
        is_spare: Whether its hosts are powered off and held in reserve.
    """

    name: str
    enforces_capacity: bool = True
    is_spare: bool = False


class Account(typing.NamedTuple):
    """A client account.

    Attributes:
        name: Its name.
        weight: Its fair-share weight when resources are scarce.
        quota: Resources that its running tasks may use, summed over all pools;
            an amount of 0 means no limit.
    """

    name: str
    weight: float
    quota: Resources


class FleetConfiguration(typing.NamedTuple):
    """One version of the configuration that operators publish.

    Attributes:
        version: Version number; it increases with each change.
        queues: Queues by name.
        pools: Pools by name.
        accounts: Client accounts by name.
        account_of_key: Names of client accounts by key.
        max_body_bytes: Maximum size of a request body.
    """

    version: int
    queues: dict[str, Queue]
    pools: dict[str, Pool]
    accounts: dict[str, Account]
    account_of_key: dict[str, str]
    max_body_bytes: int

    def match_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue for a request, or None if there is none.

        Of the queues of the host name, the one with the longest matching path
        prefix is chosen.
        """
        return max(
            (
                queue
                for queue in self.queues.values()
                if queue.host == host and path.startswith(queue.path_prefix)
            ),
            key=lambda queue: len(queue.path_prefix),
            default=None,
        )
