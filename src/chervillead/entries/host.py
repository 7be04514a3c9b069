"""One entry host among others: streams, seat, dispatcher and claims.

`EntryHost` ties the parts of this package together and offers what the path of
a request needs: claim, acquire and release.
"""

import asyncio
from collections import abc

import eliot
from returns import pipeline
from returns import result

from chervillead import http_exchange
from chervillead import settings as settings_module
from chervillead import types
from chervillead import verdicts
from chervillead.callers import request_ids
from chervillead.entries import claims
from chervillead.entries import dispatch_client
from chervillead.entries import dispatcher
from chervillead.entries import escrow
from chervillead.entries import grant_waiters
from chervillead.entries import membership
from chervillead.entries import messages
from chervillead.entries import queue_loads
from chervillead.entries import seats
from chervillead.entries import streams
from chervillead.entries import transfers
from chervillead.platform import configuration as configuration_module
from chervillead.platform import log_client
from chervillead.platform import log_reader
from chervillead.platform import publisher
from chervillead.platform import records

CLAIM_TIMEOUT_S = 1.0
SEAT_RETRY_S = 0.5
GRANT_INTERVAL_S = 0.25


class EntryHost:
    """State of this host among the entry hosts."""

    def __init__(
        self,
        settings: settings_module.Settings,
        reader: log_reader.LogReader,
        clock: types.Clock,
        cancel: abc.Callable[[str], bool] = lambda request_id: False,
    ) -> None:
        self._cancel = cancel
        self._settings = settings
        self._reader = reader
        self._clock = clock
        self._stopping = False
        self._streams = streams.PeerStreams(
            messages.Hello(settings.host, settings.zone), clock
        )
        self._membership = membership.Membership(settings.host, clock)
        self._claims = claims.ClaimTable(clock)
        self._waiters = grant_waiters.GrantWaiters(clock, self.post)
        self._escrow = escrow.Escrow(
            lambda record: transfers.is_settled(reader.configuration, record)
        )
        self._dispatcher = dispatcher.Dispatcher(
            host=settings.host,
            zone=settings.zone,
            configuration=lambda: reader.configuration,
            clock=clock,
            notify=self.post,
            deducted_units=self._escrow.deducted,
        )

    @property
    def streams(self) -> streams.PeerStreams:
        """Streams to the other entry hosts."""
        return self._streams

    @property
    def membership(self) -> membership.Membership:
        """Which entry hosts are live."""
        return self._membership

    @property
    def dispatcher(self) -> dispatcher.Dispatcher:
        """The dispatcher part of this host."""
        return self._dispatcher

    def current_heartbeat(self) -> messages.Heartbeat:
        """Returns what this host tells the others of itself."""
        unconfirmed_s = self._reader.unconfirmed_s
        age_ms = -1 if unconfirmed_s == float("inf") else unconfirmed_s * 1000
        return messages.Heartbeat(
            self._reader.configuration.offset,
            int(age_ms),
            self._stopping,
            self._dispatcher.free_slots(),
            self._dispatcher.short_units(),
            queue_loads.queue_loads(self._dispatcher),
        )

    def post(self, host: str, message: messages.Message) -> None:
        """Sends a message to any entry host, this one included."""
        if host == self._settings.host:
            self.handle(host, message)
        else:
            self._streams.post(host, message)

    async def ask(
        self, host: str, message: messages.Message, timeout_s: float
    ) -> result.Result[messages.Message, verdicts.Refusal]:
        """Sends a question to any entry host, this one included."""
        if host != self._settings.host:
            return await self._streams.ask(host, message, timeout_s)
        reply = self.handle(host, message)
        if reply is None:
            return result.Failure(verdicts.not_run("no-reply", 503))
        return result.Success(reply)

    def handle(
        self, peer: str, message: messages.Message
    ) -> messages.Message | None:
        """Acts on a message and returns the reply, if one is due."""
        match message:
            case messages.Heartbeat():
                self._membership.take(peer, message)
            case messages.Register():
                return self._dispatcher.register(peer, message)
            case messages.Withdraw():
                self._dispatcher.withdraw(message)
            case messages.Release():
                self._dispatcher.release(message)
            case messages.Granted() | messages.Refused():
                self._waiters.take(peer, message)
            case messages.Claim():
                return self._claims.claim(message)
            case messages.Lookup():
                return self._claims.lookup(message)
            case messages.Finished():
                self._claims.finish(message)
            case messages.Cancel():
                self._pass_on_cancel(message)
            case _:
                eliot.log_message(
                    "entries:unexpected", peer=peer, kind=type(message).__name__
                )
        return None

    def _pass_on_cancel(self, message: messages.Cancel) -> None:
        """Cancels a request of this host, or tells the owner in its claim."""
        claim = self._claims.lookup(messages.Lookup(message.request_id))
        if not self._cancel(message.request_id) and claim.owner not in (
            "",
            self._settings.host,
        ):
            self.post(claim.owner, message)

    async def ask_claim_holder(
        self, request_id: str, message: messages.Message
    ) -> result.Result[messages.ClaimState, verdicts.Refusal]:
        """Asks the holder of the claim on `request_id`."""
        holder = self.claim_holder(request_id)
        if holder is None:
            return result.Failure(_claim_unavailable("no seat of its zone"))
        reply = await self.ask(holder, message, CLAIM_TIMEOUT_S)
        if not pipeline.is_successful(reply):
            return result.Failure(_claim_unavailable(reply.failure().detail))
        state = reply.unwrap()
        if not isinstance(state, messages.ClaimState):
            return result.Failure(_claim_unavailable(type(state).__name__))
        return result.Success(state)

    def claim_holder(self, request_id: str) -> str | None:
        """Returns the entry host that holds the claim on `request_id`."""
        parsed = request_ids.parse_request_id(request_id, self._clock.wall())
        zone = seats.claim_zone(
            self._reader.configuration,
            parsed.map(lambda checked: checked.claim_byte).value_or(0),
        )
        if zone is None:
            return None
        return seats.duty_holder(self._reader.configuration, zone)

    def dispatch_ports(self) -> dispatch_client.DispatchPorts:
        """Returns the functions that `dispatch_client` needs."""
        return dispatch_client.DispatchPorts(
            self.ask,
            self.post,
            self._dispatchers,
            self._waiters,
            self._clock,
            self._may_start,
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
            needs=self._dispatcher.team_needs,
            short=lambda: transfers.short_elsewhere(
                self._reader.configuration,
                self._settings.zone,
                self._membership.heartbeat_of,
                lambda host: host in self._membership.live,
            ),
            may_grant=lambda: self._is_duty_holder(self._settings.zone),
        )

    @property
    def escrow(self) -> escrow.Escrow:
        """Units that are being given to other zones."""
        return self._escrow

    def _is_duty_holder(self, zone: str) -> bool:
        holder = seats.duty_holder(self._reader.configuration, zone)
        return holder == self._settings.host

    def _dispatchers(
        self, request: types.Request
    ) -> list[dispatch_client.DispatcherView]:
        live = self._membership.live
        return dispatch_client.reachable_dispatchers(
            self._reader.configuration,
            self._settings.zone,
            request.queue,
            self._membership.heartbeat_of,
            lambda host: host in live,
        )

    def _may_start(self, upstream: types.Upstream) -> bool:
        return configuration_module.host_takes_work(
            self._reader.configuration, upstream.name
        )


