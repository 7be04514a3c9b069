"""One pass of placement: which waiting tasks start where.

Answers the pattern of bursts that ask more than a pool holds. Jobs are taken in
the order of `jobs.ordering`; a lasting task that finds no room takes that of
batch tasks, and copies of stragglers use only what is idle.
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
    """What one pass knows: free room and what accounts have running."""

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
        self._sites = {
            worker_id: watch.view.as_snapshot(state.step_of)
            for worker_id, watch in state.watches.items()
            if watch.view.is_schedulable(self._now_s, zones_out)
        }
        self._running = _running_by_account(state)

    def run(self) -> None:
        """Starts what may be started now."""
        waiting_pools: set[str] = set()
        for group in self._ready_groups():
            if not self._place(group):
                waiting_pools.add(group[0].job.spec.pool)
        for ready in self._stragglers():
            if ready.job.spec.pool not in waiting_pools:
                self._place([ready])

    def _ready_groups(self) -> abc.Iterator[list[readiness.ReadyTask]]:
        """Yields tasks that start together: one task, or a whole gang."""
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
        waiting = [
            job
            for job in self._state.jobs.values()
            if not job.is_finished and any(job.pending_tasks.values())
        ]
        loads = quotas.share_usage_by_account(
            self._configuration, self._running
        )
        return sorted(
            waiting,
            key=lambda job: ordering.sort_key(
                job,
                self._configuration.queues.get(job.spec.queue),
                now_s=self._now_s,
                share_usage=loads.get(job.spec.account, 0.0),
            ),
        )

    def _stragglers(self) -> abc.Iterator[readiness.ReadyTask]:
        for job in self._state.jobs.values():
            if not job.is_finished:
                yield from speculation.stragglers(job, self._now_s)

    def _place(self, group: list[readiness.ReadyTask]) -> bool:
        """Starts a group if all of it finds room."""
        first = group[0]
        account = first.job.spec.account
        need = first.step.size.times(len(group))
        if not quotas.is_within_quota(
            self._configuration, account, self._running, need
        ):
            return True
        chosen = self._choose(group)
        if chosen is None:
            if first.step.long_running:
                self._make_room(first)
            return False
        number = first.job.next_run_number(first.task)
        for ready, worker_id in zip(group, chosen, strict=True):
            own = first.job.next_run_number(ready.task)
            self._begin(ready, worker_id, number if first.step.gang else own)
        self._running[account] = self._running.get(
            account, model.Resources()
        ).plus(need)
        return True

    def _choose(self, group: list[readiness.ReadyTask]) -> list[str] | None:
        """Returns a worker for each task of a group, or None."""
        first = group[0]
        sites = self._sites_for(first)
        if len(group) == 1:
            rack = _rack_of_step(self._state, first)
            site = placement.select_worker(
                sites, first.step, _step_key(first), preferred_rack=rack
            )
            return None if site is None else [site.worker_id]
        return placement.select_gang_workers(
            sites, first.step, _step_key(first), len(group)
        )

    def _sites_for(
        self, ready: readiness.ReadyTask
    ) -> list[placement.WorkerSnapshot]:
        pool = ready.job.spec.pool
        taken = {run.worker_id for run in ready.job.runs.get(ready.task, ())}
        tickets = self._tickets(ready.job, ready.task)
        found = [
            site
            for worker_id, site in self._sites.items()
            if self._state.watches[worker_id].view.registration.pool == pool
            and worker_id not in taken
            and (tickets is None or worker_id in tickets)
        ]
        failed_on = ready.job.failed_workers.get(ready.task, set())
        others = [site for site in found if site.worker_id not in failed_on]
        return others or found

    def _begin(
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
        self._sites[worker_id] = watch.view.as_snapshot(self._state.step_of)
        watch.start(run)

    def _make_room(self, ready: readiness.ReadyTask) -> None:
        """Stops batch tasks on one worker so that a lasting task fits."""
        if not self._state.may_disrupt():
            return
        options = []
        for site in self._sites_for(ready):
            watch = self._state.watches[site.worker_id]
            runs = [
                run
                for run in watch.view.runs.values()
                if not self._is_long_running(run)
            ]
            victims = placement.select_preemption_victims(
                site, ready.step, runs, self._now_s
            )
            if victims is not None:
                options.append((len(victims), site.worker_id, victims))
        if options:
            _, worker_id, victims = min(options, key=lambda o: o[:2])
            self._state.log(
                "run:preempting",
                job=ready.job.spec.job_id,
                task=list(ready.task),
                worker=worker_id,
                victims=[run.job_id for run in victims],
            )
            self._state.stop_runs(victims, "preempted by a lasting task")

    def _is_long_running(self, run: task_runs.Run) -> bool:
        step = self._state.step_of(run)
        return step is not None and step.long_running


def _step_key(ready: readiness.ReadyTask) -> tuple[str, int, int]:
    return ready.job.spec.job_id, ready.task.occurrence, ready.task.step


def _rack_of_step(
    state: owner_state.OwnerState, ready: readiness.ReadyTask
) -> str:
    """Returns the rack where a step runs that is slower across racks."""
    if not ready.step.same_rack:
        return ""
    for run in ready.job.active_runs():
        same = run.task.step == ready.task.step
        watch = state.watches.get(run.worker_id)
        if same and watch is not None:
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
