"""Cost of folding one record, by size of the fleet.

Without shared mappings a record costs a copy of all hosts, so the bound is on
the growth: a record at 16,000 hosts within twice that at 1,000.
"""

from collections import abc
import itertools
import random
import time
import tracemalloc
import typing

from benchmarks import figures
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import fold
from chervillead.fleet import records

SIZES = (1_000, 4_000, 16_000)
POOLS = 36
ZONES = 9
MAX_GROWTH = 2.0
_MEASURED = 6_000
_REPEATS = 5


def measure() -> abc.Iterator[figures.BenchmarkResult]:
    """Yields records a second and memory by size, and the growth."""
    states = {size: fleet_state(size) for size in SIZES}
    costs: dict[int, float] = dict.fromkeys(SIZES, float("inf"))
    # The sizes take turns, so that a busy machine slows all of them alike.
    for _ in range(_REPEATS):
        for size, state in states.items():
            costs[size] = min(costs[size], cost_s(state))
    for size in SIZES:
        yield figures.BenchmarkResult(
            f"fold: records a second, {size} hosts", 1 / costs[size], "-", True
        )
    for size in SIZES:
        yield figures.BenchmarkResult(
            f"fold: state in MB, {size} hosts", _state_mb(size), "-", True
        )
    growth = costs[SIZES[-1]] / costs[SIZES[0]]
    yield figures.BenchmarkResult(
        "fold: cost of a record, 16,000 to 1,000 hosts",
        growth,
        f"<= {MAX_GROWTH}",
        growth <= MAX_GROWTH,
    )


def _fleet_records(size: int) -> abc.Iterator[records.Record]:
    def record(kind: str, subject: str, **fields: typing.Any) -> records.Record:
        return records.Record(
            f"{kind}-{subject}", kind, subject, records.NO_VERSION, fields
        )

    for zone in range(ZONES):
        yield record(records.ZONE, f"zone-{zone}", index=zone)
    for pool in range(POOLS):
        yield record(
            records.POOL,
            f"pool-{pool}",
            max_unavailable=8,
            max_unavailable_racks=8,
            max_unavailable_zones=ZONES,
        )
    for host in range(size):
        zone = host % ZONES
        yield record(
            records.HOST,
            f"host-{host}",
            pool=f"pool-{host % POOLS}",
            zone=f"zone-{zone}",
            rack=f"zone-{zone}-rack-{host // 36}",
            address=[f"10.0.{host // 250}.{host % 250}", 8000],
        )


def fold_all(
    state: configuration_module.Configuration,
    proposals: abc.Iterable[records.Record],
) -> configuration_module.Configuration:
    """Returns the state after records that must all be accepted."""
    entries = itertools.starmap(
        records.OffsetRecord, enumerate(proposals, state.offset + 1)
    )
    for step in fold.fold_records(state, entries):
        if step.result.outcome is not fold.Outcome.ACCEPTED:
            raise ValueError(f"the benchmark's record is wrong: {step.result}")
        state = step.configuration
    return state


def fleet_state(size: int) -> configuration_module.Configuration:
    """Returns the state of a fleet of `size` hosts in all pools and zones."""
    return fold_all(configuration_module.EMPTY, _fleet_records(size))


def _maintenance_records(
    state: configuration_module.Configuration,
) -> abc.Iterator[records.Record]:
    """Yields whole drains of random hosts, one after the other."""
    chooser = random.Random(7)
    hosts = chooser.sample(list(state.hosts), 1_000)
    # A host that was maintained before has a version.
    versions = {
        host: state.versions.get((records.DRAIN, host), records.NO_VERSION)
        for host in hosts
    }
    offset = state.offset
    for number in range(_MEASURED // 3):
        host = hosts[number % len(hosts)]
        for drain_state in ("granted", "drained", "returned"):
            yield records.Record(
                f"{number}-{drain_state}",
                records.DRAIN,
                host,
                versions[host],
                {"state": drain_state, "reason": "kernel"},
            )
            offset += 1
            versions[host] = offset


def cost_s(state: configuration_module.Configuration) -> float:
    """Returns the processor seconds of folding one maintenance record."""
    proposals = list(_maintenance_records(state))
    start_s = time.process_time()
    fold_all(state, proposals)
    return (time.process_time() - start_s) / len(proposals)


def _state_mb(size: int) -> float:
    tracemalloc.start()
    state = fleet_state(size)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert state.hosts
    return used / 1e6
