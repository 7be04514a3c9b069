"""Rules of `host`, `drain` and `move` records.

A host belongs to one pool at any time, and its pool changes only when a move
joins. Drains and moves are accepted within the pool's availability budget.
"""

from returns import result

from chervillead.fleet import budgets
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import persistent_map

Applied = result.Result[configuration_module.Configuration, str]

_DrainState = configuration_module.DrainState
_MoveState = configuration_module.MoveState

# Allowed state transitions; None stands for no drain or move. A host can fail
# at any time, and a granted drain can be cancelled before the host is drained.
_DRAIN_TRANSITIONS: dict[_DrainState | None, tuple[_DrainState, ...]] = {
    None: (_DrainState.GRANTED, _DrainState.FAILED),
    _DrainState.GRANTED: (
        _DrainState.DRAINED,
        _DrainState.RETURNED,
        _DrainState.FAILED,
    ),
    _DrainState.DRAINED: (_DrainState.RETURNED, _DrainState.FAILED),
    _DrainState.FAILED: (_DrainState.RETURNED,),
    _DrainState.RETURNED: (_DrainState.GRANTED, _DrainState.FAILED),
}
_MOVE_TRANSITIONS: dict[_MoveState | None, _MoveState] = {
    None: _MoveState.LEAVING,
    _MoveState.LEAVING: _MoveState.DRAINED,
    _MoveState.DRAINED: _MoveState.JOINED,
    _MoveState.JOINED: _MoveState.LEAVING,
}


def apply_host(
    configuration: configuration_module.Configuration,
    name: str,
    host: configuration_module.Host | None,
) -> Applied:
    """Adds, changes or removes a host."""
    if host is None:
        return _remove_host(configuration, name)
    violation = _host_violation(configuration, name, host)
    if violation is not None:
        return result.Failure(violation)
    current = configuration.hosts.get(name)
    if current is not None:
        configuration = _add_to_host_count(configuration, current, -1)
    hosts = persistent_map.as_persistent(configuration.hosts)
    configuration = _add_to_host_count(configuration, host, 1)
    return result.Success(
        configuration._replace(hosts=hosts.with_entry(name, host))
    )


def apply_drain(
    configuration: configuration_module.Configuration,
    name: str,
    drain: configuration_module.Drain | None,
) -> Applied:
    """Grants or advances the maintenance of a host."""
    current = configuration.drains.get(name)
    drains = persistent_map.as_persistent(configuration.drains)
    if drain is None:
        if current is not None and current.state is not _DrainState.RETURNED:
            return result.Failure(
                f"the drain of host {name!r} is {current.state.value!r}; only "
                "one that is 'returned' can be removed"
            )
        return result.Success(
            configuration._replace(drains=drains.without(name))
        )
    if name not in configuration.hosts:
        return _unknown_host(name)
    allowed = _DRAIN_TRANSITIONS[None if current is None else current.state]
    if drain.state not in allowed:
        return result.Failure(
            f"the drain of host {name!r} can't become {drain.state.value!r}, "
            f"allowed are {[state.value for state in allowed]}"
        )
    if budgets.is_moving(configuration, name):
        return result.Failure(
            f"host {name!r} is moving to pool "
            f"{configuration.moves[name].to_pool!r}; its drain can become "
            f"{drain.state.value!r} once it has joined"
        )
    if drain.state is _DrainState.GRANTED:
        violation = budgets.budget_violation(configuration, name, drains=True)
        if violation is not None:
            return result.Failure(violation)
    changed = configuration._replace(drains=drains.with_entry(name, drain))
    return result.Success(_update_availability(changed, name))


def apply_move(
    configuration: configuration_module.Configuration,
    name: str,
    move: configuration_module.Move | None,
) -> Applied:
    """Starts or advances the move of a host to another pool."""
    current = configuration.moves.get(name)
    moves = persistent_map.as_persistent(configuration.moves)
    if move is None:
        if current is not None and current.state is not _MoveState.JOINED:
            return result.Failure(
                f"the move of host {name!r} is {current.state.value!r}; only "
                "one that is 'joined' can be removed"
            )
        return result.Success(configuration._replace(moves=moves.without(name)))
    if name not in configuration.hosts:
        return _unknown_host(name)
    violation = _move_violation(configuration, name, current, move)
    if violation is not None:
        return result.Failure(violation)
    changed = configuration._replace(moves=moves.with_entry(name, move))
    if move.state is not _MoveState.JOINED:
        return result.Success(_update_availability(changed, name))
    host = changed.hosts[name]
    joined = host._replace(pool=move.to_pool)
    # The index of the old pool must be updated before the host changes pools.
    changed = _add_to_host_count(_update_availability(changed, name), host, -1)
    hosts = persistent_map.as_persistent(changed.hosts)
    return result.Success(
        _add_to_host_count(changed, joined, 1)._replace(
            hosts=hosts.with_entry(name, joined)
        )
    )


