"""The tasks that talk to one worker: its looks and its orders.

One task keeps a look open, which extends the lease and returns as soon as a
run ends. A few tasks send orders, each over a connection of its own, because an
answer that is lost would hold up every order behind it.
"""

import asyncio
from collections import abc
import typing

from returns import pipeline

from chervillead import types
from chervillead.jobs import task_runs
from chervillead.workers import interface
from chervillead.workers import view as view_module

ORDER_LANES = 2
# Longest wait of one look; the lease must be extended well before it ends.
LOOK_WAIT_S = 1.0
# A look that only extends leases waits this long after an unanswered one.
RETRY_S = 0.15
MAX_RETRY_S = 0.5
# Ends whose record the store has not taken yet would make each look return at
# once, so looks wait for the record this long.
RECORD_WAIT_S = 0.4
STOP_REPEAT_S = 0.3
START_WINDOW_MS = 1500


class WatchPorts(typing.NamedTuple):
    """What the tasks of a worker need from the owner.

    Attributes:
        clock: Source of time.
        lease_ms: Length of a lease.
        may_extend_lease: Whether this owner may still keep runs alive.
        apply_status: Applies a look; returns the records that must be stored
            before its ends are acknowledged.
        on_start_result: Handles the outcome of a start.
        make_start_command: Returns the command for a run, or None if the run
            is obsolete.
        on_poll_failure: Handles a failed poll.
        log: Writes a log line.
    """

    clock: types.Clock
    lease_ms: int
    may_extend_lease: abc.Callable[[], bool]
    apply_status: abc.Callable[
        [view_module.WorkerView, interface.WorkerStatus],
        list[asyncio.Future[None]],
    ]
    on_start_result: abc.Callable[
        [view_module.WorkerView, task_runs.Run, interface.CommandOutcome], None
    ]
    make_start_command: abc.Callable[
        [view_module.WorkerView, task_runs.Run], interface.StartCommand | None
    ]
    on_poll_failure: abc.Callable[
        [view_module.WorkerView, interface.WorkerCallFailure], None
    ]
    log: abc.Callable[..., None]


class Order(typing.NamedTuple):
    """A start, stop or pace that waits to be sent."""

    run: task_runs.Run
    kind: str
    percent: int = 100


class _Ends(typing.NamedTuple):
    """Ends up to a number, in one life of a worker, and their records."""

    number: int
    incarnation: int | None
    records: list[asyncio.Future[None]]


