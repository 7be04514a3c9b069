"""How many hosts a pool should have.

Answers the pattern of queues that burst in turn: each asks several times its
mean for some seconds and nearly nothing in between, so what one pool needs now
another one doesn't. A pool grows as soon as demand lasts longer than a moment
and shrinks only after it has needed less for a while, since a move costs the
time of a host that neither pool can use.
"""

import collections
import math
import typing

from chervillead.jobs import model

# Room beyond what runs and waits, so that the next tasks need not wait for a
# host to arrive.
HEADROOM_FACTOR = 1.25
# The beginning of a burst finds room, and a crash leaves a pool able to run.
MIN_HOSTS = 3
# Demand that rises is taken to rise on for the time that a host needs to move
# and register, as seen over the last second.
TREND_WINDOW_S = 1.0
HOST_LEAD_TIME_S = 1.5
# Less than the pause between two bursts of a queue.
SHRINK_DELAY_S = 1.5
# Tasks that arrive together wait for a moment even in a pool that has room.
GROWTH_DELAY_S = 0.2


class PoolLoad(typing.NamedTuple):
    """What a pool has and what its jobs ask.

    Attributes:
        hosts: Hosts that take work.
        host_capacity: What a host has, as the mean of the pool.
        used: What running tasks reserve.
        pending: What tasks need that wait for nothing but room.
        min_hosts: Hosts that steps with a limit for one worker need.
        is_fragmented: Whether a waiting task fits an empty host, but none of
            the hosts as they are filled.
    """

    hosts: int
    host_capacity: model.Resources
    used: model.Resources
    pending: model.Resources
    min_hosts: int = 0
    is_fragmented: bool = False

    @property
    def demand(self) -> model.Resources:
        """What runs and waits."""
        return self.used.plus(self.pending)


def hosts_needed(load: PoolLoad, demand_increase: model.Resources) -> int:
    """Returns how many hosts a pool will need when new ones can arrive.

    Args:
        load: Its load.
        demand_increase: Growth of the demand within `TREND_WINDOW_S`.
    """
    needed = max(MIN_HOSTS, load.min_hosts)
    for amount, more, capacity in zip(
        load.demand, demand_increase, load.host_capacity, strict=True
    ):
        if capacity > 0:
            forecast = amount + max(0, more) * HOST_LEAD_TIME_S / TREND_WINDOW_S
            room = max(amount * HEADROOM_FACTOR, forecast)
            needed = max(needed, math.ceil(room / capacity))
    if load.is_fragmented:
        needed = max(needed, load.hosts + 1)
    return needed


class _Need(typing.NamedTuple):
    at_s: float
    demand: model.Resources
    hosts: int


class PoolAutoscaler:
    """The size that one pool should have, as its load changes."""

    def __init__(self) -> None:
        self._needs: collections.deque[_Need] = collections.deque()

    def record(self, load: PoolLoad, now_s: float) -> None:
        """Notes the load at a time."""
        before = next(
            (n.demand for n in self._needs if n.at_s >= now_s - TREND_WINDOW_S),
            load.demand,
        )
        needed = hosts_needed(load, load.demand.minus(before))
        self._needs.append(_Need(now_s, load.demand, needed))
        while self._needs[0].at_s < now_s - SHRINK_DELAY_S:
            self._needs.popleft()

    def min_size(self, now_s: float) -> int:
        """Returns the size below which the pool should grow."""
        return min(
            need.hosts
            for need in self._needs
            if need.at_s >= now_s - GROWTH_DELAY_S
        )

    def current_size(self) -> int:
        """Returns the size that the load needs at the moment."""
        return self._needs[-1].hosts

    def max_size(self, now_s: float) -> int | None:
        """Returns the size above which the pool should shrink.

        None as long as the load hasn't been known for long enough.
        """
        if now_s - self._needs[0].at_s < SHRINK_DELAY_S - GROWTH_DELAY_S:
            return None
        return max(need.hosts for need in self._needs)
