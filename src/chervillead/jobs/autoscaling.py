"""Number of hosts that a pool should have.

Meant for queues that burst at different times: each asks for several times its
mean for a few seconds and for almost nothing in between, so pools can share
hosts. A pool grows once increased demand persists beyond a short delay, and
shrinks only after it has needed fewer hosts for longer, because neither pool
can use a host while it moves.
"""

import collections
import math
import typing

from chervillead.jobs import model
from chervillead.jobs import required_capacity

# Spare capacity, so that new tasks don't have to wait for a host to arrive.
# Used while the offered load is unknown.
HEADROOM_FACTOR = 1.25
# Room for the beginning of a burst, and enough hosts to survive a crash.
MIN_HOSTS = 3
# The growth of demand over the trend window is extrapolated over the time that
# a host needs to move and register.
TREND_WINDOW_S = 1.0
HOST_LEAD_TIME_S = 1.5
# Shorter than the pause between two bursts of a queue.
SHRINK_DELAY_S = 1.5
# Tasks that arrive together are pending briefly even in a pool with room.
GROWTH_DELAY_S = 0.2


class PoolLoad(typing.NamedTuple):
    """Capacity and demand of a pool.

    Attributes:
        hosts: Number of hosts on which tasks may be started.
        host_capacity: Mean capacity of a host of the pool; none without hosts.
        used: Resources that running tasks reserve.
        pending: Resources of the tasks that wait only for room.
        urgent: Part of both that may still meet the completion target of its
            job; none while `offered` is known.
        min_hosts: Hosts needed by steps that limit their tasks per worker.
        is_fragmented: Whether a pending task would fit an empty host but fits
            no host with its current tasks.
        offered: Work of the pool and the resources that it has for it; None
            while the offered load is unknown.
    """

    hosts: int
    host_capacity: model.Resources
    used: model.Resources
    pending: model.Resources
    urgent: model.Resources = model.Resources()
    min_hosts: int = 0
    is_fragmented: bool = False
    offered: required_capacity.Demand | None = None

    @property
    def demand(self) -> model.Resources:
        """Resources of running and pending tasks."""
        return self.used.plus(self.pending)


def hosts_needed(load: PoolLoad, demand_increase: model.Resources) -> int:
    """Returns how many hosts a pool will need once requested hosts can arrive.

    Args:
        load: Load of the pool.
        demand_increase: Growth of its demand over `TREND_WINDOW_S`; it counts
            only while the offered load is unknown.
    """
    if load.offered is None:
        required = _extrapolated(load.demand, demand_increase)
    else:
        # Hosts that running tasks occupy can't be used elsewhere. While too few
        # jobs come to show their rate, one more takes the next tasks, which
        # would have to wait for a host otherwise.
        occupied = load.used
        if any(occupied) and not load.offered.rates.jobs:
            occupied = occupied.plus(load.host_capacity)
        required = _maximum(_required(load, with_late=True), occupied)
    needed = _hosts_for(load, required)
    if load.is_fragmented:
        needed = max(needed, load.hosts + 1)
    return needed


def hosts_needed_urgently(load: PoolLoad) -> int:
    """Returns how many hosts serve work that may still meet its target."""
    if load.offered is None:
        return _hosts_for(load, _extrapolated(load.urgent, model.Resources()))
    return _hosts_for(load, _required(load, with_late=False))


def hosts_for_rate(load: PoolLoad) -> int:
    """Returns how many hosts the offered load alone needs, without a backlog.

    It is 0 while the offered load is unknown.
    """
    if load.offered is None:
        return 0
    return _hosts_for(load, required_capacity.for_rate(load.offered))


def _required(load: PoolLoad, *, with_late: bool) -> model.Resources:
    """Returns the resources that the offered load and the backlog require."""
    if load.offered is None:
        return model.Resources()
    return required_capacity.required(
        load.offered,
        ready=load.demand,
        hosts=load.hosts,
        host_capacity=load.host_capacity,
        with_late=with_late,
    )


