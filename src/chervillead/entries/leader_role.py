"""Work of this host as the leader of its zone: dispatch and claims."""

from collections import abc

from chervillead import types
from chervillead.entries import claims as claims_module
from chervillead.entries import dispatcher as dispatcher_module
from chervillead.entries import escrow as escrow_module
from chervillead.entries import leadership as leadership_module
from chervillead.entries import messages
from chervillead.entries import recovery
from chervillead.entries import seats
from chervillead.entries import transfers
from chervillead.entries import upstream_health
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import log_reader

Post = abc.Callable[[str, messages.Message], object]


class LeaderRole:
    """Dispatcher, claims and leadership of this host."""

    def __init__(
        self,
        *,
        host: str,
        zone: str,
        reader: log_reader.LogReader,
        peers: leadership_module.PeerView,
        clock: types.Clock,
        post: Post,
        health: upstream_health.HealthPorts,
        is_over_units_elsewhere: abc.Callable[[str], bool],
    ) -> None:
        """Makes a role that is active while this process leads its zone.

        Args:
            host: Name of this host.
            zone: Its zone.
            reader: Reader of the log, with the newest configuration.
            peers: Functions on the state of the other entry hosts.
            clock: Source of time.
            post: Sends a message to an entry host, this one included.
            health: Functions on the health of the zone's upstreams.
            is_over_units_elsewhere: Whether a team runs more than its units in
                another zone.
        """
        self._host = host
        self._zone = zone
        self._reader = reader
        self._clock = clock
        self._post = post
        self._successor: str | None = None
        self._recovered_incarnation: int | None = None
        self._leadership = leadership_module.Leadership(
            zone=zone, reader=reader, peers=peers, clock=clock
        )
        self._claims = claims_module.ClaimTable(
            clock, lambda owner: seats.seat_of(reader.configuration, owner)
        )
        self._escrow = escrow_module.Escrow(
            lambda record: transfers.is_resolved(reader.configuration, record)
        )
        self._dispatcher = dispatcher_module.Dispatcher(
            host=host,
            zone=zone,
            configuration=lambda: reader.configuration,
            clock=clock,
            notify=post,
            may_grant=self.may_grant,
            usable_slots=health.usable_slots,
            record_release=health.record_release,
            deducted_units=self._escrow.deducted,
            is_over_units_elsewhere=is_over_units_elsewhere,
        )

    @property
    def dispatcher(self) -> dispatcher_module.Dispatcher:
        """Dispatcher of the zone; it grants only while this host leads."""
        return self._dispatcher

    @property
    def escrow(self) -> escrow_module.Escrow:
        """Escrow of the units in transfer to other zones."""
        return self._escrow

    @property
    def claims(self) -> claims_module.ClaimTable:
        """Claims that this host holds while it leads its zone."""
        return self._claims

    @property
    def leadership(self) -> leadership_module.Leadership:
        """Seat of this process, and whether it may act as the leader."""
        return self._leadership

    def register_locally(
        self, register: messages.Register
    ) -> tuple[str, messages.Message] | None:
        """Registers with this dispatcher if the log says that it serves."""
        configuration = self._reader.configuration
        if seats.zone_leader(
            configuration, self._zone
        ) != self._host or not configuration_module.is_zone_in_service(
            configuration, self._zone
        ):
            return None
        return self._host, self._dispatcher.register(self._host, register)

    def may_grant(self) -> bool:
        """Returns whether the dispatcher may grant right now.

        A new leader first recovers the running tasks of its zone's upstreams:
        an entry host that can't reach the leader can't report its held grants.
        """
        return (
            self._leadership.has_authority()
            and self._recovered_incarnation
            == self._leadership.active_incarnation
        )

    def record_recovery(self, incarnation: int) -> None:
        """Records that an incarnation has recovered the running tasks."""
        self._recovered_incarnation = incarnation
        self._dispatcher.grant_waiting()

    @property
    def recovered_incarnation(self) -> int | None:
        """Incarnation that has recovered the running tasks of the upstreams."""
        return self._recovered_incarnation

    def answer_claim(
        self, message: messages.Claim | messages.Lookup
    ) -> messages.ClaimState | messages.Refused:
        """Answers a claim or look-up, or refuses it without authority."""
        if not self._leadership.has_authority():
            return claims_module.refusal(
                message.request_id,
                f"{self._host} does not hold claims at present",
            )
        if isinstance(message, messages.Claim):
            return self._claims.claim(message)
        return self._claims.lookup(message)

    def handle_end(
        self, message: messages.Withdraw | messages.Release | messages.Finished
    ) -> None:
        """Ends a wait, grant or submission.

        A leader that has handed over forwards the message to its successor.
        """
        if self._successor is not None:
            self._post(self._successor, message)
        match message:
            case messages.Withdraw():
                self._dispatcher.withdraw(message)
            case messages.Release():
                self._dispatcher.release(message)
            case messages.Finished():
                self._claims.finish(message)

    def claim_owner(self, request_id: str) -> str:
        """Returns the owner of a claim; empty if none is known."""
        return self._claims.lookup(messages.Lookup(request_id)).owner

    def accept_handover(self, peer: str, message: messages.Handover) -> None:
        """Applies a handover message of the leaving leader of this zone."""
        leader = seats.zone_leader(self._reader.configuration, self._zone)
        if message.zone != self._zone or leader != peer:
            return
        for entry_host, held in message.held.items():
            self._dispatcher.restore(
                entry_host, messages.HeldGrantsReport(held, [])
            )
        self._claims.restore(message.claims, message.known_for_ms / 1000)
        if message.known_for_ms >= 0:
            self._leadership.expect_complete_handover()

    def follow_log(self) -> None:
        """Starts or ends the leader role of this host as the log decides."""
        change = self._leadership.update(self._host)
        activated_s = self._leadership.activated_wall_s
        if change.lost:
            # Without authority this refuses the waiting requests. The grants
            # stay recorded; if this host leads again, reports correct them.
            self._dispatcher.grant_waiting()
            self._claims.clear()
        if change.gained and activated_s is not None:
            self._claims.activate(
                activated_s,
                had_complete_handover=self._leadership.had_complete_handover,
            )
            self._dispatcher.grant_waiting()

    def hand_over(self, live: abc.Container[str]) -> bool:
        """Resigns and sends the leader's state to the first live standby.

        Args:
            live: Hosts that may take over.

        Returns:
            Whether this host was the active leader and a standby took over.
        """
        was_active = self._leadership.active_incarnation is not None
        self._leadership.resign()
        successor = seats.handover_target(
            self._reader.configuration, self._host, self._zone, live
        )
        if not was_active or successor is None:
            return False
        known_for_s = self._clock.wall() - self._claims.complete_since_s
        for message in recovery.handover_messages(
            self._zone, self._dispatcher, self._claims, known_for_s
        ):
            self._post(successor, message)
        self._successor = successor
        return True
