"""Callers that connect to one entry host through in-memory transports.

The protocol class and the application are those of the product. Only the
transport is replaced, so that connection timeouts use the virtual clock.
"""

import asyncio
import typing

import httptools
import uvicorn
from uvicorn import server

from chervillead import assembly
from chervillead.callers import application
from chervillead.callers import connections
from chervillead.callers import parse_turns
from stand_ins import local_fleet

RECEIVE_TIMEOUT_S = 60.0  # virtual; lets a test fail instead of hang


class Response(typing.NamedTuple):
    """A complete response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class _MemoryTransport(asyncio.Transport):
    """Transport that collects the bytes that the protocol writes."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.closed = asyncio.Event()
        self.paused = False
        # Bytes that the other side doesn't read; they delay a close.
        self.unsent_bytes = 0

    def write(self, data: typing.Any) -> None:
        if not self.closed.is_set():
            self.written += bytes(data)

    def close(self) -> None:
        if not self.unsent_bytes:
            self.closed.set()

    def abort(self) -> None:
        self.closed.set()

    def can_write_eof(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return self.unsent_bytes

    def is_closing(self) -> bool:
        return self.closed.is_set()

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False


class _CollectedResponse:
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
    """The front end of one entry host of an in-memory fleet."""

    def __init__(self, parts: assembly.Assembly) -> None:
        self.stopping = False
        self.ports = assembly.front_end_ports(parts, lambda: self.stopping)
        self._app = application.build_application(self.ports)
        self._turns = parse_turns.ParseTurns()
        self._state = server.ServerState()
        self._config = uvicorn.Config(
            self._app, lifespan="off", log_config=None, access_log=False
        )

    async def start(self) -> None:
        """Starts the application, which then accepts requests."""
        await self._app.start()

    def connect(self) -> "MemoryCaller":
        """Opens a connection to the entry host."""
        protocol = connections.CallerConnection(
            self._config,
            self._state,
            {},
            limiter=self.ports.limiter,
            turns=self._turns,
        )
        return MemoryCaller(protocol)


class MemoryCaller:
    """Caller's side of one connection."""

    def __init__(self, protocol: connections.CallerConnection) -> None:
        self._protocol = protocol
        self._transport = _MemoryTransport()
        protocol.connection_made(self._transport)

    @property
    def is_closed(self) -> bool:
        """Whether the entry host has closed the connection."""
        return self._transport.closed.is_set()

    def send(self, data: bytes) -> None:
        """Sends bytes unless the entry host has closed the connection."""
        if not self.is_closed:
            self._protocol.data_received(data)

    def leave_unread(self, count: int) -> None:
        """Leaves bytes unread that the entry host has written."""
        self._transport.unsent_bytes = count

    def disconnect(self) -> None:
        """Closes the connection from the caller's side."""
        self._protocol.connection_lost(None)

    async def receive(self) -> Response:
        """Waits for one complete response.

        Raises:
            ConnectionError: If the connection closes before the response ends.
            TimeoutError: If no response comes in RECEIVE_TIMEOUT_S.
        """
        async with asyncio.timeout(RECEIVE_TIMEOUT_S):
            while (response := self._parse_response()) is None:
                if self.is_closed:
                    raise ConnectionError("closed without a complete response")
                await asyncio.sleep(0.01)
        return response

    def _parse_response(self) -> Response | None:
        collected = _CollectedResponse()
        parser = httptools.HttpResponseParser(collected)
        parser.feed_data(self._transport.written)
        if not collected.complete:
            return None
        self._transport.written = b""
        return Response(
            parser.get_status_code(), collected.headers, collected.body
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
    """Sends one request on a new connection and returns the response."""
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
    """Returns the bytes of a request; adds content-length if missing."""
    lines = [f"{method} {path} HTTP/1.1", "host: entry", *headers]
    if team:
        lines.append(f"authorization: Bearer {local_fleet.TEAM_KEYS[team]}")
    if not any(line.startswith(("content-l", "transfer")) for line in headers):
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
