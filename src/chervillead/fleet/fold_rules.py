"""Validation rules of records, by kind.

Each rule is a function of the state, the record's subject and its value; None
removes the subject. It returns the changed state, or an error message that
names the invalid value, the rule and the allowed values.
"""

from collections import abc
import math
import typing

from returns import result

from chervillead.fleet import budgets
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import fold_hosts
from chervillead.fleet import fold_seats
from chervillead.fleet import fold_transfers
from chervillead.fleet import persistent_map
from chervillead.fleet import records

Applied = result.Result[configuration_module.Configuration, str]
Rule = abc.Callable[
    [configuration_module.Configuration, str, typing.Any], Applied
]


def apply_value(
    configuration: configuration_module.Configuration,
    kind: str,
    subject: str,
    value: typing.Any,
) -> Applied:
    """Returns the state after a change of `subject`, or why it is refused.

    Args:
        configuration: State before the change.
        kind: A kind in `record_fields.VALUE_TYPES`.
        subject: Name of the changed item.
        value: Value of the type that belongs to `kind`; None removes the
            subject.
    """
    if not subject:
        return result.Failure(f"a {kind} needs a subject, '' is not allowed")
    return _RULES[kind](configuration, subject, value)


def _apply_queue(
    configuration: configuration_module.Configuration,
    subject: str,
    queue: configuration_module.Queue | None,
) -> Applied:
    if queue is not None:
        if queue.pool not in configuration.pools:
            return _unknown("pool", queue.pool, configuration.pools)
        if not 0 < queue.target_part <= 1:
            return result.Failure(
                f"target_part {queue.target_part} of queue {subject!r} must be "
                "above 0 and at most 1"
            )
        if not (queue.target_s > 0 and queue.max_waiting >= 0):
            return result.Failure(
                f"target_s {queue.target_s} of queue {subject!r} must be above "
                f"0 and max_waiting {queue.max_waiting} at least 0"
            )
    return result.Success(
        configuration._replace(
            queues=_with_value(configuration.queues, subject, queue)
        )
    )


def _apply_team(
    configuration: configuration_module.Configuration,
    subject: str,
    team: configuration_module.Team | None,
) -> Applied:
    moved = configuration.moved_units
    if team is None:
        keys = [
            key
            for key, entry in configuration.keys.items()
            if entry.team == subject
        ]
        if keys:
            return _in_use("team", subject, "keys", keys)
        moved = persistent_map.as_persistent(moved).without(subject)
    else:
        if not (0 <= team.share < math.inf and team.limit >= 0):
            return result.Failure(
                f"share {team.share} and limit {team.limit} of team "
                f"{subject!r} must be finite and not negative"
            )
        known = configuration.teams.get(subject)
        zones = (
            known.zones if known is not None else _declared_zones(configuration)
        )
        if not zones:
            return result.Failure(
                f"the limit of team {subject!r} is divided between the "
                "declared zones, and there is none; declare a zone first"
            )
        team = team._replace(zones=zones)
    return result.Success(
        configuration._replace(
            teams=_with_value(configuration.teams, subject, team),
            moved_units=moved,
        )
    )


def _apply_key(
    configuration: configuration_module.Configuration,
    subject: str,
    key: configuration_module.Key | None,
) -> Applied:
    if key is not None and key.team not in configuration.teams:
        return _unknown("team", key.team, configuration.teams)
    return result.Success(
        configuration._replace(
            keys=_with_value(configuration.keys, subject, key)
        )
    )


def _apply_pool(
    configuration: configuration_module.Configuration,
    subject: str,
    pool: configuration_module.Pool | None,
) -> Applied:
    if pool is None:
        if subject in configuration.pool_use:
            use = configuration.pool_use[subject]
            count = sum(use.zone_hosts.values())
            return result.Failure(
                f"pool {subject!r} has {count} hosts; only a pool without "
                "hosts can be removed"
            )
        references = _references_to_pool(configuration, subject)
        if references:
            return _in_use("pool", subject, "records", references)
    else:
        for name in (
            "max_unavailable",
            "max_unavailable_racks",
            "max_unavailable_zones",
        ):
            if getattr(pool, name) < 0:
                return result.Failure(
                    f"{name} {getattr(pool, name)} of pool {subject!r} must "
                    "not be negative"
                )
    return result.Success(
        configuration._replace(
            pools=_with_value(configuration.pools, subject, pool)
        )
    )


