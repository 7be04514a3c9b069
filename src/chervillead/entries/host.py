"""Assembly of an entry host: streams, seat, dispatcher and claims.

`EntryHost` connects the parts of this package and offers the operations that
serve a request: claim, acquire and release.
"""

import asyncio
from collections import abc

import eliot
from returns import pipeline
from returns import result

from chervillead import settings as settings_module
from chervillead import types
from chervillead import verdicts
from chervillead.callers import request_limiter
from chervillead.entries import claim_client
from chervillead.entries import claim_holders
from chervillead.entries import config_sync
from chervillead.entries import dispatch_client
from chervillead.entries import dispatcher
from chervillead.entries import dispatcher_choice
from chervillead.entries import grant_waiters
from chervillead.entries import held_grants
from chervillead.entries import leader_role
from chervillead.entries import leadership
from chervillead.entries import membership
from chervillead.entries import messages
from chervillead.entries import queue_loads
from chervillead.entries import seats
from chervillead.entries import streams
from chervillead.entries import transfers
from chervillead.entries import upstream_health
from chervillead.fleet import host_list
from chervillead.fleet import log_client
from chervillead.fleet import log_reader

HANDOVER_TIMEOUT_S = 3.0
SEAT_RELEASE_TIMEOUT_S = 1.0


