"""Clients that use up memory or descriptors of an entry host.

Each pattern is a coroutine for one client. It ends when it has sent what it
has to send, or when the entry host closes the connection. The connection stays
open until the caller closes it.
"""

import asyncio
from collections import abc
import contextlib
import struct
import typing

import msgspec

from chervillead import types
from stand_ins import platform_fleet

BODY_LIMIT = 262_144
# Sent by each client of a body over the limit, as in docs/hard-load.md.
OVERSIZE_BYTES = 4 * 1024 * 1024
PIECE = b"x" * 65_536
TINY_CHUNKS = 20_000
# An entry host that reads no more lets a client wait; the client gives up.
SEND_TIMEOUT_S = 3.0
PIPELINED_REQUESTS = 40_000
# Bytes of a head that never ends; a host may use a tenth of that.
HEAD_BYTES = 1024 * 1024


class Connection(typing.NamedTuple):
    """Streams of one client."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


Pattern = abc.Callable[[Connection], abc.Awaitable[None]]


def _head(*headers: str) -> bytes:
    """Returns the head of a submission by a caller with a valid key."""
    path = platform_fleet.QUEUE_PATH + platform_fleet.job_id(99)
    lines = [
        f"POST {path} HTTP/1.1",
        "host: 127.0.0.1",
        f"key: {platform_fleet.KEY}",
        *headers,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def _legal_body() -> bytes:
    """Returns a body of the maximum size that is refused once it is read.

    Accepted jobs are kept for good reason; the growth that they cause would
    hide that of the buffers.
    """
    empty = msgspec.json.encode({"Phases": [], "Spec": ""})
    padding = "x" * (BODY_LIMIT - len(empty))
    return msgspec.json.encode({"Phases": [], "Spec": padding})


_LEGAL_BODY = _legal_body()
_DECLARED_HEAD = _head(f"content-length: {BODY_LIMIT}")
_CHUNKED_HEAD = _head("transfer-encoding: chunked")


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n" % len(data) + data + b"\r\n"


async def _send(connection: Connection, data: bytes) -> None:
    connection.writer.write(data)
    async with asyncio.timeout(SEND_TIMEOUT_S):
        await connection.writer.drain()


async def _send_whole(connection: Connection) -> None:
    await _send(connection, _DECLARED_HEAD + _LEGAL_BODY)


async def _send_pieces(connection: Connection) -> None:
    await _send(connection, _DECLARED_HEAD)
    for first in range(0, BODY_LIMIT, 16_384):
        await _send(connection, _LEGAL_BODY[first : first + 16_384])
        await asyncio.sleep(0.05)


async def _stop_short(connection: Connection) -> None:
    await _send(connection, _DECLARED_HEAD + _LEGAL_BODY[:-1])


async def _send_large_chunks(connection: Connection) -> None:
    await _stop_large_chunks(connection)
    await _send(connection, b"0\r\n\r\n")


async def _stop_large_chunks(connection: Connection) -> None:
    await _send(connection, _CHUNKED_HEAD)
    for first in range(0, BODY_LIMIT, len(PIECE)):
        piece = _LEGAL_BODY[first : first + len(PIECE)]
        await _send(connection, _chunk(piece))


async def _send_tiny_chunks(connection: Connection) -> None:
    await _stop_tiny_chunks(connection)
    await _send(connection, b"0\r\n\r\n")


async def _stop_tiny_chunks(connection: Connection) -> None:
    await _send(connection, _CHUNKED_HEAD)
    for _ in range(TINY_CHUNKS // 1000):
        await _send(connection, _chunk(b" ") * 1000)


async def _declare_too_much(connection: Connection) -> None:
    await _send(connection, _head("content-length: 1000000000"))
    for _ in range(OVERSIZE_BYTES // len(PIECE)):
        await _send(connection, PIECE)


async def _send_without_end(connection: Connection) -> None:
    await _send(connection, _CHUNKED_HEAD)
    for _ in range(OVERSIZE_BYTES // len(PIECE)):
        await _send(connection, _chunk(PIECE))


async def _send_endless_head(connection: Connection) -> None:
    await _send(connection, _head()[:-2])
    for number in range(HEAD_BYTES // 4096):
        await _send(connection, b"x-%d: " % number + b"y" * 4000 + b"\r\n")


async def _send_nothing(connection: Connection) -> None:
    del connection


async def _read_nothing(connection: Connection) -> None:
    connection.reader._transport.pause_reading()  # type: ignore[attr-defined]
    request = b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n"
    for _ in range(PIPELINED_REQUESTS // 1000):
        await _send(connection, request * 1000)


async def _stop_frames(connection: Connection) -> None:
    # The largest frame that hosts send each other is 4 MB.
    await _send(connection, struct.pack(">I", OVERSIZE_BYTES))
    for _ in range(OVERSIZE_BYTES // len(PIECE) - 1):
        await _send(connection, PIECE)


async def _send_slowly(connection: Connection) -> None:
    await _send(connection, _DECLARED_HEAD + b"x")


PATTERNS: dict[str, Pattern] = {
    "whole bodies of legal size": _send_whole,
    "bodies of legal size in pieces": _send_pieces,
    "bodies of legal size that stop one byte short": _stop_short,
    "bodies of legal size in large chunks": _send_large_chunks,
    "large chunks that stop before their end": _stop_large_chunks,
    "bodies in chunks of one byte": _send_tiny_chunks,
    "chunks of one byte that stop before their end": _stop_tiny_chunks,
    "bodies declared far over the limit": _declare_too_much,
    "bodies over the limit without a declared size": _send_without_end,
    "request heads that never end": _send_endless_head,
    "connections that send nothing": _send_nothing,
    "requests whose responses are never read": _read_nothing,
    "frames between hosts that stop before their end": _stop_frames,
    "a body that stops before its end": _send_slowly,
}


async def attack(
    address: types.Address,
    pattern: Pattern,
    clients: int,
    on_open: abc.Callable[[Connection], None] = lambda connection: None,
) -> list[Connection]:
    """Runs clients of one pattern and returns the connections they opened.

    Args:
        address: Address of the entry host's port.
        pattern: What each client does.
        clients: Number of clients.
        on_open: Called with each connection before its client sends anything.
    """
    opened: list[Connection] = []

    async def run_client() -> None:
        with contextlib.suppress(OSError, TimeoutError):
            connection = Connection(
                *await asyncio.open_connection(address.host, address.port)
            )
            opened.append(connection)
            on_open(connection)
            await pattern(connection)

    await asyncio.gather(*(run_client() for _ in range(clients)))
    return opened
