"""State machine of team units: zones and a log act in random sequences.

The fold, the dispatchers and the escrows are real; a list replaces the log.
Each zone has read a prefix of it. Appends can be lost, duplicated or delayed.
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


class ZoneLeader:
    """One incarnation of a zone's dispatcher, with the state that it has read.

    Attributes:
        zone: Its zone.
        configuration: State that it has read from the log.
        escrow: Its escrow.
        dispatcher: Its dispatcher.
    """

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
        """Active grants of the team in this zone."""
        return self.dispatcher.slots.running(TEAM)

    def fold(self, entries: abc.Iterable[records.OffsetRecord]) -> None:
        """Folds records, then grants waiting requests."""
        for step in fold.fold_records(self.configuration, entries):
            self.configuration = step.configuration
        self.dispatcher.grant_waiting()


class UnitsMachine(stateful.RuleBasedStateMachine):
    """Registrations, releases, transfers, takeovers and limit changes."""

    deducts = True

    def __init__(self) -> None:
        super().__init__()
        self.ids = itertools.count()
        self.log = []
        self.delayed_records = []
        self.state = configuration_module.EMPTY
        self.limits = {}
        self.allowed_running = 0
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
        self.leaders = {zone: self.new_leader(zone) for zone in ZONES}

    def new_leader(self, zone: str) -> ZoneLeader:
        """Returns a leader that has read the whole log."""
        return ZoneLeader(zone, self.state, deducts=self.deducts)

    def append(self, kind: str, subject: str, **fields: typing.Any) -> None:
        """Appends a record based on the latest state."""
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
        """Appends a takeover of a leader seat."""
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
        """Requests register in a zone."""
        for _ in range(count):
            self.leaders[zone].dispatcher.register(
                "entry-x",
                messages.Register(
                    f"r{next(self.ids)}", QUEUE, TEAM, types.Size(), 60000, 0
                ),
            )

    @stateful.rule(zone=zone_names, count=counts)
    def finish(self, zone: str, count: int) -> None:
        """Requests finish; each release arrives twice."""
        target = self.leaders[zone].dispatcher
        for grant_id in list(target.slots.held)[:count]:
            for _ in range(2):
                target.release(messages.Release(grant_id, True, False, 10))

    @stateful.rule(zone=zone_names)
    def cancel_waiting(self, zone: str) -> None:
        """All waiting requests of a zone are withdrawn."""
        target = self.leaders[zone].dispatcher
        for entry in target.waiting.entries:
            target.withdraw(messages.Withdraw(entry.register.request_id))

    @stateful.rule(zone=zone_names, count=strategies.sampled_from((1, 2, 99)))
    def read_log(self, zone: str, count: int) -> None:
        """A zone reads further records."""
        start = self.leaders[zone].configuration.offset + 1
        self.leaders[zone].fold(self.log[start : start + count])

    @stateful.rule()
    def settle(self) -> None:
        """All requests finish, and all zones read the whole log."""
        for zone, leader in self.leaders.items():
            self.cancel_waiting(zone)
            self.finish(zone, SLOTS)
            leader.fold(self.log[leader.configuration.offset + 1 :])

    @stateful.rule(limit=strategies.sampled_from((0, 2, 4, 7, 9, 12)))
    def set_limit(self, limit: int) -> None:
        """An operator changes the limit."""
        self.append(records.TEAM, TEAM, share=1.0, limit=limit)

    @stateful.rule(
        zone=zone_names,
        append_outcome=strategies.sampled_from(
            ("arrives", "late", "lost", "repeated")
        ),
    )
    def transfer(self, zone: str, append_outcome: str) -> None:
        """The transfer task of a zone runs once."""
        leader = self.leaders[zone]
        ports = transfers.EscrowPorts(
            leader.dispatcher.team_demands,
            lambda: {
                name: other.dispatcher.unit_shortages()
                for name, other in self.leaders.items()
                if name != zone
            },
            lambda: True,
            lambda: leader.configuration,
            lambda planned: self.transfer_record(leader, planned),
            None,
        )
        record = transfers.next_transfer(leader.escrow, zone, ports)
        if record is None or append_outcome == "lost":
            return
        if append_outcome == "late":
            self.delayed_records.append(record)
            return
        for _ in range(2 if append_outcome == "repeated" else 1):
            self.append_record(record)

    def transfer_record(
        self, leader: ZoneLeader, planned: escrow.PlannedTransfer
    ) -> records.Record:
        """Returns a record based on the state that the leader has read."""
        configuration = leader.configuration
        fields = {
            "incarnation": configuration.versions[
                (records.SEAT, f"{leader.zone}/0")
            ],
            "to_zone": planned.to_zone,
            "units": planned.units,
        }
        version = configuration.versions.get(
            (records.TRANSFER, leader.zone), records.NO_VERSION
        )
        return records.Record(
            f"id{next(self.ids)}",
            records.TRANSFER,
            leader.zone,
            version,
            fields,
        )

    @stateful.precondition(lambda self: self.delayed_records)
    @stateful.rule()
    def late_record_arrives(self) -> None:
        """A delayed append takes effect."""
        self.append_record(self.delayed_records.pop(0))

    @stateful.rule(zone=zone_names)
    def propose_takeover(self, zone: str) -> None:
        """A standby appends its record; the old leader is still active."""
        self.append_seat(zone)

    @stateful.rule(zone=zone_names)
    def activate_successor(self, zone: str) -> None:
        """Replaces the old leader once the successor has folded its record.

        The successor has the reports of the entry hosts and has read the log at
        least up to the record of its seat.
        """
        old = self.leaders[zone]
        seat = self.state.versions[(records.SEAT, f"{zone}/0")]
        if old.configuration.offset >= seat:
            return
        new = self.leaders[zone] = self.new_leader(zone)
        new.configuration = old.configuration
        new.fold(self.log[old.configuration.offset + 1 : seat + 1])
        new.dispatcher.restore(
            "entry-x",
            messages.HeldGrantsReport(
                [
                    messages.HeldGrant(
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
        """Compares the running requests with the limits that zones read."""
        total = sum(leader.running for leader in self.leaders.values())
        oldest = min(
            leader.configuration.offset for leader in self.leaders.values()
        )
        known_limit = max(
            limit
            for offset, limit in self.limits.items()
            if offset >= max(oldest, min(self.limits))
        )
        assert total <= max(known_limit, self.allowed_running), (
            total,
            known_limit,
            self.allowed_running,
        )
        # A lowered limit is in effect once each zone is within its units.
        is_lowered = all(
            leader.running
            <= leader.dispatcher.team_demands()[TEAM].units
            + leader.escrow.deducted(TEAM)
            for leader in self.leaders.values()
        )
        self.allowed_running = (
            known_limit
            if is_lowered
            else max(known_limit, self.allowed_running)
        )


class LateDeductionMachine(UnitsMachine):
    """Has a deliberate fault: units are deducted only once folded."""

    deducts = False
