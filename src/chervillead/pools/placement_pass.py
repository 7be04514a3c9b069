"""One placement pass: decides which pending tasks start on which workers.

Built for bursts that exceed the capacity of a pool. Jobs are placed in the
order of `jobs.ordering`; a long-running task that does not fit preempts batch
tasks, and speculative copies of stragglers use only idle capacity.
"""

from collections import abc
import itertools

from chervillead.jobs import crash_evidence
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import placement
from chervillead.jobs import quotas
from chervillead.jobs import readiness
from chervillead.jobs import speculation
from chervillead.jobs import task_runs
from chervillead.jobs import waiting_jobs
from chervillead.pools import isolation
from chervillead.pools import owner_state
from chervillead.pools import run_moves
from chervillead.pools import run_stopping
from chervillead.pools import schedulable_workers
from chervillead.pools import worker_selection

# Calls of other hosts wait while a pass runs.
MAX_PASS_S = 0.03

# Returns the most that runs of earlier owners may use unseen.
UnknownUsage = abc.Callable[[], model.Resources]


class PlacementPass:
    """One pass over the tasks that are ready."""

    def __init__(
        self,
        state: owner_state.OwnerState,
        configuration: model.FleetConfiguration,
        tickets: worker_selection.Tickets,
        workers: schedulable_workers.SchedulableWorkers,
        waiting: waiting_jobs.WaitingJobs,
        unknown_usage: model.Resources,
    ) -> None:
        self._state = state
        self._configuration = configuration
        self._tickets = tickets
        self._workers = workers
        self._waiting = waiting
        self._unknown_usage = unknown_usage
        self._now_s = state.now_s()
        self._isolation = isolation.Isolation(state, self._now_s)
        self._selection = worker_selection.WorkerSelection(
            state, tickets, workers, self._isolation, self._now_s
        )
        self._full_pools: set[str] = set()
        # Needs without room by pool, and the number of starts.
        self._no_room_for: dict[str, list[model.Resources]] = {}
        self._started = 0

    def run(self, *, is_thorough: bool, skip: int = 0) -> int | None:
        """Starts all tasks that may start now.

        Args:
            is_thorough: Whether to consider all jobs and second runs of
                stragglers. Otherwise the pass ends once no pool has room for
                the least that a waiting batch task needs.
            skip: Number of jobs that the pass before has considered.

        Returns:
            None if all jobs were considered. Otherwise the time of this pass
            ended, and the next one should skip that many jobs. One that ended
            within a step of which it started tasks skips none: jobs that have
            come meanwhile may go before the rest of the step, and those before
            it had no room.
        """
        jobs = self._ordered_jobs(is_thorough=is_thorough)
        now_unix_ms = 1000 * self._state.ports.clock.wall()
        for number, job in enumerate(itertools.islice(jobs, skip, None), skip):
            if self._is_over():
                return number
            started = self._started
            is_complete = self._place_job(job, now_unix_ms)
            if job.is_finished:
                # A cancel doesn't tell the index of waiting jobs.
                self._state.jobs.mark_changed(job.spec.job_id)
            if not is_complete:
                return 0 if self._started > started else number + 1
        if is_thorough:
            for ready in self._stragglers():
                if ready.job.spec.pool not in self._full_pools:
                    self._place([ready])
            run_moves.move_from_slow_workers(
                self._state, self._selection.candidates, self._full_pools
            )
        return None

    def _is_over(self) -> bool:
        """Returns whether the time of the pass has ended."""
        return self._state.now_s() - self._now_s > MAX_PASS_S

    def _place_job(self, job: job_state.JobState, now_unix_ms: float) -> bool:
        """Starts tasks of a job; returns whether all were considered."""
        gangs = []
        for ready in readiness.ready_steps(job, self._now_s, now_unix_ms):
            if ready.step.gang:
                gangs.append(ready)
            elif not self._place_step(ready):
                return False
        for ready in gangs:
            if len(ready.tasks) == ready.step.tasks:
                self._place(list(ready.ready_tasks()))
        return True

    def _place_step(self, step: readiness.ReadyStep) -> bool:
        """Starts tasks of a step until no further one can start.

        Returns:
            Whether that is so; False if the time of the pass has ended.
        """
        for ready in step.ready_tasks():
            verdict = self._place([ready])
            if verdict in (
                worker_selection.Verdict.OVER_QUOTA,
                worker_selection.Verdict.NO_ROOM,
            ):
                return True
            if self._is_over():
                return False
        return True

    def _ordered_jobs(
        self, *, is_thorough: bool
    ) -> abc.Iterator[job_state.JobState]:
        usage_by_account = quotas.share_usage_by_account(
            self._configuration, self._state.usage_by_account
        )
        yield from self._waiting.long_running()
        batch = self._waiting.batch(self._now_s, usage_by_account)
        if is_thorough:
            yield from batch
            return
        open_pools = set(self._waiting.pools)
        # Room only shrinks in a pass, by the runs that are started.
        checked: dict[str, int] = {}
        for job in batch:
            pool = job.spec.pool
            if checked.get(pool) != self._started:
                checked[pool] = self._started
                if not self._may_have_room(pool):
                    open_pools.discard(pool)
            if not open_pools:
                return
            if pool in open_pools and self._has_room(
                pool, self._waiting.need_of(job.spec.job_id)
            ):
                yield job

    def _may_have_room(self, pool: str) -> bool:
        """Returns whether any waiting batch task of a pool may fit."""
        need = self._waiting.least_need(pool)
        return need is not None and self._has_room(pool, need)

    def _has_room(self, pool: str, need: model.Resources) -> bool:
        """Returns whether any worker has room; during a pass it only shrinks.

        Passes over all jobs note shortages of quotas of jobs without room.
        """
        no_room_for = self._no_room_for.get(pool, ())
        if any(need.covers(other) for other in no_room_for):
            return False
        if self._workers.in_pool(pool).has_room(need):
            return True
        self._no_room_for[pool] = [
            *(other for other in no_room_for if not other.covers(need)),
            need,
        ]
        return False

    def _stragglers(self) -> abc.Iterator[readiness.ReadyTask]:
        for job in self._state.jobs.unfinished():
            for ready in speculation.stragglers(job, self._now_s):
                if not self._may_crash_workers(ready):
                    yield ready

    def _may_crash_workers(self, straggler: readiness.ReadyTask) -> bool:
        """Returns whether a copy of a straggler may crash one more worker.

        Its task is suspected, or its worker has crashed and the crash has yet
        to be counted.
        """
        job, task = straggler.job, straggler.task
        if crash_evidence.needs_isolation(job, task):
            return True
        watches = (
            self._state.watches.get(run.worker_id) for run in job.runs[task]
        )
        return any(watch and watch.view.is_refused for watch in watches)

    def _place(
        self, group: list[readiness.ReadyTask]
    ) -> worker_selection.Verdict:
        """Starts a single task or a gang if all of its tasks fit."""
        first = group[0]
        account = first.job.spec.account
        need = first.step.size.times(len(group))
        if not self._is_within_quota(account, need, len(group)):
            return worker_selection.Verdict.OVER_QUOTA
        chosen = self._selection.select(group)
        if chosen is worker_selection.Verdict.NO_IDLE_WORKER:
            return chosen
        if isinstance(chosen, worker_selection.Verdict):
            self._full_pools.add(first.job.spec.pool)
            if first.step.long_running:
                self._preempt(first)
            return chosen
        number = first.job.next_run_number(first.task)
        for ready, worker_id in zip(group, chosen, strict=True):
            task_number = first.job.next_run_number(ready.task)
            self._start(
                ready, worker_id, number if first.step.gang else task_number
            )
        return worker_selection.Verdict.STARTED

    def _is_within_quota(
        self, account: str, need: model.Resources, tasks: int
    ) -> bool:
        """Returns whether an account's share allows further tasks.

        A shortage is noted, so that the owner asks for a larger share. Runs of
        earlier owners that aren't known yet count as the account's.
        """
        quota = quotas.quota_of(self._configuration, account)
        if quota is None:
            return True
        shares = self._state.shares
        used = self._state.usage_by_account.get(account, model.Resources())
        used = used.plus(self._unknown_usage)
        if quotas.allows(quota, shares.held(account), used, need, tasks):
            shares.note_use(account, self._now_s)
            return True
        shares.note_shortage(account, need, self._now_s)
        return False

    def _start(
        self, ready: readiness.ReadyTask, worker_id: str, number: int
    ) -> None:
        run = task_runs.Run(
            ready.job.spec.job_id,
            ready.task,
            number,
            worker_id,
            reserved=ready.step.reserved,
            started_s=self._now_s,
        )
        tickets = self._tickets(ready.job, ready.task)
        run.ticket = tickets[worker_id] if tickets is not None else ""
        watch = self._state.watches[worker_id]
        run.is_suspected = crash_evidence.needs_isolation(ready.job, ready.task)
        if run.is_suspected:
            run.isolated_until_s = self._isolation.keep(ready)
        ready.job.add_run(run)
        self._started += 1
        if run.is_suspected:
            self._log_suspect(ready, run)
            # Its worker may crash, and this owner be replaced, at once: then
            # only the record tells the next one of this run.
            crash_evidence.add_unconfirmed_crash(ready.job, run)
            run.recorded = self._state.recorder.store_progress(
                ready.job, (ready.task,)
            )
        self._state.jobs.mark_changed(ready.job.spec.job_id)
        self._state.track_run(watch.view, run)
        self._workers.update(watch.view)
        watch.start(run)

    def _log_suspect(
        self, ready: readiness.ReadyTask, run: task_runs.Run
    ) -> None:
        """Logs whether a suspected task has its worker for itself, and why."""
        kept = self._isolation.in_pool(ready.job.spec.pool)
        kept_s = run.isolated_until_s - self._now_s
        how = "isolated" if kept_s > 0 else "beside-others"
        self._state.ports.increment("chervillead_suspect_starts", how)
        self._state.log_run(
            "run:suspect-started",
            run,
            how=how,
            kept_s=round(kept_s, 3) if 0 < kept_s < float("inf") else None,
            crashes=len(ready.job.crashed_runs.get(ready.task, ())),
            suspected_for_s=round(
                self._now_s - ready.job.suspected_s[ready.task], 3
            ),
            kept=kept.kept,
            limit=kept.limit,
            workers=kept.workers,
            suspects=kept.suspects.total(),
        )

    def _preempt(self, ready: readiness.ReadyTask) -> None:
        """Stops batch tasks on one worker so that a long-running task fits."""
        if not self._state.has_authority():
            return
        options = []
        for snapshot in self._selection.candidates(ready):
            watch = self._state.watches[snapshot.worker_id]
            runs = [
                run
                for run in watch.view.runs.values()
                if not self._is_long_running(run)
            ]
            victims = placement.select_preemption_victims(
                snapshot,
                ready.step,
                worker_selection.step_key(ready),
                runs,
                self._now_s,
            )
            if victims is not None:
                options.append((len(victims), snapshot.worker_id, victims))
        if not options:
            return
        _, worker_id, victims = min(options, key=lambda o: o[:2])
        # Without victims, runs that are being stopped already make room.
        if victims:
            self._state.log(
                "run:preempting",
                job=ready.job.spec.job_id,
                task=list(ready.task),
                worker=worker_id,
                victims=[run.job_id for run in victims],
            )
            run_stopping.stop_runs(
                self._state, victims, "preempted by a long-running task"
            )

    def _is_long_running(self, run: task_runs.Run) -> bool:
        step = self._state.step_of(run)
        return step is not None and step.long_running