class WorkerWatch:
    """The tasks of one worker and what they share."""

    def __init__(
        self,
        view: view_module.WorkerView,
        calls: interface.WorkerCalls,
        ports: WatchPorts,
    ) -> None:
        self._view = view
        self._calls = calls
        self._ports = ports
        self._orders: asyncio.Queue[Order] = asyncio.Queue()
        self._busy = asyncio.Event()
        self._busy.set()
        self._stop_sent_s: dict[task_runs.RunKey, float] = {}
        self._unrecorded: list[_Ends] = []
        self._has_new_look = False

    @property
    def view(self) -> view_module.WorkerView:
        """What is known of the worker."""
        return self._view

    def start(self, run: task_runs.Run) -> None:
        """Queues the start of a run."""
        self._orders.put_nowait(Order(run, "start"))
        self._busy.set()

    def stop(self, run: task_runs.Run, reason: str) -> None:
        """Queues the stop of a run; a repeat within a moment is dropped."""
        now_s = self._ports.clock.monotonic()
        run.stop_requested = True
        run.stop_reason = run.stop_reason or reason
        if now_s - self._stop_sent_s.get(run.key, -1e9) < STOP_REPEAT_S:
            return
        self._stop_sent_s[run.key] = now_s
        self._orders.put_nowait(Order(run, "stop"))
        self._busy.set()

    def pace(self, run: task_runs.Run, percent: int) -> None:
        """Queues a change of the share at which a run works."""
        run.pace_percent = percent
        self._orders.put_nowait(Order(run, "pace", percent))

    def take_new_status(self) -> bool:
        """Returns whether a look was applied since the last call."""
        is_new, self._has_new_look = self._has_new_look, False
        return is_new

    def wake(self) -> None:
        """Ends the rest between two looks."""
        self._busy.set()

    async def run(self) -> None:
        """Watches the worker until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._keep_looking())
                for _ in range(ORDER_LANES):
                    group.create_task(self._send_orders())
        finally:
            self._calls.close()

    async def _keep_looking(self) -> None:
        failures = 0
        while True:
            if self._is_idle():
                self._busy.clear()
                await self._busy.wait()
                # The start that woke this task goes first.
                await asyncio.sleep(0)
            sent_s = self._ports.clock.monotonic()
            outcome = await self._calls.poll(self._next_look(sent_s, failures))
            if not pipeline.is_successful(outcome):
                failures += 1
                self._ports.on_poll_failure(self._view, outcome.failure())
                await asyncio.sleep(min(MAX_RETRY_S, RETRY_S * failures))
                continue
            failures = 0
            await self._apply(outcome.unwrap())

    async def _apply(self, look: interface.WorkerStatus) -> None:
        view = self._view
        records = self._ports.apply_status(view, look)
        self._has_new_look = True
        for run in list(view.runs.values()):
            if run.stop_requested:
                self.stop(run, run.stop_reason)
        self._unrecorded.append(
            _Ends(view.applied_end, view.incarnation, records)
        )
        waiting = [r for ends in self._unrecorded for r in ends.records]
        if waiting:
            await asyncio.wait(waiting, timeout=RECORD_WAIT_S)
        self._acknowledge_recorded()

    def _acknowledge_recorded(self) -> None:
        """Acknowledges ends up to the first whose record isn't stored."""
        while self._unrecorded and all(
            record.done() and not record.cancelled() and not record.exception()
            for record in self._unrecorded[0].records
        ):
            ends = self._unrecorded.pop(0)
            if ends.incarnation == self._view.incarnation:
                self._view.acknowledged_end = ends.number

    def _is_idle(self) -> bool:
        view = self._view
        return view.is_replaced or (
            view.has_answered
            and not view.runs
            and view.acknowledged_end >= view.applied_end
        )

    def _next_look(self, now_s: float, failures: int) -> interface.PollRequest:
        view = self._view
        lease_until = None
        clock_ms = view.clock_at(now_s)
        # A worker that doesn't answer is offered no lease: its runs would
        # never be known to have ended.
        if (
            clock_ms is not None
            and not failures
            and self._ports.may_extend_lease()
        ):
            lease_until = clock_ms + self._ports.lease_ms
            view.extend_lease(lease_until)
        rests = bool(view.runs) and not failures and not self._has_doubts()
        wait_ms = int(1000 * LOOK_WAIT_S) if rests else 0
        return interface.PollRequest(
            view.acknowledged_end, lease_until, wait_ms
        )

    def _has_doubts(self) -> bool:
        return any(
            run.phase is task_runs.RunPhase.UNCERTAIN
            for run in self._view.runs.values()
        )

    async def _send_orders(self) -> None:
        while True:
            order = await self._orders.get()
            if order.kind == "start":
                await self._send_start(order.run)
            elif order.kind == "pace":
                await self._calls.pace(order.run.key, order.percent)
            else:
                await self._send_stop(order.run)

    async def _send_start(self, run: task_runs.Run) -> None:
        ports = self._ports
        order = ports.make_start_command(self._view, run)
        if order is None:
            return
        run.start_by_clock_ms = order.start_by_clock_ms
        self._view.extend_lease(order.start_by_clock_ms)
        outcome = await self._calls.start(order)
        ports.on_start_result(self._view, run, outcome)

    async def _send_stop(self, run: task_runs.Run) -> None:
        outcome = await self._calls.stop(run.key)
        if pipeline.is_successful(outcome):
            run.stopped_clock_ms = outcome.unwrap()
            self._view.record_clock(
                outcome.unwrap(), self._ports.clock.monotonic()
            )
        else:
            self._ports.log(
                "worker:stop-failed",
                job=run.job_id,
                task=list(run.task),
                run=run.number,
                worker=self._view.worker_id,
                error=outcome.failure().detail,
            )
