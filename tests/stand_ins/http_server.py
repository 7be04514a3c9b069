"""A minimal HTTP/1.1 server whose handlers can inject faults.

A handler gets the request and the writer of the connection, so that a stand-in
can close the connection, truncate a response or never respond.
"""

import asyncio
from collections import abc
import typing
import urllib.parse

import httptools


class ReceivedRequest(typing.NamedTuple):
    """One complete request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


class Reply(typing.NamedTuple):
    """Response to a request; Content-Length is added."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


# A handler returns None if it has written to or closed the connection itself.
Handler = abc.Callable[
    [ReceivedRequest, asyncio.StreamWriter], abc.Awaitable[Reply | None]
]


class _Collector:
    def __init__(self) -> None:
        self.url = b""
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.complete = True


def encode_reply(reply: Reply) -> bytes:
    """Returns the bytes of `reply`."""
    lines = [
        f"HTTP/1.1 {reply.status} x",
        f"content-length: {len(reply.body)}",
        *(f"{name}: {value}" for name, value in reply.headers),
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + reply.body


async def read_requests(
    reader: asyncio.StreamReader,
) -> abc.AsyncIterator[ReceivedRequest]:
    """Yields the requests of one connection until it closes."""
    while True:
        collector = _Collector()
        parser = httptools.HttpRequestParser(collector)
        while not collector.complete:
            data = await reader.read(65536)
            if not data:
                return
            parser.feed_data(data)
        url = urllib.parse.urlsplit(collector.url.decode())
        yield ReceivedRequest(
            parser.get_method().decode(),
            url.path,
            dict(urllib.parse.parse_qsl(url.query)),
            collector.headers,
            collector.body,
        )


def serve_connections(
    handler: Handler,
) -> abc.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], abc.Awaitable[None]
]:
    """Returns the function that serves one connection with `handler`."""

    async def connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            async for request in read_requests(reader):
                reply = await handler(request, writer)
                if reply is not None:
                    writer.write(encode_reply(reply))
                    await writer.drain()
        except (
            ConnectionError,
            httptools.HttpParserError,
            asyncio.CancelledError,
        ):
            # A stopping stand-in cancels its connections; asyncio would log
            # each cancellation as an error.
            pass
        finally:
            writer.close()

    return connection


async def serve(handler: Handler, host: str, port: int) -> asyncio.Server:
    """Starts a TCP server that passes each request to `handler`."""
    return await asyncio.start_server(serve_connections(handler), host, port)
