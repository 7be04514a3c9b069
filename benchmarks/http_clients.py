"""Compares HTTP clients towards upstreams: cost, and what a lost answer does.

Run as `python -m benchmarks.http_clients`; the figures are in
docs/decisions/upstream-http-client.md. A client is a function that sends one
POST; each keeps its connections.
"""

import asyncio
from collections import abc
import itertools
import statistics
import subprocess
import sys
import time

from blacksheep import client as blacksheep_client
from blacksheep import contents
import h11
import uvloop

from chervillead import http_exchange
from chervillead import types
from chervillead.upstreams import pool
from stand_ins import free_ports
from stand_ins import http_server

CONCURRENCY = 8
REQUESTS = 4000
ROUNDS = 5
CLIENT_NAMES = ("httptools", "h11", "blacksheep")

# Sends a POST with an id; returns the status of the answer.
SendPost = abc.Callable[[str], abc.Awaitable[int]]


def _httptools_client(address: types.Address) -> SendPost:
    clock = types.Clock(time.monotonic, time.time)
    client = pool.UpstreamPools(clock).pool(types.Upstream("u", "a", address))

    async def send(request_id: str) -> int:
        outcome = await client.work.call(_request(request_id), 10.0)
        return outcome.unwrap().status

    return send


def _request(request_id: str) -> http_exchange.HttpRequest:
    headers = (
        ("chervillead-request-id", request_id),
        ("chervillead-lease-ms", "10000"),
    )
    return http_exchange.HttpRequest("POST", "/tasks", headers, b"run=0")


def _h11_client(address: types.Address) -> SendPost:
    """h11 on streams, in the way of `connections.run_connection`."""
    idle: list[tuple[h11.Connection, http_exchange.Streams]] = []

    async def send(request_id: str) -> int:
        if idle:
            protocol, streams = idle.pop()
        else:
            protocol = h11.Connection(h11.CLIENT)
            streams = await http_exchange.dial(address)
        request = _request(request_id)
        streams[1].write(
            (
                protocol.send(
                    h11.Request(
                        method=request.method,
                        target=request.path,
                        headers=[
                            ("host", f"{address.host}:{address.port}"),
                            ("content-length", str(len(request.body))),
                            *request.headers,
                        ],
                    )
                )
                or b""
            )
            + (protocol.send(h11.Data(data=request.body)) or b"")
            + (protocol.send(h11.EndOfMessage()) or b"")
        )
        await streams[1].drain()
        status = await _read_h11(protocol, streams[0])
        protocol.start_next_cycle()
        idle.append((protocol, streams))
        return status

    return send


async def _read_h11(
    protocol: h11.Connection, reader: asyncio.StreamReader
) -> int:
    status = 0
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await reader.read(65536))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.EndOfMessage):
            return status


def _blacksheep_client(address: types.Address) -> SendPost:
    session = blacksheep_client.ClientSession(
        base_url=f"http://{address.host}:{address.port}"
    )

    async def send(request_id: str) -> int:
        request = _request(request_id)
        response = await session.post(
            request.path,
            contents.Content(b"text/plain", request.body),
            headers=[(n.encode(), v.encode()) for n, v in request.headers],
        )
        await response.read()
        return int(response.status)

    return send


CLIENTS: dict[str, abc.Callable[[types.Address], SendPost]] = dict(
    zip(
        CLIENT_NAMES,
        (_httptools_client, _h11_client, _blacksheep_client),
        strict=True,
    )
)


async def _cost_us(send: SendPost) -> tuple[float, float]:
    """Returns requests a second and this process's time for each, in us."""
    numbers = itertools.count()

    async def worker() -> None:
        while (number := next(numbers)) < REQUESTS:
            assert await send(f"request-{number}") == 200

    started_s, cpu_s = time.perf_counter(), time.process_time()
    await asyncio.gather(*(worker() for _ in range(CONCURRENCY)))
    cpu_us = 1e6 * (time.process_time() - cpu_s) / REQUESTS
    return REQUESTS / (time.perf_counter() - started_s), cpu_us


async def posts_received(name: str) -> int:
    """Sends two POSTs to a server that closes on the second; counts all."""
    received: list[str] = []

    async def handle(
        request: http_server.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> http_server.Reply | None:
        request_id = request.headers["chervillead-request-id"]
        received.append(request_id)
        if len(received) == 2:
            writer.close()
            return None
        echo = (("chervillead-request-id", request_id),)
        return http_server.Reply(200, b"done", echo)

    ports = free_ports.reserve_ports(1)
    closing = types.Address(free_ports.LOOPBACK, ports.base)
    server = await http_server.serve(handle, *closing)
    send = CLIENTS[name](closing)
    await send("first")
    try:
        await send("second")
    except Exception as error:
        print(f"{name}: the second POST ended with {type(error).__name__}")
    server.close()
    ports.release()
    return received.count("second")


async def _compare(address: types.Address) -> None:
    figures: dict[str, list[tuple[float, float]]] = {n: [] for n in CLIENTS}
    for _ in range(ROUNDS):
        for name, connect in CLIENTS.items():
            figures[name].append(await _cost_us(connect(address)))
    for name, rounds in figures.items():
        rate = statistics.median(rate for rate, _ in rounds)
        cpu_us = statistics.median(cpu_us for _, cpu_us in rounds)
        posts = await posts_received(name)
        print(
            f"{name:12} {rate:8.0f} requests/s {cpu_us:8.1f} us each, "
            f"second POST received {posts} times"
        )


def main() -> None:
    """Starts an upstream, compares the clients and stops it."""
    ports = free_ports.reserve_ports(1)
    address = types.Address(free_ports.LOOPBACK, ports.base)
    upstream = subprocess.Popen(
        [sys.executable, "-m", "stand_ins.upstream", str(address.port), "64"]
    )
    try:
        time.sleep(1.0)
        uvloop.run(_compare(address))
    finally:
        upstream.terminate()
        upstream.wait()
        ports.release()


if __name__ == "__main__":
    main()
