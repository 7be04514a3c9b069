"""Workers of an owner: found, departed, silent, expired and gone."""

import asyncio
from collections import abc

from chervillead.jobs import task_runs
from chervillead.pools import owner_state
from chervillead.pools import run_tracking
from chervillead.pools import start_tracking
from chervillead.workers import interface as worker_interface
from chervillead.workers import view as view_module
from chervillead.workers import watch as watch_module

# A worker that didn't answer gets no new work for this time.
UNREACHABLE_S = 0.3
# An owner that was replaced notices within this time at the latest.
REPLACED_OWNER_S = 2.5
# Without the list of hosts, workers that lapsed from the store's list while it
# was away are waited for this long.
HOSTS_PATIENCE_S = 2.5


class WorkerRegistry:
    """The tasks of an owner's workers."""

    def __init__(self, state: owner_state.OwnerState) -> None:
        self._state = state
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._began_s = state.now_s()
        # Workers that the list of hosts names; None before it was read.
        self._expected: set[str] | None = None

    def update(
        self,
        registrations: abc.Mapping[str, worker_interface.Registration],
        departed: abc.Iterable[worker_interface.Registration] = (),
    ) -> None:
        """Applies the list of the workers of this partition's pools.

        Args:
            registrations: The listed workers.
            departed: Workers that fell silent a short time ago.
        """
        state = self._state
        if not state.is_loaded:
            return
        known = {*state.watches, *state.ended_workers}
        for registration in departed:
            # It may still run tasks of a former owner under their lease.
            if registration.worker_id not in known:
                self._open(registration)
        for worker_id, registration in registrations.items():
            self._update_one(worker_id, registration)
        for worker_id, watch in state.watches.items():
            if worker_id not in registrations:
                watch.view.is_registered = False
        state.wake()

    def _update_one(
        self, worker_id: str, registration: worker_interface.Registration
    ) -> None:
        watch = self._state.watches.get(worker_id)
        if watch is None:
            ended_incarnation = self._state.taken_down_incarnations.get(
                worker_id
            )
            if ended_incarnation != registration.incarnation:
                self._open(registration)
            return
        view = watch.view
        moved = view.registration.address != registration.address
        reborn = view.registration.incarnation != registration.incarnation
        if moved or (view.is_replaced and reborn):
            self.close(worker_id, "started again")
            self._open(registration)
            return
        view.is_registered = True
        view.registration = registration

    def _open(self, registration: worker_interface.Registration) -> None:
        state = self._state
        view = view_module.WorkerView(registration, discovered_s=state.now_s())
        ports = watch_module.WatchPorts(
            clock=state.ports.clock,
            lease_ms=state.lease_ms,
            may_extend_lease=state.ownership.is_confirmed,
            apply_status=lambda view, look: run_tracking.apply_look(
                state, view, look
            ),
            on_start_result=lambda view, run, outcome: (
                start_tracking.start_answered(state, view, run, outcome)
            ),
            make_start_command=lambda view, run: start_tracking.start_order(
                state, view, run
            ),
            on_poll_failure=self._contact_lost,
            log=state.log,
        )
        calls = state.ports.open_worker(registration, state.token)
        watch = watch_module.WorkerWatch(view, calls, ports)
        state.watches[registration.worker_id] = watch
        task = asyncio.create_task(watch.run())
        task.add_done_callback(
            lambda done: self._watch_ended(registration.worker_id, done)
        )
        self._tasks[registration.worker_id] = task
        state.log(
            "worker:found",
            worker=registration.worker_id,
            pool=registration.pool,
            zone=registration.zone,
            incarnation=registration.incarnation,
            token=state.token,
        )

    def _watch_ended(self, worker_id: str, task: asyncio.Task[None]) -> None:
        """Gives the partition up if a task of a worker fails."""
        if task.cancelled() or task.exception() is None:
            return
        self._state.failure = task.exception()
        self._state.log(
            "worker:task-failed",
            worker=worker_id,
            error=owner_state.describe_error(task.exception()),
        )
        self._state.wake()

    def close(self, worker_id: str, reason: str) -> None:
        """Stops watching a worker that surely runs nothing any more."""
        state = self._state
        watch = state.watches.pop(worker_id)
        self._tasks.pop(worker_id).cancel()
        state.ended_workers.add(worker_id)
        for run in list(watch.view.runs.values()):
            state.end_run(watch.view, run, task_runs.EndKind.VANISHED)
        state.log("worker:dropped", worker=worker_id, reason=reason)

    async def close_all(self) -> None:
        """Ends the tasks of all workers."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def _contact_lost(
        self,
        view: view_module.WorkerView,
        failure: worker_interface.WorkerCallFailure,
    ) -> None:
        state = self._state
        state.log(
            "worker:unreachable",
            worker=view.worker_id,
            error=failure.detail,
            refused=failure.rejection and failure.rejection.value,
            runs=len(view.runs),
        )
        view.avoid_until_s = max(
            view.avoid_until_s, state.now_s() + UNREACHABLE_S
        )
        if failure.rejection is worker_interface.RejectionReason.FENCED:
            state.mark_fenced()
        if failure.rejection is worker_interface.RejectionReason.OTHER_INSTANCE:
            view.is_replaced = True
            for run in list(view.runs.values()):
                state.end_run(view, run, task_runs.EndKind.VANISHED)

    def expire_leases(self) -> None:
        """Ends runs whose lease has surely expired, and drops lost workers."""
        state = self._state
        now_s = state.now_s()
        for worker_id, watch in list(state.watches.items()):
            view = watch.view
            if view.runs and view.has_answered and now_s > view.lease_ends_s():
                for run in list(view.runs.values()):
                    state.end_run(view, run, task_runs.EndKind.LEASE_EXPIRED)
            if view.is_registered or view.runs:
                continue
            is_done = view.has_answered or view.is_replaced
            if is_done or now_s > self._bound_s(view):
                self.close(worker_id, "gone")

    def _bound_s(self, view: view_module.WorkerView) -> float:
        """Returns when a worker that never answered surely runs nothing.

        A former owner may have extended leases until it noticed that it was
        replaced, and each lasts its full length on a slow clock.
        """
        lease_s = self._state.lease_ms / 1000 / view_module.MIN_CLOCK_RATE
        return view.discovered_s + REPLACED_OWNER_S + lease_s

    def finish_recovery(self) -> None:
        """Frees the tasks of taken-over jobs once all workers are known."""
        state = self._state
        if not state.recovering_jobs or not state.watches:
            return
        now_s = state.now_s()
        if self._is_list_incomplete(now_s):
            return
        if any(
            not watch.view.has_answered
            and not watch.view.is_replaced
            and now_s <= self._bound_s(watch.view)
            for watch in state.watches.values()
        ):
            return
        for job_id in state.recovering_jobs:
            state.jobs[job_id].recovering_until_s = 0.0
        state.log(
            "owner:settled",
            partition=state.partition,
            token=state.token,
            jobs=len(state.recovering_jobs),
            after_s=round(now_s - self._began_s, 3),
        )
        state.recovering_jobs.clear()

    def _is_list_incomplete(self, now_s: float) -> bool:
        """Returns whether workers may run tasks that nobody has listed yet.

        After an outage of the store, workers come back into its list one by
        one, and those that are cut off don't; the list of hosts names them.
        """
        if self._expected is None:
            return now_s - self._began_s < HOSTS_PATIENCE_S
        lease_s = self._state.lease_ms / 1000 / view_module.MIN_CLOCK_RATE
        if now_s > self._began_s + REPLACED_OWNER_S + lease_s:
            return False
        return bool(self._missing())

    def _missing(self) -> set[str]:
        known = self._state.watches.keys() | self._state.ended_workers
        return (self._expected or set()) - known

    def has_uncontacted_workers(self) -> bool:
        """Returns whether jobs wait for workers that don't answer."""
        if not self._state.recovering_jobs:
            return False
        return (
            self._expected is None
            or bool(self._missing())
            or any(
                not watch.view.has_answered
                for watch in self._state.watches.values()
            )
        )

    def apply_host_list(self, living: set[str]) -> None:
        """Applies the list of hosts.

        Args:
            living: Workers of this owner's pools whose hosts are up. One that
                isn't known yet may run tasks; one that doesn't answer and
                isn't among them has ended.
        """
        self._expected = living
        for worker_id, watch in list(self._state.watches.items()):
            if not watch.view.has_answered and worker_id not in living:
                self.close(worker_id, "its host runs no such worker")
        self._state.wake()
