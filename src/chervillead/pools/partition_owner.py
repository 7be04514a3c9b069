"""The owner of one partition: its jobs, its workers and the starts.

An owner alone orders the workers of its pools, so placement needs no agreement
for each task. Everything it knows can be rebuilt from the store's records and
from looks at the workers; see `takeover`.
"""

import asyncio
from collections import abc
import traceback
import typing

from returns import pipeline
from returns import result

from chervillead import verdicts
from chervillead.jobs import job_state
from chervillead.jobs import limits
from chervillead.jobs import model
from chervillead.jobs import ordering
from chervillead.jobs import placement
from chervillead.jobs import readiness
from chervillead.jobs import records
from chervillead.jobs import upkeep
from chervillead.pools import ports as ports_module
from chervillead.store import group_commit
from chervillead.workers import interface as worker_interface
from chervillead.workers import view as view_module
from chervillead.workers import watch as watch_module

# Events that come within this time share one pass of placement.
GATHER_S = 0.003
# Schedules and retries are looked at this often.
TICK_S = 0.1
# A task whose run failed waits this long, doubled for each failure.
RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 1.0
# The state of an ended job is kept this much longer than it must be shown.
STATE_MARGIN_S = 30.0
# A store that has not taken records for this long won't take a new job soon.
STORE_PATIENCE_S = 0.4
# A worker that didn't answer gets no new work for this time.
UNREACHABLE_S = 0.3
# A busy worker is looked at once a second; one that has not answered for this
# long may have crashed.
CONTACT_S = 1.5
RETRY_AFTER_S = 1.0
# A new owner numbers runs from here on above the highest that it knows of, so
# the runs of a former owner that it never saw keep other numbers.
RUN_NUMBER_GAP = 8
# Long enough to bear a change of owner, and short enough that the tasks of a
# worker that crashed start elsewhere soon.
LEASE_MS = 6000
# An owner that was replaced notices within this time at the latest.
REPLACED_OWNER_S = 2.5


