"""Refusals by a dispatcher.

A refused request did not run.
"""

import math
import random

from chervillead.entries import admission
from chervillead.entries import capacity
from chervillead.entries import messages
from chervillead.entries import waiting_list
from chervillead.entries import zone_allocator
from chervillead.fleet import configuration as configuration_module

DISPATCHER_UNAVAILABLE = "dispatcher-unavailable"
ZONE_OUT = "zone-out"
NO_HOST_IN_ZONE = "no-host-in-zone"
QUEUE_FULL = "queue-full"
DEADLINE_TOO_SHORT = "deadline-too-short"
UNKNOWN_QUEUE = "unknown-queue"
FITS_NO_HOST = "fits-no-host"
TEAM_LIMIT = "team-limit"

# Another zone may be able to serve the request at once.
ZONE_UNAVAILABLE_REASONS = frozenset(
    (DISPATCHER_UNAVAILABLE, ZONE_OUT, NO_HOST_IN_ZONE)
)

# Another zone may be able to serve the request if it has free slots.
ZONE_BUSY_REASONS = frozenset((QUEUE_FULL, DEADLINE_TOO_SHORT))


def refusal_for_state(
    allocator: zone_allocator.ZoneAllocator,
    message: messages.Register,
    zone: str,
    *,
    may_grant: bool,
) -> messages.Refused | None:
    """Returns a refusal if waiting can't lead to a grant in the zone's state.

    Args:
        allocator: Slots and units of the zone.
        message: Registration of the request.
        zone: Zone of the dispatcher.
        may_grant: Whether the dispatcher is confirmed.
    """
    configuration = allocator.refresh_configuration()
    queue = configuration.queues.get(message.queue)
    if not may_grant:
        detail = f"the dispatcher of zone {zone} is not confirmed"
        return _refuse_temporarily(message, DISPATCHER_UNAVAILABLE, detail)
    if not configuration_module.is_zone_in_service(configuration, zone):
        detail = f"zone {zone} is out of service"
        return _refuse_temporarily(message, ZONE_OUT, detail)
    if queue is None:
        return _refuse(message, UNKNOWN_QUEUE, 404, message.queue)
    if message.team and allocator.limit(message.team) <= 0:
        detail = f"the limit of team {message.team} is 0"
        return _refuse_temporarily(message, TEAM_LIMIT, detail)
    fit = allocator.capacity.fit(queue.pool, message.size)
    if fit is capacity.Fit.HERE:
        return None
    size = message.size
    detail = (
        f"no host of pool {queue.pool} offers {size.cores:g} cores, "
        f"{size.memory_mb} MB and {size.accelerators} accelerators"
    )
    if fit is capacity.Fit.NOWHERE:
        return _refuse(message, FITS_NO_HOST, 422, detail)
    return _refuse_temporarily(
        message, NO_HOST_IN_ZONE, f"{detail} in zone {zone}"
    )


def refusal_for_deadline(
    allocator: zone_allocator.ZoneAllocator,
    waiting: waiting_list.WaitingList,
    run_times: admission.RunTimeTracker,
    message: messages.Register,
) -> messages.Refused | None:
    """Returns a refusal if the deadline can't be met at the measured rate."""
    pool = allocator.refresh_configuration().queues[message.queue].pool
    run_s = run_times.estimate_s(
        message.queue, message.team, message.run_ms / 1000
    )
    mean_s = run_times.for_queue(message.queue).mean_s
    rate = allocator.capacity.total(pool) / mean_s if mean_s else math.inf
    wait_s = admission.expected_wait_s(
        waiting.waiting_by_team(pool), message.team, allocator.share, rate
    )
    left_s = message.time_left_ms / 1000
    if wait_s + run_s <= left_s:
        return None
    return _refuse(
        message,
        DEADLINE_TOO_SHORT,
        503,
        f"{left_s:.3f} s are left until the deadline, but queue "
        f"{message.queue} needs about {wait_s:.3f} s of waiting and "
        f"{run_s:.3f} s to run",
        admission.retry_after_ms(wait_s, random.uniform),
    )


def backlog_s(
    allocator: zone_allocator.ZoneAllocator,
    waiting: waiting_list.WaitingList,
    run_times: admission.RunTimeTracker,
    entry: waiting_list.WaitingRequest,
) -> float:
    """Returns the time in which the pool of `entry` drains its backlog."""
    mean_s = run_times.for_queue(entry.register.queue).mean_s
    total = max(1, allocator.capacity.total(entry.pool))
    return sum(waiting.waiting_by_team(entry.pool).values()) * mean_s / total


def queue_full(
    message: messages.Register, backlog_s: float
) -> messages.Refused:
    """Returns a refusal because the waiting list is full."""
    return _refuse(
        message,
        QUEUE_FULL,
        503,
        f"the waiting list of queue {message.queue} is full",
        admission.retry_after_ms(backlog_s, random.uniform),
    )


def _refuse_temporarily(
    message: messages.Register, reason: str, detail: str
) -> messages.Refused:
    retry_ms = admission.retry_after_ms(0.0, random.uniform)
    return _refuse(message, reason, 503, detail, retry_ms)


def _refuse(
    message: messages.Register,
    reason: str,
    status: int,
    detail: str,
    retry_after_ms: int = 0,
) -> messages.Refused:
    return messages.Refused(
        message.request_id, reason, status, detail, retry_after_ms
    )
