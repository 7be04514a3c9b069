"""Decides when a pool borrows hosts from a spare pool and returns them.

How long a shortage lasts isn't known in advance. A host is borrowed once the
shortage has lasted as long as a move to the pool and back costs (the ski rental
rule): the total cost is then at most twice the optimum, and a burst of a few
seconds ends long before. A mean demand above the pool's capacity can't be a
burst, so hosts are borrowed for it at once.
"""

from collections import abc
import math
import typing

from chervillead.fleet import budgets
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import demand as demand_module
from chervillead.fleet import drain_steps

# A joining host needs to open connections, fill caches and pass slow start.
WARM_UP_S = 20.0
# The gap between the two prevents flapping: a borrowed host must not bring the
# utilization below the bound at which hosts are returned.
BORROW_UTILIZATION = 0.95
RETURN_UTILIZATION = 0.6
TARGET_UTILIZATION = 0.8
# Spans several bursts a minute apart, so that a host isn't returned between
# two of them.
RETURN_AFTER_S = 300.0


class ProposedMove(typing.NamedTuple):
    """A move to propose: a host and the pool that it should join."""

    host: str
    to_pool: str


def move_cost_s(run_s: float) -> float:
    """Returns the cost of moving a host to a pool and back, in host seconds.

    Args:
        run_s: Mean run time of a request, which the drain waits for.
    """
    return 2 * (drain_steps.IDLE_CONFIRMATION_S + run_s + WARM_UP_S)


def hosts_to_borrow(
    demand: demand_module.PoolDemand, slots_per_host: int, incoming_slots: int
) -> int:
    """Returns how many hosts a pool should borrow now.

    Args:
        demand: Demand of the pool.
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
    """Returns whether a pool keeps its targets without one of its hosts."""
    return (
        demand.target_met_s >= RETURN_AFTER_S
        and demand.mean_slots
        <= RETURN_UTILIZATION * (demand.slots - slots_per_host)
    )


def can_lend(demand: demand_module.PoolDemand | None, lent_slots: int) -> bool:
    """Returns whether a spare pool keeps its own targets without some slots.

    Args:
        demand: Demand of the spare pool; None if it serves no queue.
        lent_slots: Slots of all hosts that it would lend.
    """
    if demand is None:
        return True
    remaining_slots = demand.slots - lent_slots
    if (
        remaining_slots <= 0
        or demand.shortage_s > 0
        or demand.mean_slots > TARGET_UTILIZATION * remaining_slots
    ):
        return False
    # The mean doesn't show bursts: the remaining slots must also answer the
    # last request of a peak in time.
    last_s = (demand.peak_requests / remaining_slots + 1) * demand.run_s
    return last_s <= demand.target_s


def borrowed_hosts(
    configuration: configuration_module.Configuration, pool: str
) -> list[str]:
    """Returns the hosts of a pool that joined by a move and aren't moving.

    A host whose move is permanent isn't returned, since operators remove its
    move record afterwards.
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
    """Returns the moves to propose now, pools with the highest load first.

    Args:
        configuration: The current fleet configuration.
        demands: Demand by pool; pools without queues have no entry.
        running: Number of running tasks by host, for hosts of spare pools and
            borrowed hosts; hosts that did not answer have no entry.
    """
    spares = [n for n, pool in configuration.pools.items() if pool.spare]
    moves: list[ProposedMove] = []
    for pool in sorted(
        demands, key=lambda name: (-_utilization(demands[name]), name)
    ):
        if pool not in configuration.pools or pool in spares:
            continue
        for spare in spares:
            borrowed = list(
                _borrow_moves(
                    configuration, demands, running, pool, spare, moves
                )
            )
            moves += borrowed
            if not borrowed:
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
    """Yields moves of hosts from a spare pool to a pool with a shortage."""
    lendable = _lendable_hosts(configuration, running, pool, spare)
    chosen_hosts = {move.host for move in chosen}
    lendable = [name for name in lendable if name not in chosen_hosts]
    if not lendable:
        return
    slots = configuration.hosts[lendable[0]].slots
    missing = hosts_to_borrow(
        demands[pool], slots, _incoming_slots(configuration, pool)
    )
    unavailable = configuration.pool_use[spare].unavailable
    budget_left = configuration.pools[spare].max_unavailable - len(unavailable)
    lent_slots = sum(configuration.hosts[name].slots for name in chosen_hosts)
    for name in lendable[
        : max(0, min(missing, budget_left - len(chosen_hosts)))
    ]:
        lent_slots += configuration.hosts[name].slots
        if not can_lend(demands.get(spare), lent_slots):
            return
        yield ProposedMove(name, pool)


def _lendable_hosts(
    configuration: configuration_module.Configuration,
    running: abc.Mapping[str, int],
    pool: str,
    spare: str,
) -> list[str]:
    """Returns hosts of the spare pool that may move, the best first.

    Hosts with fewer running tasks come first; among equals, those in zones in
    which the pool has fewer hosts. A host that did not answer has no entry in
    `running` and isn't moved.
    """
    hosts_by_zone: dict[str, int] = {}
    lendable = []
    for name, host in configuration.hosts.items():
        if not configuration_module.is_host_schedulable(configuration, name):
            continue
        if host.pool == pool:
            hosts_by_zone[host.zone] = hosts_by_zone.get(host.zone, 0) + 1
        elif (
            host.pool == spare
            and name in running
            and budgets.budget_violation(configuration, name, drains=False)
            is None
        ):
            lendable.append(name)
    return sorted(
        lendable,
        key=lambda name: (
            running[name],
            hosts_by_zone.get(configuration.hosts[name].zone, 0),
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
    """Yields the return of the borrowed host with the fewest tasks, if any.

    Hosts are returned one at a time, so that the effect of each shows in the
    demand before the next.
    """
    if any(
        budgets.is_moving(configuration, name)
        for name in configuration.pool_use[pool].unavailable
    ):
        return
    borrowed = [n for n in borrowed_hosts(configuration, pool) if n in running]
    for name in sorted(borrowed, key=lambda n: (running[n], n))[:1]:
        violation = budgets.budget_violation(configuration, name, drains=False)
        if violation is None and can_return_host(
            demand, configuration.hosts[name].slots
        ):
            yield ProposedMove(name, spare)


def _incoming_slots(
    configuration: configuration_module.Configuration, pool: str
) -> int:
    """Returns the slots of the hosts that are moving to a pool."""
    return sum(
        configuration.hosts[name].slots
        for use in configuration.pool_use.values()
        for name in use.unavailable
        if budgets.is_moving(configuration, name)
        and configuration.moves[name].to_pool == pool
    )


def _utilization(demand: demand_module.PoolDemand) -> float:
    return demand.mean_slots / max(1, demand.slots)
