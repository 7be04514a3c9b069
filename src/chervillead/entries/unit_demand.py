"""Demand and shortage of team units in one zone."""

import collections

from chervillead.entries import escrow
from chervillead.entries import waiting_list
from chervillead.entries import zone_allocator


def unit_shortages(
    allocator: zone_allocator.ZoneAllocator, waiting: waiting_list.WaitingList
) -> dict[str, int]:
    """Returns how many waiting requests lack a unit, by team.

    Counts at most the free slots of each pool, but at least one request, since
    further units would be unusable in this zone until slots become free.
    """
    allocator.refresh_configuration()
    shortages = collections.Counter[str]()
    for pool in waiting.pools:
        free = max(1, allocator.capacity.free(pool))
        for team, count in waiting.waiting_by_team(pool).items():
            if team and allocator.free_units(team) <= 0:
                shortages[team] += min(count, free)
    return dict(shortages)


def teams_over_units(allocator: zone_allocator.ZoneAllocator) -> list[str]:
    """Returns the teams that run more than their units in this zone.

    This happens after their limit was lowered.
    """
    teams = allocator.refresh_configuration().teams
    return [team for team in teams if allocator.free_units(team) < 0]


def team_demands(
    allocator: zone_allocator.ZoneAllocator, waiting: waiting_list.WaitingList
) -> dict[str, escrow.TeamDemand]:
    """Returns the units, running and waiting requests of each team."""
    teams = allocator.refresh_configuration().teams
    counts = collections.Counter[str]()
    for pool in waiting.pools:
        counts.update(waiting.waiting_by_team(pool))
    return {
        team: escrow.TeamDemand(
            allocator.units(team), allocator.running(team), counts[team]
        )
        for team in teams
    }
