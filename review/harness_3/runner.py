"""A sound runner as PROTOCOL.md describes it, in memory and on one socket.

It keeps the highest fencing token, runs tasks under one lease, lists ended runs
until they are seen and forms gangs with the other runners of the same script.
"""

import asyncio
from collections import abc
import functools
import time
import typing

import msgspec

from harness_3 import record
from stand_ins import http_server

MAX_LEASE_MS = 10_000
STOP_S = 0.2
MAX_LISTED_ENDS = 500
GANG_TIMEOUT_S = 3.0
CHECKPOINT_S = 0.5
LONG_STARTUP_S = 1.0
# A run that fails by its own fault does so after this time.
FAIL_S = 0.5

Key = tuple[str, int]


class Work(typing.NamedTuple):
    """What the tasks of one step of a submission do.

    Attributes:
        seconds: Work of a task; None for a task that lasts.
        gang: Number of the members of a gang; 0 for tasks that aren't one.
        checkpoint: Returns the checkpoint of a task at a number of half
            seconds of work; None for tasks that take none.
        fails: Returns whether a run of a task ends `failed`, by the task's own
            fault; None if none does.
    """

    seconds: float | None
    gang: int = 0
    checkpoint: abc.Callable[[str, int], str] | None = None
    fails: abc.Callable[[str, int], bool] | None = None


class Run(typing.NamedTuple):
    """One run that a runner has begun."""

    key: Key
    runner: str
    token: int
    began_s: float


class End(typing.NamedTuple):
    """One run that a runner has ended."""

    key: Key
    runner: str
    how: str
    listed: bool
    at_s: float


class Gangs:
    """The gangs that are forming or at work on all runners."""

    def __init__(self) -> None:
        """Starts without gangs."""
        self._present: dict[tuple[str, int], dict[str, Runner]] = {}

    def join(self, key: Key, members: int, runner: "Runner") -> bool:
        """Adds a member; returns whether the gang is complete with it."""
        present = self._present.setdefault(_gang(key), {})
        present[key[0]] = runner
        return len(present) == members

    def members(self, key: Key) -> dict[str, "Runner"]:
        """Returns the members of a run that are present, by task."""
        return dict(self._present.get(_gang(key), {}))

    def leave(self, key: Key) -> None:
        """Removes a member."""
        self._present.get(_gang(key), {}).pop(key[0], None)


def _gang(key: Key) -> tuple[str, int]:
    return key[0].rpartition(".")[0], key[1]


