"""A worker stand-in on real sockets that can crash, return and be cut off.

It extends the project's stand-in: leases lapse on time, `MaxHoldMs` is the one
of the site, a crash closes its port, and a cut leaves it running.
"""

import asyncio
import typing

from stand_ins import http_server
from stand_ins import platform_worker

MAX_HOLD_MS = 10_000
# PROTOCOL.md: "The others are returned again (500 at a time)".
MAX_LISTED_ENDS = 500
LEASE_CHECK_S = 0.01

platform_worker.MAX_LEASE_MS = MAX_HOLD_MS


class Worker(platform_worker.WorkerStandIn):
    """One runner, in one place, with one address.

    Attributes:
        pool: Pool that it belongs to.
        rack: Its rack.
        zone: Its availability zone.
        is_cut: Whether all packets from and to it are lost; it runs on.
        is_listening: Whether its process is up.
    """

    def __init__(
        self, worker_id: str, pool: str, **options: typing.Any
    ) -> None:
        """Makes a worker that is not listening yet."""
        super().__init__(worker_id, **options)
        self.pool = pool
        self.rack = "r1-0"
        self.zone = "zone-a"
        self.is_cut = False
        self.is_listening = False
        self.port = 0
        self._is_reset = False
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._lapses: asyncio.Task[None] | None = None

    async def listen(self, port: int) -> None:
        """Accepts calls at a port of the loopback interface."""
        self.port = port
        serve = http_server.serve_connections(self.handle)

        async def connection(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            if self._is_reset:
                writer.transport.abort()
                return
            self._writers.add(writer)
            try:
                await serve(reader, writer)
            finally:
                self._writers.discard(writer)

        self._server = await asyncio.start_server(connection, "127.0.0.1", port)
        self.is_listening = True
        if self._lapses is None:
            self._lapses = asyncio.create_task(self._check_leases())

    async def _check_leases(self) -> None:
        while True:
            self._expire()
            await asyncio.sleep(LEASE_CHECK_S)

    async def handle(
        self,
        request: http_server.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> http_server.Reply | None:
        """Handles one call; loses the call or its reply while cut off."""
        if self.is_cut:
            await asyncio.sleep(3600)
        reply = await super().handle(request, writer)
        if self.is_cut:
            await asyncio.sleep(3600)
        return reply

    def _reply(self, status: int, **fields: typing.Any) -> http_server.Reply:
        if "Ended" in fields:
            fields["Ended"] = fields["Ended"][:MAX_LISTED_ENDS]
        return super()._reply(status, **fields)

    def begin_resets(self) -> None:
        """Resets all connections, open and new; the process runs on."""
        self._is_reset = True
        self._abort_connections()

    def end_resets(self) -> None:
        """Accepts connections again."""
        self._is_reset = False

    def _abort_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    def stop_process(self) -> None:
        """Ends the process at once: its runs are gone and its port closes."""
        self.is_listening = False
        if self._server is not None:
            self._server.close()
            self._server = None
        self._abort_connections()
        self.restart()

    async def start_process(self) -> None:
        """Starts the process again under the same id."""
        self.restart()
        await self.listen(self.port)

    def close(self) -> None:
        """Stops serving at the end of the case."""
        self.stop_process()
        if self._lapses is not None:
            self._lapses.cancel()
