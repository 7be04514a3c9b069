"""Renewal of the leases of running tasks, one call for each upstream."""

import asyncio
from collections import abc

import msgspec

from chervillead import http_exchange
from chervillead import types
from chervillead.upstreams import pool

# Two renewals may be lost before a lease lapses.
RENEWALS_PER_LEASE = 3


class RunningTasks:
    """Granted requests of this host that run at present, by upstream."""

    def __init__(self) -> None:
        self._tasks: dict[types.Address, dict[str, types.Grant]] = {}

    def add(self, grant: types.Grant) -> None:
        """Notes that the request of `grant` was sent."""
        tasks = self._tasks.setdefault(grant.upstream.address, {})
        tasks[grant.request_id] = grant

    def discard(self, grant: types.Grant) -> None:
        """Notes that the request of `grant` is over."""
        tasks = self._tasks.get(grant.upstream.address, {})
        tasks.pop(grant.request_id, None)

    @property
    def grants(self) -> list[types.Grant]:
        """Grants in use."""
        return [g for tasks in self._tasks.values() for g in tasks.values()]

    def request_ids(self) -> abc.Iterator[tuple[types.Address, list[str]]]:
        """Yields each upstream that runs something, with the request ids."""
        for address, tasks in list(self._tasks.items()):
            if tasks:
                yield address, list(tasks)


async def renew_leases(
    running: RunningTasks,
    pools: pool.UpstreamPools,
    clock: types.Clock,
    *,
    lease_s: float,
) -> None:
    """Renews the leases of all running tasks until cancelled."""
    interval_s = lease_s / RENEWALS_PER_LEASE
    while True:
        await asyncio.sleep(interval_s)
        deadline_s = clock.monotonic() + interval_s
        await asyncio.gather(
            *(
                pools.pool(address).call(_renewal(request_ids), deadline_s)
                for address, request_ids in running.request_ids()
            )
        )


def _renewal(request_ids: list[str]) -> http_exchange.HttpRequest:
    return http_exchange.HttpRequest(
        "POST",
        "/leases",
        (("content-type", "application/json"),),
        msgspec.json.encode(request_ids),
    )
