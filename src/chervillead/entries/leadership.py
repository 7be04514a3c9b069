"""Whether this process may act on the duties of a seat right now.

A process holds a seat only if the seat's last record is one that it proposed
itself: another process with the same host name gets another incarnation. The
log says who holds a seat; `Leadership` adds when the holder became active and
whether it can still rely on what it last read.
"""

import asyncio
from collections import abc
import typing

import eliot

from chervillead import types
from chervillead.entries import seats
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import log_reader
from chervillead.fleet import records

# One lease (2 s) plus the longest start-by time (1 s): by then what an earlier
# holder granted has been reported or has lapsed.
ACTIVATION_DELAY_S = 3.0
CONFIRMATION_VALID_S = 1.0
TICK_INTERVAL_S = 0.1
PAUSE_THRESHOLD_S = 0.5


class PeerView(typing.NamedTuple):
    """What this host knows of other entry hosts.

    Attributes:
        silent_s: Returns how long a host has been silent; inf if never heard.
        offset: Returns the offset of a host's last heartbeat; -1 if none.
        refuses: Returns whether an address refuses connections.
    """

    silent_s: abc.Callable[[str], float]
    offset: abc.Callable[[str], int]
    refuses_connections: abc.Callable[[types.Address], bool]


class LeadershipChange(typing.NamedTuple):
    """Whether a duty seat became active, or an active one was lost."""

    gained: bool
    lost: bool


class HeldSeat(typing.NamedTuple):
    """A seat of this process and its incarnation."""

    number: int
    subject: str
    incarnation: int