class Runner:
    """One runner, which may crash and start again under the same id."""

    def __init__(
        self,
        name: str,
        work_of: abc.Callable[[str], Work],
        gangs: Gangs,
        log: record.Record,
        *,
        cpu: int = 64_000,
        rack: str = "r1-0",
    ) -> None:
        """Makes a runner that isn't up yet."""
        self.name = name
        self.cpu = cpu
        self.rack = rack
        self.kind = "a"
        self.begun: list[Run] = []
        self.ended: list[End] = []
        self.seen_ends = 0
        self.listed_ends = 0
        self.born = int(1000 * time.time())
        self.is_up = False
        self._work_of = work_of
        self._gangs = gangs
        self._log = log
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()
        self._port = 0
        self._reset()

    def _reset(self) -> None:
        self._started_s = time.monotonic()
        self._token = 0
        self._lease_ms = 0
        self._running: dict[Key, Run] = {}
        self._at_work_s: dict[Key, float] = {}
        self._timers: dict[Key, list[asyncio.TimerHandle]] = {}
        self._ends: list[list[typing.Any]] = []
        self._end_count = 0
        self._highest_gone: dict[str, int] = {}
        self._saved: dict[Key, int] = {}
        self._news = asyncio.Event()

    @property
    def running(self) -> list[Key]:
        """Runs in progress."""
        return list(self._running)

    def clock_ms(self) -> int:
        """Returns milliseconds since the start of this life."""
        return int(1000 * (time.monotonic() - self._started_s))

    async def start(self, port: int) -> None:
        """Listens on a loopback port."""
        self._port = port
        connect = http_server.serve_connections(self._handle)

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            self._connections.add(writer)
            try:
                await connect(reader, writer)
            finally:
                self._connections.discard(writer)

        self._server = await asyncio.start_server(serve, "127.0.0.1", port)
        self.is_up = True

    def crash(self) -> list[str]:
        """Ends the process as SIGKILL does; returns the tasks it ran."""
        tasks = [task for task, _ in self._running]
        self.is_up = False
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()
        for key in list(self._running):
            self._end(key, "gone", listed=False)
        self._log.write("crash", runner=self.name, tasks=tasks)
        return tasks

    async def restart(self) -> None:
        """Starts again under the same id, with nothing left of before."""
        self.born = max(self.born + 1, int(1000 * time.time()))
        self._reset()
        await self.start(self._port)
        self._log.write("restart", runner=self.name, born=self.born)

    def stop(self) -> None:
        """Ends the stand-in."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()
        for timers in self._timers.values():
            for timer in timers:
                timer.cancel()

    async def _handle(
        self,
        request: http_server.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> http_server.Reply | None:
        if request.headers.get("expect-instance", self.name) != self.name:
            return self._reply(421)
        fields = msgspec.json.decode(request.body)
        self._expire()
        token = int(fields.get("FencingToken", 0))
        if token < self._token:
            return self._reply(409, Reason="fence")
        self._token = token
        if request.path == "/run-start":
            return self._start(fields)
        if request.path == "/run-stop":
            return self._stop((fields["Task"], fields["Run"]))
        if request.path == "/hold":
            return await self._hold(fields)
        return self._reply(200)

    def _start(self, fields: dict[str, typing.Any]) -> http_server.Reply:
        key = fields["Task"], fields["Run"]
        if key in self._running:
            return self._reply(200)
        if key[1] <= self._highest_gone.get(key[0], 0):
            self._extend(fields["DeadlineMs"])
            return self._reply(409, Reason="old")
        if fields["DeadlineMs"] < self.clock_ms():
            return self._reply(409, Reason="late")
        self._extend(fields["DeadlineMs"])
        run = Run(key, self.name, self._token, time.monotonic())
        self._running[key] = run
        self.begun.append(run)
        work = self._work_of(key[0])
        if not work.gang:
            self._begin_work(key)
        elif self._gangs.join(key, work.gang, self):
            for task, runner in self._gangs.members(key).items():
                runner._begin_work((task, key[1]))
        else:
            self._after(key, GANG_TIMEOUT_S, self._end_alone)
        return self._reply(200)

    def _begin_work(self, key: Key) -> None:
        self._at_work_s[key] = time.monotonic()
        seconds = self._work_of(key[0]).seconds
        fails = self._work_of(key[0]).fails
        if fails is not None and fails(*key):
            self._after(key, FAIL_S, lambda key: self._end(key, "failed"))
        elif seconds is not None:
            self._after(key, seconds, self._end_done)

    def _end_alone(self, key: Key) -> None:
        if key not in self._at_work_s:
            self._end(key, "alone")

    def _end_done(self, key: Key) -> None:
        self._expire()
        for task, runner in {
            key[0]: self,
            **self._gangs.members(key),
        }.items():
            runner._end((task, key[1]), "done")

    def _stop(self, key: Key) -> http_server.Reply:
        gone = max(self._highest_gone.get(key[0], 0), key[1])
        self._highest_gone[key[0]] = gone
        if key in self._running:
            self._after(key, STOP_S, lambda key: self._end(key, "stopped"))
        return self._reply(200)

    async def _hold(self, fields: dict[str, typing.Any]) -> http_server.Reply:
        self._extend(fields.get("DeadlineMs") or 0)
        seen = fields["LastSeen"]
        self.seen_ends += sum(end[0] <= seen for end in self._ends)
        self._ends = [end for end in self._ends if end[0] > seen]
        if not self._ends and fields.get("WaitMs"):
            news = self._news
            try:
                async with asyncio.timeout(fields["WaitMs"] / 1000):
                    await news.wait()
            except TimeoutError:
                pass
        self._expire()
        return self._reply(
            200,
            Running=[self._row(key) for key in self._running],
            Ended=self._ends[:MAX_LISTED_ENDS],
        )

    def _row(self, key: Key) -> list[typing.Any]:
        work = self._work_of(key[0])
        began_s = self._at_work_s.get(key)
        worked_s = 0.0 if began_s is None else time.monotonic() - began_s
        if work.seconds is None:
            percent = 100 if worked_s >= LONG_STARTUP_S else 0
        else:
            percent = min(99, int(100 * worked_s / work.seconds))
        return [*key, self._checkpoint(key), percent, 100]

    def _checkpoint(self, key: Key) -> str:
        work = self._work_of(key[0])
        began_s = self._at_work_s.get(key)
        if work.checkpoint is None or began_s is None:
            return ""
        count = int((time.monotonic() - began_s) / CHECKPOINT_S)
        return work.checkpoint(key[0], count) if count else ""

    def _extend(self, until_ms: int) -> None:
        until_ms = min(until_ms, self.clock_ms() + MAX_LEASE_MS)
        self._lease_ms = max(self._lease_ms, until_ms)

    def _expire(self) -> None:
        if self._running and self.clock_ms() > self._lease_ms:
            for key in list(self._running):
                self._end(key, "lapsed")

    def _end(self, key: Key, how: str, *, listed: bool = True) -> None:
        run = self._running.get(key)
        if run is None:
            return
        checkpoint = self._checkpoint(key) if how == "stopped" else ""
        del self._running[key]
        began = self._at_work_s.pop(key, None) is not None
        for timer in self._timers.pop(key, ()):
            timer.cancel()
        gone = max(self._highest_gone.get(key[0], 0), key[1])
        self._highest_gone[key[0]] = gone
        self.ended.append(End(key, self.name, how, listed, time.monotonic()))
        if listed:
            self.listed_ends += 1
            self._end_count += 1
            self._ends.append([self._end_count, *key, how, checkpoint])
            self._news.set()
            self._news = asyncio.Event()
        if self._work_of(key[0]).gang:
            members = self._gangs.members(key)
            self._gangs.leave(key)
            if began and how != "done":
                for task, runner in members.items():
                    runner._end((task, key[1]), "broken")

    def _after(
        self, key: Key, delay_s: float, action: abc.Callable[[Key], None]
    ) -> None:
        timer = asyncio.get_running_loop().call_later(
            delay_s, functools.partial(action, key)
        )
        self._timers.setdefault(key, []).append(timer)

    def _reply(self, status: int, **fields: object) -> http_server.Reply:
        fields["ClockMs"] = self.clock_ms()
        fields["born"] = self.born
        return http_server.Reply(status, msgspec.json.encode(fields))
