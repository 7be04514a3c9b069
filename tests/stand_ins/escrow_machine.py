"""State machine of team units: zones, a log, and everything in any order.

The fold, the dispatchers and the escrows are real; a list stands for the log.
Each zone knows a prefix of it. Appends can be lost, repeated or late.
"""

from collections import abc
import itertools
import typing

from hypothesis import stateful
from hypothesis import strategies

from chervillead import types
from chervillead.entries import dispatcher
from chervillead.entries import escrow
from chervillead.entries import messages
from chervillead.entries import transfers
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import fold
from chervillead.fleet import records

ZONES = ("z0", "z1", "z2")
TEAM = "a"
QUEUE = "checks"
SLOTS = 60
CLOCK = types.Clock(lambda: 100.0, lambda: 100.0)

zone_names = strategies.sampled_from(ZONES)
counts = strategies.sampled_from((1, 2, 12))


class Holder:
    """The dispatcher of one zone at one incarnation, and what it knows."""

    def __init__(
        self,
        zone: str,
        configuration: configuration_module.Configuration,
        *,
        deducts: bool = True,
    ) -> None:
        self.zone = zone
        self.configuration = configuration
        self.escrow = escrow.Escrow(
            lambda record: transfers.is_resolved(self.configuration, record)
        )
        self.dispatcher = dispatcher.Dispatcher(
            host=f"entry-{zone}-{configuration.offset}",
            zone=zone,
            configuration=lambda: self.configuration,
            clock=CLOCK,
            notify=lambda host, message: None,
            deducted_units=self.escrow.deducted if deducts else lambda team: 0,
        )

    @property
    def running(self) -> int:
        """Grants that the team holds here."""
        return self.dispatcher.slots.running(TEAM)

    def fold(self, entries: abc.Iterable[records.OffsetRecord]) -> None:
        """Folds records and grants what that allows."""
        for step in fold.fold_records(self.configuration, entries):
            self.configuration = step.configuration
        self.dispatcher.grant_waiting()


