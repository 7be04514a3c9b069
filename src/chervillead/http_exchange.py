"""HTTP/1.1 exchanges over an open stream, used by all client packages.

The calling code owns the connection, so that it knows whether any byte of a
request may have been sent. The client of blacksheep isn't used because it
resends a POST when a keep-alive connection closes without a response; see
docs/decisions/upstream-http-client.md.
"""

import asyncio
from collections import abc
import re
import typing

import httptools

from chervillead import error_texts
from chervillead import types

READ_CHUNK_BYTES = 65536
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# A list of 500 ended and 100 active runs has 44 KB.
MAX_WORKER_RESPONSE_BYTES = 1024 * 1024

# Control characters, which could end a line of the head; all but the tab, which
# a value may contain.
_CONTROL_CHARACTERS = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Dial = abc.Callable[[types.Address], abc.Awaitable[Streams]]
ServeStreams = abc.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], abc.Awaitable[None]
]
# Serves connections to an address until cancelled.
Listen = abc.Callable[[types.Address, ServeStreams], abc.Awaitable[None]]


class HttpRequest(typing.NamedTuple):
    """A request; Host and Content-Length are added when it is encoded."""

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


class UnsendableRequestError(ValueError):
    """A part of a request can't stand in the head of a message."""


class IncompleteResponseError(Exception):
    """The stream didn't contain exactly one complete, valid response."""


async def dial(address: types.Address) -> Streams:
    """Opens a TCP connection; raises OSError if that fails."""
    return await asyncio.open_connection(address.host, address.port)


async def listen(address: types.Address, serve: ServeStreams) -> None:
    """Serves TCP connections until cancelled, each in its own task."""
    server = await asyncio.start_server(serve, address.host, address.port)
    async with server:
        await server.serve_forever()


def field_value(text: str) -> str:
    r"""Returns a text as the value of a header that carries it in UTF-8.

    Values are bytes to HTTP; `HttpRequest` holds them as latin-1.

    Example:
        >>> field_value("i-1")
        'i-1'
        >>> field_value("\u0111").encode("latin-1")
        b'\xc4\x91'
    """
    return text.encode(errors="replace").decode("latin-1")


def is_field_value(text: str) -> bool:
    """Returns whether a header can carry a text so that it arrives unchanged.

    It can't carry control characters, and outer spaces are removed.
    """
    return text == text.strip() and not _CONTROL_CHARACTERS.search(text)


def encode_request(address: types.Address, request: HttpRequest) -> bytes:
    """Returns the bytes of `request` for the server at `address`.

    Raises:
        UnsendableRequestError: A part of the head contains a character that
            would end it, or one beyond latin-1.
    """
    lines = [
        f"{request.method} {request.path} HTTP/1.1",
        f"host: {address.host}:{address.port}",
        f"content-length: {len(request.body)}",
    ]
    lines.extend(f"{name}: {value}" for name, value in request.headers)
    for line in lines:
        if _CONTROL_CHARACTERS.search(line):
            raise UnsendableRequestError(
                f"got {error_texts.shorten(line)}, expected no control "
                "characters"
            )
    if " " in request.path:
        raise UnsendableRequestError(
            f"got the path {error_texts.shorten(request.path)}, expected no "
            "spaces"
        )
    try:
        head = "\r\n".join(lines).encode("latin-1")
    except UnicodeEncodeError as error:
        raise UnsendableRequestError(
            f"got {error_texts.shorten(error.object[error.start :])}, expected "
            "characters of latin-1"
        ) from error
    return head + b"\r\n\r\n" + request.body


class _ResponseCollector:
    """Collects one response from the callbacks of the parser."""

    def __init__(self) -> None:
        self.headers: dict[str, str] = {}
        self.chunks: list[bytes] = []
        self.is_complete = False
        self.has_surplus = False

    def on_message_begin(self) -> None:
        self.has_surplus = self.is_complete

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        self.is_complete = True


async def read_response(
    reader: asyncio.StreamReader,
    *,
    stall_timeout_s: float | None = None,
    max_bytes: int = MAX_RESPONSE_BYTES,
) -> HttpResponse:
    """Reads one response.

    Args:
        reader: Stream on which exactly one response is due.
        stall_timeout_s: Longest time without any byte, in seconds; None for no
            limit.
        max_bytes: Longest response with its headers, in bytes.

    Returns:
        The complete response.

    Raises:
        IncompleteResponseError: The stream ended before the response was
            complete, the response was malformed or too large, or further
            bytes followed it.
        TimeoutError: No byte arrived for `stall_timeout_s`.
    """
    collector = _ResponseCollector()
    parser = httptools.HttpResponseParser(collector)
    received = 0
    while not collector.is_complete:
        data = await _read_chunk(reader, stall_timeout_s)
        if not data:
            raise IncompleteResponseError(
                f"stream ended after {received} bytes of an incomplete response"
            )
        received += len(data)
        if received > max_bytes:
            raise IncompleteResponseError(f"response exceeds {max_bytes} bytes")
        try:
            parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise IncompleteResponseError(
                f"malformed response: {error}"
            ) from error
    if collector.has_surplus:
        raise IncompleteResponseError("more than one response arrived")
    return HttpResponse(
        parser.get_status_code(),
        collector.headers,
        b"".join(collector.chunks),
        _keeps_alive(parser.get_http_version(), collector.headers),
    )


async def _read_chunk(
    reader: asyncio.StreamReader, timeout_s: float | None
) -> bytes:
    if timeout_s is None:
        return await reader.read(READ_CHUNK_BYTES)
    async with asyncio.timeout(timeout_s):
        return await reader.read(READ_CHUNK_BYTES)


def _keeps_alive(version: str, headers: dict[str, str]) -> bool:
    """Returns whether the server keeps the connection open.

    `should_keep_alive` of the parser isn't used: it is false for every complete
    response, so that connections would never be reused.
    """
    tokens = headers.get("connection", "").lower().replace(" ", "").split(",")
    if version == "1.1":
        return "close" not in tokens
    return "keep-alive" in tokens


async def call_once(
    dial_address: Dial, address: types.Address, request: HttpRequest
) -> HttpResponse:
    """Sends one request over a new connection and closes the connection.

    Raises:
        UnsendableRequestError: The request can't be encoded; none was sent.
        OSError: The connection failed.
        IncompleteResponseError: No complete response arrived.
    """
    data = encode_request(address, request)
    reader, writer = await dial_address(address)
    try:
        writer.write(data)
        await writer.drain()
        return await read_response(reader)
    finally:
        writer.close()
