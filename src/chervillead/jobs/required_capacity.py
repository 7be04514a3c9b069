"""Resources that serve the offered load and the backlog of a pool in time."""

import math
import typing

from chervillead.jobs import expected_work
from chervillead.jobs import model
from chervillead.jobs import offered_load


class Demand(typing.NamedTuple):
    """Work of a pool and the resources that it has for it.

    Attributes:
        rates: Offered load; all 0 while too few jobs have come.
        backlog: Work of the tasks that haven't started.
        running: Remaining work of running tasks.
        kept: Resources of long-running tasks, running and waiting.
        arriving_s: Sum over the hosts on their way of the part of `lead_time_s`
            that is left once they start tasks.
        lead_time_s: Time until a host that is requested now can arrive.
    """

    rates: offered_load.Rates
    backlog: expected_work.Backlog
    running: model.Resources
    kept: model.Resources
    arriving_s: float
    lead_time_s: float


def required(
    demand: Demand,
    *,
    ready: model.Resources,
    hosts: int,
    host_capacity: model.Resources,
    with_late: bool = True,
) -> model.Resources:
    """Returns the resources that a pool should have in `lead_time_s`.

    Args:
        demand: Work of the pool.
        ready: Resources of all tasks that run or could run now.
        hosts: Number of hosts of the pool.
        host_capacity: Mean capacity of a host.
        with_late: Whether work that doesn't serve a completion target counts.
    """
    host_seconds = hosts * demand.lead_time_s + demand.arriving_s
    return model.Resources(
        *(
            math.ceil(
                _required_amount(
                    demand, index, host_seconds * capacity, size, with_late
                )
            )
            for index, (size, capacity) in enumerate(
                zip(ready, host_capacity, strict=True)
            )
        )
    )


def for_rate(demand: Demand) -> model.Resources:
    """Returns the resources that the offered load alone requires."""
    used = demand.rates.used.plus(demand.kept)
    return expected_work.scaled(used, expected_work.PACKING_FACTOR)


def _required_amount(
    demand: Demand,
    index: int,
    resource_seconds: float,
    ready: int,
    with_late: bool,
) -> float:
    """Returns one of the amounts of resources that a pool should have.

    Args:
        demand: Work of the pool.
        index: Number of the amount in `model.Resources`.
        resource_seconds: What the hosts of the pool offer within the lead time.
        ready: Amount that all tasks reserve which run or could run now.
        with_late: Whether work that doesn't serve a completion target counts.
    """
    rates, backlog = demand.rates, demand.backlog
    rate, kept = rates.used[index], demand.kept[index]
    # Work that will be done before a host could arrive needs no host.
    usable = (
        resource_seconds / expected_work.PACKING_FACTOR
        - demand.lead_time_s * kept
    )
    left = (
        demand.running[index]
        - rates.in_flight[index]
        + 1000 * (demand.lead_time_s * rate - max(0.0, usable))
    )
    needed = float(rate)
    for work, time_s, counts in (
        (backlog.on_time[index], backlog.drain_s, True),
        (backlog.untimed[index], expected_work.MIN_DRAIN_S, with_late),
        (backlog.late[index], expected_work.MAX_DRAIN_S, with_late),
    ):
        left += work
        if left > 0 and counts:
            needed += left / (1000 * time_s)
        # What the pool does goes to the work that is due first.
        left = min(0.0, left)
    at_once = max(0, ready - kept) + demand.lead_time_s * rates.sizes[index]
    return expected_work.PACKING_FACTOR * (min(needed, at_once) + kept)
