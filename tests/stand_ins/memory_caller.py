"""Callers of one entry host whose connections stay in memory.

The protocol class and the application are the real ones; only the transport is
replaced, so that the timeouts of connections run on the virtual clock.
"""

import asyncio
import typing

import httptools
import uvicorn
from uvicorn import server

from chervillead import assembly
from chervillead.callers import application
from chervillead.callers import connections
from stand_ins import local_fleet

RECEIVE_TIMEOUT_S = 60.0  # virtual; a test fails instead of waiting forever


class Response(typing.NamedTuple):
    """One whole response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class _Transport(asyncio.Transport):
    """Collects what the protocol writes."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.closed = asyncio.Event()
        self.paused = False

    def write(self, data: typing.Any) -> None:
        if not self.closed.is_set():
            self.written += bytes(data)

    def close(self) -> None:
        self.closed.set()

    def is_closing(self) -> bool:
        return self.closed.is_set()

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False


class _Collector:
    def __init__(self) -> None:
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.complete = True


class FrontEnd:
    """The front end of one entry host of a memory fleet."""

    def __init__(self, parts: assembly.Assembly) -> None:
        self.stopping = False
        self.ports = assembly.front_end_ports(parts, lambda: self.stopping)
        self._app = application.build_application(self.ports)
        self._state = server.ServerState()
        self._config = uvicorn.Config(
            self._app, lifespan="off", log_config=None, access_log=False
        )

    async def start(self) -> None:
        """Makes the application ready."""
        await self._app.start()

    def connect(self) -> "MemoryCaller":
        """Opens a connection."""
        protocol = connections.CallerConnection(self._config, self._state, {})
        return MemoryCaller(protocol)


class MemoryCaller:
    """A caller's side of one connection."""

    def __init__(self, protocol: connections.CallerConnection) -> None:
        self._protocol = protocol
        self._transport = _Transport()
        protocol.connection_made(self._transport)

    @property
    def is_closed(self) -> bool:
        """Whether the entry host has closed the connection."""
        return self._transport.closed.is_set()

    def send(self, data: bytes) -> None:
        """Sends bytes, unless the entry host has closed the connection."""
        if not self.is_closed:
            self._protocol.data_received(data)

    def hang_up(self) -> None:
        """Ends the connection from the caller's side."""
        self._protocol.connection_lost(None)

    async def receive(self) -> Response:
        """Waits for one whole response."""
        async with asyncio.timeout(RECEIVE_TIMEOUT_S):
            while (response := self._parse()) is None:
                if self.is_closed:
                    raise ConnectionError("closed without a whole response")
                await asyncio.sleep(0.01)
        return response

    def _parse(self) -> Response | None:
        collector = _Collector()
        parser = httptools.HttpResponseParser(collector)
        parser.feed_data(self._transport.written)
        if not collector.complete:
            return None
        self._transport.written = b""
        return Response(
            parser.get_status_code(), collector.headers, collector.body
        )


async def call(
    front_end: FrontEnd,
    method: str,
    path: str,
    *,
    team: str = "nursery-north",
    headers: tuple[str, ...] = (),
    body: bytes = b"",
) -> Response:
    """Sends one request on a connection of its own."""
    caller = front_end.connect()
    caller.send(encode(method, path, team=team, headers=headers, body=body))
    return await caller.receive()


def encode(
    method: str,
    path: str,
    *,
    team: str = "nursery-north",
    headers: tuple[str, ...] = (),
    body: bytes = b"",
) -> bytes:
    """Returns the bytes of a request; its length is added if missing."""
    lines = [f"{method} {path} HTTP/1.1", "host: entry", *headers]
    if team:
        lines.append(f"authorization: Bearer {local_fleet.TEAM_KEYS[team]}")
    if not any(line.startswith(("content-l", "transfer")) for line in headers):
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
