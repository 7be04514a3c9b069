"""Availability budgets: may another host of a pool become unavailable?

The fold asks this of each drain and move; a proposer asks the same functions
first, so that it appends only what the fold will accept.
"""

import typing

from chervillead.fleet import configuration as configuration_module

# A failed drain counts as a known failure: the host is gone, but no rack or
# zone is held up by maintenance any more.
_ACTIVE_DRAIN_STATES = frozenset(
    (
        configuration_module.DrainState.GRANTED,
        configuration_module.DrainState.DRAINED,
    )
)


class BudgetUsage(typing.NamedTuple):
    """What counts against a pool's budget at present.

    Attributes:
        hosts: Hosts that drain, are drained, failed, move out or are in a zone
            that is out of service.
        racks: Racks, by zone, with hosts that drain or are drained.
        zones: Zones with hosts that drain or are drained.
    """

    hosts: int
    racks: frozenset[tuple[str, str]]
    zones: frozenset[str]


def is_draining(
    configuration: configuration_module.Configuration, host: str
) -> bool:
    """Returns whether the host has a drain that is granted or drained."""
    drain = configuration.drains.get(host)
    return drain is not None and drain.state in _ACTIVE_DRAIN_STATES


def is_in_maintenance(
    configuration: configuration_module.Configuration, host: str
) -> bool:
    """Returns whether the host has a drain that did not return, or a move."""
    drain = configuration.drains.get(host)
    if drain is not None and (
        drain.state is not configuration_module.DrainState.RETURNED
    ):
        return True
    return is_moving(configuration, host)


def is_moving(
    configuration: configuration_module.Configuration, host: str
) -> bool:
    """Returns whether the host has a move that has not joined."""
    move = configuration.moves.get(host)
    return move is not None and (
        move.state is not configuration_module.MoveState.JOINED
    )


def budget_usage(
    configuration: configuration_module.Configuration,
    pool: str,
    extra_host: str | None = None,
    *,
    drains: bool = True,
) -> BudgetUsage:
    """Returns what counts against the budget of `pool`.

    Args:
        configuration: The state to judge by.
        pool: Name of the pool.
        extra_host: A host of the pool to count as unavailable as well.
        drains: Whether `extra_host` drains; otherwise it moves out.
    """
    use = configuration.pool_use.get(pool, configuration_module.PoolUse())
    names = set(use.unavailable)
    draining = {n for n in names if is_draining(configuration, n)}
    if extra_host is not None:
        names.add(extra_host)
        if drains:
            draining.add(extra_host)
    hosts = sum(
        configuration_module.is_zone_in_service(
            configuration, configuration.hosts[name].zone
        )
        for name in names
    )
    hosts += sum(
        count
        for zone, count in use.zone_hosts.items()
        if not configuration_module.is_zone_in_service(configuration, zone)
    )
    places = [configuration.hosts[name] for name in draining]
    return BudgetUsage(
        hosts,
        frozenset((place.zone, place.rack) for place in places),
        frozenset(place.zone for place in places),
    )


def budget_violation(
    configuration: configuration_module.Configuration,
    host: str,
    *,
    drains: bool,
) -> str | None:
    """Returns why `host` may not become unavailable, or None if it may.

    Args:
        configuration: The state to judge by.
        host: Name of an existing host.
        drains: Whether it would drain; otherwise it would move out.
    """
    pool = configuration.hosts[host].pool
    budget = configuration.pools[pool]
    load = budget_usage(configuration, pool, host, drains=drains)
    limits = [("max_unavailable", load.hosts, budget.max_unavailable)]
    if drains:
        limits += [
            (
                "max_unavailable_racks",
                len(load.racks),
                budget.max_unavailable_racks,
            ),
            (
                "max_unavailable_zones",
                len(load.zones),
                budget.max_unavailable_zones,
            ),
        ]
    for name, needed, allowed in limits:
        if needed > allowed:
            return (
                f"host {host!r} would break the availability budget of pool "
                f"{pool!r}: {name} would be {needed}, allowed is {allowed}"
            )
    return None
