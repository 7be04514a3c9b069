"""Division of a team's limit into whole units per zone.

Each dispatcher grants only against the units of its zone, so the sum over all
zones must never exceed the limit, even while hosts have different versions of
the configuration.
"""

from chervillead.fleet import configuration as configuration_module


def initial_units(limit: int, zones: tuple[str, ...]) -> dict[str, int]:
    """Returns the units of each zone; their sum is `limit`.

    No zone's units decrease when the limit is raised, so dispatchers with
    different versions of a raised limit can't exceed the higher one together.
    """
    if not zones:
        return {}
    whole, rest = divmod(limit, len(zones))
    return {
        zone: whole + (1 if index < rest else 0)
        for index, zone in enumerate(zones)
    }


def zone_units(
    configuration: configuration_module.Configuration, team: str, zone: str
) -> int:
    """Returns the units of a team's limit that `zone` may use.

    A zone that transferred units before the limit was lowered can have a
    negative number of units. The other zones must cover this deficit, or
    together they would exceed the limit: in order of their index, zones give up
    their units until the deficit is covered. As with `initial_units`, a zone's
    units never decrease when the limit is raised or when units are transferred
    between other zones.
    """
    entry = configuration.teams.get(team)
    if entry is None:
        return 0
    parts = initial_units(entry.limit, entry.zones)
    for name, moved in configuration.moved_units.get(team, {}).items():
        parts[name] = parts.get(name, 0) + moved
    zone_part = max(0, parts.get(zone, 0))
    deficit = -sum(units for units in parts.values() if units < 0)
    if not deficit or not zone_part:
        return zone_part
    priority = _priority(configuration, zone)
    covered = sum(
        units
        for name, units in parts.items()
        if units > 0 and _priority(configuration, name) < priority
    )
    return max(0, zone_part - max(0, deficit - covered))


def _priority(
    configuration: configuration_module.Configuration, zone: str
) -> tuple[int, str]:
    """Returns the sort key of a zone in the order that covers deficits.

    Zones that are no longer declared come first, because they grant nothing.
    """
    entry = configuration.zones.get(zone)
    return (-1 if entry is None else entry.index, zone)
