"""When a pool borrows hosts from the spare pool, and when it returns them.

Nobody knows whether a shortage will last. A host is borrowed once the loss so
far equals the cost of the move there and back: at worst, loss and move together
then cost twice what the better choice would have, and a burst of some seconds
ends long before. A mean demand that exceeds the pool can't be a burst, so it is
covered at once.
"""

from collections import abc
import math
import typing

from chervillead.fleet import budgets
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import demand as demand_module
from chervillead.fleet import drain_steps

# Connections, caches and slow start of a host that joins.
WARM_UP_S = 20.0
# The gap between the two keeps a host from being borrowed and returned in
# turns: one host more must not bring the use below the lower bound.
BORROW_UTILIZATION = 0.95
RETURN_UTILIZATION = 0.6
TARGET_UTILIZATION = 0.8
# Several bursts, a minute apart, pass before a host is given back.
RETURN_AFTER_S = 300.0


class ProposedMove(typing.NamedTuple):
    """A move to propose."""

    host: str
    to_pool: str


def move_cost_s(run_s: float) -> float:
    """Returns what a move there and back costs, in seconds of one host."""
    return 2 * (drain_steps.IDLE_CONFIRMATION_S + run_s + WARM_UP_S)


def hosts_to_borrow(
    demand: demand_module.PoolDemand, slots_per_host: int, incoming_slots: int
) -> int:
    """Returns how many hosts a pool should borrow now.

    Args:
        demand: What its queues need.
        slots_per_host: Slots of a host of the spare pool.
        incoming_slots: Slots of hosts that are moving to the pool.
    """
    slots = demand.slots + incoming_slots
    is_sustained = (
        demand.observed_s >= demand_module.MEAN_WINDOW_S / 2
        and demand.mean_slots > BORROW_UTILIZATION * slots
    )
    is_move_worthwhile = (
        demand.shortage_s >= move_cost_s(demand.run_s) and not incoming_slots
    )
    if not is_sustained and not is_move_worthwhile:
        return 0
    missing = demand.mean_slots / TARGET_UTILIZATION - slots
    return max(1, math.ceil(missing / max(1, slots_per_host)))


def can_return_host(
    demand: demand_module.PoolDemand, slots_per_host: int
) -> bool:
    """Returns whether a pool does well without one of its hosts."""
    return (
        demand.target_met_s >= RETURN_AFTER_S
        and demand.mean_slots
        <= RETURN_UTILIZATION * (demand.slots - slots_per_host)
    )


def can_lend(
    demand: demand_module.PoolDemand | None, slots_per_host: int
) -> bool:
    """Returns whether the spare pool's own queues keep their targets."""
    if demand is None:
        return True
    left = demand.slots - slots_per_host
    if (
        left <= 0
        or demand.shortage_s > 0
        or demand.mean_slots > TARGET_UTILIZATION * left
    ):
        return False
    # The mean says nothing of bursts: the last of a peak must still be answered
    # in time by the slots that are left.
    last_s = (demand.peak_requests / left + 1) * demand.run_s
    return last_s <= demand.target_s


def borrowed_hosts(
    configuration: configuration_module.Configuration, pool: str
) -> list[str]:
    """Returns the hosts of a pool that came by a move and may be returned.

    Operators who move a host for good remove its move record afterwards.
    """
    return sorted(
        name
        for name, move in configuration.moves.items()
        if move.to_pool == pool
        and name in configuration.hosts
        and configuration.hosts[name].pool == pool
        and not budgets.is_in_maintenance(configuration, name)
    )


