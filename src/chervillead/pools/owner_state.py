"""State of a partition's owner, shared by the modules that update it."""

import asyncio
from collections import abc
import math
import traceback

from chervillead import types
from chervillead.jobs import availability
from chervillead.jobs import crash_evidence
from chervillead.jobs import interference
from chervillead.jobs import job_state
from chervillead.jobs import job_table
from chervillead.jobs import model
from chervillead.jobs import offered_load
from chervillead.jobs import partition_records
from chervillead.jobs import run_times
from chervillead.jobs import task_runs
from chervillead.pools import account_usage
from chervillead.pools import cancelled_submissions
from chervillead.pools import held_shares
from chervillead.pools import job_recorder
from chervillead.pools import overload_control
from chervillead.pools import ports as ports_module
from chervillead.store import group_commit
from chervillead.workers import view as view_module
from chervillead.workers import watch as watch_module

# Long enough to survive a change of owner, short enough that the tasks of a
# crashed worker soon restart elsewhere.
LEASE_MS = 6000
# Terms of jobs whose queue was gone before any could be stored. Earlier builds
# kept no terms.
UNKNOWN_TERMS = model.JobTerms(max_attempts=3)


class OwnershipStatus:
    """What the group membership of a host says about its ownership.

    Attributes:
        is_confirmed: Returns whether the ownership is certain to hold now.
        is_store_unavailable: Returns whether the last renewal of the membership
            failed.
        request_renewal: Asks for a renewal as soon as possible, and returns the
            number of the next one to be sent.
    """

    def __init__(
        self,
        is_confirmed: abc.Callable[[], bool],
        is_store_unavailable: abc.Callable[[], bool],
        request_renewal: abc.Callable[[], int] = lambda: 0,
    ) -> None:
        self.is_confirmed = is_confirmed
        self.is_store_unavailable = is_store_unavailable
        self.request_renewal = request_renewal