class PartitionOwner:
    """Jobs and workers of one partition under one fencing token."""

    def __init__(
        self,
        partition: int,
        token: int,
        writer: group_commit.PartitionWriter,
        ports: ports_module.OwnerPorts,
        *,
        store_is_away: abc.Callable[[], bool],
        may_start: abc.Callable[[], bool],
        may_extend_lease: abc.Callable[[], bool],
    ) -> None:
        self._store_is_away = store_is_away
        self._partition = partition
        self._token = token
        self._writer = writer
        self._ports = ports
        self._may_start = may_start
        self._may_extend_lease = may_extend_lease
        self._jobs: dict[str, job_state.JobState] = {}
        self._submitting: dict[str, asyncio.Future[None]] = {}
        self._watches: dict[str, watch_module.WorkerWatch] = {}
        self._watch_tasks: dict[str, asyncio.Task[None]] = {}
        self._lease_ms = min(LEASE_MS, ports.limits.max_lease_ms)
        self._wake = asyncio.Event()
        self._began_s = ports.clock.monotonic()
        self._unsettled: set[str] = set()
        # Lives of workers that have surely ended.
        self._ended_workers: set[str] = set()
        self._is_loaded = False
        self._is_fenced = False
        self._failure: BaseException | None = None

    @property
    def token(self) -> int:
        """Fencing token of all orders."""
        return self._token

    @property
    def partition(self) -> int:
        """The partition."""
        return self._partition

    @property
    def jobs(self) -> dict[str, job_state.JobState]:
        """All known jobs by id."""
        return self._jobs

    @property
    def watches(self) -> dict[str, watch_module.WorkerWatch]:
        """The watched workers by id."""
        return self._watches

    @property
    def is_loaded(self) -> bool:
        """Whether all jobs of the partition are known."""
        return self._is_loaded

    def load(self, jobs: abc.Iterable[job_state.JobState]) -> None:
        """Takes over the jobs that the store holds.

        Their tasks wait until the workers have been looked at: any of them may
        run already.
        """
        for job in jobs:
            job.unsettled_until_s = float("inf")
            for task in job.highest_run:
                job.highest_run[task] += RUN_NUMBER_GAP
            self._jobs[job.spec.job_id] = job
            if not job.is_over:
                self._unsettled.add(job.spec.job_id)
        self._is_loaded = True
        self.wake()

    def wake(self) -> None:
        """Asks for a pass of placement."""
        self._wake.set()

    # Calls of entry hosts.

    async def submit(
        self, spec: model.JobSpec, timeout_s: float
    ) -> result.Result[None, verdicts.Refusal]:
        """Stores a job; a repeat of a known id changes nothing."""
        if spec.job_id in self._jobs:
            return result.Success(None)
        stored = self._submitting.get(spec.job_id)
        if stored is None:
            failing_s = self._writer.failing_for_s()
            if self._store_is_away() or failing_s > STORE_PATIENCE_S:
                return result.Failure(_store_away("no records are taken"))
            stored = self._writer.append(
                records.spec_key(spec.job_id), records.encode_spec(spec)
            )
            self._submitting[spec.job_id] = stored
            stored.add_done_callback(lambda f: self._submitted(spec, f))
        done, _ = await asyncio.wait([stored], timeout=timeout_s)
        if not done:
            if self._writer.withdraw(stored):
                self._submitting.pop(spec.job_id, None)
                return result.Failure(_store_away("not sent in time"))
            return result.Failure(
                verdicts.may_have_run(
                    "store-silent", 504, "the store has not answered"
                )
            )
        if stored.cancelled() or stored.exception() is not None:
            return result.Failure(
                verdicts.may_have_run(
                    "owner-replaced", 502, "another host owns the queue now"
                )
            )
        return result.Success(None)

    def _submitted(
        self, spec: model.JobSpec, stored: asyncio.Future[None]
    ) -> None:
        self._submitting.pop(spec.job_id, None)
        if stored.cancelled() or stored.exception() is not None:
            return
        now_s = self._ports.clock.monotonic()
        self._jobs.setdefault(
            spec.job_id, job_state.JobState(spec, received_s=now_s)
        )
        self._ports.log(
            "job:accepted",
            job=spec.job_id,
            queue=spec.queue,
            pool=spec.pool,
            account=spec.account,
            steps=[step.tasks for step in spec.steps],
            traits=sorted(_traits(spec)),
            token=self._token,
        )
        self.wake()

    async def cancel(
        self, job_id: str, timeout_s: float
    ) -> result.Result[None, verdicts.Refusal]:
        """Cancels a job; it is known to be stored when this returns."""
        job = self._jobs.get(job_id)
        if job is None:
            return result.Failure(unknown_job(job_id))
        if job.is_over and not job.is_cancelled:
            return result.Success(None)
        job.cancel(self._ports.clock.monotonic())
        self._ports.log("job:cancelled", job=job_id, token=self._token)
        self._stop_runs(job, "cancelled")
        stored = self._record(job)
        done, _ = await asyncio.wait([stored], timeout=timeout_s)
        if done and not stored.cancelled() and stored.exception() is None:
            return result.Success(None)
        return result.Failure(
            verdicts.may_have_run(
                "store-silent", 504, "the store has not answered"
            )
        )

    def pending(self, queue: str) -> int:
        """Returns the jobs of a queue for which no task has started."""
        return sum(
            job.spec.queue == queue and job.phase is job_state.Phase.QUEUED
            for job in self._jobs.values()
        )

    # Upkeep.

    def may_order(self) -> bool:
        """Returns whether orders may be given now."""
        return (
            self._may_start()
            and not self._is_fenced
            and not self._writer.failing_for_s()
        )

    def has_unrecorded_ends(self, worker_id: str) -> bool:
        """Returns whether ends on a worker would be lost with it."""
        watch = self._watches.get(worker_id)
        if watch is None:
            return False
        return watch.view.acknowledged < watch.view.applied_end

    def has_unseen_workers(self) -> bool:
        """Returns whether jobs wait for workers that don't answer."""
        return bool(self._unsettled) and any(
            not watch.view.has_been_seen for watch in self._watches.values()
        )

    def drop_ended_workers(self, living: abc.Container[str]) -> None:
        """Drops workers that don't answer and whose host has another life."""
        for worker_id, watch in list(self._watches.items()):
            if not watch.view.has_been_seen and worker_id not in living:
                self._close_worker(worker_id, "its host runs no such worker")
        self.wake()

    def waiting_tasks(self, pool: str) -> int:
        """Returns the tasks of a pool that wait to be started."""
        return sum(
            len(indexes)
            for job in self._jobs.values()
            if job.spec.pool == pool and not job.is_over
            for (occurrence, number), indexes in job.waiting.items()
            if all(
                job.step_is_done(occurrence, earlier)
                for earlier in job.spec.steps[number].after
            )
        )

    def reserve_for_upkeep(self, worker_id: str) -> None:
        """Keeps new work from a worker whose host is about to go down."""
        watch = self._watches.get(worker_id)
        if watch is not None:
            watch.view.reserved_for_upkeep = True

    def release_from_upkeep(self, worker_id: str) -> None:
        """Lets new work go to a worker again."""
        watch = self._watches.get(worker_id)
        if watch is not None:
            watch.view.reserved_for_upkeep = False
            self.wake()

    def task_counts(self, worker_id: str) -> tuple[int, int]:
        """Returns the batch and the lasting tasks on a worker."""
        watch = self._watches.get(worker_id)
        runs = list(watch.view.runs.values()) if watch is not None else []
        lasting = sum(self._is_lasting(run) for run in runs)
        return len(runs) - lasting, lasting

    def stop_lasting(self, worker_id: str, reason: str) -> None:
        """Stops lasting tasks on a worker as far as their budgets allow."""
        watch = self._watches.get(worker_id)
        if watch is None:
            return
        for run in list(watch.view.runs.values()):
            job = self._jobs.get(run.job_id)
            if job is None or run.stop_wanted or not self._is_lasting(run):
                continue
            if upkeep.may_stop(job, run.task, self._in_contact):
                watch.stop(run, reason)

    def _in_contact(self, worker_id: str) -> bool:
        watch = self._watches.get(worker_id)
        last_s = watch.view.last_contact_s if watch is not None else None
        now_s = self._ports.clock.monotonic()
        return last_s is not None and now_s - last_s < CONTACT_S

    def host_went_down(self, worker_id: str) -> None:
        """Ends the runs of a worker whose host was taken down by us."""
        if worker_id in self._watches:
            self._close_worker(worker_id, "upkeep")

    def _is_lasting(self, run: job_state.Run) -> bool:
        step = self._step_of(run)
        return step is not None and step.long_running

    # Workers.

    def update_workers(
        self,
        registrations: abc.Mapping[str, worker_interface.Registration],
        departed: abc.Iterable[worker_interface.Registration] = (),
    ) -> None:
        """Applies the list of the workers of this partition's pools.

        Args:
            registrations: The listed workers.
            departed: Workers that fell silent a short time ago.
        """
        if not self._is_loaded:
            return
        now_s = self._ports.clock.monotonic()
        for registration in departed:
            # It may still run tasks of a former owner under their lease.
            worker_id = registration.worker_id
            if worker_id not in {*self._watches, *self._ended_workers}:
                self._open_worker(registration, now_s)
        for worker_id, registration in registrations.items():
            watch = self._watches.get(worker_id)
            if watch is None:
                self._open_worker(registration, now_s)
                continue
            watch.view.is_registered = True
            view = watch.view
            moved = view.registration.address != registration.address
            reborn = view.registration.incarnation != registration.incarnation
            if moved or (view.is_replaced and reborn):
                self._close_worker(worker_id, "started again")
                self._open_worker(registration, now_s)
            else:
                watch.view.registration = registration
        for worker_id, watch in self._watches.items():
            if worker_id not in registrations:
                watch.view.is_registered = False
        self.wake()

    def _open_worker(
        self, registration: worker_interface.Registration, now_s: float
    ) -> None:
        view = view_module.WorkerView(registration, known_s=now_s)
        ports = watch_module.WatchPorts(
            clock=self._ports.clock,
            lease_ms=self._lease_ms,
            may_extend_lease=self._may_extend_lease,
            may_start=self._may_start,
            apply_look=self.apply_look,
            start_answered=self._start_answered,
            start_order=self._start_order,
            lost_contact=self._lost_contact,
            log=self._ports.log,
        )
        calls = self._ports.open_worker(registration, self._token)
        watch = watch_module.WorkerWatch(view, calls, ports)
        self._watches[registration.worker_id] = watch
        task = asyncio.create_task(watch.run())
        task.add_done_callback(
            lambda done: self._watch_ended(registration.worker_id, done)
        )
        self._watch_tasks[registration.worker_id] = task
        self._ports.log(
            "worker:found",
            worker=registration.worker_id,
            pool=registration.pool,
            zone=registration.zone,
            incarnation=registration.incarnation,
            token=self._token,
        )

    def _watch_ended(self, worker_id: str, task: asyncio.Task[None]) -> None:
        """Gives the partition up if a task of a worker fails."""
        if not task.cancelled() and task.exception() is not None:
            self._failure = task.exception()
            self._ports.log(
                "worker:task-failed",
                worker=worker_id,
                error=describe_error(task.exception()),
            )
            self.wake()

    def _close_worker(self, worker_id: str, reason: str) -> None:
        watch = self._watches.pop(worker_id)
        self._watch_tasks.pop(worker_id).cancel()
        self._ended_workers.add(worker_id)
        for run in list(watch.view.runs.values()):
            self._run_ended(watch.view, run, job_state.EndKind.VANISHED)
        self._ports.log("worker:dropped", worker=worker_id, reason=reason)

    def _lost_contact(
        self,
        view: view_module.WorkerView,
        failure: worker_interface.OrderFailure,
    ) -> None:
        self._ports.log(
            "worker:unreachable",
            worker=view.worker_id,
            error=failure.detail,
            refused=failure.refused and failure.refused.value,
            runs=len(view.runs),
        )
        now_s = self._ports.clock.monotonic()
        view.avoid_until_s = max(view.avoid_until_s, now_s + UNREACHABLE_S)
        if failure.refused is worker_interface.Refused.FENCED:
            self._note_fenced()
        if failure.refused is worker_interface.Refused.OTHER_INSTANCE:
            view.is_replaced = True
            for run in list(view.runs.values()):
                self._run_ended(view, run, job_state.EndKind.VANISHED)

    def _note_fenced(self) -> None:
        """Stops all orders: a worker has seen a newer owner."""
        if not self._is_fenced:
            self._is_fenced = True
            self._ports.log(
                "owner:fenced", partition=self._partition, token=self._token
            )
            self.wake()

    def apply_look(
        self, view: view_module.WorkerView, look: worker_interface.Look
    ) -> list[asyncio.Future[None]]:
        """Applies what a worker lists.

        Returns:
            Records that must be stored before the ends are acknowledged.
        """
        now_s = self._ports.clock.monotonic()
        if view.incarnation != look.incarnation:
            lost = view.forget_life(look.incarnation)
            for run in lost:
                self._run_ended(view, run, job_state.EndKind.VANISHED)
            # A former owner may just have extended the lease to its limit.
            view.extend_lease(look.clock_ms + self._lease_ms)
        view.note_clock(look.clock_ms, now_s)
        view.last_contact_s = now_s
        listed = {running.run for running in look.running}
        for running in look.running:
            self._apply_running(view, running, look.clock_ms, now_s)
        dirty: dict[str, job_state.JobState] = {}
        for ended in look.ended:
            if ended.number <= view.applied_end:
                continue
            view.applied_end = ended.number
            listed.add(ended.end.run)
            job = self._apply_end(view, ended.end, now_s)
            if job is not None:
                dirty[job.spec.job_id] = job
        self._drop_unlisted(view, listed, look.clock_ms)
        self.wake()
        return [self._record(job) for job in dirty.values()]

    def _apply_running(
        self,
        view: view_module.WorkerView,
        running: worker_interface.RunningTask,
        clock_ms: int,
        now_s: float,
    ) -> None:
        key = running.run
        run = view.runs.get(key)
        job = self._jobs.get(key.job_id)
        if run is None:
            run = job_state.Run(
                key.job_id,
                key.task,
                key.number,
                view.worker_id,
                reserved=model.Resources(),
                begun_s=now_s,
                phase=job_state.RunPhase.RUNNING,
            )
            if job is not None and job.has(key.task):
                run.reserved = job.step(key.task).reserved
                job.add_run(run)
            view.runs[key] = run
            self._ports.log(
                "run:found",
                job=key.job_id,
                task=list(key.task),
                run=key.number,
                worker=view.worker_id,
            )
        if run.phase in (
            job_state.RunPhase.STARTING,
            job_state.RunPhase.UNCERTAIN,
        ):
            run.phase = job_state.RunPhase.RUNNING
            if job is not None:
                job.has_started = True
        if run.started_clock_ms is None:
            run.started_clock_ms = clock_ms
        run.usage = running.usage
        run.progress_percent = running.progress_percent
        run.checkpoint = running.checkpoint
        if running.checkpoint and job is not None:
            job.checkpoints[key.task] = running.checkpoint
        watch = self._watches.get(view.worker_id)
        if watch is None:
            return
        if job is None or not job.has(key.task):
            watch.stop(run, "unknown job")
        elif job.is_over:
            watch.stop(run, job.phase.value)
        elif job.is_done(key.task):
            watch.stop(run, "another run is done")

    def _apply_end(
        self,
        view: view_module.WorkerView,
        end: job_state.End,
        now_s: float,
    ) -> job_state.JobState | None:
        """Applies an end; returns the job if its lasting progress changed."""
        job = self._jobs.get(end.run.job_id)
        run = view.runs.pop(end.run, None)
        if job is None or not job.has(end.run.task):
            return None
        queue = self._queue(job)
        attempts = queue.max_attempts if queue is not None else 1_000_000
        changed = job.note_end(end, attempts, now_s)
        self._ports.log(
            "run:ended",
            job=end.run.job_id,
            task=list(end.run.task),
            run=end.run.number,
            worker=view.worker_id,
            how=end.kind.value,
        )
        self._ports.increment("chervillead_runs_ended", end.kind.value)
        if end.kind in (job_state.EndKind.DONE, job_state.EndKind.FAILED):
            view.recent_failures.append(end.kind is job_state.EndKind.FAILED)
        if run is not None:
            if end.kind is job_state.EndKind.FAILED:
                self._delay_retry(job, run, now_s)
            job.remove_run(run)
        if job.is_done(end.run.task) or job.is_over:
            self._stop_others(job, end.run.task)
        if changed and job.is_over:
            self._ports.log(
                "job:ended", job=job.spec.job_id, phase=job.phase.value
            )
            self._ports.increment("chervillead_jobs_ended", job.phase.value)
            self._ports.observe("job_seconds", now_s - job.received_s)
            self._stop_runs(job, job.phase.value)
        return job if changed else None

    def _delay_retry(
        self, job: job_state.JobState, run: job_state.Run, now_s: float
    ) -> None:
        failures = len(job.failed_runs.get(run.task, ()))
        delay_s = min(MAX_RETRY_DELAY_S, RETRY_DELAY_S * 2**failures)
        job.retry_at_s[run.task] = now_s + delay_s

    def _drop_unlisted(
        self,
        view: view_module.WorkerView,
        listed: set[job_state.RunKey],
        clock_ms: int,
    ) -> None:
        """Ends runs that a worker should list but doesn't."""
        for key, run in list(view.runs.items()):
            if key in listed:
                continue
            started = run.started_clock_ms
            stopped = run.stopped_clock_ms
            if started is not None and clock_ms > started:
                self._run_ended(view, run, job_state.EndKind.VANISHED)
            elif run.phase is job_state.RunPhase.UNCERTAIN:
                # A stop that was carried out shuts the run out for good, and
                # so does the last moment at which it could have started.
                barrier = run.start_by_clock_ms if stopped is None else stopped
                if clock_ms > barrier:
                    self._run_ended(view, run, job_state.EndKind.VANISHED)
                elif stopped is None and not run.stop_wanted:
                    self._stop_run(run, "no answer")

    def _run_ended(
        self,
        view: view_module.WorkerView,
        run: job_state.Run,
        kind: job_state.EndKind,
    ) -> None:
        """Ends a run that its worker never reported as ended."""
        view.runs.pop(run.key, None)
        job = self._jobs.get(run.job_id)
        if job is not None:
            job.remove_run(run)
        self._ports.log(
            "run:ended",
            job=run.job_id,
            task=list(run.task),
            run=run.number,
            worker=run.worker_id,
            how=kind.value,
        )
        self.wake()

    def _stop_runs(self, job: job_state.JobState, reason: str) -> None:
        for run in list(job.active_runs()):
            self._stop_run(run, reason)

    def _stop_others(
        self, job: job_state.JobState, task: model.TaskKey
    ) -> None:
        for run in list(job.runs.get(task, ())):
            self._stop_run(run, "another run is done")

    def _stop_run(self, run: job_state.Run, reason: str) -> None:
        watch = self._watches.get(run.worker_id)
        if watch is not None:
            watch.stop(run, reason)

    # Starts.

    def _start_order(
        self, view: view_module.WorkerView, run: job_state.Run
    ) -> worker_interface.StartOrder | None:
        """Returns the order for a run, checked once more just before it."""
        now_s = self._ports.clock.monotonic()
        job = self._jobs.get(run.job_id)
        clock_ms = view.clock_at(now_s)
        if (
            job is None
            or job.is_over
            or job.is_done(run.task)
            or run.stop_wanted
            or clock_ms is None
            or not self._may_start()
            or not view.takes_work(now_s, self._ports.zones_out())
        ):
            self._run_ended(view, run, job_state.EndKind.VANISHED)
            return None
        return worker_interface.StartOrder(
            run.key,
            job.spec.payload,
            clock_ms + watch_module.START_WINDOW_MS,
            job.checkpoints.get(run.task, ""),
        )

    def _start_answered(
        self,
        view: view_module.WorkerView,
        run: job_state.Run,
        outcome: worker_interface.OrderOutcome,
    ) -> None:
        now_s = self._ports.clock.monotonic()
        job = self._jobs.get(run.job_id)
        if pipeline.is_successful(outcome):
            view.note_clock(outcome.unwrap(), now_s)
            if run.key not in view.runs:
                return
            run.started_clock_ms = outcome.unwrap()
            if run.phase is job_state.RunPhase.STARTING:
                run.phase = job_state.RunPhase.RUNNING
            if job is not None:
                job.has_started = True
            self._ports.log(
                "run:started",
                job=run.job_id,
                task=list(run.task),
                run=run.number,
                worker=view.worker_id,
                token=self._token,
            )
            self._ports.increment("chervillead_starts", "accepted")
            if run.stop_wanted:
                self._stop_run(run, run.stop_reason)
            return
        failure = outcome.failure()
        refused = failure.refused
        self._ports.log(
            "run:start-failed",
            job=run.job_id,
            task=list(run.task),
            run=run.number,
            worker=view.worker_id,
            verdict=failure.verdict.value,
            refused=refused and refused.value,
            error=failure.detail,
        )
        self._ports.increment(
            "chervillead_starts", refused.value if refused else "unanswered"
        )
        if failure.verdict is verdicts.Verdict.MAY_HAVE_RUN:
            if run.phase is job_state.RunPhase.STARTING:
                run.phase = job_state.RunPhase.UNCERTAIN
            watch = self._watches.get(view.worker_id)
            if watch is not None:
                watch.wake()
            return
        if refused is worker_interface.Refused.FENCED:
            self._note_fenced()
        if refused in (
            worker_interface.Refused.UNHEALTHY,
            worker_interface.Refused.OTHER_INSTANCE,
            None,
        ):
            view.avoid_until_s = now_s + view_module.UNHEALTHY_S
        if refused is worker_interface.Refused.NO_ROOM:
            view.avoid_until_s = now_s + 0.2
        self._run_ended(view, run, job_state.EndKind.VANISHED)

    async def run(self) -> None:
        """Places tasks until cancelled; then stops watching the workers."""
        writing = asyncio.create_task(self._writer.run())
        try:
            while True:
                try:
                    async with asyncio.timeout(TICK_S):
                        await self._wake.wait()
                    await asyncio.sleep(GATHER_S)
                except TimeoutError:
                    pass
                self._wake.clear()
                if self._failure is not None:
                    raise self._failure
                if self._is_fenced:
                    return
                self._expire_workers()
                self._settle()
                self._place()
        finally:
            self._is_loaded = False
            writing.cancel()
            self._writer.close()
            for task in self._watch_tasks.values():
                task.cancel()
            await asyncio.gather(
                *self._watch_tasks.values(), return_exceptions=True
            )

    def _expire_workers(self) -> None:
        """Ends runs whose lease has surely expired, and drops lost workers."""
        now_s = self._ports.clock.monotonic()
        for worker_id, watch in list(self._watches.items()):
            view = watch.view
            if view.runs and view.has_been_seen and now_s > view.lease_ends_s():
                for run in list(view.runs.values()):
                    self._run_ended(view, run, job_state.EndKind.LEASE_EXPIRED)
            if view.is_registered or view.runs:
                continue
            is_done = view.has_been_seen or view.is_replaced
            if is_done or now_s > self._bound_s(view):
                self._close_worker(worker_id, "gone")

    def _bound_s(self, view: view_module.WorkerView) -> float:
        """Returns when a worker that never answered surely runs nothing.

        A former owner may have extended leases until it noticed that it was
        replaced, and each lasts its full length on a slow clock.
        """
        lease_s = self._lease_ms / 1000 / view_module.SLOWEST_CLOCK
        return view.known_s + REPLACED_OWNER_S + lease_s

    def _settle(self) -> None:
        """Frees the tasks of taken-over jobs once all workers are known."""
        if not self._unsettled or not self._watches:
            return
        now_s = self._ports.clock.monotonic()
        if any(
            not watch.view.has_been_seen
            and not watch.view.is_replaced
            and now_s <= self._bound_s(watch.view)
            for watch in self._watches.values()
        ):
            return
        for job_id in self._unsettled:
            self._jobs[job_id].unsettled_until_s = 0.0
        self._ports.log(
            "owner:settled",
            partition=self._partition,
            token=self._token,
            jobs=len(self._unsettled),
            after_s=round(now_s - self._began_s, 3),
        )
        self._unsettled.clear()

    def _place(self) -> None:
        configuration = self._ports.configuration()
        if configuration is None or not self._may_start():
            return
        now_s = self._ports.clock.monotonic()
        zones_out = self._ports.zones_out()
        sites = {
            worker_id: watch.view.as_site(self._step_of)
            for worker_id, watch in self._watches.items()
            if watch.view.takes_work(now_s, zones_out)
        }
        running = self._running_by_account()
        for ready in self._ordered_ready(configuration, now_s, running):
            account = ready.job.spec.account
            if not _within_cap(configuration, account, running, ready.step):
                continue
            site = self._choose(ready, sites)
            if site is None:
                continue
            run = self._begin(ready, site, now_s)
            running[account] = running.get(account, model.Resources()).plus(
                ready.step.size
            )
            watch = self._watches[site.worker_id]
            sites[site.worker_id] = watch.view.as_site(self._step_of)
            watch.start(run)

    def _choose(
        self,
        ready: readiness.ReadyTask,
        sites: dict[str, placement.Site],
    ) -> placement.Site | None:
        job = ready.job
        key = job.spec.job_id, ready.task.occurrence, ready.task.step
        pool = job.spec.pool
        return placement.best_site(
            (
                site
                for worker_id, site in sites.items()
                if self._watches[worker_id].view.registration.pool == pool
            ),
            ready.step,
            key,
        )

    def _begin(
        self, ready: readiness.ReadyTask, site: placement.Site, now_s: float
    ) -> job_state.Run:
        job, task = ready.job, ready.task
        run = job_state.Run(
            job.spec.job_id,
            task,
            job.next_run_number(task),
            site.worker_id,
            reserved=ready.step.reserved,
            begun_s=now_s,
        )
        job.add_run(run)
        self._watches[site.worker_id].view.runs[run.key] = run
        return run

    def _ordered_ready(
        self,
        configuration: model.FleetConfiguration,
        now_s: float,
        running: dict[str, model.Resources],
    ) -> abc.Iterator[readiness.ReadyTask]:
        now_unix_ms = 1000 * self._ports.clock.wall()
        waiting = [
            job
            for job in self._jobs.values()
            if not job.is_over and any(job.waiting.values())
        ]
        shares = _account_loads(configuration, running)
        waiting.sort(
            key=lambda job: ordering.sort_key(
                job,
                configuration.queues.get(job.spec.queue),
                now_s=now_s,
                account_load=shares.get(job.spec.account, 0.0),
            )
        )
        for job in waiting:
            yield from readiness.ready_tasks(job, now_s, now_unix_ms)

    def _running_by_account(self) -> dict[str, model.Resources]:
        running: dict[str, model.Resources] = {}
        for watch in self._watches.values():
            for run in watch.view.runs.values():
                job = self._jobs.get(run.job_id)
                if job is None or not job.has(run.task):
                    continue
                account = job.spec.account
                running[account] = running.get(account, model.Resources()).plus(
                    job.step(run.task).size
                )
        return running

    def _step_of(self, run: job_state.Run) -> model.Step | None:
        job = self._jobs.get(run.job_id)
        if job is None or not job.has(run.task):
            return None
        return job.step(run.task)

    def _queue(self, job: job_state.JobState) -> model.Queue | None:
        configuration = self._ports.configuration()
        if configuration is None:
            return None
        return configuration.queues.get(job.spec.queue)

    def _record(self, job: job_state.JobState) -> asyncio.Future[None]:
        return self._writer.append(
            records.progress_key(job.spec.job_id),
            records.encode_progress(job),
        )


