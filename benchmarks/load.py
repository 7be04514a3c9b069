"""A closed-loop HTTP client that costs little beside the measured process."""

import asyncio
import time
import typing

import httptools

from chervillead import types
from chervillead.callers import request_ids


class LoadResult(typing.NamedTuple):
    """What a run of the client saw."""

    throughput: float
    latencies_s: list[float]
    failed: int


class RequestKind(typing.NamedTuple):
    """What each request looks like; it gets an id of its own."""

    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b"run=0"


class _Client(asyncio.Protocol):
    """One connection that sends its next request after each answer."""

    def __init__(self, kind: RequestKind, end_s: float) -> None:
        lines = [
            f"POST {kind.path} HTTP/1.1",
            "host: loopback",
            f"content-length: {len(kind.body)}",
            "content-type: text/plain",
            *(f"{name}: {value}" for name, value in kind.headers),
            "chervillead-request-id: ",
        ]
        self._head = "\r\n".join(lines).encode()
        self._tail = b"\r\n\r\n" + kind.body
        self._end_s = end_s
        self._sent_s = 0.0
        self.latencies_s: list[float] = []
        self.failed = 0
        self.done = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: typing.Any) -> None:
        """Sends the first request."""
        self._transport = transport
        self._send()

    def data_received(self, data: bytes) -> None:
        """Passes bytes to the parser."""
        self._parser.feed_data(data)

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the run of this connection."""
        if not self.done.done():
            self.failed += 1
            self.done.set_result(None)

    def on_message_complete(self) -> None:
        """Notes an answer and sends the next request."""
        now_s = time.perf_counter()
        self.latencies_s.append(now_s - self._sent_s)
        self.failed += self._parser.get_status_code() != 200
        if now_s < self._end_s:
            # The parser must not be replaced while it runs.
            asyncio.get_running_loop().call_soon(self._send)
        else:
            self.done.set_result(None)
            self._transport.close()

    def _send(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        request_id = request_ids.new_request_id(time.time()).encode()
        self._sent_s = time.perf_counter()
        self._transport.write(self._head + request_id + self._tail)


async def run_load(
    address: types.Address, kind: RequestKind, connections: int, time_s: float
) -> LoadResult:
    """Sends requests on all connections for `time_s` seconds."""
    loop = asyncio.get_running_loop()
    start_s = time.perf_counter()
    clients = [
        (
            await loop.create_connection(
                lambda: _Client(kind, start_s + time_s),
                address.host,
                address.port,
            )
        )[1]
        for _ in range(connections)
    ]
    await asyncio.gather(*(client.done for client in clients))
    took_s = time.perf_counter() - start_s
    latencies_s = [s for client in clients for s in client.latencies_s]
    return LoadResult(
        len(latencies_s) / took_s,
        latencies_s,
        sum(client.failed for client in clients),
    )
