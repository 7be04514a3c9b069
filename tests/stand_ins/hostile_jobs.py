"""Clients that send whole bodies of legal size which cost a host dearly.

Some are refused once they are decoded, others are accepted and kept. Clients
come back until they are told to stop, each from an address of its own.
"""

import asyncio
import contextlib
import itertools
import typing

import msgspec

from chervillead import http_exchange
from chervillead import types
from stand_ins import platform_fleet

BODY_LIMIT = 262_144
CLIENTS = 40
# Jobs that each client submits where jobs are accepted and kept.
JOBS_PER_CLIENT = 5
# Bodies that a client sends on one connection before it reads a response.
BODIES_PER_CONNECTION = 8
RESPONSE_WITHIN_S = 3.0
# Ids of ordinary jobs are lower.
FIRST_JOB = 1_000_000


class Body(typing.NamedTuple):
    """A body, and how it is sent.

    Attributes:
        data: The body.
        chunk_bytes: Size of its chunks; 0 for a body of declared size.
        per_connection: Bodies sent before the first response is read.
    """

    data: bytes
    chunk_bytes: int = 0
    per_connection: int = 1


def _filled(step: dict[str, typing.Any]) -> bytes:
    """Returns a body of legal size with as many equal steps as it holds."""
    encoded = msgspec.json.encode(step)
    count = (BODY_LIMIT - 32) // (len(encoded) + 1)
    return b'{"Phases":[' + b",".join([encoded] * count) + b"]}"


def _job(steps: list[dict[str, typing.Any]], **fields: typing.Any) -> bytes:
    return msgspec.json.encode({"Spec": "x", "Phases": steps} | fields)


EMPTY_STEPS = _filled({})
SMALL_STEPS = _filled({"Count": 1})
REAL_STEPS = _filled(platform_fleet.step(1))

# Bodies that are refused once they have been decoded.
REFUSED: dict[str, Body] = {
    "bodies of empty steps": Body(EMPTY_STEPS),
    "bodies of small steps": Body(SMALL_STEPS),
    "bodies of real steps": Body(REAL_STEPS),
    "several bodies of empty steps on one connection": Body(
        EMPTY_STEPS, per_connection=BODIES_PER_CONNECTION
    ),
    "bodies of empty steps in chunks of one byte": Body(EMPTY_STEPS, 1),
}

# Jobs that are accepted while there is room for them.
ACCEPTED: dict[str, bytes] = {
    "jobs of 100,000 tasks": _job([platform_fleet.step(100_000)]),
    "jobs of 100,000 occurrences": _job(
        [platform_fleet.step(1)], RepeatCount=100_000, IntervalMs=1000
    ),
    "jobs of 1,000 steps": _job([platform_fleet.step(1)] * 1000),
    "jobs of many dependencies": _job(
        [platform_fleet.step(1)] + [platform_fleet.step(1, After=[0] * 100_000)]
    ),
}


def client_address(number: int) -> str:
    """Returns the loopback address that a client connects from."""
    return f"127.0.2.{number + 1}"


def _request(job: int, body: Body) -> bytes:
    path = platform_fleet.QUEUE_PATH + platform_fleet.job_id(job)
    length = (
        "transfer-encoding: chunked"
        if body.chunk_bytes
        else f"content-length: {len(body.data)}"
    )
    lines = [
        f"POST {path} HTTP/1.1",
        "host: 127.0.0.1",
        f"key: {platform_fleet.KEY}",
        length,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + _framed(body)


def _framed(body: Body) -> bytes:
    """Returns the bytes of a body as they are sent."""
    if not body.chunk_bytes:
        return body.data
    size = body.chunk_bytes
    parts = (
        body.data[first : first + size]
        for first in range(0, len(body.data), size)
    )
    return b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in parts) + b"0\r\n\r\n"


async def _exchange(
    address: types.Address, number: int, data: bytes, responses: int
) -> list[int]:
    """Sends requests on one connection; returns the statuses that came."""
    statuses: list[int] = []
    with contextlib.suppress(
        OSError, TimeoutError, http_exchange.IncompleteResponseError
    ):
        reader, writer = await asyncio.open_connection(
            address.host, address.port, local_addr=(client_address(number), 0)
        )
        try:
            async with asyncio.timeout(RESPONSE_WITHIN_S):
                writer.write(data)
                for _ in range(responses):
                    response = await http_exchange.read_response(reader)
                    statuses.append(response.status)
        finally:
            writer.transport.abort()
    return statuses


async def attack(
    address: types.Address, body: Body, statuses: list[int]
) -> None:
    """Sends refused bodies from all clients until cancelled.

    Args:
        address: Address of the entry host's port for callers.
        body: What each client sends, again and again.
        statuses: Takes the statuses of the responses.
    """
    data = _request(FIRST_JOB, body) * body.per_connection

    async def run_client(number: int) -> None:
        while True:
            statuses.extend(
                await _exchange(address, number, data, body.per_connection)
            )
            await asyncio.sleep(0.05)

    async with asyncio.TaskGroup() as group:
        for number in range(CLIENTS):
            group.create_task(run_client(number))


async def submit_all(address: types.Address, data: bytes) -> list[int]:
    """Submits the jobs of all clients at once; returns the statuses."""
    body = Body(data)

    async def run_client(number: int) -> list[int]:
        first = FIRST_JOB + number * JOBS_PER_CLIENT
        return list(
            itertools.chain.from_iterable(
                [
                    await _exchange(address, number, _request(job, body), 1)
                    for job in range(first, first + JOBS_PER_CLIENT)
                ]
            )
        )

    found = await asyncio.gather(*(run_client(n) for n in range(CLIENTS)))
    return list(itertools.chain.from_iterable(found))
