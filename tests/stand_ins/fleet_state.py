"""What a running fleet of processes says of itself: seats, readiness, runs."""

import asyncio
import collections
from collections import abc

from chervillead import http_exchange
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import fold
from chervillead.fleet import log_client
from chervillead.fleet import records
from stand_ins import invariants
from stand_ins import local_fleet

# Far above what a wait takes on a busy machine; a wait that ends here failed.
WAIT_TIMEOUT_S = 60.0
BROKEN = (OSError, TimeoutError, http_exchange.IncompleteResponseError)


async def wait_until_not_ready(plan: local_fleet.FleetPlan, index: int) -> None:
    """Returns once the balancer would send no more requests to a host."""
    request = http_exchange.HttpRequest("GET", "/readyz")
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while True:
            try:
                response = await http_exchange.call_once(
                    http_exchange.dial, plan.callers_address(index), request
                )
            except BROKEN:
                return
            if response.status != 200:
                return
            await asyncio.sleep(0.01)


async def seat_holder(plan: local_fleet.FleetPlan, zone: str) -> str:
    """Returns the leader of a zone, by the log."""
    platform = log_client.connect_platform(plan.platform, timeout_s=10.0)
    configuration = configuration_module.EMPTY
    page = (await platform.read(0, 0.0)).unwrap()
    while page.entries:
        entries = records.decode_entries(page.entries)
        for step in fold.fold_records(configuration, entries):
            configuration = step.configuration
        page = (await platform.read(configuration.offset + 1, 0.0)).unwrap()
    return configuration.seats[f"{zone}/0"].host


async def wait_for_new_holder(
    plan: local_fleet.FleetPlan, zone: str, old: str
) -> str:
    """Returns the host that took the leader seat of a zone over from `old`."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while (holder := await seat_holder(plan, zone)) == old:
            await asyncio.sleep(0.2)
    return holder


async def executions(
    plan: local_fleet.FleetPlan,
) -> list[invariants.Execution]:
    """Returns what all upstreams ran."""
    return [
        invariants.Execution(
            entry["upstream"],
            entry["request_id"],
            entry["team"],
            entry["queue"],
            entry["started"],
            entry["ended"],
        )
        for entry in await local_fleet.upstream_records(plan)
    ]


def outcome_counts(
    evidence: invariants.Evidence, request_ids: abc.Iterable[str]
) -> collections.Counter[tuple[str, int]]:
    """Counts the last outcomes of requests, by verdict and executions."""
    runs = collections.Counter(e.request_id for e in evidence.executions)
    last = {s.request_id: s for s in evidence.submissions}
    counts: collections.Counter[tuple[str, int]] = collections.Counter()
    for request_id in request_ids:
        refusal = last[request_id].refusal
        told = "answered" if refusal is None else refusal.verdict.value
        counts[(told, runs[request_id])] += 1
    return counts
