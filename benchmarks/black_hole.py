"""Work that a worker destroys which fails everything it starts.

The real sending path runs on the virtual clock. Without ejection, the failing
worker frees its slots at once and so gets most of the work.
"""

import asyncio
from collections import abc
import contextlib
import random

from benchmarks import figures
from chervillead import types
from chervillead.upstreams import ejection
from chervillead.upstreams import pool
from chervillead.upstreams import slots
from stand_ins import http_server
from stand_ins import memory_network
from stand_ins import upstream as upstream_stand_in
from stand_ins import virtual_time

REQUESTS = 4_000
WORKERS = 8
SLOTS = 8
LOAD = 0.8
MEAN_RUN_S = 0.1
SEED = 20261204
MAX_RATIO = 0.05


def measure() -> abc.Iterator[figures.BenchmarkResult]:
    """Yields the failed requests without and with ejection, and the ratio."""
    without = virtual_time.run_virtual(_count_failed(ejects=False), SEED)
    with_ejection = virtual_time.run_virtual(_count_failed(ejects=True), SEED)
    for name, failed in (("without", without), ("with", with_ejection)):
        yield figures.BenchmarkResult(
            f"black hole: failed of {REQUESTS}, {name} ejection",
            failed,
            "-",
            True,
        )
    ratio = with_ejection / without
    yield figures.BenchmarkResult(
        "black hole: failed, with to without ejection",
        ratio,
        f"<= {MAX_RATIO}",
        ratio <= MAX_RATIO,
    )


async def _count_failed(*, ejects: bool) -> int:
    network = memory_network.MemoryNetwork(seed=SEED)
    clock = virtual_time.clock()
    listening = []
    candidates = []
    for number in range(WORKERS):
        state = upstream_stand_in.UpstreamState(slots=SLOTS)
        state.failure = "fail-fast" if number == 0 else ""
        name = f"worker-{number}"
        address = types.Address("127.0.0.1", 22000 + number)
        serve = http_server.serve_connections(
            upstream_stand_in.build_handler(state)
        )
        listen = network.listen_at(name)
        listening.append(asyncio.ensure_future(listen(address, serve)))
        candidates.append(
            slots.Candidate(types.Upstream(name, "a", address), SLOTS)
        )
    await asyncio.sleep(0.01)
    pools = pool.UpstreamPools(clock, network.dial_from("entry"))
    try:
        return await _send_all(candidates, pools, clock, ejects=ejects)
    finally:
        pools.close()
        for task in listening:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*listening)


async def _send_all(
    candidates: list[slots.Candidate],
    pools: pool.UpstreamPools,
    clock: types.Clock,
    *,
    ejects: bool,
) -> int:
    """Sends requests at the load's rate; returns how many failed."""
    chooser = random.Random(SEED)
    table = ejection.OutlierDetector()
    used = {c.upstream.name: 0 for c in candidates}
    freed = asyncio.Condition()
    failed = 0

    def choose() -> types.Upstream | None:
        now_s = clock.monotonic()
        return slots.choose_upstream(
            candidates,
            used=used.__getitem__,
            usable=lambda name, offered: (
                table.usable_slots(name, offered, now_s) if ejects else offered
            ),
            slowness=table.slowness,
        )

    async def one(number: int, run_s: float) -> None:
        nonlocal failed
        async with freed:
            await freed.wait_for(lambda: choose() is not None)
            upstream = choose()
            assert upstream is not None
            used[upstream.name] += 1
        started_s = clock.monotonic()
        succeeded = await _send(pools, clock, upstream, number, run_s)
        now_s = clock.monotonic()
        table.record_outcome(
            upstream.name, "pool", not succeeded, now_s - started_s, now_s
        )
        failed += not succeeded
        async with freed:
            used[upstream.name] -= 1
            freed.notify_all()

    rate = LOAD * WORKERS * SLOTS / MEAN_RUN_S
    async with asyncio.TaskGroup() as tasks:
        for number in range(REQUESTS):
            run_s = chooser.expovariate(1 / MEAN_RUN_S)
            tasks.create_task(one(number, run_s))
            await asyncio.sleep(chooser.expovariate(rate))
    return failed


async def _send(
    pools: pool.UpstreamPools,
    clock: types.Clock,
    upstream: types.Upstream,
    number: int,
    run_s: float,
) -> bool:
    now_s = clock.monotonic()
    request = types.Request(
        f"request-{number}",
        "queue",
        "team",
        f"run={run_s}".encode(),
        "text/plain",
        types.Size(),
        now_s + 30.0,
        False,
    )
    grant = types.Grant(
        str(number), request.request_id, "entry", upstream, now_s + 1.0, 2.0
    )
    outcome = await pool.send(pools, request, grant, clock)
    return outcome.map(lambda answer: answer.status == 200).value_or(False)
