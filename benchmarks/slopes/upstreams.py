"""Slopes of what entry hosts cause to workers: lease renewals, connections.

Real connections over loopback; the worker's end runs in the same process, so
processor time and memory include it.
"""

import asyncio
from collections import abc
import time
import tracemalloc
import typing

from benchmarks.slopes import line
from chervillead import http_exchange
from chervillead import types
from chervillead.entries import zone_allocator
from chervillead.upstreams import connections
from chervillead.upstreams import leases
from chervillead.upstreams import pool

# One task for each accelerator, spread over nine entry hosts.
TASKS = 32_000 // 9
WORKERS = (50, 100, 200)
TASKS_A_WORKER = (1, 2, 4, 8)
# Entry hosts that each run a task on the same worker.
ENTRY_HOSTS = (1, 2, 4, 8)
LEASE_S = zone_allocator.LEASE_MS / 1000
MEASURED_S = 4.0
RENEWALS_PER_S = leases.RENEWALS_PER_LEASE / LEASE_S
CLOCK = types.Clock(time.monotonic, time.time)


class _Worker:
    """Answers each renewal with the ids that it was asked for.

    Attributes:
        writers: Ends of all connections.
        renewed: Set by each renewal.
        received: Bytes of requests.
        sent: Bytes of answers.
        renewals: Number of requests.
    """

    def __init__(self) -> None:
        self.writers: set[asyncio.StreamWriter] = set()
        self.renewed = asyncio.Event()
        self.received = 0
        self.sent = 0
        self.renewals = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection until the client closes it."""
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(
                    head.partition(b"content-length: ")[2].split(b"\r\n")[0]
                )
                body = await reader.readexactly(length)
                answer = (
                    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
                    b"content-length: %d\r\n\r\n%b" % (length, body)
                )
                writer.write(answer)
                self.received += len(head) + length
                self.sent += len(answer)
                self.renewals += 1
                self.renewed.set()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


class _Renewals(typing.NamedTuple):
    """What renewals of some seconds took."""

    core_percent: float
    bytes_per_renewal: float
    open_mb: float


def _add_tasks(running: leases.RunningTasks, workers: int, tasks: int) -> None:
    loop = asyncio.get_running_loop()
    for worker in range(workers):
        # Each worker needs an address of its own; the dial leads all to one.
        address = types.Address(f"10.0.{worker // 250}.{worker % 250}", 8000)
        upstream = types.Upstream(f"host-{worker}", "zone-0", address)
        for number in range(tasks):
            request_id = f"01939c3e-7a3b-7cc2-9b1d-{worker:06x}{number:06x}"
            grant = types.Grant(
                request_id, request_id, "entry-0", upstream, 0.0, LEASE_S
            )
            call = connections.Call(
                http_exchange.HttpRequest("POST", "/"),
                request_id,
                0.0,
                0.0,
                loop.create_future(),
                asyncio.Event(),
                lambda: None,
            )
            running.add(grant, call)


async def _renew_for_a_while(
    workers: int,
    tasks: int,
    *,
    lease_s: float = LEASE_S,
    measured_s: float = MEASURED_S,
) -> _Renewals:
    """Runs the real task of renewals against workers of `tasks` each."""
    worker = _Worker()
    server = await asyncio.start_server(
        worker.serve, "127.0.0.1", 0, backlog=1024
    )
    listening = types.Address(*server.sockets[0].getsockname()[:2])
    running = leases.RunningTasks(CLOCK)
    pools = pool.UpstreamPools(
        CLOCK, lambda address: http_exchange.dial(listening)
    )
    _add_tasks(running, workers, tasks)
    renewing = asyncio.create_task(
        leases.renew_leases(running, pools, CLOCK, lease_s=lease_s)
    )
    # The first renewals open the connections.
    await asyncio.sleep(lease_s)
    worker.renewed.clear()
    before, start_s = worker.renewals, time.process_time()
    bytes_before = worker.received + worker.sent
    await asyncio.sleep(measured_s)
    await worker.renewed.wait()
    used_s = time.process_time() - start_s
    result = _Renewals(
        used_s / measured_s * 100,
        (worker.received + worker.sent - bytes_before)
        / (worker.renewals - before),
        tracemalloc.get_traced_memory()[0] / 1e6,
    )
    renewing.cancel()
    await asyncio.gather(renewing, return_exceptions=True)
    pools.close()
    server.close()
    # The worker's tasks end before the loop does.
    for writer in worker.writers:
        writer.close()
    await asyncio.sleep(0.1)
    return result


def _kb_per_s(tasks: int) -> float:
    """Returns the bytes at a worker; only the rate depends on the lease."""
    run = asyncio.run(_renew_for_a_while(1, tasks, lease_s=0.3, measured_s=0.4))
    return run.bytes_per_renewal * RENEWALS_PER_S / 1e3


def measure_worker() -> abc.Iterator[line.Slope]:
    """Yields the bytes that renewals cause at a worker, both ways."""
    by_tasks = line.measure_points(TASKS_A_WORKER, _kb_per_s)
    one = by_tasks[0][1]
    yield line.Slope(
        "worker: renewals by one entry host",
        "tasks on the worker",
        "KB/s",
        by_tasks,
        TASKS_A_WORKER[-1],
        line.MAX_KB_PER_S,
    )
    yield line.Slope(
        "worker: renewals, each task by another entry host",
        "entry hosts",
        "KB/s",
        tuple((hosts, hosts * one) for hosts in ENTRY_HOSTS),
        ENTRY_HOSTS[-1],
        line.MAX_KB_PER_S,
    )


def measure_renewals() -> abc.Iterator[line.Slope]:
    """Yields processor time and memory of renewals at an entry host."""
    runs = {n: asyncio.run(_renew_for_a_while(n, 1)) for n in WORKERS}
    yield line.Slope(
        "entry host: renewals, a task on each worker, both ends",
        "tasks",
        "% core",
        tuple((n, run.core_percent) for n, run in runs.items()),
        TASKS,
        line.MAX_CORE_PERCENT,
    )
    tracemalloc.start()
    opened = {n: asyncio.run(_renew_for_a_while(n, 1)) for n in WORKERS}
    tracemalloc.stop()
    yield line.Slope(
        "memory: a control connection and its task, both ends",
        "connections",
        "MB",
        tuple((n, run.open_mb) for n, run in opened.items()),
        TASKS,
        line.MAX_MEMORY_MB,
    )
