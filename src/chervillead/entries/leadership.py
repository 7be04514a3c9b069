"""Whether this process may act as the leader of its zone at this moment.

The holder of a zone's leader seat runs the zone's dispatcher and holds its
claims. A process holds a seat only if it proposed the seat's last record
itself: another process with the same host name gets another incarnation. The
log decides who holds a seat; `Leadership` adds when the holder became active
and whether the state that it last read is still confirmed.
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

# One lease (2 s) plus the longest start-by time (1 s): by then each grant of
# the previous leader has been reported or has expired.
ACTIVATION_DELAY_S = 3.0
CONFIRMATION_VALID_S = 1.0
TICK_INTERVAL_S = 0.1
PAUSE_THRESHOLD_S = 0.5


class PeerView(typing.NamedTuple):
    """Functions on the state of other entry hosts.

    Attributes:
        silent_s: Returns the seconds since a host's last heartbeat; inf if
            there was none.
        offset: Returns the offset in a host's last heartbeat; -1 if none.
        refuses_connections: Returns whether an address refuses connections.
    """

    silent_s: abc.Callable[[str], float]
    offset: abc.Callable[[str], int]
    refuses_connections: abc.Callable[[types.Address], bool]


class LeadershipChange(typing.NamedTuple):
    """Whether this process became the active leader, or stopped being it."""

    gained: bool
    lost: bool


class HeldSeat(typing.NamedTuple):
    """A seat that this process holds, and its incarnation."""

    number: int
    subject: str
    incarnation: int


class Leadership:
    """Seats of this process, and the activation of its leader seat."""

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
        # Seat versions that this process's own records replaced: of proposed
        # records by record id, of appended ones by offset.
        self._proposed: dict[str, int] = {}
        self._own_offsets: dict[int, int] = {}
        self._known_configuration = reader.configuration
        self._own_seats: list[HeldSeat] = []
        self._held: HeldSeat | None = None
        self._held_since_s = 0.0
        self._activated: tuple[int, float] | None = None
        self._handover_incarnation: int | None = None
        self._resigned = False
        self._superseded = False
        self._last_tick_s = clock.monotonic()
        self._reread_since_s: float | None = None

    @property
    def own_seats(self) -> list[HeldSeat]:
        """Seats of this process in the newest state, the lowest first."""
        configuration = self._reader.configuration
        if configuration is not self._known_configuration:
            self._known_configuration = configuration
            self._record_own_seats(configuration)
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
        """Lowest seat of this process; a leader seat precedes standby seats."""
        return next(iter(self.own_seats), None)

    @property
    def held_for_s(self) -> float:
        """Seconds since this process applied the record of its seat."""
        return self._clock.monotonic() - self._held_since_s

    @property
    def active_incarnation(self) -> int | None:
        """Incarnation of the active leader seat of this process, or None."""
        if self._activated is None or self._resigned:
            return None
        held = self.held
        is_current = held is not None and held.incarnation == self._activated[0]
        return self._activated[0] if is_current else None

    @property
    def activated_wall_s(self) -> float | None:
        """Wall time at which the held leader seat became active, or None."""
        if self.active_incarnation is None or self._activated is None:
            return None
        return self._activated[1]

    @property
    def had_complete_handover(self) -> bool:
        """Whether the previous leader handed over its complete state."""
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
        """Records a seat record that this process is about to append."""
        self._proposed[record.record_id] = record.based_on

    def expect_complete_handover(self) -> None:
        """Skips the activation delay if this host replaces the current leader.

        Call it once the leader has handed over its complete state; the leader
        grants nothing from then on.
        """
        subject = seats.seat_subject(self._zone, 0)
        self._handover_incarnation = seats.incarnation(
            self._reader.configuration, subject
        )

    def expects_complete_handover(self) -> bool:
        """Returns whether the current leader handed over its complete state."""
        subject = seats.seat_subject(self._zone, 0)
        version = seats.incarnation(self._reader.configuration, subject)
        return self._handover_incarnation == version

    def resign(self) -> None:
        """Ends the leader role for good, so its state can be handed over."""
        self._resigned = True

    def has_authority(self) -> bool:
        """Returns whether this process may grant slots and claims right now."""
        return self.active_incarnation is not None and self.is_confirmed()

    def is_confirmed(self) -> bool:
        """Returns whether the newest state is confirmed right now."""
        now_s = self._clock.monotonic()
        # After a pause of the process this may run before the ticker does.
        self._detect_pause(now_s)
        unconfirmed_s = self._reader.unconfirmed_s
        if self._reread_since_s is not None:
            if unconfirmed_s > now_s - self._reread_since_s:
                return False
            self._reread_since_s = None
        return (
            unconfirmed_s <= CONFIRMATION_VALID_S
            or self._all_seat_holders_confirm()
        )

    def update(self, host: str) -> LeadershipChange:
        """Applies the newest state and activates a leader seat that is due."""
        held = self.held
        was_active = self._activated is not None
        if held != self._held:
            self._change_seat(held, host)
        if held is not None and self._activated is None:
            self._activate(held)
        is_active = self._activated is not None
        return LeadershipChange(
            is_active and not was_active, was_active and not is_active
        )

    def tick(self) -> None:
        """Records that the event loop runs."""
        self._detect_pause(self._clock.monotonic())

    def _change_seat(self, held: HeldSeat | None, host: str) -> None:
        previous, self._held = self._held, held
        self._held_since_s = self._clock.monotonic()
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
            eliot.log_message("entries:leader-active", seat=held.subject)

    def _record_own_seats(
        self, configuration: configuration_module.Configuration
    ) -> None:
        recent = configuration.recent_ids
        for record_id in [i for i in self._proposed if i in recent]:
            based_on = self._proposed.pop(record_id)
            self._own_offsets[recent[record_id]] = based_on

    def _detect_pause(self, now_s: float) -> None:
        if now_s - self._last_tick_s > PAUSE_THRESHOLD_S:
            self._reread_since_s = now_s
        self._last_tick_s = now_s

    def _all_seat_holders_confirm(self) -> bool:
        """Returns whether all other seat holders of the zone confirm the state.

        A peer with a higher offset may have applied a takeover that this host
        has not read, so it doesn't confirm this host's state.
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
    """Ticks until cancelled, so that a gap reveals a pause of the process."""
    while True:
        leadership.tick()
        await asyncio.sleep(TICK_INTERVAL_S)
