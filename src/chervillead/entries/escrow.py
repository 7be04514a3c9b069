"""Units of team limits: which to use, which to give to other zones.

A giving dispatcher deducts units before it appends the record and restores them
only when the fold has refused it, so no unit is ever granted in two zones.
"""

from collections import abc
import math
import typing

from chervillead.fleet import records

# A zone keeps one free unit of each team, so that the next request starts there
# without a transfer.
RESERVE = 1

# Units that were in use at one of the last samples, a second apart, are kept:
# two zones with alternating load would pass them to and fro otherwise.
KEPT_SAMPLES = 4


class TeamDemand(typing.NamedTuple):
    """What one zone has and needs of a team's limit.

    Attributes:
        units: Units that the zone may use, less those being given away.
        running: Requests that run.
        waiting: Requests that wait, for a unit or a slot.
    """

    units: int
    running: int
    waiting: int


class PlannedTransfer(typing.NamedTuple):
    """Units by team that one zone gives to another."""

    to_zone: str
    units: dict[str, int]


def spare_units(need: TeamDemand, peak: int, *, zone_is_in: bool) -> int:
    """Returns the units that a zone can give without missing them.

    Args:
        need: What the zone has and needs now.
        peak: The most that ran or waited of late.
        zone_is_in: Whether work may start in the zone.
    """
    if not zone_is_in:
        return max(0, need.units - need.running)
    used = max(need.running + need.waiting, peak)
    return max(0, need.units - used - RESERVE)


def plan_transfer(
    spare: abc.Mapping[str, int],
    short: abc.Mapping[str, abc.Mapping[str, int]],
    zones_in: abc.Sequence[str],
    *,
    source_is_in: bool,
) -> PlannedTransfer | None:
    """Returns the units to give this second, or None.

    One record goes to the zone that can use most. Each of several giving zones
    gives its part of what the zone lacks, because all see the same lack.

    Args:
        spare: Units that the zone can give, by team.
        short: Requests without a unit, by zone and team.
        zones_in: Other zones that can use units.
        source_is_in: Whether the giving zone is in service; if not, it keeps
            nothing and gives also to zones that lack nothing yet.
    """
    best: PlannedTransfer | None = None
    for zone in zones_in:
        units = _units_for(
            spare,
            short.get(zone, {}),
            len(zones_in),
            source_is_in=source_is_in,
        )
        if units and (
            best is None or sum(units.values()) > sum(best.units.values())
        ):
            best = PlannedTransfer(zone, units)
    return best


def _units_for(
    spare: abc.Mapping[str, int],
    lacks: abc.Mapping[str, int],
    zones: int,
    *,
    source_is_in: bool,
) -> dict[str, int]:
    """Returns the units by team that one zone would get."""
    units = {}
    for team, free in spare.items():
        lacking = lacks.get(team, 0)
        if source_is_in:
            wanted = math.ceil(lacking / zones)
        else:
            wanted = max(lacking, math.ceil(free / zones))
        if min(free, wanted) > 0:
            units[team] = min(free, wanted)
    return units


class Escrow:
    """Units deducted for transfers whose fate is unknown, and past use.

    At most one transfer is under way, so that its fate can also be told from
    the state of a snapshot.
    """

    def __init__(
        self, is_resolved: abc.Callable[[records.Record], bool]
    ) -> None:
        """Makes an escrow without transfers.

        Args:
            is_resolved: Whether the fold's decision on a record is part of the
                configuration, or the record can't be accepted any more.
        """
        self._is_settled = is_resolved
        self._pending: records.Record | None = None
        self._samples: dict[str, tuple[int, ...]] = {}

    @property
    def pending(self) -> records.Record | None:
        """The transfer whose fate is unknown, if any."""
        if self._pending is not None and self._is_settled(self._pending):
            self._pending = None
        return self._pending

    def deducted(self, team: str) -> int:
        """Returns the units of a team that can't be granted for now."""
        pending = self.pending
        return 0 if pending is None else pending.fields["units"].get(team, 0)

    def begin(self, record: records.Record) -> None:
        """Deducts the units of a transfer; to be called before its append."""
        self._pending = record

    def spare(
        self, needs: abc.Mapping[str, TeamDemand], *, zone_is_in: bool
    ) -> dict[str, int]:
        """Returns the units that can be given; to be called once a second."""
        self._samples = {
            team: (
                *self._samples.get(team, ())[1 - KEPT_SAMPLES :],
                need.running + need.waiting,
            )
            for team, need in needs.items()
        }
        return {
            team: spare_units(
                need, max(self._samples[team]), zone_is_in=zone_is_in
            )
            for team, need in needs.items()
        }
