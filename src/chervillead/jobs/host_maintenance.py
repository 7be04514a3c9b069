"""Host maintenance: which hosts go down next.

A maintenance wave may coincide with bursts of a pool, so maintenance waits for
idle hosts until the remaining time of the wave forces it.
"""

from collections import abc
import typing

# Reserve at the end of a wave, by which all hosts should be done.
WAVE_END_MARGIN_S = 3.0


class Candidate(typing.NamedTuple):
    """A host that is up and due for maintenance.

    Attributes:
        host: Name of the host.
        batch_tasks: Number of its tasks that end by themselves.
        long_running_tasks: Number of its tasks that run until their job is
            cancelled.
    """

    host: str
    batch_tasks: int
    long_running_tasks: int


def split_cap(
    cap: int,
    hosts_by_pool: abc.Mapping[str, int],
    finished: abc.Container[str] = (),
) -> dict[str, int]:
    """Splits the cap of a wave between its pools.

    Every partition owner computes the same split from the published wave, so
    the cap holds without coordination. A pool whose part is 0 waits until the
    pools with a part have finished.

    Args:
        cap: Maximum hosts that may be down at once, over all pools.
        hosts_by_pool: Number of hosts of the wave in each pool, maintained or
            not.
        finished: Pools whose hosts have all been maintained and are up again.

    Returns:
        The maximum number of hosts that may be down at once, by pool; pools
        without an entry have 0.
    """
    counts = {
        pool: count for pool, count in sorted(hosts_by_pool.items()) if count
    }
    while counts:
        parts = _split_proportionally(cap, counts)
        served_pools = [pool for pool, part in parts.items() if part]
        if any(pool not in finished for pool in served_pools):
            return parts
        for pool in served_pools:
            del counts[pool]
        if not served_pools:
            break
    return {}


def _split_proportionally(
    cap: int, counts: abc.Mapping[str, int]
) -> dict[str, int]:
    """Splits a cap in proportion to counts, by the largest-remainder method."""
    total = sum(counts.values())
    parts = {pool: cap * count // total for pool, count in counts.items()}
    remainder_slots = cap - sum(parts.values())
    by_remainder = sorted(
        counts, key=lambda pool: (-(cap * counts[pool] % total), pool)
    )
    for pool in by_remainder[: max(0, remainder_slots)]:
        parts[pool] += 1
    return {pool: min(part, counts[pool]) for pool, part in parts.items()}


def is_urgent(
    *, due: int, slots: int, time_left_s: float, cycle_s: float
) -> bool:
    """Returns whether maintenance can no longer wait for idle hosts.

    Args:
        due: Number of hosts of the pool that are still due.
        slots: Number of hosts that may be down at once.
        time_left_s: Time until the end of the wave.
        cycle_s: Time from the selection of a host until it is up again.
    """
    rounds = -(-due // max(1, slots))
    return time_left_s - WAVE_END_MARGIN_S <= rounds * cycle_s


def select_hosts(
    candidates: abc.Iterable[Candidate],
    *,
    slots: int,
    urgent: bool,
    pending_tasks: int,
) -> list[str]:
    """Returns the names of the hosts to drain now, those with least work first.

    Hosts with batch tasks are drained only if maintenance is urgent, and none
    is while tasks are pending unless it is.

    Args:
        candidates: Hosts that are up and due.
        slots: How many more hosts may be drained.
        urgent: Whether maintenance can no longer wait for idle hosts.
        pending_tasks: Number of pending tasks of the pool.
    """
    if pending_tasks and not urgent:
        return []
    candidates_by_impact = sorted(
        candidates,
        key=lambda c: (c.batch_tasks, c.long_running_tasks, c.host),
    )
    allowed = (c for c in candidates_by_impact if urgent or not c.batch_tasks)
    return [c.host for c in allowed][: max(0, slots)]