class Leadership:
    """Seat of this process, its activation and its confirmation."""

    def __init__(
        self,
        *,
        zone: str,
        reader: log_reader.LogReader,
        peers: PeerView,
        clock: types.Clock,
    ) -> None:
        self._zone = zone
        self._reader = reader
        self._peers = peers
        self._clock = clock
        # Versions that own records were based on, by id and by offset.
        self._proposed: dict[str, int] = {}
        self._own_offsets: dict[int, int] = {}
        self._seen = reader.configuration
        self._own_seats: list[HeldSeat] = []
        self._held: HeldSeat | None = None
        self._held_s = 0.0
        self._activated: tuple[int, float] | None = None
        self._handover_incarnation: int | None = None
        self._resigned = False
        self._superseded = False
        self._ticked_s = clock.monotonic()
        self._read_needed_s: float | None = None

    @property
    def own_seats(self) -> list[HeldSeat]:
        """Seats of this process in the newest state, the lowest first."""
        configuration = self._reader.configuration
        if configuration is not self._seen:
            self._seen = configuration
            self._note_own_records(configuration)
            held = (
                HeldSeat(
                    seat.number,
                    subject,
                    seats.incarnation(configuration, subject),
                )
                for subject, seat in configuration.seats.items()
            )
            self._own_seats = sorted(
                h for h in held if h.incarnation in self._own_offsets
            )
        return self._own_seats

    @property
    def held(self) -> HeldSeat | None:
        """The lowest seat of this process; a duty seat comes first."""
        return next(iter(self.own_seats), None)

    @property
    def held_for_s(self) -> float:
        """Time since this process folded the record of its seat."""
        return self._clock.monotonic() - self._held_s

    @property
    def active_incarnation(self) -> int | None:
        """Incarnation of the duty seat that is held and active, or None."""
        if self._activated is None or self._resigned:
            return None
        held = self.held
        is_same = held is not None and held.incarnation == self._activated[0]
        return self._activated[0] if is_same else None

    @property
    def activated_wall_s(self) -> float | None:
        """Wall time at which the held duty seat became active, or None."""
        if self.active_incarnation is None or self._activated is None:
            return None
        return self._activated[1]

    @property
    def had_complete_handover(self) -> bool:
        """Whether the held seat was handed over with all its state."""
        held = self.held
        return (
            held is not None
            and self._handover_incarnation is not None
            and self._own_offsets[held.incarnation]
            == self._handover_incarnation
        )

    @property
    def is_superseded(self) -> bool:
        """Whether another process with this host's name has its seat."""
        return self._superseded

    def record_proposal(self, record: records.Record) -> None:
        """Remembers a seat record that this process is about to append."""
        self._proposed[record.record_id] = record.based_on

    def expect_complete_handover(self) -> None:
        """Skips the wait if a record of this host replaces the present holder.

        The holder has handed over all its state and has refused new grants
        since.
        """
        subject = seats.seat_subject(self._zone, 0)
        self._handover_incarnation = seats.incarnation(
            self._reader.configuration, subject
        )

    def expects_complete_handover(self) -> bool:
        """Returns whether the present holder of the duty seat handed over."""
        subject = seats.seat_subject(self._zone, 0)
        version = seats.incarnation(self._reader.configuration, subject)
        return self._handover_incarnation == version

    def resign(self) -> None:
        """Ends the duties for good; the state can now be handed over."""
        self._resigned = True

    def has_authority(self) -> bool:
        """Returns whether a grant or claim may be given at this moment."""
        return self.active_incarnation is not None and self.is_confirmed()

    def is_confirmed(self) -> bool:
        """Returns whether the newest state can be relied on right now."""
        now_s = self._clock.monotonic()
        # A resumed process may get here before its ticker has run.
        self._note_gap(now_s)
        unconfirmed_s = self._reader.unconfirmed_s
        if self._read_needed_s is not None:
            if unconfirmed_s > now_s - self._read_needed_s:
                return False
            self._read_needed_s = None
        return unconfirmed_s <= CONFIRMATION_VALID_S or self._all_seats_heard()

    def update(self, host: str) -> LeadershipChange:
        """Follows the newest state and the time to the activation."""
        held = self.held
        was_active = self._activated is not None
        if held != self._held:
            self._take_seat(held, host)
        if held is not None and self._activated is None:
            self._activate(held)
        is_active = self._activated is not None
        return LeadershipChange(
            is_active and not was_active, was_active and not is_active
        )

    def tick(self) -> None:
        """Notes that the event loop runs."""
        self._note_gap(self._clock.monotonic())

    def _take_seat(self, held: HeldSeat | None, host: str) -> None:
        previous, self._held = self._held, held
        self._held_s = self._clock.monotonic()
        self._activated = None
        if held is None and previous is not None:
            named = seats.held_seat(self._reader.configuration, host)
            self._superseded = named is not None
        eliot.log_message(
            "entries:seat",
            held=held,
            previous=previous,
            superseded=self._superseded,
        )

    def _activate(self, held: HeldSeat) -> None:
        if held.number >= seats.LEADER_SEATS:
            return
        if self.held_for_s >= ACTIVATION_DELAY_S or self.had_complete_handover:
            self._activated = (held.incarnation, self._clock.wall())
            eliot.log_message("entries:duty-active", seat=held.subject)

    def _note_own_records(
        self, configuration: configuration_module.Configuration
    ) -> None:
        recent = configuration.recent_ids
        for record_id in [i for i in self._proposed if i in recent]:
            based_on = self._proposed.pop(record_id)
            self._own_offsets[recent[record_id]] = based_on

    def _note_gap(self, now_s: float) -> None:
        if now_s - self._ticked_s > PAUSE_THRESHOLD_S:
            self._read_needed_s = now_s
        self._ticked_s = now_s

    def _all_seats_heard(self) -> bool:
        """Whether each other seat holder of the zone was heard just now.

        A peer with a higher offset may have folded a takeover that this host
        lacks, so it doesn't confirm this host's state.
        """
        configuration = self._reader.configuration
        own = {held.subject for held in self.own_seats}
        return all(
            self._confirms(configuration, seat)
            for subject, seat in configuration.seats.items()
            if seat.zone == self._zone and subject not in own
        )

    def _confirms(
        self,
        configuration: configuration_module.Configuration,
        seat: configuration_module.Seat,
    ) -> bool:
        return self._peers.refuses_connections(seat.address) or (
            self._peers.silent_s(seat.host) <= CONFIRMATION_VALID_S
            and self._peers.offset(seat.host) <= configuration.offset
        )


async def run_ticker(leadership: Leadership) -> None:
    """Ticks until cancelled; a gap between ticks reveals a pause."""
    while True:
        leadership.tick()
        await asyncio.sleep(TICK_INTERVAL_S)
