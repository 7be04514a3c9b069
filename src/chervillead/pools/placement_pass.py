"""One placement pass: decides which pending tasks start on which workers.

Built for bursts that exceed the capacity of a pool. Jobs are placed in the
order of `jobs.ordering`; a long-running task that does not fit preempts batch
tasks, and speculative copies of stragglers use only idle capacity.
"""

from collections import abc

from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import ordering
from chervillead.jobs import placement
from chervillead.jobs import quotas
from chervillead.jobs import readiness
from chervillead.jobs import speculation
from chervillead.jobs import task_runs
from chervillead.pools import owner_state

Tickets = abc.Callable[
    [job_state.JobState, model.TaskKey], abc.Mapping[str, str] | None
]


class PlacementPass:
    """One pass: the free capacity and the running tasks of each account."""

    def __init__(
        self,
        state: owner_state.OwnerState,
        configuration: model.FleetConfiguration,
        tickets: Tickets,
    ) -> None:
        self._state = state
        self._configuration = configuration
        self._tickets = tickets
        self._now_s = state.now_s()
        zones_out = state.ports.zones_out()
        self._snapshots = {
            worker_id: watch.view.as_snapshot(state.step_of)
            for worker_id, watch in state.watches.items()
            if watch.view.is_schedulable(self._now_s, zones_out, state.step_of)
        }
        self._running = _running_by_account(state)

    def run(self) -> None:
        """Starts all tasks that may start now."""
        full_pools: set[str] = set()
        for group in self._ready_groups():
            if not self._place(group):
                full_pools.add(group[0].job.spec.pool)
        for ready in self._stragglers():
            if ready.job.spec.pool not in full_pools:
                self._place([ready])

    def _ready_groups(self) -> abc.Iterator[list[readiness.ReadyTask]]:
        """Yields the tasks to start together: a single task or a whole gang."""
        now_unix_ms = 1000 * self._state.ports.clock.wall()
        for job in self._ordered_jobs():
            gangs: dict[tuple[int, int], list[readiness.ReadyTask]] = {}
            for ready in readiness.ready_tasks(job, self._now_s, now_unix_ms):
                if not ready.step.gang:
                    yield [ready]
                    continue
                key = ready.task.occurrence, ready.task.step
                gangs.setdefault(key, []).append(ready)
            for members in gangs.values():
                if len(members) == members[0].step.tasks:
                    yield members

    def _ordered_jobs(self) -> list[job_state.JobState]:
        pending_jobs = [
            job
            for job in self._state.jobs.values()
            if not job.is_finished and any(job.pending_tasks.values())
        ]
        usage_by_account = quotas.share_usage_by_account(
            self._configuration, self._running
        )
        return sorted(
            pending_jobs,
            key=lambda job: ordering.sort_key(
                job,
                self._configuration.queues.get(job.spec.queue),
                now_s=self._now_s,
                share_usage=usage_by_account.get(job.spec.account, 0.0),
            ),
        )

    def _stragglers(self) -> abc.Iterator[readiness.ReadyTask]:
        for job in self._state.jobs.values():
            if not job.is_finished:
                yield from speculation.stragglers(job, self._now_s)

    def _place(self, group: list[readiness.ReadyTask]) -> bool:
        """Starts a group if all of its tasks fit.

        Returns:
            False if the group does not fit. One that exceeds its account's
            quota returns True, since it doesn't wait for capacity.
        """
        first = group[0]
        account = first.job.spec.account
        need = first.step.size.times(len(group))
        if not quotas.is_within_quota(
            self._configuration, account, self._running, need
        ):
            return True
        chosen = self._select_workers(group)
        if chosen is None:
            if first.step.long_running:
                self._preempt(first)
            return False
        number = first.job.next_run_number(first.task)
        for ready, worker_id in zip(group, chosen, strict=True):
            task_number = first.job.next_run_number(ready.task)
            self._start(
                ready, worker_id, number if first.step.gang else task_number
            )
        self._running[account] = self._running.get(
            account, model.Resources()
        ).plus(need)
        return True

    def _select_workers(
        self, group: list[readiness.ReadyTask]
    ) -> list[str] | None:
        """Returns a worker for each task of a group, or None."""
        first = group[0]
        candidates = self._candidates(first)
        if len(group) == 1:
            rack = _current_rack(self._state, first)
            snapshot = placement.select_worker(
                candidates, first.step, _step_key(first), preferred_rack=rack
            )
            return None if snapshot is None else [snapshot.worker_id]
        return placement.select_gang_workers(
            candidates, first.step, _step_key(first), len(group)
        )

    def _candidates(
        self, ready: readiness.ReadyTask
    ) -> list[placement.WorkerSnapshot]:
        """Returns the workers that could take a task once they have room.

        Workers on which the task has failed are left out while there are
        others.
        """
        pool = ready.job.spec.pool
        occupied = {run.worker_id for run in ready.job.runs.get(ready.task, ())}
        tickets = self._tickets(ready.job, ready.task)
        eligible = [
            snapshot
            for worker_id, snapshot in self._snapshots.items()
            if self._state.watches[worker_id].view.registration.pool == pool
            and worker_id not in occupied
            and (tickets is None or worker_id in tickets)
            and placement.is_suitable(snapshot, ready.step)
        ]
        avoided = ready.job.failed_workers.get(ready.task, set())
        others = [
            snapshot
            for snapshot in eligible
            if snapshot.worker_id not in avoided
        ]
        return others or eligible

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
        ready.job.add_run(run)
        watch = self._state.watches[worker_id]
        watch.view.runs[run.key] = run
        self._snapshots[worker_id] = watch.view.as_snapshot(self._state.step_of)
        watch.start(run)

    def _preempt(self, ready: readiness.ReadyTask) -> None:
        """Stops batch tasks on one worker so that a long-running task fits."""
        if not self._state.has_authority():
            return
        options = []
        for snapshot in self._candidates(ready):
            watch = self._state.watches[snapshot.worker_id]
            runs = [
                run
                for run in watch.view.runs.values()
                if not self._is_long_running(run)
            ]
            victims = placement.select_preemption_victims(
                snapshot, ready.step, runs, self._now_s
            )
            if victims is not None:
                options.append((len(victims), snapshot.worker_id, victims))
        if options:
            _, worker_id, victims = min(options, key=lambda o: o[:2])
            self._state.log(
                "run:preempting",
                job=ready.job.spec.job_id,
                task=list(ready.task),
                worker=worker_id,
                victims=[run.job_id for run in victims],
            )
            self._state.stop_runs(victims, "preempted by a long-running task")

    def _is_long_running(self, run: task_runs.Run) -> bool:
        step = self._state.step_of(run)
        return step is not None and step.long_running


def _step_key(ready: readiness.ReadyTask) -> tuple[str, int, int]:
    return ready.job.spec.job_id, ready.task.occurrence, ready.task.step


def _current_rack(
    state: owner_state.OwnerState, ready: readiness.ReadyTask
) -> str:
    """Returns the rack in which a rack-sensitive step runs, if any."""
    if not ready.step.same_rack:
        return ""
    for run in ready.job.active_runs():
        is_same_step = run.task.step == ready.task.step
        watch = state.watches.get(run.worker_id)
        if is_same_step and watch is not None:
            return watch.view.registration.rack
    return ""


def _running_by_account(
    state: owner_state.OwnerState,
) -> dict[str, model.Resources]:
    running: dict[str, model.Resources] = {}
    for watch in state.watches.values():
        for run in watch.view.runs.values():
            step = state.step_of(run)
            if step is None:
                continue
            account = state.jobs[run.job_id].spec.account
            running[account] = running.get(account, model.Resources()).plus(
                step.size
            )
    return running
