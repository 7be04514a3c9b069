"""Workers of an owner, from their discovery until they have ended."""

import asyncio
from collections import abc
import itertools
import math

from chervillead.jobs import task_runs
from chervillead.pools import crash_tracking
from chervillead.pools import owner_state
from chervillead.pools import run_stopping
from chervillead.pools import run_tracking
from chervillead.pools import start_tracking
from chervillead.workers import interface as worker_interface
from chervillead.workers import view as view_module
from chervillead.workers import watch as watch_module
from chervillead.workers import watch_ports

# A worker that did not answer gets no new tasks for this time.
UNREACHABLE_BACKOFF_S = 0.3
# A replaced owner learns of it within this time at the latest.
MAX_OWNER_OVERLAP_S = 2.5
# Workers may have expired from the store's list during an outage. If the list
# of hosts can't be read, recovery waits this long for them to come back.
HOST_LIST_TIMEOUT_S = 2.5


class WorkerRegistry:
    """Tracks an owner's workers and runs a watch for each of them."""

    def __init__(self, state: owner_state.OwnerState) -> None:
        self._state = state
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._orders = itertools.count()
        self._started_s = state.now_s()
        self._has_listed_workers = False
        # Workers on hosts that are up; None until the list of hosts was read.
        self._workers_on_live_hosts: set[str] | None = None

    def update(
        self,
        registrations: abc.Mapping[str, worker_interface.Registration],
        departed: abc.Iterable[worker_interface.Registration] = (),
    ) -> None:
        """Applies the list of workers in the pools of this partition.

        Args:
            registrations: The listed workers, by id.
            departed: Workers that recently disappeared from the list.
        """
        state = self._state
        if not state.is_loaded:
            return
        known = {*state.watches, *state.ended_workers}
        for registration in departed:
            # It may still run tasks that a previous owner started, until their
            # lease expires.
            if registration.worker_id not in known:
                self._watch_worker(registration)
        for worker_id, registration in registrations.items():
            self._update_worker(worker_id, registration)
        for worker_id, watch in state.watches.items():
            if worker_id not in registrations:
                watch.view.is_registered = False
        self._has_listed_workers = True
        state.changed_workers.update(state.watches)
        state.wake()

    def _update_worker(
        self, worker_id: str, registration: worker_interface.Registration
    ) -> None:
        watch = self._state.watches.get(worker_id)
        if watch is None:
            ended_incarnation = self._state.taken_down_incarnations.get(
                worker_id
            )
            if ended_incarnation != registration.incarnation:
                self._watch_worker(registration)
            return
        view = watch.view
        has_moved = view.registration.address != registration.address
        is_restarted = view.registration.incarnation != registration.incarnation
        if has_moved or (view.is_replaced and is_restarted):
            self.close(worker_id, "the worker restarted")
            self._watch_worker(registration)
            return
        view.is_registered = True
        was_restarted = view.is_restarted
        view.registration = registration
        if view.is_restarted and not was_restarted:
            self._state.log(
                "worker:restarted",
                worker=worker_id,
                incarnation=registration.incarnation,
                answered=view.incarnation,
            )
            watch.wake()

    def _watch_worker(
        self, registration: worker_interface.Registration
    ) -> None:
        state = self._state
        view = view_module.WorkerView(
            registration,
            discovered_s=state.now_s(),
            order=next(self._orders),
        )
        ports = watch_ports.WatchPorts(
            clock=state.ports.clock,
            lease_ms=state.lease_ms,
            max_lease_ms=state.ports.limits.max_lease_ms,
            is_confirmed=state.is_owner,
            apply_status=lambda view, status: run_tracking.apply_status(
                state, view, status
            ),
            on_start_result=lambda view, run, outcome: (
                start_tracking.apply_start_result(state, view, run, outcome)
            ),
            make_start_command=lambda view, run: (
                start_tracking.make_start_command(state, view, run)
            ),
            may_stop=lambda run: run_stopping.may_send_stop(state, run),
            withdraw_start=lambda view, run: start_tracking.withdraw(
                state, view, run
            ),
            on_poll_failure=self._handle_poll_failure,
            log=state.log,
        )
        calls = state.ports.open_worker(registration, state.token)
        watch = watch_module.WorkerWatch(view, calls, ports)
        state.watches[registration.worker_id] = watch
        # A later owner polls those that are listed when it takes over.
        if self._has_listed_workers:
            state.await_renewal(view)
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
        """Makes the owner fail if the watch of a worker fails."""
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
        """Stops watching a worker that certainly runs nothing any more."""
        state = self._state
        watch = state.watches.pop(worker_id)
        self._tasks.pop(worker_id).cancel()
        state.ended_workers.add(worker_id)
        state.changed_workers.add(worker_id)
        for run in list(watch.view.runs.values()):
            state.end_run(watch.view, run, task_runs.EndKind.VANISHED)
        state.log("worker:dropped", worker=worker_id, reason=reason)

    async def close_all(self) -> None:
        """Stops watching all workers; their runs go on."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def _handle_poll_failure(
        self,
        view: view_module.WorkerView,
        failure: worker_interface.WorkerCallFailure,
    ) -> None:
        state = self._state
        state.log(
            "worker:unreachable",
            worker=view.worker_id,
            error=failure.detail,
            rejection=failure.rejection and failure.rejection.value,
            runs=len(view.runs),
        )
        state.changed_workers.add(view.worker_id)
        view.is_refused = failure.is_refused
        if failure.is_refused:
            crash_tracking.record_unconfirmed_crashes(state, view)
        view.avoid_until_s = max(
            view.avoid_until_s, state.now_s() + UNREACHABLE_BACKOFF_S
        )
        if failure.rejection is worker_interface.RejectionReason.FENCED:
            state.mark_fenced()
        if failure.rejection is worker_interface.RejectionReason.OTHER_INSTANCE:
            view.is_replaced = True
            # No start reaches the new process, which has another id.
            crash_tracking.end_runs(state, view, math.inf)
            for run in list(view.runs.values()):
                state.end_run(view, run, task_runs.EndKind.VANISHED)

    def expire_leases(self) -> None:
        """Ends runs whose lease has surely expired and closes lost workers."""
        state = self._state
        now_s = state.now_s()
        for worker_id, watch in list(state.watches.items()):
            view = watch.view
            if view.runs and view.has_surely_expired(now_s):
                if view.is_refused:
                    crash_tracking.end_runs(state, view, now_s)
                for run in list(view.runs.values()):
                    state.end_run(view, run, task_runs.EndKind.LEASE_EXPIRED)
            if view.is_registered or view.runs:
                continue
            is_done = view.has_answered or view.is_replaced
            if is_done or now_s > self._latest_lease_end_s(view):
                self.close(worker_id, "gone")

    def _latest_lease_end_s(self, view: view_module.WorkerView) -> float:
        """Returns when the last lease of an unresponsive worker has expired.

        A previous owner may have extended leases until it learned that it was
        replaced, and on a slow clock a lease lasts longer.
        """
        return view.discovered_s + MAX_OWNER_OVERLAP_S + self._max_lease_s()

    def _max_lease_s(self) -> float:
        """Returns the longest time that a lease lasts on the owner's clock.

        A worker that restarted between two calls of the previous owner may have
        been given its longest lease, by the clock of the process before.
        """
        lease_ms = self._state.ports.limits.max_lease_ms
        return lease_ms / 1000 / view_module.MIN_CLOCK_RATE

    def finish_recovery(self) -> None:
        """Allows placement of recovering jobs once all workers are known."""
        state = self._state
        if not state.recovering_jobs:
            return
        # Without a worker, only the list of hosts tells that there is none.
        if not state.watches and self._workers_on_live_hosts is None:
            return
        now_s = state.now_s()
        if self._has_unlisted_workers(now_s):
            return
        if any(
            self._may_have_unknown_runs(watch.view, now_s)
            for watch in state.watches.values()
        ):
            return
        crash_tracking.give_up_jobs(state, sorted(state.recovering_jobs))
        for job_id in state.recovering_jobs:
            state.jobs[job_id].recovering_until_s = 0.0
            state.jobs.mark_changed(job_id)
        state.log(
            "owner:recovered",
            partition=state.partition,
            token=state.token,
            jobs=len(state.recovering_jobs),
            after_s=round(now_s - self._started_s, 3),
        )
        state.recovering_jobs.clear()

    def are_runs_known(self, worker_id: str) -> bool:
        """Returns whether all that runs on a worker is known.

        On one that isn't watched, tasks of previous owners may run until their
        last lease has ended.
        """
        state = self._state
        if not worker_id or worker_id in state.ended_workers:
            return True
        watch = state.watches.get(worker_id)
        now_s = state.now_s()
        if watch is None:
            return now_s > self._latest_unlisted_lease_end_s()
        return not self._may_have_unknown_runs(watch.view, now_s)

    def _latest_unlisted_lease_end_s(self) -> float:
        """Returns when leases of previous owners have ended on any worker."""
        return self._started_s + MAX_OWNER_OVERLAP_S + self._max_lease_s()

    def _may_have_unknown_runs(
        self, view: view_module.WorkerView, now_s: float
    ) -> bool:
        """Returns whether runs of a previous owner may yet be reported."""
        if view.is_replaced or view.has_reported_all:
            return False
        if view.has_answered:
            return not view.has_surely_expired(now_s)
        return now_s <= self._latest_lease_end_s(view)

    def _has_unlisted_workers(self, now_s: float) -> bool:
        """Returns whether unlisted workers may still run tasks.

        After an outage of the store, workers return to its list one by one, and
        those that are cut off do not; the list of hosts names both.
        """
        if self._workers_on_live_hosts is None:
            return now_s - self._started_s < HOST_LIST_TIMEOUT_S
        if now_s > self._latest_unlisted_lease_end_s():
            return False
        return bool(self._missing_workers())

    def _missing_workers(self) -> set[str]:
        known = self._state.watches.keys() | self._state.ended_workers
        return (self._workers_on_live_hosts or set()) - known

    def has_uncontacted_workers(self) -> bool:
        """Returns whether recovery waits for workers that have not answered."""
        if not self._state.recovering_jobs:
            return False
        return (
            self._workers_on_live_hosts is None
            or bool(self._missing_workers())
            or any(
                not watch.view.has_answered
                for watch in self._state.watches.values()
            )
        )

    def apply_host_list(self, live_worker_ids: set[str]) -> None:
        """Updates which workers may exist, from the list of hosts.

        Args:
            live_worker_ids: Workers of this owner's pools whose hosts are up.
                An unknown one may run tasks; a known one that has not answered
                and is not in the set has ended.
        """
        self._workers_on_live_hosts = live_worker_ids
        for worker_id, watch in list(self._state.watches.items()):
            if not watch.view.has_answered and worker_id not in live_worker_ids:
                self.close(worker_id, "its host does not run this worker")
        self._state.wake()
