"""Steps of tests/http_connection.feature."""

import asyncio
import contextlib
import itertools
import json
import socket
import struct
import tracemalloc

import behave
from returns import pipeline
import uvloop

from chervillead import http_connection
from chervillead import http_exchange
from chervillead import types
from chervillead import verdicts
from stand_ins import memory_network
from stand_ins import virtual_time

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


# A server that sends a part at this interval is never silent for longer.
PART_INTERVAL_S = 0.1
ADDRESS = types.Address("10.0.0.1", 80)


@behave.given("a server that sends a response in {parts:d} parts and {then}")
def step(context, parts, then):
    context.parts, context.completes = parts, then == "completes it"


async def read_in_parts(context, timeout_s, transfer_timeout_s):
    loop = asyncio.get_running_loop()
    length = context.parts if context.completes else context.parts + 1

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % length)
        for _ in range(context.parts):
            await asyncio.sleep(PART_INTERVAL_S)
            writer.write(b"x")
        await reader.read()
        writer.close()

    network = memory_network.MemoryNetwork()
    listening = asyncio.create_task(network.listen_at("server")(ADDRESS, serve))
    await asyncio.sleep(0)
    pool = http_connection.HttpConnectionPool(
        ADDRESS, dial=network.dial_from("client")
    )
    started_s = loop.time()
    request = http_exchange.HttpRequest("GET", "/")
    outcome = await pool.call(request, timeout_s, transfer_timeout_s)
    duration_s = loop.time() - started_s
    listening.cancel()
    return outcome, duration_s


@behave.when(
    "the response is read with {silence:g} s between bytes and {total:g} s "
    "in all"
)
def step(context, silence, total):
    context.outcome, context.duration_s = virtual_time.run_virtual(
        read_in_parts(context, silence, total), context.seed
    )


@behave.then("the call {outcome} after {low:g} s to {high:g} s")
def step(context, outcome, low, high):
    succeeded = pipeline.is_successful(context.outcome)
    assert succeeded == (outcome == "succeeds"), context.outcome
    assert low <= context.duration_s <= high, context.duration_s


HEAD = b"HTTP/1.1 200 OK\r\n"
ENDLESS = {
    "a body": (HEAD + b"content-length: 1000000000\r\n\r\n", b"x" * 65536),
    "small chunks": (
        HEAD + b"transfer-encoding: chunked\r\n\r\n",
        b"40\r\n" + b"x" * 64 + b"\r\n",
    ),
    "headers": (HEAD, b"x-%d: " + b"y" * 100 + b"\r\n"),
}


@behave.given("a server that sends {what} without end")
def step(context, what):
    context.first, context.part = ENDLESS[what]


@behave.when("a response of at most {count:d} bytes is read from it")
def step(context, count):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(context.first)
        with contextlib.suppress(OSError):
            for number in itertools.count():
                part = context.part
                writer.write(part % number if b"%d" in part else part)
                await writer.drain()
        writer.close()

    async def read():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        pool = http_connection.HttpConnectionPool(
            types.Address("127.0.0.1", port), max_response_bytes=count
        )
        tracemalloc.start()
        outcome = await pool.call(http_exchange.HttpRequest("GET", "/"), 20.0)
        context.peak_bytes = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        server.close()
        return outcome

    context.outcome = asyncio.run(read())


@behave.then("the call fails because the response exceeds {count:d} bytes")
def step(context, count):
    detail = context.outcome.failure().detail
    assert f"exceeds {count} bytes" in detail, detail


@behave.then("reading it took at most {count:d} bytes of memory")
def step(context, count):
    assert context.peak_bytes <= count, context.peak_bytes


@behave.given("a server that records what it receives")
def step(context):
    context.received = []


@behave.when("a call is made with {text} in {part}")
def step(context, text, part):
    context.value = json.loads(text)

    async def serve(reader, writer):
        context.received.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
        writer.close()

    async def call():
        network = memory_network.MemoryNetwork()
        listen = network.listen_at("server")(ADDRESS, serve)
        listening = asyncio.create_task(listen)
        await asyncio.sleep(0)
        dial = network.dial_from("client")
        address = (
            types.Address(context.value, ADDRESS.port)
            if part == "the host"
            else ADDRESS
        )
        pool = http_connection.HttpConnectionPool(
            address, dial=lambda _: dial(ADDRESS)
        )
        request = http_exchange.HttpRequest(
            "GET",
            context.value if part == "the path" else "/",
            (("expect-instance", context.value),) if part == "a header" else (),
        )
        outcome = await pool.call(request, 1.0)
        listening.cancel()
        return outcome

    context.outcome = virtual_time.run_virtual(call(), context.seed)


@behave.then("the call fails as not run and the server receives nothing")
def step(context):
    assert not context.received, context.received
    assert context.outcome.failure().verdict is verdicts.Verdict.NOT_RUN


@behave.then("the server receives that header unchanged")
def step(context):
    assert pipeline.is_successful(context.outcome), context.outcome
    line = f"expect-instance: {context.value}\r\n".encode("latin-1")
    assert line in context.received[0], context.received
