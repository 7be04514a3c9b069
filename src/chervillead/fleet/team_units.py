"""Division of a team's limit into whole units between zones.

Each dispatcher grants only against the units of its zone, so the sum over all
zones must never exceed the limit, also while hosts know different versions.
"""

from chervillead.fleet import configuration as configuration_module


def initial_units(limit: int, zones: tuple[str, ...]) -> dict[str, int]:
    """Returns each zone's part of `limit`; the parts add up to it.

    No part falls when the limit rises, so dispatchers that know different
    versions of a raised limit can't exceed the higher one together.
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

    A zone that gave units away before the limit was lowered can end up below
    zero. The others must make up for it, or together they would exceed the
    limit: each zone in turn, by index, forgoes what it has until the debt is
    paid. As the division does, this never lowers a part when a limit rises or
    when units move between other zones.
    """
    entry = configuration.teams.get(team)
    if entry is None:
        return 0
    parts = initial_units(entry.limit, entry.zones)
    for name, moved in configuration.moved_units.get(team, {}).items():
        parts[name] = parts.get(name, 0) + moved
    own = max(0, parts.get(zone, 0))
    debt = -sum(units for units in parts.values() if units < 0)
    if not debt or not own:
        return own
    position = _position(configuration, zone)
    before = sum(
        units
        for name, units in parts.items()
        if units > 0 and _position(configuration, name) < position
    )
    return max(0, own - max(0, debt - before))


def _position(
    configuration: configuration_module.Configuration, zone: str
) -> tuple[int, str]:
    """Returns the place of a zone in the order in which debts are paid.

    A zone that is no longer declared comes first: it grants nothing.
    """
    entry = configuration.zones.get(zone)
    return (-1 if entry is None else entry.index, zone)