async def run_entry_host(
    host: EntryHost,
    settings: settings_module.Settings,
    reader: log_reader.LogReader,
    platform: log_client.PlatformClient,
    clock: types.Clock,
    *,
    dial: http_exchange.Dial = http_exchange.dial,
    listen: http_exchange.Listen = http_exchange.listen,
) -> None:
    """Listens for peers, dials them, and keeps a seat, until cancelled."""

    async def accept(
        stream_reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await host.streams.serve_stream(
            stream_reader, writer, host.handle, dialled=False
        )

    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(_listen_for_peers(listen, settings.entries, accept))
        for peer in settings.peers:
            tasks.create_task(
                streams.keep_dialled(
                    host.streams, peer.address, host.handle, dial=dial
                )
            )
        tasks.create_task(
            membership.send_heartbeats(
                host.streams, host.current_heartbeat, clock
            )
        )
        tasks.create_task(_grant_on_change(host, reader))
        tasks.create_task(
            transfers.transfer_units(
                host.escrow, settings.zone, host.escrow_ports(platform)
            )
        )
        tasks.create_task(_keep_seat(settings, reader, platform, clock))


async def _listen_for_peers(
    listen: http_exchange.Listen,
    address: types.Address,
    accept: http_exchange.ServeStreams,
) -> None:
    await listen(address, accept)


async def _grant_on_change(
    host: EntryHost, reader: log_reader.LogReader
) -> None:
    """Looks for slots that a new configuration or time has freed."""
    while True:
        try:
            async with asyncio.timeout(GRANT_INTERVAL_S):
                await reader.wait_for_change()
        except TimeoutError:
            pass
        host.dispatcher.grant_waiting()


async def _keep_seat(
    settings: settings_module.Settings,
    reader: log_reader.LogReader,
    platform: log_client.PlatformClient,
    clock: types.Clock,
) -> None:
    """Takes a seat of the zone as soon as the log allows."""
    async for proposal in _seat_proposals(settings, reader):
        record = publisher.propose(
            reader, records.SEAT, proposal.subject, proposal.fields
        )
        published = await publisher.publish(record, reader, platform, clock)
        eliot.log_message(
            "entries:seat-proposed",
            seat=proposal.subject,
            publication=published.publication.value,
            detail=published.detail,
        )


async def _seat_proposals(
    settings: settings_module.Settings, reader: log_reader.LogReader
) -> abc.AsyncIterator[seats.SeatProposal]:
    """Yields a proposal whenever this host has no seat of its own."""
    own_incarnation = False
    while True:
        if reader.unconfirmed_s < SEAT_RETRY_S and not own_incarnation:
            yield seats.propose_seat(
                reader.configuration,
                host=settings.host,
                zone=settings.zone,
                address=settings.entries,
                silent=(),
            )
        own_incarnation = (
            seats.held_seat(reader.configuration, settings.host) is not None
        )
        await asyncio.sleep(SEAT_RETRY_S)


def _claim_unavailable(detail: str) -> verdicts.Refusal:
    return verdicts.not_run(
        "claim-unavailable",
        503,
        f"the claim on the request id can't be checked: {detail}",
        retry_after_s=1.0,
    )
