"""Polls one worker and sends commands to it.

One asyncio task long-polls the worker: a poll extends the lease and returns as
soon as a run ends. A few tasks send commands, each over its own connection, so
that a lost response does not block the commands behind it.
"""

import asyncio
import typing

from returns import pipeline

from chervillead.jobs import task_runs
from chervillead.store import group_commit
from chervillead.workers import interface
from chervillead.workers import view as view_module
from chervillead.workers import watch_ports

COMMAND_SENDERS = 2
# Longest wait of one poll; the lease must be extended well before it ends.
POLL_WAIT_S = 1.0
# The second poll tells whether the process has ended or a connection broke.
FIRST_POLL_RETRY_S = 0.02
# Further delay before the next poll for each successive failure but the first.
POLL_RETRY_INTERVAL_S = 0.15
MAX_POLL_RETRY_INTERVAL_S = 0.5
# A worker responds at once while ended runs are unacknowledged, so the next
# poll waits this long for their records to be stored.
RECORD_TIMEOUT_S = 0.4
STOP_REPEAT_INTERVAL_S = 0.3
# A worker rejects a start command that arrives later than this.
START_WINDOW_MS = 1500
# An idle worker that has not answered for this long may have restarted unseen,
# so a poll must be answered before the next start.
MAX_IDLE_CONTACT_AGE_S = 1.0


class Command(typing.NamedTuple):
    """A queued start, stop or change of pace."""

    run: task_runs.Run
    kind: str
    percent: int = 100


class _EndBatch(typing.NamedTuple):
    """Ended runs of one incarnation up to a number, and their records."""

    number: int
    incarnation: int | None
    records: list[asyncio.Future[None]]


