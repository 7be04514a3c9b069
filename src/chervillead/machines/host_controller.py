"""Sends all commands to hosts, from one owner under one fencing token.

Owners of pools request maintenance, additional hosts and the removal of hosts;
only the owner of the hosts partition sends the commands. A host therefore never
receives commands from two holders in turn, even when it changes its pool, and
the cap of a wave holds across all pools that its hosts belong to.
"""

import asyncio
from collections import abc
import typing

from returns import pipeline
from returns import result

from chervillead.entries import host_messages
from chervillead.machines import interface
from chervillead.machines import shortages
from chervillead.pools import owner_state
from chervillead.pools import ports as ports_module
from chervillead.store import interface as store_interface

# Slightly shorter than the timeout of calls between entry hosts.
CALL_TIMEOUT_S = 0.9
# The cached list of hosts is reused for this time.
HOST_LIST_MAX_AGE_S = 0.2
# Holds the time of the last command to each host, written before it is sent.
COMMANDS_TOPIC = "keyed.hosts"
# A host counts as down for this long beyond the duration of its maintenance.
RECOVERY_MARGIN_S = 0.5
# A command without a response may still be carried out within this time.
LATE_COMMAND_S = 3.0

WAVE_FULL = "wave-full"
STARTING = "starting"
UNANSWERED = "unanswered"
UNRECORDED = "unrecorded"

_Outcome = result.Result[None, interface.HostCallFailure]


class FleetPorts(typing.NamedTuple):
    """Published fleet state that the controller reads.

    Attributes:
        waves: Returns the published maintenance waves by number.
        spare_pools: Returns the pools whose hosts are turned off.
        zones_out: Returns the zones that operators have taken out of service.
    """

    waves: abc.Callable[[], abc.Mapping[int, interface.Wave]]
    spare_pools: abc.Callable[[], abc.Collection[str]]
    zones_out: abc.Callable[[], frozenset[str]]