def _traits(spec: model.JobSpec) -> set[str]:
    """Returns what is special about a job's steps, for logs."""
    names = (
        "checkpointing",
        "gang",
        "same_rack",
        "required_label",
        "data_rack",
        "max_per_worker",
        "speculative",
        "long_running",
        "latency_target_ms",
        "fills",
    )
    return {
        name for step in spec.steps for name in names if getattr(step, name)
    }


def _within_cap(
    configuration: model.FleetConfiguration,
    account: str,
    running: abc.Mapping[str, model.Resources],
    step: model.Step,
) -> bool:
    found = configuration.accounts.get(account)
    if found is None:
        return True
    part = limits.cap_part(found.cap, limits.working_pools(configuration))
    used = running.get(account, model.Resources())
    return limits.allows(part, found.cap, used, step.size)


def _account_loads(
    configuration: model.FleetConfiguration,
    running: abc.Mapping[str, model.Resources],
) -> dict[str, float]:
    """Returns what accounts have running as a factor of their shares."""
    total = sum(used.millicores for used in running.values())
    weights = sum(a.weight for a in configuration.accounts.values())
    if not total or not weights:
        return {}
    return {
        name: used.millicores
        / total
        / (configuration.accounts[name].weight / weights)
        for name, used in running.items()
        if name in configuration.accounts
        and configuration.accounts[name].weight > 0
    }


def describe_error(error: BaseException | None) -> str:
    """Returns an error with the place where it was raised."""
    return "".join(traceback.format_exception(error)[-6:])


def unknown_job(job_id: str) -> verdicts.Refusal:
    """Returns the refusal of a call about a job that doesn't exist."""
    return verdicts.not_run("unknown-job", 410, f"no job {job_id}")


def _store_away(detail: str) -> verdicts.Refusal:
    return verdicts.not_run(
        "store-away", 503, detail, retry_after_s=RETRY_AFTER_S
    )


Owners = typing.Mapping[int, PartitionOwner]
