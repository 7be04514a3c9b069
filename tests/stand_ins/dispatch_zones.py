"""Dispatchers of several zones in memory, with a generated configuration."""

import asyncio
import collections
from collections import abc
import typing

from returns import result

from chervillead import types
from chervillead import verdicts
from chervillead.entries import dispatch_client
from chervillead.entries import dispatcher
from chervillead.entries import dispatcher_choice
from chervillead.entries import grant_waiters
from chervillead.entries import messages
from chervillead.fleet import configuration as configuration_module
from stand_ins import virtual_time

POOL = "rooms"
QUEUE = "checks"


def make_configuration(
    *,
    zones: int = 1,
    hosts: int = 1,
    slots: int = 4,
    teams: abc.Mapping[str, tuple[float, int]] | None = None,
    size: types.Size | None = None,
    **queue_fields: typing.Any,
) -> configuration_module.Configuration:
    """Returns a configuration of one queue and its pool in all zones.

    Args:
        zones: Number of zones, named z0, z1 and so on.
        hosts: Hosts of the pool in each zone.
        slots: Slots of each host.
        teams: Share and limit by team; by default, one team with a limit that
            is never reached.
        size: Resources of each host.
        queue_fields: Further fields of the queue.
    """
    names = tuple(f"z{index}" for index in range(zones))
    return configuration_module.Configuration(
        offset=1,
        queues={QUEUE: configuration_module.Queue(POOL, **queue_fields)},
        teams={
            team: configuration_module.Team(share, limit, names)
            for team, (share, limit) in (teams or {"a": (1, 10**6)}).items()
        },
        pools={POOL: configuration_module.Pool()},
        hosts={
            f"{zone}-{index}": configuration_module.Host(
                POOL,
                zone,
                f"rack-{index}",
                types.Address("127.0.0.1", index + 1),
                slots=slots,
                size=size or types.Size(32.0, 65536, 0),
            )
            for zone in names
            for index in range(hosts)
        },
        zones={
            zone: configuration_module.Zone(index)
            for index, zone in enumerate(names)
        },
        seats={
            f"{zone}/0": configuration_module.Seat(
                zone, 0, f"entry-{zone}", types.Address("127.0.0.1", 1)
            )
            for zone in names
        },
    )


def register(
    request_id: str, team: str = "a", **fields: typing.Any
) -> messages.Register:
    """Returns a registration for the one queue."""
    plain = messages.Register(request_id, QUEUE, team, types.Size(), 60_000, 0)
    return plain._replace(**fields)


class MemoryZones:
    """Dispatchers of all zones, and entry hosts that send them messages.

    Attributes:
        configuration: Configuration that all of them see.
        delay_s: One-way delay of messages between hosts.
        clock: Source of time.
        notices: Messages of dispatchers to entry hosts without waiters, by
            entry host.
        waiters: Waiting requests, by entry host.
        lost: Entry hosts that neither receive nor send messages.
        messages: Number of messages sent.
        heartbeats: Last heartbeat by entry host.
        dispatchers: Dispatchers by the entry host that they run on.
    """

    def __init__(
        self,
        configuration: configuration_module.Configuration,
        *,
        delay_s: float = 0.0,
        clock: types.Clock | None = None,
        **ports: typing.Any,
    ) -> None:
        self.configuration = configuration
        self.delay_s = delay_s
        self.clock = clock or virtual_time.clock()
        self.notices: dict[str, list[messages.Message]] = (
            collections.defaultdict(list)
        )
        self.waiters: dict[str, grant_waiters.GrantWaiters] = {}
        self.lost: set[str] = set()
        self.messages = 0
        self.heartbeats: dict[str, messages.Heartbeat] = {}
        self._dispatcher_ports = ports
        self.dispatchers: dict[str, dispatcher.Dispatcher] = {}
        for zone in configuration.zones:
            self.start_dispatcher(f"entry-{zone}", zone)

    def start_dispatcher(self, host: str, zone: str) -> dispatcher.Dispatcher:
        """Starts the dispatcher of a zone without state."""
        self.dispatchers[host] = dispatcher.Dispatcher(
            host=host,
            zone=zone,
            configuration=lambda: self.configuration,
            clock=self.clock,
            notify=lambda peer, message: self.deliver(host, peer, message),
            **self._dispatcher_ports,
        )
        return self.dispatchers[host]

    def deliver(self, source: str, host: str, message: typing.Any) -> None:
        """Delivers a message to a host after the delay."""
        self.messages += 1
        if self.delay_s and source != host:
            asyncio.get_running_loop().call_later(
                self.delay_s, self._arrive, source, host, message
            )
        else:
            self._arrive(source, host, message)

    def _arrive(self, source: str, host: str, message: typing.Any) -> None:
        if source in self.lost or host in self.lost:
            return
        match message:
            case messages.Release():
                self.dispatchers[host].release(message)
            case messages.Withdraw():
                self.dispatchers[host].withdraw(message)
            case _ if host in self.waiters:
                self.waiters[host].deliver(source, message)
            case _:
                self.notices[host].append(message)

    def client(
        self, host: str, zone: str, **ports: typing.Any
    ) -> dispatch_client.DispatchPorts:
        """Returns the dispatch ports of an entry host in `zone`."""

        async def ask(
            peer: str, message: typing.Any, timeout_s: float
        ) -> result.Result[messages.Message, verdicts.Refusal]:
            self.messages += 2
            if peer != host:
                await asyncio.sleep(self.delay_s)
            if peer in self.lost or peer not in self.dispatchers:
                await asyncio.sleep(timeout_s)
                return result.Failure(verdicts.not_run("no-reply", 503))
            reply = self.dispatchers[peer].register(host, message)
            if peer != host:
                await asyncio.sleep(self.delay_s)
            return result.Success(reply)

        def dispatchers(
            request: types.Request,
        ) -> list[dispatcher_choice.DispatcherView]:
            return dispatcher_choice.reachable_dispatchers(
                self.configuration,
                zone,
                request.queue,
                self.heartbeats.get,
                lambda peer: peer not in self.lost,
            )

        self.waiters[host] = grant_waiters.GrantWaiters(
            self.clock, lambda peer, message: self.deliver(host, peer, message)
        )
        return dispatch_client.DispatchPorts(
            ask,
            lambda peer, message: self.deliver(host, peer, message),
            dispatchers,
            self.waiters[host],
            self.clock,
            **ports,
        )

    async def tick(self) -> None:
        """Runs the periodic work of the dispatchers and sends heartbeats."""
        while True:
            for host, zone_dispatcher in self.dispatchers.items():
                if host not in self.lost:
                    zone_dispatcher.grant_waiting()
                    self.heartbeats[host] = messages.Heartbeat(
                        1,
                        0,
                        False,
                        zone_dispatcher.free_slots(),
                        zone_dispatcher.unit_shortages(),
                    )
            await asyncio.sleep(0.25)


def request(
    zones: MemoryZones, number: int, team: str = "a", *, deadline_s: float = 60
) -> types.Request:
    """Returns a request for the one queue."""
    return types.Request(
        f"request-{number}",
        QUEUE,
        team,
        b"",
        "text/plain",
        types.Size(),
        zones.clock.monotonic() + deadline_s,
        False,
    )
