"""Rules of `transfer` records: units of team limits between zones."""

from returns import result

from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import persistent_map
from chervillead.fleet import records
from chervillead.fleet import team_units


def apply_transfer(
    configuration: configuration_module.Configuration,
    giving: str,
    transfer: configuration_module.Transfer | None,
) -> result.Result[configuration_module.Configuration, str]:
    """Moves units from the zone `giving` to another one.

    The incarnation fences out a dispatcher that lost its seat: its successor
    may already grant the units.
    """
    if transfer is None:
        return result.Failure("a transfer can't be removed, only given back")
    duty_seat = f"{giving}/0"
    incarnation = configuration.versions.get(
        (records.SEAT, duty_seat), records.NO_VERSION
    )
    if transfer.incarnation != incarnation or (
        duty_seat not in configuration.seats
    ):
        return result.Failure(
            f"incarnation {transfer.incarnation} doesn't hold seat "
            f"{duty_seat!r}, current is {incarnation}"
        )
    if not transfer.units or giving == transfer.to_zone:
        return result.Failure(
            f"a transfer needs units and two zones, got {giving!r} to "
            f"{transfer.to_zone!r}, units {dict(transfer.units)}"
        )
    moved = persistent_map.as_persistent(configuration.moved_units)
    for team, units in transfer.units.items():
        refusal = _refusal_of(configuration, giving, transfer, team, units)
        if refusal is not None:
            return result.Failure(refusal)
        zones = dict(moved.get(team, {}))
        zones[giving] = zones.get(giving, 0) - units
        zones[transfer.to_zone] = zones.get(transfer.to_zone, 0) + units
        moved = moved.with_entry(
            team, {zone: count for zone, count in zones.items() if count}
        )
    return result.Success(configuration._replace(moved_units=moved))


def _refusal_of(
    configuration: configuration_module.Configuration,
    giving: str,
    transfer: configuration_module.Transfer,
    team: str,
    units: int,
) -> str | None:
    entry = configuration.teams.get(team)
    if entry is None:
        return f"unknown team {team!r}, known are {sorted(configuration.teams)}"
    for zone in (giving, transfer.to_zone):
        if zone not in entry.zones and zone not in configuration.zones:
            return (
                f"unknown zone {zone!r}, known are "
                f"{sorted({*entry.zones, *configuration.zones})}"
            )
    held = team_units.zone_units(configuration, team, giving)
    if not 0 < units <= held:
        return (
            f"zone {giving!r} can't give {units} units of team {team!r}, "
            f"allowed are 1 to {held}"
        )
    return None
