"""Rules of `transfer` records: units of team limits between zones."""

from returns import result

from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import persistent_map
from chervillead.fleet import records
from chervillead.fleet import team_units


def apply_transfer(
    configuration: configuration_module.Configuration,
    source_zone: str,
    transfer: configuration_module.Transfer | None,
) -> result.Result[configuration_module.Configuration, str]:
    """Transfers units from `source_zone` to another zone.

    The incarnation is a fencing token: it rejects a dispatcher that lost its
    seat, whose successor may already grant the units.
    """
    if transfer is None:
        return result.Failure(
            "a transfer can't be removed; transfer the units back instead"
        )
    leader_seat = f"{source_zone}/0"
    incarnation = configuration.versions.get(
        (records.SEAT, leader_seat), records.NO_VERSION
    )
    if transfer.incarnation != incarnation or (
        leader_seat not in configuration.seats
    ):
        return result.Failure(
            f"incarnation {transfer.incarnation} doesn't hold seat "
            f"{leader_seat!r}, current is {incarnation}"
        )
    if not transfer.units or source_zone == transfer.to_zone:
        return result.Failure(
            f"a transfer needs units and two zones, got {source_zone!r} to "
            f"{transfer.to_zone!r}, units {dict(transfer.units)}"
        )
    moved = persistent_map.as_persistent(configuration.moved_units)
    for team, units in transfer.units.items():
        violation = _unit_violation(
            configuration, source_zone, transfer, team, units
        )
        if violation is not None:
            return result.Failure(violation)
        zones = dict(moved.get(team, {}))
        zones[source_zone] = zones.get(source_zone, 0) - units
        zones[transfer.to_zone] = zones.get(transfer.to_zone, 0) + units
        moved = moved.with_entry(
            team, {zone: count for zone, count in zones.items() if count}
        )
    return result.Success(configuration._replace(moved_units=moved))


def _unit_violation(
    configuration: configuration_module.Configuration,
    source_zone: str,
    transfer: configuration_module.Transfer,
    team: str,
    units: int,
) -> str | None:
    entry = configuration.teams.get(team)
    if entry is None:
        return f"unknown team {team!r}, known are {sorted(configuration.teams)}"
    for zone in (source_zone, transfer.to_zone):
        if zone not in entry.zones and zone not in configuration.zones:
            return (
                f"unknown zone {zone!r}, known are "
                f"{sorted({*entry.zones, *configuration.zones})}"
            )
    held = team_units.zone_units(configuration, team, source_zone)
    if not 0 < units <= held:
        return (
            f"zone {source_zone!r} can't give {units} units of team {team!r}, "
            f"allowed are 1 to {held}"
        )
    return None