class OwnerState:
    """Jobs and workers of one partition under one fencing token.

    Attributes:
        jobs: All known jobs, by id.
        watches: The watched workers, by id.
        recovering_jobs: Ids of the jobs whose tasks a previous owner may have
            started.
        unreadable_jobs: Ids of jobs whose stored spec couldn't be decoded. Runs
            of them go on: another build may be able to read it.
        awaiting_renewal: Ids of workers on which nothing is started before the
            ownership has been renewed.
        ended_workers: Ids of workers that certainly run nothing any more.
        taken_down_incarnations: Incarnation, by worker id, of workers whose
            hosts this owner took down. The store lists them for a while longer.
        queues: Which queues the partition accepts jobs of, by address.
        shares: Shares of the accounts' quotas that the partition holds.
        grants: Shares that the ledger of the hosts partition has granted, by
            account and partition.
        reports: Epoch and number of the last report to the ledger, by
            partition.
        cancelled: Submissions that were cancelled before they arrived.
        crashed_s: When the last worker that crashed at each address had last
            answered.
        changed_workers: Ids of workers whose runs or health changed since the
            last placement pass.
        run_times: Run times of tasks, learned from completed runs.
        interference: What is known of the interference between tasks.
        overload: Rates of accounts, and what decides on jobs under overload.
        loaded_s: When the jobs of the partition were loaded.
        is_loaded: Whether all jobs of the partition have been loaded.
        failure: Error that ended one of the owner's asyncio tasks.
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
        self._usage = account_usage.AccountUsage()
        self._recorder = job_recorder.JobRecorder(
            writer, ports.limits.max_record_bytes, ports.log
        )
        writer.on_reopened(self._apply_reopened)
        self.jobs = job_table.JobTable()
        self.watches: dict[str, watch_module.WorkerWatch] = {}
        self.recovering_jobs: set[str] = set()
        self.unreadable_jobs: set[str] = set()
        self.awaiting_renewal: set[str] = set()
        self.ended_workers: set[str] = set()
        self.taken_down_incarnations: dict[str, int] = {}
        self.queues: dict[str, partition_records.QueueAssignment] = {}
        self.shares = held_shares.HeldShares()
        self.grants: dict[str, dict[int, int]] = {}
        self.reports: dict[int, tuple[int, int]] = {}
        self.cancelled = cancelled_submissions.CancelledSubmissions()
        self.crashed_s: dict[types.Address, float] = {}
        self.changed_workers: set[str] = set()
        self.run_times = run_times.RunTimes()
        self.interference = interference.Interference()
        self._offered_loads: dict[str, offered_load.OfferedLoad] = {}
        self.overload = overload_control.OverloadControl(ports)
        self.loaded_s = float("-inf")
        self.is_loaded = False
        self._is_fenced = False
        self.failure: BaseException | None = None

    @property
    def partition(self) -> int:
        """Number of the partition in the store."""
        return self._partition

    @property
    def token(self) -> int:
        """Fencing token of all commands to workers and hosts."""
        return self._token

    @property
    def writer(self) -> group_commit.PartitionWriter:
        """Writer of the partition's records."""
        return self._writer

    @property
    def recorder(self) -> job_recorder.JobRecorder:
        """Writes the records of the partition's jobs."""
        return self._recorder

    @property
    def ports(self) -> ports_module.OwnerPorts:
        """Dependencies on the rest of the process."""
        return self._ports

    @property
    def usage_by_account(self) -> abc.Mapping[str, model.Resources]:
        """Resources that the running tasks of each account requested."""
        return self._usage.by_account

    @property
    def ownership(self) -> OwnershipStatus:
        """Whether the ownership holds and the store is available."""
        return self._ownership

    @property
    def is_fenced(self) -> bool:
        """Whether a worker, a peer or the store has seen a newer owner."""
        return self._is_fenced or self._writer.is_fenced

    @property
    def lease_ms(self) -> int:
        """Length of the leases that workers are given, in milliseconds."""
        return self._lease_ms

    def now_s(self) -> float:
        """Returns the monotonic time of this host, in seconds."""
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
        """Requests a placement pass."""
        self._wake.set()

    async def wait_for_work(
        self, timeout_s: float, batch_delay_s: float
    ) -> None:
        """Waits for a request of a placement pass, or for the timeout.

        Args:
            timeout_s: Longest wait, in seconds.
            batch_delay_s: Wait after a request, so that requests close together
                share a pass.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._wake.wait()
            await asyncio.sleep(batch_delay_s)
        except TimeoutError:
            pass
        self._wake.clear()

    def is_owner(self) -> bool:
        """Returns whether this process certainly owns the partition now."""
        return self._ownership.is_confirmed() and not self.is_fenced

    def may_start(self) -> bool:
        """Returns whether runs may be started now.

        Operators may have taken a zone out, or lowered a quota, since a
        configuration that is out of date. Another host may have started tasks
        since the group changed, until the partition has been opened again.
        """
        return (
            self.is_owner()
            and self._writer.is_current
            and self._ports.is_current()
        )

    def is_in_use(self) -> bool:
        """Returns whether there may be workers or jobs to attend to."""
        return (
            not self.is_loaded
            or bool(self.watches)
            or bool(self.jobs.unfinished())
        )

    def has_authority(self) -> bool:
        """Returns whether commands that end running work may be sent now."""
        return (
            self.is_owner()
            and self._writer.is_current
            and not self._writer.failure_duration_s()
        )

    def step_of(self, run: task_runs.Run) -> model.Step | None:
        """Returns the step of a run, or None if the run's job is unknown."""
        job = self.jobs.get(run.job_id)
        if job is None or not job.has_task(run.task):
            return None
        return job.step(run.task)

    def image_of(self, run: task_runs.Run, step: model.Step) -> str:
        """Returns the image of a run's step, or what stands for it."""
        if step.image:
            return step.image
        address = self.terms_of(self.jobs[run.job_id]).queue_address
        return interference.image_of(step, address)

    def queue(self, name: str) -> model.Queue | None:
        """Returns a queue, or None if this host's configuration lacks it."""
        configuration = self._ports.configuration()
        return None if configuration is None else configuration.queues.get(name)

    def offered_load(self, pool: str) -> offered_load.OfferedLoad:
        """Returns the measurement of the load that is offered to a pool."""
        if pool not in self._offered_loads:
            self._offered_loads[pool] = offered_load.OfferedLoad(self.now_s())
        return self._offered_loads[pool]

    def count_pending(self, queue_address: str) -> int:
        """Returns how many jobs of a queue have not started any task."""
        return sum(
            job.phase is job_state.Phase.QUEUED
            and self.terms_of(job).queue_address == queue_address
            for job in self.jobs.unfinished()
        )

    def terms_of(self, job: job_state.JobState) -> model.JobTerms:
        """Returns what a job is owed.

        A job of an earlier build has no stored terms. It gets those of its
        queue, which are stored, so that they hold once the queue is gone.
        """
        if job.terms is None:
            queue = self.queue(job.spec.queue)
            if queue is None:
                return UNKNOWN_TERMS
            job.terms = queue.terms
            self._recorder.store_terms(job.spec.job_id, job.terms)
        return job.terms

    def track_run(
        self, view: view_module.WorkerView, run: task_runs.Run
    ) -> None:
        """Counts a run as being on a worker."""
        step = self.step_of(run)
        interferes = step is not None and (
            step.fills or step.latency_target_ms > 0
        )
        image = self.image_of(run, step) if step and interferes else ""
        view.add_run(run, step, image)
        if step is not None:
            account = self.jobs[run.job_id].spec.account
            self._usage.add(run, account, step)
        self.changed_workers.add(view.worker_id)

    def forget_run(
        self, view: view_module.WorkerView, key: task_runs.RunKey
    ) -> task_runs.Run | None:
        """Counts a run as gone from a worker; returns it if it was there."""
        self._usage.remove(view.worker_id, key)
        self.changed_workers.add(view.worker_id)
        return view.remove_run(key)

    def end_run(
        self,
        view: view_module.WorkerView,
        run: task_runs.Run,
        kind: task_runs.EndKind,
    ) -> None:
        """Ends a run whose end its worker did not report."""
        self.forget_run(view, run.key)
        job = self.jobs.get(run.job_id)
        if job is not None:
            job.remove_run(run)
            self.jobs.mark_changed(run.job_id)
            if (
                kind is not task_runs.EndKind.WORKER_CRASHED
                and crash_evidence.retract_crash(job, run.task, run.number)
            ):
                self._recorder.store_progress(job, (run.task,))
        self.log_run("run:ended", run, how=kind.value)
        self.wake()

    def in_contact(self, worker_id: str) -> bool:
        """Returns whether a worker has answered within the contact timeout."""
        return self.contact_age_s(worker_id) < availability.CONTACT_TIMEOUT_S

    def contact_age_s(self, worker_id: str) -> float:
        """Returns how long ago a worker answered last; infinite if never."""
        watch = self.watches.get(worker_id)
        last_s = watch.view.last_contact_s if watch is not None else None
        return math.inf if last_s is None else self.now_s() - last_s

    def _apply_reopened(self) -> None:
        """Places tasks again, as no other owner has come between."""
        self.log(
            "owner:reopened",
            partition=self._partition,
            token=self._token,
            epoch=self._writer.epoch,
        )
        self.wake()

    def fail(self, error: BaseException | None) -> None:
        """Ends the owner with an error in its state; it is made again."""
        self.failure = error
        self.wake()

    def mark_fenced(self) -> None:
        """Stops all commands, since a newer owner has been seen."""
        if not self._is_fenced:
            self._is_fenced = True
            self.log(
                "owner:fenced", partition=self._partition, token=self._token
            )
            self.wake()


def describe_error(error: BaseException | None) -> str:
    """Returns an error with the last lines of its traceback."""
    return "".join(traceback.format_exception(error)[-6:])
