"""Workers of an owner, from their discovery until they have ended."""

import asyncio
from collections import abc
import itertools
import math

from chervillead.jobs import task_runs
from chervillead.pools import crash_tracking
from chervillead.pools import owner_state
from chervillead.pools import ownership_checks
from chervillead.pools import recovery
from chervillead.pools import run_stopping
from chervillead.pools import run_tracking
from chervillead.pools import start_tracking
from chervillead.workers import contained_client
from chervillead.workers import interface as worker_interface
from chervillead.workers import view as view_module
from chervillead.workers import watch as watch_module
from chervillead.workers import watch_ports

# A worker that did not answer gets no new tasks for this time.
UNREACHABLE_BACKOFF_S = 0.3


class WorkerRegistry:
    """Tracks an owner's workers and runs a watch for each of them."""

    def __init__(
        self,
        state: owner_state.OwnerState,
        owner_recovery: recovery.OwnerRecovery,
    ) -> None:
        self._state = state
        self._recovery = owner_recovery
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._orders = itertools.count()
        self._has_listed_workers = False
        # Last call that raised an error, and the kind of error, by worker.
        self._call_errors: dict[str, tuple[str, str]] = {}

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
        calls = contained_client.contain(
            state.ports.open_worker(registration, state.token),
            lambda call, error: self._note_call_error(
                registration.worker_id, call, error
            ),
        )
        watch = watch_module.WorkerWatch(view, calls, ports)
        state.watches[registration.worker_id] = watch
        # A later owner polls those that are listed when it takes over.
        if self._has_listed_workers:
            ownership_checks.await_renewal(state, view)
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

    def _note_call_error(
        self, worker_id: str, call: str, error: Exception
    ) -> None:
        """Counts an error in the client of a worker; logs the first of a kind.

        Polls are repeated twice a second for as long as the error lasts.
        """
        state = self._state
        state.ports.increment("chervillead_worker_call_errors", call)
        kind = call, type(error).__name__
        if self._call_errors.get(worker_id) == kind:
            return
        self._call_errors[worker_id] = kind
        state.log(
            "worker:call-error",
            worker=worker_id,
            call=call,
            error=owner_state.describe_error(error),
        )

    def _watch_ended(self, worker_id: str, task: asyncio.Task[None]) -> None:
        """Makes the owner fail if the watch of a worker fails.

        Errors of the worker's client don't end a watch, so this one is about
        the state of the owner.
        """
        if task.cancelled() or task.exception() is None:
            return
        self._state.log(
            "worker:task-failed",
            worker=worker_id,
            error=owner_state.describe_error(task.exception()),
        )
        self._state.fail(task.exception())

    def close(self, worker_id: str, reason: str) -> None:
        """Stops watching a worker that certainly runs nothing any more."""
        state = self._state
        watch = state.watches.pop(worker_id)
        self._tasks.pop(worker_id).cancel()
        self._call_errors.pop(worker_id, None)
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
            if is_done or now_s > self._recovery.latest_lease_end_s(view):
                self.close(worker_id, "gone")

    def apply_host_list(self, live_worker_ids: set[str]) -> None:
        """Updates which workers may exist, from the list of hosts.

        Args:
            live_worker_ids: Workers of this owner's pools whose hosts are up.
                An unknown one may run tasks; a known one that has not answered
                and is not in the set has ended.
        """
        self._recovery.workers_on_live_hosts = live_worker_ids
        for worker_id, watch in list(self._state.watches.items()):
            if not watch.view.has_answered and worker_id not in live_worker_ids:
                self.close(worker_id, "its host does not run this worker")
        self._state.wake()
