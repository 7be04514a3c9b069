"""A stand-in of a runner of the platform, with faults on demand.

It runs tasks under one lease, remembers the highest fencing token and lists
ends until they are acknowledged. Every start and end stays in its record, from
which the checks judge.
"""

import asyncio
import typing

import msgspec

from stand_ins import http_server

MAX_LEASE_MS = 6000
STOP_S = 0.2
# A lasting task is at work after this time.
STARTUP_S = 1.5


class RunRecord(typing.NamedTuple):
    """One run as the worker saw it.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        worker_id: Worker that ran it.
        token: Fencing token of the start.
        began_s: When it began.
        ended_s: When it ended; infinite for one that still runs.
        how: How it ended; empty for one that still runs.
    """

    task: str
    run: int
    worker_id: str
    token: int
    began_s: float
    ended_s: float = float("inf")
    how: str = ""


class WorkerStandIn:
    """One worker: its runs and the faults in force.

    Attributes:
        work_s: How long a task works.
        work_by_step: The same for tasks of some steps.
        failing: Names of jobs whose tasks fail.
        lose_starts: Number of the next starts that are answered never.
        late_starts_s: Delay after which such starts are carried out; None if
            they are dropped.
        silent: Whether no call is answered or carried out.
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
        self.work_by_step: dict[str, float] = {}
        self.failing: set[str] = set()
        self.long_running: set[str] = set()
        self.starts_to_drop = 0
        self.delayed_starts_s: float | None = None
        self.silent = False
        self.records: list[RunRecord] = []
        self.acknowledged: list[tuple[str, int, str]] = []
        self.incarnation = 1
        self.highest_lease_ms = 0
        self._start_s = asyncio.get_running_loop().time()
        self._token = 0
        self._running: dict[tuple[str, int], int] = {}
        self._ended: list[list[typing.Any]] = []
        self._ends = 0
        self._barred: dict[str, int] = {}
        self._changed = asyncio.Event()
        self._timers: list[asyncio.TimerHandle] = []

    def restart(self) -> None:
        """Begins another life under the same id."""
        self._end_all("gone", list_ends=False)
        self.incarnation += 1
        self._token = 0
        self._ended.clear()
        self._ends = 0
        self._barred.clear()
        self.highest_lease_ms = 0
        self._start_s = asyncio.get_running_loop().time()

    def clock_ms(self) -> int:
        """Returns the worker's clock."""
        return int(1000 * (asyncio.get_running_loop().time() - self._start_s))

    def running(self) -> set[str]:
        """Returns the names of the tasks that run now."""
        return {task for task, _ in self._running}

    async def handle(
        self,
        request: http_server.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> http_server.Reply | None:
        """Answers one call."""
        if self.silent:
            await asyncio.sleep(3600)
        fields = msgspec.json.decode(request.body)
        self._expire()
        if request.headers.get("expect-instance") != self.worker_id:
            return http_server.Reply(421)
        if request.path == "/run-start" and self.starts_to_drop:
            self.starts_to_drop -= 1
            if self.delayed_starts_s is not None:
                self._later(self.delayed_starts_s, lambda: self._start(fields))
            await asyncio.sleep(3600)
        if int(fields.get("FencingToken", 0)) < self._token:
            return self._reply(409, Reason="fence")
        self._token = int(fields["FencingToken"])
        if request.path == "/run-start":
            return self._start(fields)
        if request.path == "/run-stop":
            return self._stop(fields)
        if request.path == "/hold":
            return await self._hold(fields)
        return self._reply(200)

    def _start(self, fields: dict[str, typing.Any]) -> http_server.Reply:
        self._expire()
        key = fields["Task"], fields["Run"]
        if int(fields["FencingToken"]) < self._token:
            return self._reply(409, Reason="fence")
        if key in self._running:
            return self._reply(200)
        if key[1] <= self._barred.get(key[0], 0):
            return self._reply(409, Reason="old")
        if fields["DeadlineMs"] < self.clock_ms():
            return self._reply(409, Reason="late")
        self._extend(fields["DeadlineMs"])
        now_s = asyncio.get_running_loop().time()
        self._running[key] = len(self.records)
        self.records.append(
            RunRecord(*key, self.worker_id, int(fields["FencingToken"]), now_s)
        )
        job_id = key[0].partition(".")[0]
        if job_id not in self.long_running:
            how = "failed" if job_id in self.failing else "done"
            step = key[0].split(".")[2]
            work_s = self.work_by_step.get(step, self.work_s)
            self._later(work_s, lambda: self._end(key, how))
        return self._reply(200)

    def _stop(self, fields: dict[str, typing.Any]) -> http_server.Reply:
        key = fields["Task"], fields["Run"]
        self._barred[key[0]] = max(self._barred.get(key[0], 0), key[1])
        if key in self._running:
            self._later(STOP_S, lambda: self._end(key, "stopped"))
        return self._reply(200)

    async def _hold(self, fields: dict[str, typing.Any]) -> http_server.Reply:
        self._extend(fields.get("DeadlineMs", 0))
        seen = fields["LastSeen"]
        for end in [end for end in self._ended if end[0] <= seen]:
            self.acknowledged.append((end[1], end[2], end[3]))
            self._ended.remove(end)
        if not self._ended and fields.get("WaitMs"):
            try:
                async with asyncio.timeout(fields["WaitMs"] / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass
        self._expire()
        running = [
            [task, run, "", self._progress(place), 0]
            for (task, run), place in self._running.items()
        ]
        return self._reply(200, Running=running, Ended=list(self._ended))

    def _progress(self, place: int) -> int:
        """Returns the progress of a run; a lasting one is at work at 100."""
        record = self.records[place]
        ran_s = asyncio.get_running_loop().time() - record.began_s
        if record.task.partition(".")[0] in self.long_running:
            return 100 if ran_s >= STARTUP_S else 0
        step = record.task.split(".")[2]
        work_s = self.work_by_step.get(step, self.work_s)
        return min(99, int(100 * ran_s / work_s))

    def _extend(self, until_ms: int) -> None:
        limit_ms = self.clock_ms() + MAX_LEASE_MS
        self.highest_lease_ms = max(
            self.highest_lease_ms, min(until_ms, limit_ms)
        )

    def _expire(self) -> None:
        if self._running and self.clock_ms() > self.highest_lease_ms:
            self._end_all("lapsed")

    def _end_all(self, how: str, *, list_ends: bool = True) -> None:
        for key in list(self._running):
            self._end(key, how, list_ends=list_ends)

    def _end(
        self, key: tuple[str, int], how: str, *, list_ends: bool = True
    ) -> None:
        place = self._running.get(key)
        if place is None:
            return
        if how == "done" and self.clock_ms() > self.highest_lease_ms:
            how = "lapsed"
        del self._running[key]
        self._barred[key[0]] = max(self._barred.get(key[0], 0), key[1])
        now_s = asyncio.get_running_loop().time()
        self.records[place] = self.records[place]._replace(
            ended_s=now_s, how=how
        )
        if list_ends:
            self._ends += 1
            self._ended.append([self._ends, *key, how, ""])
        self._changed.set()
        self._changed = asyncio.Event()

    def _later(
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