class UnitsMachine(stateful.RuleBasedStateMachine):
    """Grants, releases, transfers, takeovers and limits in any order."""

    deducts = True

    def __init__(self) -> None:
        super().__init__()
        self.ids = itertools.count()
        self.log = []
        self.late = []
        self.state = configuration_module.EMPTY
        self.limits = {}
        self.allowed = 0
        for index, zone in enumerate(ZONES):
            self.append(records.ZONE, zone, index=index)
        self.append(records.POOL, "rooms", max_unavailable=1)
        for zone in ZONES:
            self.append(
                records.HOST,
                f"host-{zone}",
                pool="rooms",
                zone=zone,
                rack=zone,
                address=["127.0.0.1", 1],
                slots=SLOTS,
            )
            self.append_seat(zone)
        self.append(records.QUEUE, QUEUE, pool="rooms", open_to_all=False)
        self.append(records.TEAM, TEAM, share=1.0, limit=9)
        self.holders = {zone: self.new_holder(zone) for zone in ZONES}

    def new_holder(self, zone: str) -> Holder:
        """Returns a dispatcher that knows the whole log."""
        return Holder(zone, self.state, deducts=self.deducts)

    def append(self, kind: str, subject: str, **fields: typing.Any) -> None:
        """Appends a record based on the newest state."""
        version = self.state.versions.get((kind, subject), records.NO_VERSION)
        self.append_record(
            records.Record(
                f"id{next(self.ids)}", kind, subject, version, fields
            )
        )

    def append_record(self, record: records.Record) -> None:
        """Appends a record and folds it."""
        entry = records.OffsetRecord(len(self.log), record)
        self.log.append(entry)
        for step in fold.fold_records(self.state, [entry]):
            self.state = step.configuration
            if record.kind != records.TRANSFER:
                assert step.result.outcome is fold.Outcome.ACCEPTED, step.result
        if TEAM in self.state.teams:
            self.limits[len(self.log) - 1] = self.state.teams[TEAM].limit

    def append_seat(self, zone: str) -> None:
        """Appends a takeover of a duty seat."""
        self.append(
            records.SEAT,
            f"{zone}/0",
            zone=zone,
            number=0,
            host=f"entry-{zone}-{len(self.log)}",
            address=["127.0.0.1", 1],
        )

    @stateful.rule(zone=zone_names, count=counts)
    def register(self, zone: str, count: int) -> None:
        """Requests arrive in a zone."""
        for _ in range(count):
            self.holders[zone].dispatcher.register(
                "entry-x",
                messages.Register(
                    f"r{next(self.ids)}", QUEUE, TEAM, types.Size(), 60000, 0
                ),
            )

    @stateful.rule(zone=zone_names, count=counts)
    def finish(self, zone: str, count: int) -> None:
        """Requests end; each release arrives twice."""
        part = self.holders[zone].dispatcher
        for grant_id in list(part.slots.held)[:count]:
            for _ in range(2):
                part.release(messages.Release(grant_id, True, False, 10))

    @stateful.rule(zone=zone_names)
    def cancel_waiting(self, zone: str) -> None:
        """All waiting requests of a zone are withdrawn."""
        part = self.holders[zone].dispatcher
        for entry in part.waiting.entries:
            part.withdraw(messages.Withdraw(entry.register.request_id))

    @stateful.rule(zone=zone_names, count=strategies.sampled_from((1, 2, 99)))
    def read_log(self, zone: str, count: int) -> None:
        """A zone learns of further records."""
        start = self.holders[zone].configuration.offset + 1
        self.holders[zone].fold(self.log[start : start + count])

    @stateful.rule()
    def settle(self) -> None:
        """All work ends, and all zones learn of all records."""
        for zone, holder in self.holders.items():
            self.cancel_waiting(zone)
            self.finish(zone, SLOTS)
            holder.fold(self.log[holder.configuration.offset + 1 :])

    @stateful.rule(limit=strategies.sampled_from((0, 2, 4, 7, 9, 12)))
    def set_limit(self, limit: int) -> None:
        """An operator changes the limit."""
        self.append(records.TEAM, TEAM, share=1.0, limit=limit)

    @stateful.rule(
        zone=zone_names,
        fate=strategies.sampled_from(("arrives", "late", "lost", "repeated")),
    )
    def transfer(self, zone: str, fate: str) -> None:
        """A zone's transfer task has its turn."""
        holder = self.holders[zone]
        ports = transfers.EscrowPorts(
            holder.dispatcher.team_demands,
            lambda: {
                name: other.dispatcher.unit_shortages()
                for name, other in self.holders.items()
                if name != zone
            },
            lambda: True,
            lambda: holder.configuration,
            lambda gift: self.transfer_record(holder, gift),
            None,
        )
        record = transfers.next_transfer(holder.escrow, zone, ports)
        if record is None or fate == "lost":
            return
        if fate == "late":
            self.late.append(record)
            return
        for _ in range(2 if fate == "repeated" else 1):
            self.append_record(record)

    def transfer_record(
        self, holder: Holder, gift: escrow.PlannedTransfer
    ) -> records.Record:
        """Returns a record based on what the holder knows."""
        configuration = holder.configuration
        fields = {
            "incarnation": configuration.versions[
                (records.SEAT, f"{holder.zone}/0")
            ],
            "to_zone": gift.to_zone,
            "units": gift.units,
        }
        version = configuration.versions.get(
            (records.TRANSFER, holder.zone), records.NO_VERSION
        )
        return records.Record(
            f"id{next(self.ids)}",
            records.TRANSFER,
            holder.zone,
            version,
            fields,
        )

    @stateful.precondition(lambda self: self.late)
    @stateful.rule()
    def late_record_arrives(self) -> None:
        """An append that was under way takes effect."""
        self.append_record(self.late.pop(0))

    @stateful.rule(zone=zone_names)
    def propose_takeover(self, zone: str) -> None:
        """A standby appends its record; the old holder still acts."""
        self.append_seat(zone)

    @stateful.rule(zone=zone_names)
    def activate_successor(self, zone: str) -> None:
        """A successor starts once it has folded its record; the old one ended.

        It knows what the entry hosts hold and at least the log up to its seat.
        """
        old = self.holders[zone]
        seat = self.state.versions[(records.SEAT, f"{zone}/0")]
        if old.configuration.offset >= seat:
            return
        new = self.holders[zone] = self.new_holder(zone)
        new.configuration = old.configuration
        new.fold(self.log[old.configuration.offset + 1 : seat + 1])
        new.dispatcher.restore(
            "entry-x",
            messages.Holdings(
                [
                    messages.Holding(
                        held.grant_id,
                        held.grant_id,
                        held.upstream,
                        held.queue,
                        held.team,
                        held.size,
                    )
                    for held in old.dispatcher.slots.held.values()
                ],
                [],
            ),
        )

    @stateful.invariant()
    def running_stays_within_the_limit(self) -> None:
        """Compares what runs with the limits that zones know."""
        total = sum(holder.running for holder in self.holders.values())
        oldest = min(
            holder.configuration.offset for holder in self.holders.values()
        )
        known = max(
            limit
            for offset, limit in self.limits.items()
            if offset >= max(oldest, min(self.limits))
        )
        assert total <= max(known, self.allowed), (total, known, self.allowed)
        # A limit is being lowered until each zone is within its part.
        lowered = all(
            holder.running
            <= holder.dispatcher.team_demands()[TEAM].units
            + holder.escrow.deducted(TEAM)
            for holder in self.holders.values()
        )
        self.allowed = known if lowered else max(known, self.allowed)


class LateDeductionMachine(UnitsMachine):
    """Has a deliberate fault: units are deducted only once folded."""

    deducts = False
