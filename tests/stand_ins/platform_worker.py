"""Simulates a worker of the platform, with injectable faults.

It runs tasks under one lease, remembers the highest fencing token and reports
ended runs until they are acknowledged. It records every start and end for the
checks.
"""

import asyncio
import typing

import msgspec

from stand_ins import http_server
from stand_ins import virtual_time

MAX_LEASE_MS = 6000
STOP_S = 0.2
# A response lists at most this many ended runs.
MAX_LISTED_ENDS = 500
# A long-running task is available after this time.
STARTUP_S = 1.5


class RunRecord(typing.NamedTuple):
    """One run as recorded by its worker.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        worker_id: Worker that ran it.
        token: Fencing token of the start.
        began_s: Time of its start.
        ended_s: Time of its end; infinite while it runs.
        how: How it ended; empty while it runs.
    """

    task: str
    run: int
    worker_id: str
    token: int
    began_s: float
    ended_s: float = float("inf")
    how: str = ""


class CrashRecord(typing.NamedTuple):
    """A crash of a worker, with the tasks that ran on it."""

    worker_id: str
    at_s: float
    tasks: tuple[str, ...]


class WorkerStandIn:
    """A simulated worker: its runs and its active faults.

    Attributes:
        deadly: Names of tasks that crash the worker soon after their start.
        crash_delay_s: Time from the start of such a task to the crash.
        down_s: Time after which a crashed worker returns, under another id.
        crashes: All crashes of the worker.
        reset_connections: Resets its connections, as its process ends.
        work_s: Duration of a task.
        work_s_by_step: Duration of a task by step, where it differs.
        slowness: Factor by which tasks that start now take longer.
        takes_checkpoints: Whether tasks report a checkpoint at each tenth of
            their work, and resume from one.
        resumed: Names of the tasks that were resumed, and their progress then.
        failing: Ids of jobs whose tasks fail.
        long_running: Ids of jobs whose tasks run until they are stopped.
        starts_to_drop: Number of the next starts that get no response.
        delayed_starts_s: Delay after which such starts are carried out; None if
            they are dropped.
        poll_replies_to_drop: Number of the next polls that are carried out and
            get no reply.
        start_delay_s: Time that the worker takes to carry out a start.
        stop_s: Time from a stop to the end of its run.
        stops_to_drop: Number of the next stops that are lost.
        stops: Times at which it was told to stop runs, and names of the tasks.
        max_lease_ms: Longest lease that it accepts.
        silent: Whether the worker neither carries out nor responds to calls.
        is_crashed: Whether its process has crashed and hasn't returned yet.
        records: All runs, ended or not.
    """

    def __init__(
        self,
        worker_id: str,
        *,
        work_s: float = 0.5,
        cpu: int = 8000,
        memory_mb: int = 16000,
    ) -> None:
        self.worker_id = worker_id
        self.work_s = work_s
        self.cpu = cpu
        self.memory_mb = memory_mb
        self.work_s_by_step: dict[str, float] = {}
        self.slowness = 1.0
        self.takes_checkpoints = False
        self.resumed: list[tuple[str, int]] = []
        self.failing: set[str] = set()
        self.deadly: set[str] = set()
        self.crash_delay_s = 0.01
        self.down_s = 2.0
        self.crashes: list[CrashRecord] = []
        self.reset_connections: typing.Callable[[], None] = lambda: None
        self.long_running: set[str] = set()
        self.starts_to_drop = 0
        self.delayed_starts_s: float | None = None
        self.poll_replies_to_drop = 0
        self.start_delay_s = 0.0
        self.stop_s = STOP_S
        self.stops_to_drop = 0
        self.stops: list[tuple[float, str]] = []
        self.silent = False
        self.is_crashed = False
        self.records: list[RunRecord] = []
        self.acknowledged: list[tuple[str, int, str]] = []
        # Unix time of its start in milliseconds, as the platform has it.
        self.incarnation = virtual_time.wall_ms()
        self.lease_until_ms = 0
        self.max_lease_ms = MAX_LEASE_MS
        self._start_s = asyncio.get_running_loop().time()
        self._token = 0
        self._running: dict[tuple[str, int], int] = {}
        # Progress in percent at the start of each run that was resumed, and
        # duration of each run from there.
        self._resumed_percent: dict[tuple[str, int], int] = {}
        self._durations_s: dict[tuple[str, int], float] = {}
        self._ended: list[list[typing.Any]] = []
        self._end_count = 0
        self._max_rejected_run: dict[str, int] = {}
        self._status_changed = asyncio.Event()
        self._timers: list[asyncio.TimerHandle] = []

    def crash(self) -> None:
        """Ends all runs and answers nothing until it returns."""
        now_s = asyncio.get_running_loop().time()
        tasks = tuple(task for task, _ in self._running)
        self.crashes.append(CrashRecord(self.worker_id, now_s, tasks))
        self.silent = True
        self.is_crashed = True
        self.reset_connections()
        self._end_all("gone", list_ends=False)
        self._schedule(self.down_s, self._return)

    def _return(self) -> None:
        self.restart()
        self.worker_id = (
            f"{self.worker_id.partition('/')[0]}/{self.incarnation}"
        )
        self.silent = False
        self.is_crashed = False

    def restart(self) -> None:
        """Starts another incarnation under the same id; all runs are gone."""
        self._end_all("gone", list_ends=False)
        self.incarnation = max(self.incarnation + 1, virtual_time.wall_ms())
        self._token = 0
        self._ended.clear()
        self._end_count = 0
        self._max_rejected_run.clear()
        self.lease_until_ms = 0
        self._start_s = asyncio.get_running_loop().time()

    def clock_ms(self) -> int:
        """Returns milliseconds since the start of the incarnation."""
        return int(1000 * (asyncio.get_running_loop().time() - self._start_s))

    def running(self) -> set[str]:
        """Returns the names of the tasks in progress."""
        return {task for task, _ in self._running}

    async def handle(
        self,
        request: http_server.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> http_server.Reply | None:
        """Handles one call; returns None to leave it without a response."""
        if self.silent:
            await asyncio.sleep(3600)
        fields = msgspec.json.decode(request.body)
        self._expire()
        if request.headers.get("expect-instance") != self.worker_id:
            return http_server.Reply(421)
        if request.path == "/run-start" and self.starts_to_drop:
            self.starts_to_drop -= 1
            if self.delayed_starts_s is not None:
                self._schedule(
                    self.delayed_starts_s, lambda: self._start(fields)
                )
            await asyncio.sleep(3600)
        if request.path == "/run-stop" and self.stops_to_drop:
            self.stops_to_drop -= 1
            await asyncio.sleep(3600)
        if int(fields.get("FencingToken", 0)) < self._token:
            return self._reply(409, Reason="fence")
        self._token = int(fields["FencingToken"])
        if request.path == "/run-start":
            await asyncio.sleep(self.start_delay_s)
            return self._start(fields)
        if request.path == "/run-stop":
            return self._stop(fields)
        if request.path == "/hold":
            return await self._poll(fields)
        return self._reply(200)

    def _start(self, fields: dict[str, typing.Any]) -> http_server.Reply:
        self._expire()
        key = fields["Task"], fields["Run"]
        if int(fields["FencingToken"]) < self._token:
            return self._reply(409, Reason="fence")
        if key in self._running:
            return self._reply(200)
        if key[1] <= self._max_rejected_run.get(key[0], 0):
            return self._reply(409, Reason="old")
        if fields["DeadlineMs"] < self.clock_ms():
            return self._reply(409, Reason="late")
        self._extend(fields["DeadlineMs"])
        now_s = asyncio.get_running_loop().time()
        self._running[key] = len(self.records)
        self.records.append(
            RunRecord(*key, self.worker_id, int(fields["FencingToken"]), now_s)
        )
        if key[0] in self.deadly:
            self._schedule(self.crash_delay_s, self.crash)
        job_id = key[0].partition(".")[0]
        if job_id not in self.long_running:
            how = "failed" if job_id in self.failing else "done"
            step = key[0].split(".")[2]
            work_s = self.work_s_by_step.get(step, self.work_s) * self.slowness
            done = int(fields.get("Checkpoint") or 0)
            if done:
                self.resumed.append((key[0], done))
            self._resumed_percent[key] = done
            self._durations_s[key] = work_s * (1 - done / 100)
            self._schedule(self._durations_s[key], lambda: self._end(key, how))
        return self._reply(200)

    def _stop(self, fields: dict[str, typing.Any]) -> http_server.Reply:
        key = fields["Task"], fields["Run"]
        self._max_rejected_run[key[0]] = max(
            self._max_rejected_run.get(key[0], 0), key[1]
        )
        if key in self._running:
            now_s = asyncio.get_running_loop().time()
            self.stops.append((now_s, key[0]))
            self._schedule(self.stop_s, lambda: self._end(key, "stopped"))
        return self._reply(200)

    async def _poll(self, fields: dict[str, typing.Any]) -> http_server.Reply:
        self._extend(fields.get("DeadlineMs", 0))
        seen = fields["LastSeen"]
        for end in [end for end in self._ended if end[0] <= seen]:
            self.acknowledged.append((end[1], end[2], end[3]))
            self._ended.remove(end)
        if not self._ended and fields.get("WaitMs"):
            try:
                async with asyncio.timeout(fields["WaitMs"] / 1000):
                    await self._status_changed.wait()
            except TimeoutError:
                pass
        if self.silent:
            await asyncio.sleep(3600)
        if self.poll_replies_to_drop:
            self.poll_replies_to_drop -= 1
            await asyncio.sleep(3600)
        self._expire()
        running = [
            [*key, self._checkpoint(key), self._progress(key), 0]
            for key in self._running
        ]
        ended = self._ended[:MAX_LISTED_ENDS]
        return self._reply(200, Running=running, Ended=ended)

    def _checkpoint(self, key: tuple[str, int]) -> str:
        """Returns the newest checkpoint of a run: its progress, in tenths."""
        tenths = self._progress(key) // 10
        return str(10 * tenths) if self.takes_checkpoints and tenths else ""

    def _progress(self, key: tuple[str, int]) -> int:
        """Returns the progress of a run in percent.

        A long-running task is available at 100.
        """
        record = self.records[self._running[key]]
        ran_s = asyncio.get_running_loop().time() - record.began_s
        if record.task.partition(".")[0] in self.long_running:
            return 100 if ran_s >= STARTUP_S else 0
        done = self._resumed_percent[key]
        left = (100 - done) * ran_s / self._durations_s[key]
        return min(99, int(done + left))

    def _extend(self, until_ms: int) -> None:
        now_ms = self.clock_ms()
        until_ms = min(until_ms, now_ms + self.max_lease_ms)
        if until_ms > self.lease_until_ms:
            self.lease_until_ms = until_ms
            # The lease has ended once the clock is beyond it.
            self._schedule((until_ms + 1 - now_ms) / 1000, self._expire)

    def _expire(self) -> None:
        if self._running and self.clock_ms() > self.lease_until_ms:
            self._end_all("lapsed")

    def _end_all(self, how: str, *, list_ends: bool = True) -> None:
        for key in list(self._running):
            self._end(key, how, list_ends=list_ends)

    def _end(
        self, key: tuple[str, int], how: str, *, list_ends: bool = True
    ) -> None:
        index = self._running.get(key)
        if index is None:
            return
        if how == "done" and self.clock_ms() > self.lease_until_ms:
            how = "lapsed"
        checkpoint = self._checkpoint(key) if how == "stopped" else ""
        del self._running[key]
        self._max_rejected_run[key[0]] = max(
            self._max_rejected_run.get(key[0], 0), key[1]
        )
        now_s = asyncio.get_running_loop().time()
        self.records[index] = self.records[index]._replace(
            ended_s=now_s, how=how
        )
        if list_ends:
            self._end_count += 1
            self._ended.append([self._end_count, *key, how, checkpoint])
        self._status_changed.set()
        self._status_changed = asyncio.Event()

    def _schedule(
        self, delay_s: float, action: typing.Callable[[], object]
    ) -> None:
        born = self.incarnation
        loop = asyncio.get_running_loop()
        self._timers.append(
            loop.call_later(
                delay_s, lambda: action() if self.incarnation == born else None
            )
        )

    def _reply(self, status: int, **fields: object) -> http_server.Reply:
        fields["ClockMs"] = self.clock_ms()
        fields["born"] = self.incarnation
        return http_server.Reply(status, msgspec.json.encode(fields))
