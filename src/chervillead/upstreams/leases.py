"""Renewal of the leases of running tasks, one call for each upstream.

Renewals use another connection than the tasks, so they also show which tasks
still run when the connections of the tasks are silent.
"""

import asyncio
from collections import abc
import typing

import msgspec

from chervillead import http_exchange
from chervillead import types
from chervillead.upstreams import connections
from chervillead.upstreams import pool

# Two renewals may be lost before a lease expires.
RENEWALS_PER_LEASE = 3
# Younger tasks are not renewed: their requests may arrive after the renewal,
# and the upstream would report the tasks as unknown.
MIN_TASK_AGE_S = 0.25


class RunningTask(typing.NamedTuple):
    """A granted request that was written to its upstream.

    Attributes:
        grant: Grant of the request.
        call: Call that waits for the answer.
        renewed_s: Monotonic time at which it was written, or at which its
            lease was last renewed.
    """

    grant: types.Grant
    call: connections.Call
    renewed_s: float


class RunningTasks:
    """Granted requests of this entry host that run now, by upstream."""

    def __init__(self, clock: types.Clock) -> None:
        self._clock = clock
        self._tasks: dict[types.Upstream, dict[str, RunningTask]] = {}

    def add(self, grant: types.Grant, call: connections.Call) -> None:
        """Adds the request of `grant`, which is about to be written."""
        self._tasks.setdefault(grant.upstream, {})[grant.request_id] = (
            RunningTask(grant, call, self._clock.monotonic())
        )

    def discard(self, grant: types.Grant) -> None:
        """Removes the request of `grant`, which has ended."""
        tasks = self._tasks.get(grant.upstream, {})
        task = tasks.get(grant.request_id)
        # A retry of the request may run there under a newer grant.
        if task is not None and task.grant.grant_id == grant.grant_id:
            del tasks[grant.request_id]
        if not tasks:
            self._tasks.pop(grant.upstream, None)

    def record_renewal(self, task: RunningTask) -> None:
        """Records that the upstream has renewed the lease of `task`."""
        tasks = self._tasks.get(task.grant.upstream, {})
        if tasks.get(task.grant.request_id) is task:
            tasks[task.grant.request_id] = task._replace(
                renewed_s=self._clock.monotonic()
            )

    @property
    def grants(self) -> list[types.Grant]:
        """Active grants, those of the running requests."""
        return [
            t.grant for tasks in self._tasks.values() for t in tasks.values()
        ]

    def tasks_to_renew(
        self,
    ) -> abc.Iterator[tuple[types.Upstream, dict[str, RunningTask]]]:
        """Yields each upstream with its tasks whose leases are due."""
        written_by_s = self._clock.monotonic() - MIN_TASK_AGE_S
        for upstream, tasks in list(self._tasks.items()):
            tasks_to_renew = {
                i: t for i, t in tasks.items() if t.renewed_s <= written_by_s
            }
            if tasks_to_renew:
                yield upstream, tasks_to_renew


async def renew_leases(
    running: RunningTasks,
    pools: pool.UpstreamPools,
    clock: types.Clock,
    *,
    lease_s: float,
) -> None:
    """Renews the leases of all running tasks until cancelled.

    Each upstream has an asyncio task of its own, so that a silent one doesn't
    delay the others.
    """
    interval_s = lease_s / RENEWALS_PER_LEASE
    async with asyncio.TaskGroup() as renewals:
        while True:
            await asyncio.sleep(interval_s)
            for upstream, tasks in running.tasks_to_renew():
                renewals.create_task(
                    _renew(running, pools, upstream, tasks, clock)
                )


async def _renew(
    running: RunningTasks,
    pools: pool.UpstreamPools,
    upstream: types.Upstream,
    tasks: dict[str, RunningTask],
    clock: types.Clock,
) -> None:
    """Renews the leases of `tasks` and ends the calls of those that ended."""
    outcome = await pools.pool(upstream).control.call(
        _renewal_request(list(tasks)), pool.CONTROL_TIMEOUT_S
    )
    alive = _alive_ids(outcome)
    for request_id, task in tasks.items():
        if alive is not None and request_id in alive:
            running.record_renewal(task)
        elif alive is not None or _has_lease_expired(task, clock):
            pool.resolve_missing_task(task.call)


def _has_lease_expired(task: RunningTask, clock: types.Clock) -> bool:
    return clock.monotonic() > task.renewed_s + task.grant.lease_s


def _alive_ids(outcome: connections.CallOutcome) -> set[str] | None:
    """Returns the ids that still run, or None without a valid response."""
    response = outcome.value_or(None)
    if response is None or response.status != 200:
        return None
    try:
        return msgspec.json.decode(response.body, type=set[str])
    except msgspec.DecodeError:
        return None


async def stop_task(
    pools: pool.UpstreamPools,
    grant: types.Grant,
    request_id: str,
) -> bool:
    """Asks the upstream of `grant` to stop a task.

    Returns:
        Whether the upstream has confirmed that the task has stopped. Otherwise
        the task may still run, or may still start if its request is in transit.
    """
    outcome = await pools.pool(grant.upstream).control.call(
        http_exchange.HttpRequest("DELETE", f"/tasks/{request_id}"),
        pool.CONTROL_TIMEOUT_S,
        request_id=request_id,
    )
    return outcome.map(lambda response: response.status == 200).value_or(False)


def _renewal_request(request_ids: list[str]) -> http_exchange.HttpRequest:
    return http_exchange.HttpRequest(
        "POST",
        "/leases",
        (("content-type", "application/json"),),
        msgspec.json.encode(request_ids),
    )
