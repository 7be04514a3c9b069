"""Division of the fleet's hosts among its pools.

Meant for pools whose bursts overlap: together they then need more hosts than
there are, and a pool with a long backlog must not take the hosts of one whose
short work could still meet its target. Pools get equal parts of what is scarce
(max-min fairness), so a pool that needs less than its part is served in full,
and work that is late anyhow gets what is left.
"""

from collections import abc
import typing


class PoolDemand(typing.NamedTuple):
    """Hosts that a pool has and could use.

    Attributes:
        hosts: Hosts that the pool has or that are moving to it.
        min_hosts: Hosts that it cannot release, for example because
            long-running tasks are on them.
        urgent: Hosts that work needs which may still meet its target.
        needed: Hosts that all its running and waiting tasks need.
        retained: Hosts that it needed a short time ago; the next burst may need
            them again.
    """

    hosts: int
    min_hosts: int
    urgent: int
    needed: int
    retained: int


class Allocation(typing.NamedTuple):
    """Number of hosts for each pool.

    Attributes:
        sizes: Hosts that each pool should have.
        deficits: Hosts that each pool lacks, for pools that lack some.
        surpluses: Hosts that each pool should release, for pools with some.
    """

    sizes: dict[str, int]
    deficits: dict[str, int]
    surpluses: dict[str, int]


def allocate(
    demands: abc.Mapping[str, PoolDemand], spare_hosts: int
) -> Allocation:
    """Divides the hosts of all pools and the spare ones among the pools.

    Each pool gets the hosts that it can't release. Further hosts go to work
    that may still meet its target, then to work that is late anyhow, and only
    then to what pools needed before. The sizes add up to at most all hosts,
    unless the pools can't release that many.

    Args:
        demands: Demand by pool.
        spare_hosts: Number of hosts that belong to no pool and can be used.

    Example:
        >>> small = PoolDemand(2, min_hosts=1, urgent=3, needed=3, retained=3)
        >>> large = PoolDemand(8, min_hosts=1, urgent=9, needed=50, retained=50)
        >>> allocate({"a": small, "b": large}, spare_hosts=0).sizes
        {'a': 3, 'b': 7}
    """
    total = spare_hosts + sum(demand.hosts for demand in demands.values())
    sizes = {name: demand.min_hosts for name, demand in demands.items()}
    for limits in (
        {name: demand.urgent for name, demand in demands.items()},
        {name: demand.needed for name, demand in demands.items()},
        {
            # A pool gets no hosts for what it needed before.
            name: min(demand.retained, demand.hosts)
            for name, demand in demands.items()
        },
    ):
        free = total - sum(sizes.values())
        sizes = _raise_evenly(sizes, limits, free)
    differences = {
        name: sizes[name] - demand.hosts for name, demand in demands.items()
    }
    return Allocation(
        sizes,
        {name: count for name, count in differences.items() if count > 0},
        {name: -count for name, count in differences.items() if count < 0},
    )


def _raise_evenly(
    sizes: abc.Mapping[str, int], limits: abc.Mapping[str, int], free: int
) -> dict[str, int]:
    """Raises the smallest sizes first, each up to its limit.

    Args:
        sizes: Size of each pool, by name.
        limits: Limit of each pool; one below its size leaves it as it is.
        free: Number of hosts to distribute.
    """

    def raised_to(level: int) -> dict[str, int]:
        return {
            name: max(size, min(level, limits[name]))
            for name, size in sizes.items()
        }

    def cost(level: int) -> int:
        return sum(raised_to(level).values()) - sum(sizes.values())

    low, high = 0, max(limits.values(), default=0)
    while low < high:
        middle = (low + high + 1) // 2
        if cost(middle) <= free:
            low = middle
        else:
            high = middle - 1
    if cost(low) > free:
        return dict(sizes)
    raised = raised_to(low)
    rest = free - cost(low)
    for name, next_size in raised_to(low + 1).items():
        if rest > 0 and next_size > raised[name]:
            raised[name] = next_size
            rest -= 1
    return raised