class EntryHost:
    """An entry host, with its streams, leader role and held grants."""

    def __init__(
        self,
        settings: settings_module.Settings,
        reader: log_reader.LogReader,
        clock: types.Clock,
        limiter: request_limiter.RequestLimiter,
        cancel: abc.Callable[[str], bool] = lambda request_id: False,
        hosts: abc.Callable[[], host_list.HostList] = lambda: host_list.UNKNOWN,
    ) -> None:
        self._cancel = cancel
        self._settings = settings
        self._reader = reader
        self._clock = clock
        self._stopping = False
        self._releases_seat = False
        self._streams = streams.PeerStreams(
            messages.Hello(settings.host, settings.zone), clock, limiter
        )
        self._membership = membership.Membership(settings.host, clock)
        self._config_sync = config_sync.connect_ports(reader)
        self._held = held_grants.HeldGrants()
        self._waiters = grant_waiters.GrantWaiters(clock, self.post)
        self._claim_holders = claim_holders.ClaimHolders(
            lambda: reader.configuration
        )
        self._hosts = hosts
        self._health = upstream_health.connect_health(
            configuration=lambda: reader.configuration,
            hosts=hosts,
            ejected_elsewhere=self._membership.ejected_upstreams,
            clock=clock,
        )
        self._leader_role = leader_role.LeaderRole(
            host=settings.host,
            zone=settings.zone,
            reader=reader,
            peers=leadership.PeerView(
                self._membership.silent_s,
                self._membership.offset_of,
                self._streams.refuses_connections,
            ),
            clock=clock,
            post=self.post,
            health=self._health,
            is_over_units_elsewhere=self._membership.is_over_units,
        )

    @property
    def streams(self) -> streams.PeerStreams:
        """Streams to the other entry hosts."""
        return self._streams

    @property
    def membership(self) -> membership.Membership:
        """Last heartbeats of the entry hosts, and which of them are live."""
        return self._membership

    @property
    def dispatcher(self) -> dispatcher.Dispatcher:
        """Dispatcher of the zone; it grants only while this host leads."""
        return self._leader_role.dispatcher

    @property
    def leader_role(self) -> leader_role.LeaderRole:
        """Dispatch and claims, active while this host leads its zone."""
        return self._leader_role

    @property
    def held(self) -> held_grants.HeldGrants:
        """Grants that this host holds and has not released."""
        return self._held

    def report_held_grants(self, zone: str, leader: str) -> bool:
        """Reports the held grants of a zone; returns whether it was sent."""
        waiting = self._waiters.registrations_at(leader)
        return self.post(
            leader, messages.HeldGrantsReport(self._held.in_zone(zone), waiting)
        )

    @property
    def releases_seat(self) -> bool:
        """Whether this host is leaving and should release its seat."""
        return self._releases_seat

    def current_heartbeat(self) -> messages.Heartbeat:
        """Returns the heartbeat that describes this host right now."""
        unconfirmed_s = self._reader.unconfirmed_s
        age_ms = -1 if unconfirmed_s == float("inf") else unconfirmed_s * 1000
        may_grant = self._leader_role.may_grant()
        return messages.Heartbeat(
            self._reader.configuration.offset,
            int(age_ms),
            self._stopping,
            self.dispatcher.free_slots() if may_grant else {},
            self.dispatcher.unit_shortages() if may_grant else {},
            self._health.ejected() if may_grant else {},
            self.dispatcher.teams_over_units() if may_grant else [],
            queue_loads.queue_loads(self.dispatcher) if may_grant else {},
        )

    def post(self, host: str, message: messages.Message) -> bool:
        """Sends a message to any entry host; returns whether it was sent.

        The release of a grant goes to the zone's current leader, which has
        taken the grant over if another host gave it.
        """
        if isinstance(message, messages.Release):
            zone = self._held.remove_grant(message.grant_id)
            if zone is not None:
                leader = seats.zone_leader(self._reader.configuration, zone)
                host = leader or host
        if host == self._settings.host:
            self.handle(host, message)
            return True
        return self._streams.post(host, message)

    async def ask(
        self, host: str, message: messages.Message, timeout_s: float
    ) -> result.Result[messages.Message, verdicts.Refusal]:
        """Sends a message to any entry host and returns the reply."""
        if host != self._settings.host:
            return await self._streams.ask(host, message, timeout_s)
        reply = self.handle(self._settings.host, message)
        if reply is None:
            return result.Failure(verdicts.not_run("no-reply", 503))
        return result.Success(reply)

    def handle(
        self, peer: str, message: messages.Message
    ) -> messages.Message | None:
        """Handles a message and returns the reply, if it needs one."""
        match message:
            case messages.Heartbeat():
                self._membership.record_heartbeat(peer, message)
            case messages.Register():
                return self.dispatcher.register(peer, message)
            case messages.Claim() | messages.Lookup():
                return self._leader_role.answer_claim(message)
            case messages.Withdraw() | messages.Release() | messages.Finished():
                self._leader_role.handle_end(message)
            case messages.Granted() | messages.Refused():
                self._waiters.deliver(peer, message)
            case messages.HeldGrantsReport():
                self.dispatcher.restore(peer, message)
            case messages.Handover():
                self._leader_role.accept_handover(peer, message)
            case messages.ConfigRequest():
                return config_sync.reply_to_request(self._config_sync, message)
            case messages.Cancel():
                self._forward_cancel(message)
            case messages.Waiting() | messages.ClaimState():
                pass  # a late reply, after its call has timed out
            case _:
                eliot.log_message(
                    "entries:unexpected-message",
                    peer=peer,
                    kind=type(message).__name__,
                )
        return None

    def _forward_cancel(self, message: messages.Cancel) -> None:
        """Cancels a request here, or forwards the message to its owner."""
        owner = self._leader_role.claim_owner(message.request_id)
        if not self._cancel(message.request_id) and owner not in (
            "",
            self._settings.host,
        ):
            self.post(owner, message)

    async def leave(self) -> None:
        """Hands the leader role over and releases the seat, before exit."""
        self._stopping = True
        if self._leader_role.hand_over(self._membership.not_leaving):
            await self._wait_for_seat_release(HANDOVER_TIMEOUT_S)
        self._releases_seat = True
        await self._wait_for_seat_release(SEAT_RELEASE_TIMEOUT_S)

    async def _wait_for_seat_release(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                while self._leader_role.leadership.own_seats:
                    await self._reader.wait_for_change()
        except TimeoutError:
            eliot.log_message("entries:seat-not-released", waited_s=timeout_s)

    async def ask_claim_holder(
        self, request_id: str, message: messages.Message
    ) -> result.Result[messages.ClaimState, verdicts.Refusal]:
        """Sends a message to the claim holder of `request_id`.

        Returns:
            State of the claim, or why the holder gave none.
        """
        return await claim_client.ask_until_active(
            lambda: self._ask_claim_holder_once(request_id, message),
            self._clock,
        )

    async def _ask_claim_holder_once(
        self, request_id: str, message: messages.Message
    ) -> messages.Message | verdicts.Refusal:
        holder = self.claim_holder(request_id)
        if holder is None:
            return claim_client.unavailable("no leader in its zone")
        reply = await self.ask(holder, message, claim_client.TIMEOUT_S)
        if pipeline.is_successful(reply):
            return reply.unwrap()
        return reply.failure()

    def claim_holder(self, request_id: str) -> str | None:
        """Returns the entry host that holds the claim on `request_id`."""
        return self._claim_holders.of_request(request_id)

    def dispatch_ports(self) -> dispatch_client.DispatchPorts:
        """Returns the functions that `dispatch_client` needs."""
        return dispatch_client.DispatchPorts(
            self.ask,
            self.post,
            self._dispatchers,
            self._waiters,
            self._clock,
            self._may_start,
            self._leader_role.register_locally,
        )

    def escrow_ports(
        self, platform: log_client.PlatformClient
    ) -> transfers.EscrowPorts:
        """Returns the functions that transfers of units need."""
        return transfers.connect_ports(
            self._reader,
            self._settings.zone,
            platform,
            self._clock,
            demands=self.dispatcher.team_demands,
            shortages=lambda: transfers.shortages_elsewhere(
                self._reader.configuration,
                self._settings.zone,
                self._membership.heartbeat_of,
                lambda host: host in self._membership.live,
            ),
            may_grant=self._leader_role.may_grant,
        )

    def _dispatchers(
        self, request: types.Request
    ) -> list[dispatcher_choice.DispatcherView]:
        live = self._membership.live
        return dispatcher_choice.reachable_dispatchers(
            self._reader.configuration,
            self._settings.zone,
            request.queue,
            self._membership.heartbeat_of,
            lambda host: host in live,
        )

    def _may_start(self, upstream: types.Upstream) -> bool:
        return host_list.is_host_schedulable(
            self._reader.configuration, self._hosts(), upstream.name
        )
