"""The dispatcher of one zone: grants its slots to requests of entry hosts.

Its state is soft: entry hosts own their requests, and a new dispatcher
rebuilds the state from their reports.
"""

from collections import abc

from chervillead import types
from chervillead.entries import admission
from chervillead.entries import capacity
from chervillead.entries import escrow
from chervillead.entries import grant_table
from chervillead.entries import messages
from chervillead.entries import refusals
from chervillead.entries import unit_demand
from chervillead.entries import waiting_list
from chervillead.entries import zone_allocator
from chervillead.fleet import configuration as configuration_module
from chervillead.upstreams import slots as slots_module

LEASE_MS = zone_allocator.LEASE_MS
GRANT_EXPIRY_S = (zone_allocator.START_BY_MS + zone_allocator.LEASE_MS) / 1000

Notify = abc.Callable[[str, messages.Message], object]
RecordRelease = abc.Callable[[slots_module.HeldSlot, messages.Release], None]


class Dispatcher:
    """Waiting list, slots and units of one zone."""

    def __init__(
        self,
        *,
        host: str,
        zone: str,
        configuration: abc.Callable[[], configuration_module.Configuration],
        clock: types.Clock,
        notify: Notify,
        may_grant: abc.Callable[[], bool] = lambda: True,
        usable_slots: capacity.UsableSlots = lambda name, host: host.slots,
        record_release: RecordRelease = lambda slot, message: None,
        deducted_units: abc.Callable[[str], int] = lambda team: 0,
        is_over_units_elsewhere: abc.Callable[[str], bool] = lambda team: False,
    ) -> None:
        """Makes an empty dispatcher.

        Args:
            host: Name of the entry host that it runs on.
            zone: Zone whose upstreams it grants.
            configuration: Returns the newest configuration.
            clock: Source of time.
            notify: Sends a message to an entry host.
            may_grant: Returns whether its seat is confirmed.
            usable_slots: Returns the slots of an upstream that may be used.
            record_release: Receives the slot and message of each release.
            deducted_units: Returns a team's units that are deducted for a
                pending transfer.
            is_over_units_elsewhere: Returns whether a team runs more than its
                units in another zone, so that a grant here could exceed a
                lowered limit.
        """
        self._zone = zone
        self._clock = clock
        self._notify = notify
        self._may_grant = may_grant
        self._record_release = record_release
        self._allocator = zone_allocator.ZoneAllocator(
            host=host,
            zone=zone,
            configuration=configuration,
            clock=clock,
            usable_slots=usable_slots,
            deducted_units=deducted_units,
            is_over_units_elsewhere=is_over_units_elsewhere,
        )
        self._capacity, self._grants = (
            self._allocator.capacity,
            self._allocator.grants,
        )
        self._waiting = waiting_list.WaitingList()
        self._run_times = admission.RunTimeTracker()
        self._last_checked: configuration_module.Configuration | None = None

    @property
    def slots(self) -> slots_module.SlotTable:
        """Slots in use by active grants."""
        return self._grants.slots

    @property
    def waiting(self) -> waiting_list.WaitingList:
        """Requests that wait for a slot."""
        return self._waiting

    @property
    def run_times(self) -> admission.RunTimeTracker:
        """Measured run times by queue and team."""
        return self._run_times

    def register(
        self, entry_host: str, message: messages.Register
    ) -> messages.Granted | messages.Waiting | messages.Refused:
        """Grants a slot to a request, enqueues it or refuses it.

        A repeated registration returns the same grant.
        """
        configuration = self._allocator.refresh_configuration()
        grant = self._grants.of_request(message.request_id)
        if grant is not None and grant.granted is not None:
            return grant.granted
        if message.request_id in self._waiting:
            return messages.Waiting(message.request_id)
        refused = self._refusal(message) or refusals.refusal_for_deadline(
            self._allocator, self._waiting, self._run_times, message
        )
        if refused is not None:
            return refused
        queue = configuration.queues[message.queue]
        granted = self._allocator.try_grant(entry_host, queue.pool, message)
        if granted is not None:
            return granted
        now_s = self._clock.monotonic()
        entry = waiting_list.WaitingRequest(
            entry_host,
            message,
            queue.pool,
            now_s + queue.target_s,
            now_s + message.time_left_ms / 1000,
        )
        return self._enqueue(entry, queue)

    def withdraw(self, message: messages.Withdraw) -> None:
        """Removes a request from the waiting list.

        A grant that crossed the withdrawal stays active until its entry host
        releases it, omits it from its reports for `GRANT_EXPIRY_S`, or is lost:
        the host may have accepted the grant in the meantime.
        """
        self._waiting.remove(message.request_id)

    def release(self, message: messages.Release) -> None:
        """Frees the slot of a grant and grants it to a waiting request."""
        grant = self._allocator.free(message.grant_id)
        if grant is None:
            return
        slot = grant.slot
        if message.started and not message.failed:
            self._run_times.record(slot.queue, slot.team, message.run_ms / 1000)
        # Must precede the next grant, because this failure may eject the host.
        self._record_release(slot, message)
        self._capacity.refresh_limit(slot.upstream)
        self._regrant_freed(grant)

    def restore(
        self, entry_host: str, report: messages.HeldGrantsReport
    ) -> None:
        """Restores the grants and waiting requests that an entry host reports.

        Grants that the host has not reported for `GRANT_EXPIRY_S` are freed: it
        never received them, or their release was lost.
        """
        self._allocator.refresh_configuration()
        now_s = self._clock.monotonic()
        reported = {held_grant.grant_id for held_grant in report.held}
        for grant_id in self._grants.expired(
            entry_host, reported, now_s, GRANT_EXPIRY_S
        ):
            self._free(grant_id)
        for held_grant in report.held:
            if held_grant.grant_id not in self._grants:
                self._allocator.add_grant(
                    slots_module.HeldSlot(
                        held_grant.grant_id,
                        held_grant.upstream,
                        held_grant.queue,
                        held_grant.team,
                        entry_host,
                        held_grant.size,
                        held_grant.request_id,
                    )
                )
        for register in report.waiting:
            reply = self.register(entry_host, register)
            if not isinstance(reply, messages.Waiting):
                self._notify(entry_host, reply)

    def restore_grant(self, slot: slots_module.HeldSlot) -> None:
        """Adds the grant of a running task that no entry host has reported."""
        self._allocator.refresh_configuration()
        if slot.grant_id not in self._grants:
            self._allocator.add_grant(slot)

    def expired_grants(self, entry_host: str) -> list[slots_module.HeldSlot]:
        """Returns the expired grants of a silent entry host.

        The waiting requests of the host are removed.

        The caller ensures that the host has been silent for `GRANT_EXPIRY_S`,
        and asks the upstreams before it frees a grant: the host may only be
        partitioned from this dispatcher and still renew the leases of its
        tasks.
        """
        now_s = self._clock.monotonic()
        for entry in self._waiting.entries:
            if entry.entry_host == entry_host:
                self._waiting.remove(entry.register.request_id)
        return [
            grant.slot
            for grant in self._grants.of_entry_host(entry_host)
            if now_s - grant.granted_s >= GRANT_EXPIRY_S
        ]

    def free_expired(self, grant_id: str) -> None:
        """Frees an expired grant whose task has ended."""
        self._free(grant_id)

    def grant_waiting(self) -> None:
        """Grants free slots to waiting requests.

        Requests that can no longer be granted here are refused, so that their
        entry hosts try another zone. Must be called on each change of the
        configuration and periodically at sub-second intervals, because slots
        can become usable with the passage of time alone.
        """
        configuration = self._allocator.refresh_configuration()
        self._waiting.remove_expired(self._clock.monotonic())
        self._capacity.refresh_limits()
        if self._last_checked is not configuration or not self._may_grant():
            self._last_checked = configuration
            self._refuse_ungrantable()
        for pool in self._waiting.pools:
            self._grant_free_slots(pool)

    def free_slots(self) -> dict[str, int]:
        """Returns the free slots of the zone by queue.

        All are 0 while the dispatcher may not grant.
        """
        configuration = self._allocator.refresh_configuration()
        may_grant = self._may_grant()
        return {
            name: self._capacity.free(queue.pool) if may_grant else 0
            for name, queue in configuration.queues.items()
        }

    def unit_shortages(self) -> dict[str, int]:
        """Returns how many waiting requests lack a unit, by team."""
        return unit_demand.unit_shortages(self._allocator, self._waiting)

    def teams_over_units(self) -> list[str]:
        """Returns the teams that run more than their units in this zone."""
        return unit_demand.teams_over_units(self._allocator)

    def team_demands(self) -> dict[str, escrow.TeamDemand]:
        """Returns the units, running and waiting requests of each team."""
        return unit_demand.team_demands(self._allocator, self._waiting)

    def _refuse_ungrantable(self) -> None:
        """Refuses the waiting requests that can no longer be granted here."""
        for entry in self._waiting.entries:
            refused = self._refusal(entry.register)
            if refused is not None:
                self._waiting.remove(entry.register.request_id)
                self._notify(entry.entry_host, refused)

    def _refusal(self, message: messages.Register) -> messages.Refused | None:
        """Returns a refusal if the zone's state rules out a grant."""
        return refusals.refusal_for_state(
            self._allocator, message, self._zone, may_grant=self._may_grant()
        )

    def _enqueue(
        self,
        entry: waiting_list.WaitingRequest,
        queue: configuration_module.Queue,
    ) -> messages.Waiting | messages.Refused:
        """Adds a request to the waiting list; a full list may evict another."""
        register = entry.register
        self._waiting.remove_expired(self._clock.monotonic())
        counts = self._waiting.queue_counts(register.queue)
        if sum(counts.values()) >= queue.max_waiting:
            backlog_s = refusals.backlog_s(
                self._allocator, self._waiting, self._run_times, entry
            )
            evicted_team = admission.team_to_evict(
                counts, register.team, self._allocator.share
            )
            if evicted_team is None:
                return refusals.queue_full(register, backlog_s)
            newest_id = self._waiting.newest(register.queue, evicted_team)
            evicted = self._waiting.remove(newest_id)
            if evicted is not None:
                self._notify(
                    evicted.entry_host,
                    refusals.queue_full(evicted.register, backlog_s),
                )
        self._waiting.add(entry)
        return messages.Waiting(register.request_id)

    def _grant_free_slots(self, pool: str) -> None:
        """Grants the free slots of a pool by share, then by target time."""
        while self._may_grant() and self._capacity.free(pool) > 0:
            queue_heads = sorted(
                self._waiting.heads(pool),
                key=lambda entry: (
                    self._allocator.normalized_usage(pool, entry.register.team),
                    entry.due_s,
                ),
            )
            for entry in queue_heads:
                granted = self._allocator.try_grant(
                    entry.entry_host, entry.pool, entry.register
                )
                if granted is not None:
                    self._waiting.remove(entry.register.request_id)
                    self._notify(entry.entry_host, granted)
                    break
            else:
                return

    def _free(self, grant_id: str) -> None:
        grant = self._allocator.free(grant_id)
        if grant is not None:
            self._regrant_freed(grant)

    def _regrant_freed(self, grant: grant_table.ActiveGrant) -> None:
        """Grants a freed slot and unit to waiting requests."""
        self._waiting.remove_expired(self._clock.monotonic())
        # The freed unit may serve a request that waits for another pool.
        for pool in self._waiting.pools:
            if pool == grant.pool or grant.slot.team in (
                self._waiting.waiting_by_team(pool)
            ):
                self._grant_free_slots(pool)
