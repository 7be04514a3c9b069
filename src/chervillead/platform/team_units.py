"""Division of a team's limit into whole units between zones.

Each dispatcher grants only against the units of its zone, so the sum over all
zones must never exceed the limit, also while hosts know different versions.
"""

from chervillead.platform import configuration as configuration_module


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

    The result is negative when the zone gave units away and the limit was
    lowered after that; such a zone grants nothing.
    """
    entry = configuration.teams.get(team)
    if entry is None:
        return 0
    moved = configuration.moved_units.get(team, {}).get(zone, 0)
    return initial_units(entry.limit, entry.zones).get(zone, 0) + moved
