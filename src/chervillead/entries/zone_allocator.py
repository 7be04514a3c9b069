"""Allocation of one zone's slots and team units to grants."""

from collections import abc
import itertools
import math

from chervillead import types
from chervillead.entries import admission
from chervillead.entries import capacity as capacity_module
from chervillead.entries import grant_table
from chervillead.entries import messages
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import team_units
from chervillead.upstreams import slots

START_BY_MS = 1000
LEASE_MS = 2000


class ZoneAllocator:
    """Slots, units and active grants of one zone.

    The slots and units follow the newest configuration.
    """

    def __init__(
        self,
        *,
        host: str,
        zone: str,
        configuration: abc.Callable[[], configuration_module.Configuration],
        clock: types.Clock,
        usable_slots: capacity_module.UsableSlots,
        deducted_units: abc.Callable[[str], int],
        is_over_units_elsewhere: abc.Callable[[str], bool],
    ) -> None:
        self._zone = zone
        self._configuration = configuration
        self._clock = clock
        self._usable_slots = usable_slots
        self._deducted_units = deducted_units
        self._is_over_units_elsewhere = is_over_units_elsewhere
        self._applied = configuration_module.EMPTY
        # Units by team under the configuration that was applied last.
        self._units: dict[str, int] = {}
        self._zone_returned_s = -math.inf
        self._grants = grant_table.GrantTable()
        self._capacity = capacity_module.ZoneCapacity(zone, self._current_slots)
        self._usages = admission.UsageTable()
        # The start time keeps a host that restarts under the same name from
        # reusing the ids of grants that are still active.
        id_prefix = f"{host}.{int(clock.wall() * 1000):x}"
        self._grant_ids = (f"{id_prefix}.{n}" for n in itertools.count(1))

    @property
    def grants(self) -> grant_table.GrantTable:
        """Active grants."""
        return self._grants

    @property
    def capacity(self) -> capacity_module.ZoneCapacity:
        """Free slots of the zone's hosts."""
        return self._capacity

    def refresh_configuration(self) -> configuration_module.Configuration:
        """Applies the newest configuration to the index and returns it."""
        previous, new = self._applied, self._configuration()
        if new is previous:
            return new
        self._applied = new
        self._units.clear()
        was_out = self._zone in previous.zones and not (
            configuration_module.is_zone_in_service(previous, self._zone)
        )
        if was_out and configuration_module.is_zone_in_service(new, self._zone):
            self._zone_returned_s = self._clock.monotonic()
        for field in ("hosts", "drains", "moves", "zones"):
            if getattr(previous, field) is not getattr(new, field):
                self._capacity.index_hosts(new)
                break
        return new

    def units(self, team: str) -> int:
        """Returns the units of a team that the zone may use.

        Units deducted for a pending transfer are not included.
        """
        units = self._units.get(team)
        if units is None:
            units = team_units.zone_units(self._applied, team, self._zone)
            self._units[team] = units
        return units - self._deducted_units(team)

    def limit(self, team: str) -> int:
        """Returns a team's fleet-wide limit; 0 for an unknown team."""
        entry = self._applied.teams.get(team)
        return 0 if entry is None else entry.limit

    def running(self, team: str) -> int:
        """Returns the number of active grants of a team."""
        return self._grants.slots.running(team)

    def free_units(self, team: str) -> int:
        """Returns the unused units of a team; negative if it is over them."""
        return self.units(team) - self.running(team)

    def share(self, team: str) -> float:
        """Returns the share of a team; 1 for work without a team."""
        entry = self._applied.teams.get(team)
        return 1.0 if entry is None else entry.share

    def normalized_usage(self, pool: str, team: str) -> float:
        """Returns a team's usage of a pool divided by its share."""
        usage = self._usages.usage(pool, team, self._clock.monotonic())
        return admission.normalized_usage(usage, self.share(team))

    def try_grant(
        self, entry_host: str, pool: str, message: messages.Register
    ) -> messages.Granted | None:
        """Grants a slot if one fits and the team has a free unit."""
        team = message.team
        if team and (
            self.free_units(team) <= 0 or self._is_over_units_elsewhere(team)
        ):
            return None
        found = self._capacity.pick(pool, message.size)
        if found is None:
            return None
        name, host = found
        granted = messages.Granted(
            message.request_id,
            next(self._grant_ids),
            types.Upstream(name, host.zone, host.address),
            START_BY_MS,
            LEASE_MS,
        )
        slot = slots.HeldSlot(
            granted.grant_id,
            name,
            message.queue,
            message.team,
            entry_host,
            message.size,
            message.request_id.rpartition("/")[0] or message.request_id,
        )
        self.add_grant(slot, granted)
        return granted

    def add_grant(
        self, slot: slots.HeldSlot, granted: messages.Granted | None = None
    ) -> None:
        """Adds an active grant.

        Args:
            slot: Slot that it uses.
            granted: Message that grants it; None for a restored grant.
        """
        now_s = self._clock.monotonic()
        queue = self._applied.queues.get(slot.queue)
        pool = "" if queue is None else queue.pool
        self._grants.add(grant_table.ActiveGrant(slot, pool, granted, now_s))
        self._capacity.allocate(slot.upstream, slot.size)
        self._usages.change(pool, slot.team, 1, now_s)

    def free(self, grant_id: str) -> grant_table.ActiveGrant | None:
        """Frees a grant; returns None if it is unknown or already freed."""
        grant = self._grants.remove(grant_id)
        if grant is None:
            return None
        self.refresh_configuration()
        self._capacity.release(grant.slot.upstream, grant.slot.size)
        now_s = self._clock.monotonic()
        self._usages.change(grant.pool, grant.slot.team, -1, now_s)
        return grant

    def _current_slots(self, name: str, host: configuration_module.Host) -> int:
        since_s = self._clock.monotonic() - self._zone_returned_s
        usable = min(self._usable_slots(name, host), host.slots)
        return admission.slow_start_slots(usable, since_s)
