"""One HTTP/1.1 call over an open stream, shared by all client packages.

The caller of this module owns the connection, so it always knows whether a
byte of a request may have left. blacksheep's client isn't used because it
resends a POST when a kept connection closes without an answer; see
docs/decisions/upstream-http-client.md.
"""

import asyncio
from collections import abc
import typing

import httptools

from chervillead import types

READ_CHUNK_BYTES = 65536
MAX_RESPONSE_BYTES = 16 * 1024 * 1024

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Dial = abc.Callable[[types.Address], abc.Awaitable[Streams]]
ServeStreams = abc.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], abc.Awaitable[None]
]
# Serves connections to an address until cancelled.
Listen = abc.Callable[[types.Address, ServeStreams], abc.Awaitable[None]]


class HttpRequest(typing.NamedTuple):
    """A request to encode; Host and Content-Length are added."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class HttpResponse(typing.NamedTuple):
    """A complete response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes
    keep_alive: bool


class IncompleteResponseError(Exception):
    """The stream ended, or held something other than one whole response."""


async def dial(address: types.Address) -> Streams:
    """Opens a TCP connection."""
    return await asyncio.open_connection(address.host, address.port)


async def listen(address: types.Address, serve: ServeStreams) -> None:
    """Accepts TCP connections until cancelled, one task for each."""
    server = await asyncio.start_server(serve, address.host, address.port)
    async with server:
        await server.serve_forever()


def encode_request(address: types.Address, request: HttpRequest) -> bytes:
    """Returns the bytes of `request` for the server at `address`."""
    lines = [
        f"{request.method} {request.path} HTTP/1.1",
        f"host: {address.host}:{address.port}",
        f"content-length: {len(request.body)}",
    ]
    lines.extend(f"{name}: {value}" for name, value in request.headers)
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + request.body


class _ResponseCollector:
    """Callback target of the parser: collects one response."""

    def __init__(self) -> None:
        self.headers: dict[str, str] = {}
        self.chunks: list[bytes] = []
        self.complete = False
        self.surplus = False

    def on_message_begin(self) -> None:
        self.surplus = self.complete

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        self.complete = True


async def read_response(reader: asyncio.StreamReader) -> HttpResponse:
    """Reads one response.

    Args:
        reader: Stream on which exactly one response is due.

    Returns:
        The whole response.

    Raises:
        IncompleteResponseError: The stream ended before the response was
            complete, the response was malformed or too large, or bytes that
            nobody asked for followed it.
    """
    collector = _ResponseCollector()
    parser = httptools.HttpResponseParser(collector)
    received = 0
    while not collector.complete:
        data = await reader.read(READ_CHUNK_BYTES)
        if not data:
            raise IncompleteResponseError(
                f"stream ended after {received} bytes of a response"
            )
        received += len(data)
        if received > MAX_RESPONSE_BYTES:
            raise IncompleteResponseError(
                f"response exceeds {MAX_RESPONSE_BYTES} bytes"
            )
        try:
            parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise IncompleteResponseError(f"malformed: {error}") from error
    if collector.surplus:
        raise IncompleteResponseError("more than one response arrived")
    return HttpResponse(
        parser.get_status_code(),
        collector.headers,
        b"".join(collector.chunks),
        _keeps_alive(parser.get_http_version(), collector.headers),
    )


def _keeps_alive(version: str, headers: dict[str, str]) -> bool:
    """Returns whether the server keeps the connection open.

    The parser's own `should_keep_alive` is false for every response once it is
    complete, so connections would never be kept.
    """
    tokens = headers.get("connection", "").lower().replace(" ", "").split(",")
    if version == "1.1":
        return "close" not in tokens
    return "keep-alive" in tokens


async def call_once(
    dial_address: Dial, address: types.Address, request: HttpRequest
) -> HttpResponse:
    """Sends one request on a connection of its own and closes it.

    Raises:
        OSError: The connection failed.
        IncompleteResponseError: No whole response arrived.
    """
    reader, writer = await dial_address(address)
    try:
        writer.write(encode_request(address, request))
        await writer.drain()
        return await read_response(reader)
    finally:
        writer.close()
