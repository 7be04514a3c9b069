"""Waiting time over 64 slots in 4 zones, against one queue over all slots.

The real dispatchers and clients run in memory on a virtual clock with message
delays and heartbeats; baselines are simulated beside them on the same arrivals.
"""

import asyncio
from collections import abc
import heapq
import random
import typing

from benchmarks import figures
from chervillead import types
from chervillead import verdicts
from chervillead.entries import dispatch_client
from stand_ins import dispatch_zones
from stand_ins import virtual_time

ZONES = 4
ENTRY_HOSTS = 9
SLOTS = 64
SEED = 20261204

# Waits of independent runs are pooled, since long runs of congestion make the
# 99th percentile of a single one vary by a factor of two at a load of 0.9.
RUNS = 4
REQUESTS = 20_000
WARM_UP = 2_000

# One second of service against 1 ms between zones, as in vn-south.
MEAN_RUN_S = 1.0
DELAY_S = 0.001

# 99th percentile of waiting by Erlang C, in mean service times, by load: one
# queue over all 64 slots, and 16 slots of one zone.
ONE_QUEUE = {0.7: 0.0, 0.8: 0.13, 0.9: 0.54}
ONE_ZONE = {0.7: 0.53, 0.8: 1.07, 0.9: 2.55}

# A heartbeat is up to 250 ms old, so a request can register with a zone that
# has just filled up, and each message takes its time. A tenth of what pooling
# gains over separate zones is allowed for both.
ALLOWED_PART = 0.1


class Arrival(typing.NamedTuple):
    """A request of the run."""

    at_s: float
    entry_host: int
    run_s: float


def measure() -> abc.Iterator[figures.BenchmarkResult]:
    """Yields the 99th percentile of waiting at each load beside baselines."""
    for load, one_queue in ONE_QUEUE.items():
        samples = [
            make_arrivals(load, random.Random(SEED + number))
            for number in range(RUNS)
        ]
        product = percentile(
            virtual_time.run_virtual(run_product(arrivals), SEED)
            for arrivals in samples
        )
        bound = one_queue + ALLOWED_PART * (ONE_ZONE[load] - one_queue)
        yield figures.BenchmarkResult(
            f"pooling: p99 wait at load {load}",
            product,
            f"<= {bound:.3f}",
            product <= bound,
        )
        for name, baseline in (
            ("one queue", one_station),
            ("zones alone", zones_alone),
            ("static slots", static_slots),
        ):
            yield figures.BenchmarkResult(
                f"pooling: {name}, same arrivals, {load}",
                percentile(map(baseline, samples)),
                "-",
                True,
            )


def make_arrivals(load: float, rng: random.Random) -> list[Arrival]:
    """Returns Poisson arrivals with exponential service at a load.

    The run times are scaled until the sample has exactly this load: a sample
    that is off by 1% has twice the waiting at a load of 0.9.
    """
    now_s = 0.0
    arrivals = []
    for _ in range(REQUESTS):
        now_s += rng.expovariate(load * SLOTS / MEAN_RUN_S)
        arrivals.append(
            Arrival(
                now_s,
                rng.randrange(ENTRY_HOSTS),
                rng.expovariate(1 / MEAN_RUN_S),
            )
        )
    offered = sum(arrival.run_s for arrival in arrivals) / (now_s * SLOTS)
    return [
        arrival._replace(run_s=arrival.run_s * load / offered)
        for arrival in arrivals
    ]


def percentile(runs: abc.Iterable[list[float]], part: float = 0.99) -> float:
    """Returns the percentile of the waits of all runs after their warm-up."""
    kept = sorted(wait for run in runs for wait in run[WARM_UP:])
    return kept[int(part * len(kept))]


def waits(
    arrivals: list[Arrival],
    station_of: abc.Callable[[Arrival], int],
    slots: abc.Mapping[int, int],
) -> list[float]:
    """Returns the waits at first-come stations without any message delay."""
    free_s = {station: [0.0] * count for station, count in slots.items()}
    found = []
    for arrival in arrivals:
        heap = free_s[station_of(arrival)]
        start_s = max(arrival.at_s, heap[0])
        heapq.heapreplace(heap, start_s + arrival.run_s)
        found.append(start_s - arrival.at_s)
    return found


def one_station(arrivals: list[Arrival]) -> list[float]:
    """Returns the waits of one queue over all slots."""
    return waits(arrivals, lambda a: 0, {0: SLOTS})


def zones_alone(arrivals: list[Arrival]) -> list[float]:
    """Returns the waits when each zone serves an even part by itself."""
    rng = random.Random(SEED)
    slots = dict.fromkeys(range(ZONES), SLOTS // ZONES)
    return waits(arrivals, lambda a: rng.randrange(ZONES), slots)


def static_slots(arrivals: list[Arrival]) -> list[float]:
    """Returns the waits with 7 slots for each entry host."""
    slots = dict.fromkeys(range(ENTRY_HOSTS), SLOTS // ENTRY_HOSTS)
    return waits(arrivals, lambda a: a.entry_host, slots)


async def run_product(arrivals: list[Arrival]) -> list[float]:
    """Returns the waits through the real dispatchers and clients."""
    zones = dispatch_zones.MemoryZones(
        dispatch_zones.make_configuration(
            zones=ZONES, slots=SLOTS // ZONES, max_waiting=10_000
        ),
        delay_s=DELAY_S,
    )
    clients = [
        zones.client(f"entry-{number}", f"z{number % ZONES}")
        for number in range(ENTRY_HOSTS)
    ]
    ticking = asyncio.ensure_future(zones.tick())
    start_s = zones.clock.monotonic()
    tasks = []
    for number, arrival in enumerate(arrivals):
        await asyncio.sleep(
            max(0.0, start_s + arrival.at_s - zones.clock.monotonic())
        )
        client = clients[arrival.entry_host]
        tasks.append(
            asyncio.ensure_future(_serve(zones, client, number, arrival.run_s))
        )
    found = await asyncio.gather(*tasks)
    ticking.cancel()
    return found


async def _serve(
    zones: dispatch_zones.MemoryZones,
    client: dispatch_client.DispatchPorts,
    number: int,
    run_s: float,
) -> float:
    """Returns how long one request waited for its grant."""
    started_s = zones.clock.monotonic()
    request = dispatch_zones.request(zones, number)
    grant: types.Grant = (
        await dispatch_client.acquire(request, client)
    ).unwrap()
    waited_s = zones.clock.monotonic() - started_s
    await asyncio.sleep(run_s)
    dispatch_client.release(
        grant,
        client,
        verdict=verdicts.Verdict.RAN,
        failed=False,
        run_s=run_s,
    )
    return waited_s / MEAN_RUN_S
