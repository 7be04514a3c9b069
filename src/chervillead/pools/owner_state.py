"""State of a partition's owner, shared by the modules that change it."""

import asyncio
from collections import abc
import traceback

from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import records
from chervillead.jobs import task_runs
from chervillead.pools import ports as ports_module
from chervillead.store import group_commit
from chervillead.workers import view as view_module
from chervillead.workers import watch as watch_module

# Long enough to bear a change of owner, and short enough that the tasks of a
# worker that crashed start elsewhere soon.
LEASE_MS = 6000
# A busy worker is looked at once a second; one that has not answered for this
# long may have crashed.
CONTACT_S = 1.5


class OwnershipStatus:
    """What an owner may do now, as its membership says.

    Attributes:
        is_confirmed: Whether the ownership surely still holds.
        store_is_away: Whether the store turns this host away.
    """

    def __init__(
        self,
        is_confirmed: abc.Callable[[], bool],
        is_store_unavailable: abc.Callable[[], bool],
    ) -> None:
        self.is_confirmed = is_confirmed
        self.is_store_unavailable = is_store_unavailable


class OwnerState:
    """Jobs and workers of one partition under one fencing token.

    Attributes:
        jobs: All known jobs by id.
        watches: The watched workers by id.
        unsettled: Jobs whose tasks a former owner may have started.
        ended_workers: Workers that have surely ended.
        taken_down: Incarnations of workers whose hosts were taken down by us;
            the store lists them for a while longer.
        is_loaded: Whether all jobs of the partition are known.
        is_fenced: Whether a worker has seen a newer owner.
        failure: Error that ended one of the owner's tasks.
    """

    def __init__(
        self,
        partition: int,
        token: int,
        writer: group_commit.PartitionWriter,
        ports: ports_module.OwnerPorts,
        ownership: OwnershipStatus,
    ) -> None:
        self._partition = partition
        self._token = token
        self._writer = writer
        self._ports = ports
        self._ownership = ownership
        self._lease_ms = min(LEASE_MS, ports.limits.max_lease_ms)
        self._wake = asyncio.Event()
        self.jobs: dict[str, job_state.JobState] = {}
        self.watches: dict[str, watch_module.WorkerWatch] = {}
        self.recovering_jobs: set[str] = set()
        self.ended_workers: set[str] = set()
        self.taken_down_incarnations: dict[str, int] = {}
        self.is_loaded = False
        self.is_fenced = False
        self.failure: BaseException | None = None

    @property
    def partition(self) -> int:
        """The partition."""
        return self._partition

    @property
    def token(self) -> int:
        """Fencing token of all orders."""
        return self._token

    @property
    def writer(self) -> group_commit.PartitionWriter:
        """Records on their way to the store."""
        return self._writer

    @property
    def ports(self) -> ports_module.OwnerPorts:
        """What the owner needs from the rest of the process."""
        return self._ports

    @property
    def ownership(self) -> OwnershipStatus:
        """What the owner may do now."""
        return self._ownership

    @property
    def lease_ms(self) -> int:
        """Length of the leases that the owner offers."""
        return self._lease_ms

    def now_s(self) -> float:
        """Returns the time of the owner's clock."""
        return self._ports.clock.monotonic()

    def log(self, message_type: str, **fields: object) -> None:
        """Writes a log line."""
        self._ports.log(message_type, **fields)

    def log_run(
        self, message_type: str, run: task_runs.Run, **fields: object
    ) -> None:
        """Writes a log line about a run."""
        self._ports.log(
            message_type,
            job=run.job_id,
            task=list(run.task),
            run=run.number,
            worker=run.worker_id,
            **fields,
        )

    def wake(self) -> None:
        """Asks for a pass of placement."""
        self._wake.set()

    async def wait_for_work(self, timeout_s: float, gather_s: float) -> None:
        """Returns when a pass is asked for, or after a while."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._wake.wait()
            await asyncio.sleep(gather_s)
        except TimeoutError:
            pass
        self._wake.clear()

    def may_disrupt(self) -> bool:
        """Returns whether orders that end work may be given now."""
        return (
            self._ownership.is_confirmed()
            and not self.is_fenced
            and not self._writer.failure_duration_s()
        )

    def step_of(self, run: task_runs.Run) -> model.Step | None:
        """Returns the step of a run, or None if its job isn't known."""
        job = self.jobs.get(run.job_id)
        if job is None or not job.has_task(run.task):
            return None
        return job.step(run.task)

    def queue_of(self, job: job_state.JobState) -> model.Queue | None:
        """Returns the queue of a job if operators still list it."""
        configuration = self._ports.configuration()
        if configuration is None:
            return None
        return configuration.queues.get(job.spec.queue)

    def store_progress(self, job: job_state.JobState) -> asyncio.Future[None]:
        """Queues a job's progress for the store.

        Returns:
            A future that completes when the record is stored.
        """
        return self._writer.append(
            records.progress_key(job.spec.job_id),
            records.encode_progress(job),
        )

    def stop_run(self, run: task_runs.Run, reason: str) -> None:
        """Has a run stopped."""
        watch = self.watches.get(run.worker_id)
        if watch is not None:
            watch.stop(run, reason)

    def stop_runs(self, runs: abc.Iterable[task_runs.Run], reason: str) -> None:
        """Has runs stopped."""
        for run in list(runs):
            self.stop_run(run, reason)

    def end_run(
        self,
        view: view_module.WorkerView,
        run: task_runs.Run,
        kind: task_runs.EndKind,
    ) -> None:
        """Ends a run that its worker never reported as ended."""
        view.runs.pop(run.key, None)
        job = self.jobs.get(run.job_id)
        if job is not None:
            job.remove_run(run)
        self.log_run("run:ended", run, how=kind.value)
        self.wake()

    def in_contact(self, worker_id: str) -> bool:
        """Returns whether a worker has answered just now."""
        watch = self.watches.get(worker_id)
        last_s = watch.view.last_contact_s if watch is not None else None
        return last_s is not None and self.now_s() - last_s < CONTACT_S

    def mark_fenced(self) -> None:
        """Stops all orders: a worker has seen a newer owner."""
        if not self.is_fenced:
            self.is_fenced = True
            self.log(
                "owner:fenced", partition=self._partition, token=self._token
            )
            self.wake()


def describe_error(error: BaseException | None) -> str:
    """Returns an error with the place where it was raised."""
    return "".join(traceback.format_exception(error)[-6:])