class HostController:
    """Serves the host calls of all pool owners, under one fencing token."""

    def __init__(
        self,
        state: owner_state.OwnerState,
        client: interface.HostServiceClient,
        fleet: FleetPorts,
        ports: ports_module.OwnerPorts,
    ) -> None:
        self._state = state
        self._client = client
        self._fleet = fleet
        self._clock = ports.clock
        self._limits = ports.limits
        self._store = ports.store
        # Maintenance that a previous owner started has ended by then.
        self._commands_from_s = self._now_s() + max(
            self._recovery_s, ports.limits.host_lease_s
        )
        self._hosts: dict[str, interface.Host] = {}
        self._listed_s = float("-inf")
        self._listing = asyncio.Lock()
        self._begun: set[tuple[int, str]] = set()
        self._down_until_s: dict[tuple[int, str], float] = {}
        self._moved_until_s: dict[str, float] = {}
        # Hosts that a previous owner has just sent commands to; None until they
        # have been read.
        self._previous_commands: set[str] | None = None
        self._shortages = shortages.Shortages()

    @property
    def token(self) -> int:
        """Fencing token of all commands to hosts."""
        return self._state.token

    @property
    def _recovery_s(self) -> float:
        """Seconds after which a host that went down counts as up again."""
        return self._limits.maintenance_s + RECOVERY_MARGIN_S

    def _now_s(self) -> float:
        return self._clock.monotonic()

    async def serve(
        self, call: host_messages.HostCall
    ) -> host_messages.HostReply:
        """Carries out a call; a reply with a reason says why it did not."""
        if not self._state.has_authority():
            return host_messages.HostReply(STARTING)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self._serve(call)
        except TimeoutError:
            return host_messages.HostReply(UNANSWERED, may_have_run=True)

    async def _serve(
        self, call: host_messages.HostCall
    ) -> host_messages.HostReply:
        if isinstance(call, host_messages.BeginMaintenance):
            if self._now_s() < self._commands_from_s:
                return host_messages.HostReply(STARTING)
            return await self._begin_maintenance(call.host, call.wave)
        if isinstance(call, host_messages.OfferHosts):
            wanted = self._shortages.claim(call.pool, call.idle, self._now_s())
            return host_messages.HostReply(hosts=wanted)
        if (
            not await self._read_previous_commands()
            or not await self._refresh()
        ):
            return host_messages.HostReply(
                UNANSWERED,
                detail="cannot read the list of hosts or the recorded commands",
            )
        if isinstance(call, host_messages.TurnOffHost):
            return await self._turn_off(call.worker_id)
        return await self._lend(call.pool, call.wanted)

    async def _read_previous_commands(self) -> bool:
        """Reads which hosts a previous owner has just sent commands to.

        Commands of two owners to one host must be `host_lease_s` apart.

        Returns:
            False if the store could not be read.
        """
        if self._previous_commands is not None:
            return True
        read = await self._store.read_latest(COMMANDS_TOPIC, 0)
        if not pipeline.is_successful(read):
            return False
        recent_unix_ms = 1000 * (self._clock.wall() - self._limits.host_lease_s)
        self._previous_commands = {
            record.key
            for record in read.unwrap().records
            if int(record.value) > recent_unix_ms
        }
        return True

    def _may_command(self, host: interface.Host) -> bool:
        """Returns whether this owner may send a command to a host now."""
        now_s = self._now_s()
        was_commanded = host.name in (self._previous_commands or ())
        return not (was_commanded and now_s < self._commands_from_s) and (
            self._moved_until_s.get(host.name, 0.0) <= now_s
        )

    async def _record_commands(self, host_names: abc.Iterable[str]) -> bool:
        """Records that commands are about to be sent to hosts."""
        value = str(int(1000 * self._clock.wall())).encode()
        records = tuple(
            store_interface.KeyedRecord(name, value) for name in host_names
        )
        if not records:
            return True
        stored = await self._store.append(COMMANDS_TOPIC, 0, records, None)
        return pipeline.is_successful(stored)

    async def _refresh(self) -> bool:
        """Reads the list of hosts unless the cached one is recent."""
        async with self._listing:
            if self._now_s() - self._listed_s < HOST_LIST_MAX_AGE_S:
                return True
            requested_s = self._now_s()
            listed = await self._client.list_hosts()
            if not pipeline.is_successful(listed):
                return False
            self._hosts = {host.name: host for host in listed.unwrap()}
            self._listed_s = requested_s
            return True

    async def _begin_maintenance(
        self, host_name: str, number: int
    ) -> host_messages.HostReply:
        """Starts the maintenance of a host within the cap of its wave."""
        key = number, host_name
        if key in self._begun:
            return host_messages.HostReply()
        wave = self._fleet.waves().get(number)
        now_s = self._now_s()
        down = sum(
            until_s > now_s
            for other, until_s in self._down_until_s.items()
            if other[0] == number and other != key
        )
        if wave is None or down >= wave.cap:
            return host_messages.HostReply(WAVE_FULL)
        # Counts against the cap before the response arrives, since a command
        # without a response may still be carried out.
        self._down_until_s[key] = now_s + self._recovery_s + LATE_COMMAND_S
        if not await self._record_commands([host_name]):
            del self._down_until_s[key]
            return host_messages.HostReply(UNRECORDED)
        outcome = await self._client.begin_maintenance(
            host_name, number, self.token
        )
        if pipeline.is_successful(outcome):
            self._begun.add(key)
            self._down_until_s[key] = self._now_s() + self._recovery_s
        elif outcome.failure().rejection is not None:
            del self._down_until_s[key]
        return _reply(outcome)

    async def _turn_off(self, worker_id: str) -> host_messages.HostReply:
        host = next(
            (h for h in self._hosts.values() if h.worker_id == worker_id), None
        )
        if host is None or host.state is not interface.HostState.UP:
            # The host has already moved, or its worker has ended otherwise.
            return host_messages.HostReply()
        spare = min(self._fleet.spare_pools(), default=None)
        if spare is None:
            return host_messages.HostReply(
                interface.RejectionReason.UNKNOWN.value
            )
        if not self._may_command(host):
            return host_messages.HostReply(STARTING)
        if not await self._record_commands([host.name]):
            return host_messages.HostReply(UNRECORDED)
        pool = self._shortages.take_destination(self._now_s())
        if pool is not None and pool != host.pool:
            outcome = await self._move(host, pool)
            if _rejection(outcome) is not interface.RejectionReason.UNKNOWN:
                return _reply(outcome)
        return _reply(await self._move(host, spare))

    async def _lend(self, pool: str, count: int) -> host_messages.HostReply:
        """Moves hosts from the spare pool, spread over availability zones."""
        sent = self._shortages.take_sent(pool)
        count = max(0, count - sent)
        spare = self._fleet.spare_pools()
        idle = [
            host
            for host in self._hosts.values()
            if host.pool in spare
            and host.state is interface.HostState.UP
            and host.zone not in self._fleet.zones_out()
            and self._may_command(host)
        ]
        chosen = _spread_over_zones(idle)[:count]
        if not await self._record_commands(host.name for host in chosen):
            return host_messages.HostReply(UNRECORDED)
        outcomes = await asyncio.gather(
            *(self._move(host, pool) for host in chosen)
        )
        moved = sum(pipeline.is_successful(outcome) for outcome in outcomes)
        self._shortages.record(pool, count - moved, self._now_s())
        return host_messages.HostReply(hosts=sent + moved)

    async def _move(self, host: interface.Host, pool: str) -> _Outcome:
        now_s = self._now_s()
        # The list may still show the host in its previous pool.
        self._moved_until_s[host.name] = now_s + self._limits.move_s
        outcome = await self._client.move(host.name, pool, self.token)
        failure = None if pipeline.is_successful(outcome) else outcome.failure()
        self._state.log(
            "host:moved" if failure is None else "host:move-failed",
            worker_host=host.name,
            worker=host.worker_id,
            previous_pool=host.pool,
            pool=pool,
            token=self.token,
            error=failure and failure.detail,
        )
        return outcome


def _spread_over_zones(
    hosts: abc.Iterable[interface.Host],
) -> list[interface.Host]:
    """Returns hosts ordered so that any prefix is balanced over the zones."""
    seen: dict[str, int] = {}
    ranked = []
    for host in sorted(hosts, key=lambda host: host.name):
        seen[host.zone] = seen.get(host.zone, 0) + 1
        ranked.append((seen[host.zone], host.zone, host.name, host))
    return [host for *_, host in sorted(ranked)]


def _rejection(outcome: _Outcome) -> interface.RejectionReason | None:
    if pipeline.is_successful(outcome):
        return None
    return outcome.failure().rejection


def _reply(outcome: _Outcome) -> host_messages.HostReply:
    if pipeline.is_successful(outcome):
        return host_messages.HostReply()
    failure = outcome.failure()
    return host_messages.HostReply(
        failure.rejection.value if failure.rejection else UNANSWERED,
        may_have_run=failure.rejection is None,
        detail=failure.detail,
    )