def _references_to_pool(
    configuration: configuration_module.Configuration, pool: str
) -> list[str]:
    """Returns the records that refer to a pool without hosts."""
    queues = (
        f"queue {name}"
        for name, queue in configuration.queues.items()
        if queue.pool == pool
    )
    rollouts = (
        f"rollout {name}"
        for name, rollout in configuration.rollouts.items()
        if rollout.pool == pool
    )
    moves = (
        f"move {name}"
        for name, move in configuration.moves.items()
        if move.to_pool == pool
        and budgets.is_in_maintenance(configuration, name)
    )
    return [*queues, *rollouts, *moves]


def _apply_zone(
    configuration: configuration_module.Configuration,
    subject: str,
    zone: configuration_module.Zone | None,
) -> Applied:
    if zone is None:
        references = _references_to_zone(configuration, subject)
        if references:
            return _in_use("zone", subject, "records", references)
    else:
        known = configuration.zones.get(subject)
        if known is not None and known.index != zone.index:
            return result.Failure(
                f"index {zone.index} of zone {subject!r} differs from "
                f"{known.index}; an index never changes"
            )
        taken = {
            entry.index: name
            for name, entry in configuration.zones.items()
            if name != subject
        }
        if zone.index in taken or zone.index < 0:
            return result.Failure(
                f"index {zone.index} of zone {subject!r} must be unique and "
                f"not negative, taken are {sorted(taken)}"
            )
    return result.Success(
        configuration._replace(
            zones=_with_value(configuration.zones, subject, zone)
        )
    )


def _references_to_zone(
    configuration: configuration_module.Configuration, zone: str
) -> list[str]:
    """Returns the records that refer to a zone."""
    hosts = sum(
        use.zone_hosts.get(zone, 0) for use in configuration.pool_use.values()
    )
    references = [f"{hosts} hosts"] if hosts else []
    references += [
        f"seat {name}"
        for name, seat in configuration.seats.items()
        if seat.zone == zone
    ]
    # A team would lose the units of its limit that a removed zone holds.
    references += [
        f"team {name}"
        for name, team in configuration.teams.items()
        if zone in team.zones or zone in configuration.moved_units.get(name, {})
    ]
    return references


def _apply_rollout(
    configuration: configuration_module.Configuration,
    subject: str,
    rollout: configuration_module.Rollout | None,
) -> Applied:
    if rollout is not None and rollout.pool not in configuration.pools:
        return _unknown("pool", rollout.pool, configuration.pools)
    return result.Success(
        configuration._replace(
            rollouts=_with_value(configuration.rollouts, subject, rollout)
        )
    )


def _declared_zones(
    configuration: configuration_module.Configuration,
) -> tuple[str, ...]:
    zones = configuration.zones
    return tuple(sorted(zones, key=lambda name: zones[name].index))


def _with_value(
    values: abc.Mapping[str, typing.Any], subject: str, value: typing.Any
) -> abc.Mapping[str, typing.Any]:
    if value is None:
        return persistent_map.as_persistent(values).without(subject)
    return persistent_map.as_persistent(values).with_entry(subject, value)


def _unknown(kind: str, name: str, known: abc.Iterable[str]) -> Applied:
    return result.Failure(f"unknown {kind} {name!r}, known are {sorted(known)}")


def _in_use(
    kind: str, name: str, reference_kind: str, references: abc.Sequence[str]
) -> Applied:
    return result.Failure(
        f"{kind} {name!r} can't be removed while {reference_kind} need it: "
        f"{list(references[:5])}"
    )


_RULES: dict[str, Rule] = {
    records.QUEUE: _apply_queue,
    records.TEAM: _apply_team,
    records.KEY: _apply_key,
    records.POOL: _apply_pool,
    records.HOST: fold_hosts.apply_host,
    records.ZONE: _apply_zone,
    records.SEAT: fold_seats.apply_seat,
    records.DRAIN: fold_hosts.apply_drain,
    records.MOVE: fold_hosts.apply_move,
    records.ROLLOUT: _apply_rollout,
    records.TRANSFER: fold_transfers.apply_transfer,
}
