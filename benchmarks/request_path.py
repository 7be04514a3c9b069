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
from stand_ins import free_ports
from stand_ins import local_fleet

PLAN = local_fleet.FleetPlan(
    entry_hosts=1,
    upstreams_per_queue=4,
    slots=64,  # more than the connections, so that no upstream refuses
    zones=local_fleet.ZONES[:1],
)
CONNECTIONS = 32
ROUNDS = 5
ROUND_S = 1.5
LATENCY_ROUND_S = 0.5
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
    """A way to an upstream that is measured, and the process on it."""

    address: types.Address
    kind: load.RequestKind
    process: str


def _routes(
    plan: local_fleet.FleetPlan, forwarder: types.Address
) -> dict[str, Route]:
    entry, name = plan.callers_address(0), plan.entry_name(0)
    return {
        "forwarder": Route(forwarder, _kind(idempotent=True), "forwarder"),
        "idempotent": Route(entry, _kind(idempotent=True), name),
        "claimed": Route(entry, _kind(idempotent=False), name),
        "direct": Route(
            plan.upstream_address(0, 0),
            load.RequestKind("/tasks", (("chervillead-lease-ms", "10000"),)),
            f"{QUEUE}-0",
        ),
    }


class Measured(typing.NamedTuple):
    """Medians over the rounds, by route, and the idle memory."""

    throughput: dict[str, float]
    processor_s: dict[str, float]
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
    for name, value in measured.processor_s.items():
        yield figures.BenchmarkResult(
            f"request path: processor time in us, {name}",
            1e6 * value,
            "-",
            True,
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
    ports = free_ports.reserve_ports(1)
    forwarder = types.Address(local_fleet.LOOPBACK, ports.base)
    with tempfile.TemporaryDirectory() as folder:
        fleet = local_fleet.start_fleet(PLAN, pathlib.Path(folder))
        try:
            local_fleet.start_process(
                fleet,
                "forwarder",
                "benchmarks.forwarder",
                str(forwarder.port),
                *(
                    str(fleet.plan.upstream_address(0, index).port)
                    for index in range(PLAN.upstreams_per_queue)
                ),
            )
            return uvloop.run(_measure(fleet, _routes(fleet.plan, forwarder)))
        finally:
            local_fleet.stop_fleet(fleet)
            ports.release()


async def _measure(
    fleet: local_fleet.Fleet, routes: dict[str, Route]
) -> Measured:
    await local_fleet.wait_until_ready(fleet)
    await asyncio.sleep(1.0)
    process = psutil.Process(fleet.processes[PLAN.entry_name(0)].pid)
    idle_mb = process.memory_info().rss / 1e6
    throughputs: dict[str, list[float]] = {name: [] for name in routes}
    processor_s: dict[str, list[float]] = {name: [] for name in routes}
    latencies_s: dict[str, list[float]] = {name: [] for name in routes}
    failed = 0
    for number in range(ROUNDS + 1):
        for name, (address, kind, process_name) in routes.items():
            process = psutil.Process(fleet.processes[process_name].pid)
            before_s = sum(process.cpu_times()[:2])
            many = await load.run_load(address, kind, CONNECTIONS, ROUND_S)
            used_s = sum(process.cpu_times()[:2]) - before_s
            one = await load.run_load(address, kind, 1, LATENCY_ROUND_S)
            failed += many.failed + one.failed
            if number > 0:  # the first round warms up
                throughputs[name].append(many.throughput)
                processor_s[name].append(used_s / len(many.latencies_s))
                latencies_s[name].append(statistics.median(one.latencies_s))
    return Measured(
        _medians(throughputs),
        _medians(processor_s),
        _medians(latencies_s),
        idle_mb,
        failed,
    )


def _medians(values: dict[str, list[float]]) -> dict[str, float]:
    return {name: statistics.median(found) for name, found in values.items()}