def _hosts_for(load: PoolLoad, required: model.Resources) -> int:
    """Returns the number of hosts that have the required resources."""
    needed = max(MIN_HOSTS, load.min_hosts)
    for amount, capacity in zip(required, load.host_capacity, strict=True):
        if capacity > 0:
            needed = max(needed, math.ceil(amount / capacity))
    return needed


def _extrapolated(
    demand: model.Resources, increase: model.Resources
) -> model.Resources:
    """Returns the resources for a demand and its growth until hosts arrive."""
    return model.Resources(
        *(
            math.ceil(
                max(
                    now * HEADROOM_FACTOR,
                    now + max(0, more) * HOST_LEAD_TIME_S / TREND_WINDOW_S,
                )
            )
            for now, more in zip(demand, increase, strict=True)
        )
    )


def _maximum(
    first: model.Resources, second: model.Resources
) -> model.Resources:
    return model.Resources(*map(max, first, second))


class _Sample(typing.NamedTuple):
    at_s: float
    demand: model.Resources
    hosts: int
    urgent_hosts: int


class PoolAutoscaler:
    """Derives the size that a pool should have from its recent load."""

    def __init__(self) -> None:
        self._samples: collections.deque[_Sample] = collections.deque()
        # When the offered load changed, and when that was first seen.
        self._load_changed_s: float | None = None
        self._change_seen_s = float("-inf")

    def record(self, load: PoolLoad, now_s: float) -> None:
        """Records the load of the pool at a time."""
        previous_demand = next(
            (
                n.demand
                for n in self._samples
                if n.at_s >= now_s - TREND_WINDOW_S
            ),
            load.demand,
        )
        needed = hosts_needed(load, load.demand.minus(previous_demand))
        self._note_change(load.offered, needed, now_s)
        self._samples.append(
            _Sample(now_s, load.demand, needed, hosts_needed_urgently(load))
        )
        while self._samples[0].at_s < now_s - SHRINK_DELAY_S:
            self._samples.popleft()

    def _note_change(
        self,
        offered: required_capacity.Demand | None,
        needed: int,
        now_s: float,
    ) -> None:
        """Corrects the earlier samples once the offered load has changed.

        When a burst has ended, its hosts are released without a delay, which
        is meant for the pauses between jobs.
        """
        changed_s = None if offered is None else offered.rates.changed_s
        if changed_s == self._load_changed_s:
            return
        self._load_changed_s, self._change_seen_s = changed_s, now_s
        if changed_s is not None:
            self._samples = collections.deque(
                sample._replace(hosts=min(sample.hosts, needed))
                for sample in self._samples
            )

    def min_size(self, now_s: float) -> int:
        """Returns the size below which the pool should grow.

        Demand counts only once it has lasted for `GROWTH_DELAY_S`, or for the
        time in which a burst is measured. A load must have been recorded within
        that time.
        """
        return min(sample.hosts for sample in self._recent(now_s))

    def urgent_size(self, now_s: float) -> int:
        """Returns the part of `min_size` that serves work still on time."""
        urgent_hosts = min(n.urgent_hosts for n in self._recent(now_s))
        return min(urgent_hosts, self.min_size(now_s))

    def _recent(self, now_s: float) -> list[_Sample]:
        since_s = max(self._change_seen_s, now_s - GROWTH_DELAY_S)
        return [n for n in self._samples if n.at_s >= since_s]

    def max_size(self, now_s: float) -> int | None:
        """Returns the size above which the pool should shrink.

        Returns:
            The largest size needed within `SHRINK_DELAY_S`, or None while the
            recorded loads don't cover that time.
        """
        if now_s - self._samples[0].at_s < SHRINK_DELAY_S - GROWTH_DELAY_S:
            return None
        return max(sample.hosts for sample in self._samples)
