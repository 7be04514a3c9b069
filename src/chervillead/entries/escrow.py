"""Escrow of team limits: units that zones use or transfer to each other.

A team's limit is split into units that each zone grants on its own. The source
zone of a transfer deducts the units before it appends the record, and restores
them only once the fold has refused it, so no unit is ever granted in two zones.
"""

from collections import abc
import math
import typing

from chervillead.fleet import records

# Free units of each team that a zone keeps, so that the next request starts
# without waiting for a transfer.
RESERVE_UNITS = 1

# Number of samples, taken once a second, of which the peak demand is kept.
# Otherwise two zones with alternating load transfer units back and forth.
PEAK_SAMPLES = 4


class TeamDemand(typing.NamedTuple):
    """Units of a team in one zone, and the demand for them.

    Attributes:
        units: Units that the zone may use, without those deducted for a
            pending transfer.
        running: Running requests.
        waiting: Requests that wait for a unit or a slot.
    """

    units: int
    running: int
    waiting: int


class PlannedTransfer(typing.NamedTuple):
    """Units to transfer to another zone.

    Attributes:
        to_zone: Zone that receives them.
        units: Units by team.
    """

    to_zone: str
    units: dict[str, int]


def spare_units(
    demand: TeamDemand, peak: int, *, is_zone_in_service: bool
) -> int:
    """Returns the units that a zone doesn't need itself.

    Args:
        demand: Units and current demand of the zone.
        peak: Recent peak of running and waiting requests.
        is_zone_in_service: Whether the zone is in service.
    """
    if not is_zone_in_service:
        return max(0, demand.units - demand.running)
    used = max(demand.running + demand.waiting, peak)
    return max(0, demand.units - used - RESERVE_UNITS)


def plan_transfer(
    spare: abc.Mapping[str, int],
    shortages: abc.Mapping[str, abc.Mapping[str, int]],
    target_zones: abc.Sequence[str],
    *,
    is_source_in_service: bool,
) -> PlannedTransfer | None:
    """Returns the transfer to make now, or None.

    All units go to the one zone that can use the most of them. Each of several
    source zones covers only its part of a shortage, because all of them see the
    same shortage.

    Args:
        spare: Units that the source zone doesn't need, by team.
        shortages: Requests without a unit, by zone and team.
        target_zones: Other zones that can use units.
        is_source_in_service: Whether the source zone is in service. If not, it
            keeps none of its spare units and transfers them even to zones
            without a shortage.
    """
    best: PlannedTransfer | None = None
    for zone in target_zones:
        units = _units_for(
            spare,
            shortages.get(zone, {}),
            len(target_zones),
            is_source_in_service=is_source_in_service,
        )
        if units and (
            best is None or sum(units.values()) > sum(best.units.values())
        ):
            best = PlannedTransfer(zone, units)
    return best


def _units_for(
    spare: abc.Mapping[str, int],
    shortages: abc.Mapping[str, int],
    zones: int,
    *,
    is_source_in_service: bool,
) -> dict[str, int]:
    """Returns the units by team to transfer to one zone."""
    units = {}
    for team, spare_of_team in spare.items():
        shortage = shortages.get(team, 0)
        if is_source_in_service:
            wanted = math.ceil(shortage / zones)
        else:
            wanted = max(shortage, math.ceil(spare_of_team / zones))
        if min(spare_of_team, wanted) > 0:
            units[team] = min(spare_of_team, wanted)
    return units


class Escrow:
    """Units deducted for a pending transfer, and samples of recent demand.

    At most one transfer is pending, so that its outcome can also be derived
    from a snapshot.
    """

    def __init__(
        self, is_resolved: abc.Callable[[records.Record], bool]
    ) -> None:
        """Makes an escrow without a pending transfer.

        Args:
            is_resolved: Returns whether the configuration includes the outcome
                of a record, or the record can no longer be accepted.
        """
        self._is_resolved = is_resolved
        self._pending: records.Record | None = None
        self._samples: dict[str, tuple[int, ...]] = {}

    @property
    def pending(self) -> records.Record | None:
        """Transfer whose outcome is unknown, if any."""
        if self._pending is not None and self._is_resolved(self._pending):
            self._pending = None
        return self._pending

    def deducted(self, team: str) -> int:
        """Returns the units of a team that are deducted and not grantable."""
        pending = self.pending
        return 0 if pending is None else pending.fields["units"].get(team, 0)

    def begin(self, record: records.Record) -> None:
        """Deducts the units of a transfer; must precede its append."""
        self._pending = record

    def spare(
        self, demands: abc.Mapping[str, TeamDemand], *, is_zone_in_service: bool
    ) -> dict[str, int]:
        """Samples the demand and returns the spare units by team.

        Must be called once a second.

        Args:
            demands: Units and demand by team.
            is_zone_in_service: Whether the zone is in service.
        """
        self._samples = {
            team: (
                *self._samples.get(team, ())[1 - PEAK_SAMPLES :],
                demand.running + demand.waiting,
            )
            for team, demand in demands.items()
        }
        return {
            team: spare_units(
                demand,
                max(self._samples[team]),
                is_zone_in_service=is_zone_in_service,
            )
            for team, demand in demands.items()
        }
