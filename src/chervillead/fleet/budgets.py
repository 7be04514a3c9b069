"""Availability budgets: whether another host of a pool may become unavailable.

The fold checks each drain and move against the budget. Proposers call the same
functions first, so that they append only records that the fold will accept.
"""

import typing

from chervillead.fleet import configuration as configuration_module

# A failed drain isn't active: its host counts as unavailable, but maintenance
# no longer occupies the rack or zone.
_ACTIVE_DRAIN_STATES = frozenset(
    (
        configuration_module.DrainState.GRANTED,
        configuration_module.DrainState.DRAINED,
    )
)


class BudgetUsage(typing.NamedTuple):
    """What currently counts against a pool's availability budget.

    Attributes:
        hosts: Number of hosts that are draining, drained, failed, moving to
            another pool or in a zone that is out of service.
        racks: Racks with draining or drained hosts, as (zone, rack).
        zones: Zones with draining or drained hosts.
    """

    hosts: int
    racks: frozenset[tuple[str, str]]
    zones: frozenset[str]


def is_draining(
    configuration: configuration_module.Configuration, host: str
) -> bool:
    """Returns whether the host has a drain in state "granted" or "drained"."""
    drain = configuration.drains.get(host)
    return drain is not None and drain.state in _ACTIVE_DRAIN_STATES


def is_in_maintenance(
    configuration: configuration_module.Configuration, host: str
) -> bool:
    """Returns whether the host has an unreturned drain or is moving."""
    drain = configuration.drains.get(host)
    if drain is not None and (
        drain.state is not configuration_module.DrainState.RETURNED
    ):
        return True
    return is_moving(configuration, host)


def is_moving(
    configuration: configuration_module.Configuration, host: str
) -> bool:
    """Returns whether the host has a move that has not reached "joined"."""
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
    """Returns what counts against the availability budget of a pool.

    Args:
        configuration: The current fleet configuration.
        pool: Name of the pool.
        extra_host: A host of the pool to count as unavailable as well.
        drains: Whether `extra_host` would be drained; otherwise it would move
            to another pool.
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
        configuration: The current fleet configuration.
        host: Name of an existing host.
        drains: Whether it would be drained; otherwise it would move to another
            pool.
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
                f"host {host!r} would exceed the availability budget of pool "
                f"{pool!r}: {name} would be {needed}, allowed is {allowed}"
            )
    return None