def choose_moves(
    configuration: configuration_module.Configuration,
    demands: abc.Mapping[str, demand_module.PoolDemand],
    running: abc.Mapping[str, int],
) -> list[ProposedMove]:
    """Returns the moves to propose now; the most needy pools come first.

    Args:
        configuration: The state to judge by.
        demands: What each pool's queues need; pools without queues have no
            entry.
        running: Tasks by host of spare pools and of borrowed hosts.
    """
    spares = [n for n, pool in configuration.pools.items() if pool.spare]
    moves: list[ProposedMove] = []
    for pool in sorted(
        demands, key=lambda name: (-_utilization(demands[name]), name)
    ):
        if pool not in configuration.pools or pool in spares:
            continue
        for spare in spares:
            lent = list(
                _borrow_moves(
                    configuration, demands, running, pool, spare, moves
                )
            )
            moves += lent
            if not lent:
                moves += _return_moves(
                    configuration, demands[pool], running, pool, spare
                )
    return moves


def _borrow_moves(
    configuration: configuration_module.Configuration,
    demands: abc.Mapping[str, demand_module.PoolDemand],
    running: abc.Mapping[str, int],
    pool: str,
    spare: str,
    chosen: abc.Sequence[ProposedMove],
) -> abc.Iterator[ProposedMove]:
    """Yields hosts of a spare pool for a pool that lacks some."""
    free = _lendable_hosts(configuration, running, pool, spare)
    taken = {move.host for move in chosen}
    free = [name for name in free if name not in taken]
    if not free:
        return
    slots = configuration.hosts[free[0]].slots
    missing = hosts_to_borrow(
        demands[pool], slots, _incoming_slots(configuration, pool)
    )
    use = configuration.pool_use[spare].unavailable
    room = configuration.pools[spare].max_unavailable - len(use)
    given = sum(configuration.hosts[name].slots for name in taken)
    for name in free[: max(0, min(missing, room - len(taken)))]:
        given += configuration.hosts[name].slots
        if not can_lend(demands.get(spare), given):
            return
        yield ProposedMove(name, pool)


def _lendable_hosts(
    configuration: configuration_module.Configuration,
    running: abc.Mapping[str, int],
    pool: str,
    spare: str,
) -> list[str]:
    """Returns spare hosts, those that interrupt and overlap least first.

    A host that did not answer has no entry in `running` and isn't moved. Zones
    in which the pool has the fewest hosts come first among equals.
    """
    present: dict[str, int] = {}
    free = []
    for name, host in configuration.hosts.items():
        if not configuration_module.is_host_schedulable(configuration, name):
            continue
        if host.pool == pool:
            present[host.zone] = present.get(host.zone, 0) + 1
        elif (
            host.pool == spare
            and name in running
            and budgets.budget_violation(configuration, name, drains=False)
            is None
        ):
            free.append(name)
    return sorted(
        free,
        key=lambda name: (
            running[name],
            present.get(configuration.hosts[name].zone, 0),
            name,
        ),
    )


def _return_moves(
    configuration: configuration_module.Configuration,
    demand: demand_module.PoolDemand,
    running: abc.Mapping[str, int],
    pool: str,
    spare: str,
) -> abc.Iterator[ProposedMove]:
    """Yields the borrowed host with the fewest tasks, if it can be spared.

    One at a time: the next waits for the effect of the first.
    """
    if any(
        budgets.is_moving(configuration, name)
        for name in configuration.pool_use[pool].unavailable
    ):
        return
    borrowed = [n for n in borrowed_hosts(configuration, pool) if n in running]
    for name in sorted(borrowed, key=lambda n: (running[n], n))[:1]:
        is_allowed = budgets.budget_violation(configuration, name, drains=False)
        if is_allowed is None and can_return_host(
            demand, configuration.hosts[name].slots
        ):
            yield ProposedMove(name, spare)


def _incoming_slots(
    configuration: configuration_module.Configuration, pool: str
) -> int:
    """Returns the slots of hosts that move to a pool."""
    return sum(
        configuration.hosts[name].slots
        for use in configuration.pool_use.values()
        for name in use.unavailable
        if budgets.is_moving(configuration, name)
        and configuration.moves[name].to_pool == pool
    )


def _utilization(demand: demand_module.PoolDemand) -> float:
    return demand.mean_slots / max(1, demand.slots)
