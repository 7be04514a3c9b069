"""What one zone has and lacks of each team's limit."""

import collections

from chervillead.entries import escrow
from chervillead.entries import waiting_list
from chervillead.entries import zone_ledger


def short_units(
    ledger: zone_ledger.ZoneLedger, waiting: waiting_list.WaitingList
) -> dict[str, int]:
    """Returns the waiting requests that lack a unit, by team.

    No more than the free slots are counted, and at least one where no slot is
    free: further units would be stranded here until slots are.
    """
    ledger.current()
    short = collections.Counter[str]()
    for pool in waiting.pools:
        free = max(1, ledger.capacity.free(pool))
        for team, count in waiting.waiting_by_team(pool).items():
            if team and ledger.units_left(team) <= 0:
                short[team] += min(count, free)
    return dict(short)


def over_units(ledger: zone_ledger.ZoneLedger) -> list[str]:
    """Returns the teams that run more than their units of a lowered limit."""
    teams = ledger.current().teams
    return [team for team in teams if ledger.units_left(team) < 0]


def team_needs(
    ledger: zone_ledger.ZoneLedger, waiting: waiting_list.WaitingList
) -> dict[str, escrow.TeamNeed]:
    """Returns the units, running and waiting requests of each team."""
    teams = ledger.current().teams
    counts = collections.Counter[str]()
    for pool in waiting.pools:
        counts.update(waiting.waiting_by_team(pool))
    return {
        team: escrow.TeamNeed(
            ledger.units(team), ledger.running(team), counts[team]
        )
        for team in teams
    }
