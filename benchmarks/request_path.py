"""Cost of the request path of one entry host, in real processes on loopback.

Runs through the entry host, through the bare forwarder and straight to an
upstream take turns and medians are compared, because the machine is shared.
"""

import asyncio
from collections import abc
import pathlib
import statistics
import tempfile
import typing

import psutil
import uvloop

from benchmarks import figures
from benchmarks import load
from chervillead import types
from stand_ins import local_fleet

PLAN = local_fleet.FleetPlan(
    base_port=22000,
    entry_hosts=1,
    upstreams_per_queue=4,
    slots=64,  # more than the connections, so that no upstream refuses
    zones=local_fleet.ZONES[:1],
)
FORWARDER = types.Address(local_fleet.LOOPBACK, 22050)
CONNECTIONS = 32
ROUNDS = 3
ROUND_S = 2.0
LATENCY_ROUND_S = 0.7
MIN_THROUGHPUT_RATIO = 0.6
MAX_ADDED_LATENCY_RATIO = 2.0
MAX_IDLE_MB = 100.0

QUEUE = local_fleet.QUEUES[0]
KEY = local_fleet.TEAM_KEYS["nursery-north"]


def _kind(*, idempotent: bool) -> load.RequestKind:
    return load.RequestKind(
        f"/queues/{QUEUE}/requests",
        (
            ("authorization", f"Bearer {KEY}"),
            ("chervillead-idempotent", "true" if idempotent else "false"),
        ),
    )


class Route(typing.NamedTuple):
    """A way to an upstream that is measured."""

    address: types.Address
    kind: load.RequestKind


ROUTES = {
    "forwarder": Route(FORWARDER, _kind(idempotent=True)),
    "idempotent": Route(PLAN.callers_address(0), _kind(idempotent=True)),
    "claimed": Route(PLAN.callers_address(0), _kind(idempotent=False)),
    "direct": Route(
        PLAN.upstream_address(0, 0),
        load.RequestKind("/tasks", (("chervillead-lease-ms", "10000"),)),
    ),
}


class Measured(typing.NamedTuple):
    """Medians over the rounds, by route, and the idle memory."""

    throughput: dict[str, float]
    latency_s: dict[str, float]
    idle_mb: float
    failed: int


def measure() -> abc.Iterator[figures.BenchmarkResult]:
    """Yields throughput and latency by route, the ratios and the memory."""
    measured = run_fleet()
    yield figures.BenchmarkResult(
        "request path: failed requests",
        measured.failed,
        "== 0",
        measured.failed == 0,
    )
    for name, value in measured.throughput.items():
        yield figures.BenchmarkResult(
            f"request path: requests a second, {name}", value, "-", True
        )
    for name, value in measured.latency_s.items():
        yield figures.BenchmarkResult(
            f"request path: median latency in ms, {name}",
            1000 * value,
            "-",
            True,
        )
    for kind in ("idempotent", "claimed"):
        yield from _ratios(measured, kind)
    yield figures.BenchmarkResult(
        "request path: idle entry host in MB",
        measured.idle_mb,
        f"< {MAX_IDLE_MB}",
        measured.idle_mb < MAX_IDLE_MB,
    )


def _ratios(
    measured: Measured, kind: str
) -> abc.Iterator[figures.BenchmarkResult]:
    ratio = measured.throughput[kind] / measured.throughput["forwarder"]
    yield figures.BenchmarkResult(
        f"request path: throughput to forwarder, {kind}",
        ratio,
        f">= {MIN_THROUGHPUT_RATIO}",
        ratio >= MIN_THROUGHPUT_RATIO,
    )
    direct_s = measured.latency_s["direct"]
    added = (measured.latency_s[kind] - direct_s) / (
        measured.latency_s["forwarder"] - direct_s
    )
    yield figures.BenchmarkResult(
        f"request path: added latency to forwarder, {kind}",
        added,
        f"<= {MAX_ADDED_LATENCY_RATIO}",
        added <= MAX_ADDED_LATENCY_RATIO,
    )


def run_fleet() -> Measured:
    """Starts all processes, measures, and stops them."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = local_fleet.start_fleet(PLAN, pathlib.Path(folder))
        try:
            local_fleet.start_process(
                fleet,
                "forwarder",
                "benchmarks.forwarder",
                str(FORWARDER.port),
                *(
                    str(PLAN.upstream_address(0, index).port)
                    for index in range(PLAN.upstreams_per_queue)
                ),
            )
            return uvloop.run(_measure(fleet))
        finally:
            local_fleet.stop_fleet(fleet)


async def _measure(fleet: local_fleet.Fleet) -> Measured:
    await local_fleet.wait_until_ready(fleet)
    await asyncio.sleep(1.0)
    process = psutil.Process(fleet.processes[PLAN.entry_name(0)].pid)
    idle_mb = process.memory_info().rss / 1e6
    throughputs: dict[str, list[float]] = {name: [] for name in ROUTES}
    latencies_s: dict[str, list[float]] = {name: [] for name in ROUTES}
    failed = 0
    for number in range(ROUNDS + 1):
        for name, route in ROUTES.items():
            many = await load.run_load(*route, CONNECTIONS, ROUND_S)
            one = await load.run_load(*route, 1, LATENCY_ROUND_S)
            failed += many.failed + one.failed
            if number > 0:  # the first round warms up
                throughputs[name].append(many.throughput)
                latencies_s[name].append(statistics.median(one.latencies_s))
    del throughputs["direct"]
    return Measured(
        {name: statistics.median(v) for name, v in throughputs.items()},
        {name: statistics.median(v) for name, v in latencies_s.items()},
        idle_mb,
        failed,
    )