def _host_violation(
    configuration: configuration_module.Configuration,
    name: str,
    host: configuration_module.Host,
) -> str | None:
    if host.pool not in configuration.pools:
        return (
            f"unknown pool {host.pool!r} of host {name!r}, known are "
            f"{sorted(configuration.pools)}"
        )
    if host.zone not in configuration.zones:
        return (
            f"unknown zone {host.zone!r} of host {name!r}, known are "
            f"{sorted(configuration.zones)}"
        )
    if host.slots < 0 or host.connections < 0:
        return (
            f"slots {host.slots} and connections {host.connections} of host "
            f"{name!r} must not be negative"
        )
    current = configuration.hosts.get(name, host)
    if current.pool != host.pool:
        return (
            f"host {name!r} is in pool {current.pool!r}, not {host.pool!r}; "
            "its pool is changed only by a move"
        )
    if (current.zone, current.rack) != (host.zone, host.rack) and (
        budgets.is_in_maintenance(configuration, name)
    ):
        return (
            f"host {name!r} can't change from zone and rack "
            f"{(current.zone, current.rack)} during a drain or move"
        )
    return None


def _move_violation(
    configuration: configuration_module.Configuration,
    name: str,
    current: configuration_module.Move | None,
    move: configuration_module.Move,
) -> str | None:
    allowed = _MOVE_TRANSITIONS[None if current is None else current.state]
    if move.state is not allowed:
        return (
            f"the move of host {name!r} can't become {move.state.value!r}, "
            f"allowed is {allowed.value!r}"
        )
    if move.state is not _MoveState.LEAVING:
        if current is not None and current.to_pool != move.to_pool:
            return (
                f"host {name!r} moves to pool {current.to_pool!r}, not "
                f"{move.to_pool!r}; a move in progress keeps its pool"
            )
        return None
    if move.to_pool not in configuration.pools:
        return (
            f"unknown pool {move.to_pool!r}, known are "
            f"{sorted(configuration.pools)}"
        )
    if move.to_pool == configuration.hosts[name].pool:
        return f"host {name!r} is in pool {move.to_pool!r} already"
    if budgets.is_in_maintenance(configuration, name):
        state = configuration.drains[name].state
        return (
            f"the drain of host {name!r} is {state.value!r}; a host moves only "
            "after its drain has 'returned'"
        )
    return budgets.budget_violation(configuration, name, drains=False)


def _remove_host(
    configuration: configuration_module.Configuration, name: str
) -> Applied:
    host = configuration.hosts.get(name)
    if host is None:
        return result.Success(configuration)
    if budgets.is_draining(configuration, name) or budgets.is_moving(
        configuration, name
    ):
        return result.Failure(
            f"host {name!r} can't be removed during a drain or move; only a "
            "host without one or whose drain has 'failed' can"
        )
    without = configuration._replace(
        drains=persistent_map.as_persistent(configuration.drains).without(name),
        moves=persistent_map.as_persistent(configuration.moves).without(name),
    )
    without = _add_to_host_count(_update_availability(without, name), host, -1)
    hosts = persistent_map.as_persistent(without.hosts)
    return result.Success(without._replace(hosts=hosts.without(name)))


def _add_to_host_count(
    configuration: configuration_module.Configuration,
    host: configuration_module.Host,
    change: int,
) -> configuration_module.Configuration:
    """Returns the state with `change` added to the host count of the pool."""
    uses = persistent_map.as_persistent(configuration.pool_use)
    use = uses.get(host.pool, configuration_module.PoolUse())
    counts = dict(use.zone_hosts)
    counts[host.zone] = counts.get(host.zone, 0) + change
    counts = {zone: count for zone, count in counts.items() if count}
    if counts or use.unavailable:
        uses = uses.with_entry(host.pool, use._replace(zone_hosts=counts))
    else:
        uses = uses.without(host.pool)
    return configuration._replace(pool_use=uses)


def _update_availability(
    configuration: configuration_module.Configuration, name: str
) -> configuration_module.Configuration:
    """Returns the state after updating the host's entry in its pool's index."""
    uses = persistent_map.as_persistent(configuration.pool_use)
    pool = configuration.hosts[name].pool
    use = uses[pool]
    if budgets.is_in_maintenance(configuration, name):
        unavailable = use.unavailable | {name}
    else:
        unavailable = use.unavailable - {name}
    return configuration._replace(
        pool_use=uses.with_entry(pool, use._replace(unavailable=unavailable))
    )


def _unknown_host(name: str) -> Applied:
    return result.Failure(f"unknown host {name!r}; declare it first")
