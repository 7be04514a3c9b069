"""Workers of the scripts: the project's stand-in on a port of its own.

A crash closes the port and resets all connections, as the end of a process
does. The worker returns later as another process, under another id.
"""

import asyncio
import contextlib
import time
import typing

import msgspec

from chervillead import types
from stage import record as record_module
from stand_ins import http_server
from stand_ins import platform_worker


class Worker(platform_worker.WorkerStandIn):
    """A worker that listens on loopback and records its runs."""

    def __init__(
        self,
        worker_id: str,
        record: record_module.Record,
        *,
        work_s: float,
        rack: str = "rack-1",
        cpu: int = 8000,
    ) -> None:
        """Starts to run tasks that last `work_s`, but listens to nobody yet."""
        super().__init__(worker_id, work_s=work_s, cpu=cpu)
        self.rack = rack
        self.is_up = True
        # What a start must carry; empty if it needs no ticket.
        self.ticket = ""
        self.incarnation = int(1000 * time.time())
        self._name = worker_id
        self._lives = 1
        self._record = record
        self._sequence = 0
        self._address = types.Address("127.0.0.1", 0)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._heartbeat_due = asyncio.Event()

    async def listen(self, address: types.Address) -> None:
        """Starts to accept connections."""
        self._address = address
        serve = http_server.serve_connections(self.handle)

        async def connection(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            self._writers.add(writer)
            try:
                await serve(reader, writer)
            finally:
                self._writers.discard(writer)

        self._server = await asyncio.start_server(
            connection, address.host, address.port
        )

    async def handle(
        self,
        request: http_server.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> http_server.Reply | None:
        """Handles one call and records starts and stops."""
        reply = self._check_ticket(request)
        if reply is None:
            reply = await super().handle(request, writer)
        if request.path in ("/run-start", "/run-stop"):
            fields = msgspec.json.decode(request.body)
            answer = msgspec.json.decode(reply.body or b"{}") if reply else {}
            self._record.write(
                f"{self.worker_id}: {request.path} {fields['Task']} "
                f"run {fields['Run']} token {fields['FencingToken']} answered "
                f"{reply.status if reply else 'nothing'} "
                f"{answer.get('Reason', '')}"
            )
        return reply

    def _check_ticket(
        self, request: http_server.ReceivedRequest
    ) -> http_server.Reply | None:
        """Returns the rejection of a start without the worker's ticket."""
        if not self.ticket or request.path != "/run-start":
            return None
        if msgspec.json.decode(request.body).get("Ticket") == self.ticket:
            return None
        return self._reply(409, Reason="ticket")

    def entry(self, pool: str, zone: str) -> bytes:
        """Returns what the worker writes of itself into the store."""
        self._sequence += 1
        return msgspec.json.encode(
            {
                "Service": pool,
                "Address": f"{self._address.host}:{self._address.port}",
                "Zone": zone,
                "Version": "1",
                "Slots": 8,
                "State": "ready",
                "Seq": self._sequence,
                "born": self.incarnation,
                "Labels": ["a", self.rack],
                "Capacity": {"Cpu": self.cpu, "MemMb": self.memory_mb},
            }
        )

    async def wait_for_heartbeat(self, interval_s: float) -> None:
        """Waits for the next heartbeat; a new process sends its own at once."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(interval_s):
                await self._heartbeat_due.wait()
        self._heartbeat_due.clear()

    async def crash_for(self, down_s: float) -> None:
        """Crashes, and returns after a while as another process."""
        tasks = sorted(self.running())
        self._record.write(f"{self.worker_id}: crashes under {tasks}")
        self.is_up = False
        assert self._server is not None
        self._server.close()
        self._end_all("gone", list_ends=False)
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(down_s)
        previous = self.incarnation
        self.restart()
        self.incarnation = max(previous + 1, int(1000 * time.time()))
        self._lives += 1
        self.worker_id = f"{self._name}-{self._lives}"
        await self.listen(self._address)
        self.is_up = True
        self._heartbeat_due.set()
        self._record.write(f"{self.worker_id}: is up")

    def _end(
        self, key: tuple[str, int], how: str, *, list_ends: bool = True
    ) -> None:
        if key in self._running:
            self._record.write(
                f"{self.worker_id}: {key[0]} run {key[1]} ends {how}"
            )
        super()._end(key, how, list_ends=list_ends)


def started(workers: typing.Iterable[Worker]) -> list[typing.Any]:
    """Returns the records of all runs, in the order of their starts."""
    runs = [run for worker in workers for run in worker.records]
    return sorted(runs, key=lambda run: run.began_s)
