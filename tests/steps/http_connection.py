"""Steps of tests/http_connection.feature."""

import asyncio
import socket
import struct

import behave
from returns import pipeline
import uvloop

from chervillead import http_connection
from chervillead import http_exchange
from chervillead import types

# SO_LINGER value with which close() sends a TCP reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@behave.given("a server that {ends} each connection after its response")
def step(context, ends):
    context.resets = ends == "resets"


async def make_calls(context, count):
    connections = 0

    async def serve(reader, writer):
        nonlocal connections
        connections += 1
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
        await writer.drain()
        await asyncio.sleep(0.02)
        if context.resets:
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    pool = http_connection.HttpConnectionPool(types.Address("127.0.0.1", port))
    outcomes = []
    for _ in range(count):
        request = http_exchange.HttpRequest("GET", "/")
        outcomes.append(await pool.call(request, 1.0))
        await asyncio.sleep(0.1)
    server.close()
    return outcomes, connections


@behave.when("{count:d} calls are made in sequence")
def step(context, count):
    context.outcomes, context.connections = uvloop.run(
        make_calls(context, count)
    )


@behave.then("each call succeeds on its own connection")
def step(context):
    assert all(map(pipeline.is_successful, context.outcomes)), context.outcomes
    assert context.connections == len(context.outcomes)