class WorkerWatch:
    """The asyncio tasks that serve one worker, and their shared state."""

    def __init__(
        self,
        view: view_module.WorkerView,
        client: interface.WorkerClient,
        ports: watch_ports.WatchPorts,
    ) -> None:
        self._view = view
        self._client = client
        self._ports = ports
        self._commands: asyncio.Queue[Command] = asyncio.Queue()
        self._has_work = asyncio.Event()
        self._has_work.set()
        self._stop_sent_s: dict[task_runs.RunKey, float] = {}
        # Runs whose change of pace is being sent.
        self._paced: set[task_runs.RunKey] = set()
        self._unrecorded: list[_EndBatch] = []
        self._has_new_status = False
        self._is_waiting_for_work = False
        # Set unless a start has to wait for the outcome of the next poll.
        self._has_polled = asyncio.Event()

    @property
    def view(self) -> view_module.WorkerView:
        """State of the worker; shared with the owner, which updates it."""
        return self._view

    def start(self, run: task_runs.Run) -> None:
        """Queues a start command and resumes polling of an idle worker."""
        if self._is_waiting_for_work and self._may_have_restarted():
            self._has_polled.clear()
        self._view.unsent_starts += 1
        self._commands.put_nowait(Command(run, "start"))
        self._has_work.set()

    def stop(self, run: task_runs.Run, reason: str) -> None:
        """Queues a stop command; drops one that is repeated too soon."""
        now_s = self._ports.clock.monotonic()
        run.stop_requested = True
        run.stop_reason = run.stop_reason or reason
        if (
            now_s - self._stop_sent_s.get(run.key, -1e9)
            < STOP_REPEAT_INTERVAL_S
        ):
            return
        self._stop_sent_s[run.key] = now_s
        self._commands.put_nowait(Command(run, "stop"))
        self._has_work.set()

    def pace(self, run: task_runs.Run, percent: int) -> None:
        """Queues a change of pace, in percent of the run's full speed."""
        run.pace_percent = percent
        run.was_paced |= percent < 100
        run.is_pace_uncertain = False
        self._commands.put_nowait(Command(run, "pace", percent))

    def take_new_status(self) -> bool:
        """Returns whether a status was applied since the last call."""
        is_new, self._has_new_status = self._has_new_status, False
        return is_new

    def wake(self) -> None:
        """Resumes polling of an idle worker."""
        self._has_work.set()

    async def run(self) -> None:
        """Polls the worker and sends commands until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._poll_repeatedly())
                for _ in range(COMMAND_SENDERS):
                    group.create_task(self._send_commands())
        finally:
            self._client.close()

    async def _poll_repeatedly(self) -> None:
        failures = 0
        while True:
            if self._is_idle():
                await self._wait_for_work()
            sent_s = self._ports.clock.monotonic()
            request = self._next_request(sent_s, failures)
            outcome = await self._client.poll(request)
            if not pipeline.is_successful(outcome):
                failures += 1
                self._view.failed_poll_s = sent_s
                self._has_polled.set()
                self._ports.on_poll_failure(self._view, outcome.failure())
                await asyncio.sleep(
                    min(
                        MAX_POLL_RETRY_INTERVAL_S,
                        POLL_RETRY_INTERVAL_S * (failures - 1)
                        + FIRST_POLL_RETRY_S,
                    )
                )
                continue
            failures = 0
            status = outcome.unwrap()
            self._record_grant(request.lease_until_clock_ms, status.clock_ms)
            await self._apply(status)

    async def _wait_for_work(self) -> None:
        self._has_work.clear()
        self._is_waiting_for_work = True
        await self._has_work.wait()
        self._is_waiting_for_work = False
        # Lets the start command that woke this task be sent first.
        await asyncio.sleep(0)

    def _may_have_restarted(self) -> bool:
        last_s = self._view.last_contact_s
        now_s = self._ports.clock.monotonic()
        return last_s is None or now_s - last_s > MAX_IDLE_CONTACT_AGE_S

    def _record_grant(
        self, until_clock_ms: int | None, clock_ms: int | None
    ) -> None:
        """Records the lease that an answered call has given."""
        if until_clock_ms is not None and clock_ms is not None:
            self._view.record_grant(
                until_clock_ms,
                clock_ms,
                self._ports.max_lease_ms,
                self._ports.clock.monotonic(),
            )

    async def _apply(self, status: interface.WorkerStatus) -> None:
        view = self._view
        records = self._ports.apply_status(view, status)
        self._has_new_status = True
        self._has_polled.set()
        for run in list(view.runs.values()):
            if run.stop_requested:
                self.stop(run, run.stop_reason)
        self._unrecorded.append(
            _EndBatch(view.applied_end, view.incarnation, records)
        )
        records = [r for batch in self._unrecorded for r in batch.records]
        if records:
            await asyncio.wait(records, timeout=RECORD_TIMEOUT_S)
        self._acknowledge_recorded()
        if self._unrecorded and all(record.done() for record in records):
            # The store has refused a record, so the worker goes on responding
            # at once.
            await asyncio.sleep(RECORD_TIMEOUT_S)

    def _acknowledge_recorded(self) -> None:
        """Acknowledges ended runs up to the first unstored record."""
        while self._unrecorded and all(
            record.done() and not record.cancelled() and not record.exception()
            for record in self._unrecorded[0].records
        ):
            batch = self._unrecorded.pop(0)
            if batch.incarnation == self._view.incarnation:
                self._view.acknowledged_end = batch.number

    def _is_idle(self) -> bool:
        view = self._view
        return view.is_replaced or (
            view.has_reported_all
            and view.is_answering
            and not view.runs
            and view.acknowledged_end >= view.applied_end
        )

    def _next_request(
        self, now_s: float, failures: int
    ) -> interface.PollRequest:
        view = self._view
        if not failures and not self._has_polled.is_set():
            # Nothing of the process that answered before may reach another one.
            return interface.PollRequest(0, None, 0)
        lease_until = None
        clock_ms = view.clock_at(now_s)
        # After a failed poll no lease is offered; otherwise the runs of an
        # unreachable worker could never be considered ended.
        if clock_ms is not None and not failures and self._ports.is_confirmed():
            lease_until = clock_ms + self._ports.lease_ms
            view.extend_lease(lease_until)
        may_wait = (
            bool(view.runs) and not failures and not self._has_uncertain_runs()
        )
        wait_ms = int(1000 * POLL_WAIT_S) if may_wait else 0
        return interface.PollRequest(
            view.acknowledged_end, lease_until, wait_ms
        )

    def _has_uncertain_runs(self) -> bool:
        return any(
            run.phase is task_runs.RunPhase.UNCERTAIN
            for run in self._view.runs.values()
        )

    async def _send_commands(self) -> None:
        while True:
            command = await self._commands.get()
            if command.kind == "start":
                await self._send_start(command.run)
                self._view.unsent_starts -= 1
            elif not self._ports.is_confirmed():
                # The process may have been suspended since the command was
                # queued. A stop is queued again while its run is listed.
                self._log_withheld(command)
                command.run.is_pace_uncertain |= command.kind == "pace"
            elif command.kind == "pace":
                await self._send_pace(command)
            elif self._ports.may_stop(command.run):
                await self._send_stop(command.run)

    def _log_withheld(self, command: Command) -> None:
        self._ports.log(
            "worker:command-withheld",
            kind=command.kind,
            job=command.run.job_id,
            task=list(command.run.task),
            run=command.run.number,
            worker=self._view.worker_id,
        )

    async def _send_start(self, run: task_runs.Run) -> None:
        ports = self._ports
        await self._has_polled.wait()
        if run.recorded is not None:
            await asyncio.wait([run.recorded], timeout=RECORD_TIMEOUT_S)
        is_recorded = run.recorded is None or group_commit.is_stored(
            run.recorded
        )
        if not is_recorded or not self._view.is_answering:
            ports.withdraw_start(self._view, run)
            return
        command = ports.make_start_command(self._view, run)
        if command is None:
            return
        run.start_by_clock_ms = command.start_by_clock_ms
        run.sent_s = ports.clock.monotonic()
        self._view.extend_lease(command.start_by_clock_ms)
        outcome = await self._client.start(command)
        self._record_grant(command.start_by_clock_ms, _clock_ms(outcome))
        ports.on_start_result(self._view, run, outcome)

    async def _send_pace(self, command: Command) -> None:
        """Sends a change of pace, and those that follow in the meantime.

        The senders' connections may overtake each other, so only one of them
        sends paces of a run at a time.
        """
        run = command.run
        if run.key in self._paced or run.pace_percent != command.percent:
            return
        self._paced.add(run.key)
        percent: int | None = None
        is_uncertain = False
        while run.pace_percent != percent:
            if not self._ports.is_confirmed():
                is_uncertain = True
                break
            percent = run.pace_percent
            outcome = await self._client.pace(run.key, percent)
            # One without an answer may yet be applied, after the next one.
            is_uncertain |= not pipeline.is_successful(outcome)
        self._paced.discard(run.key)
        # Set again with the next status.
        run.is_pace_uncertain = is_uncertain

    async def _send_stop(self, run: task_runs.Run) -> None:
        run.is_stop_sent = True
        outcome = await self._client.stop(run.key)
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


def _clock_ms(outcome: interface.CommandOutcome) -> int | None:
    """Returns the worker's clock in the reply to a command, if one came."""
    if pipeline.is_successful(outcome):
        return outcome.unwrap()
    return outcome.failure().clock_ms
