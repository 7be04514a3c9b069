"""Sends all commands to hosts, from one owner under one fencing token.

Owners of pools report their loads and request maintenance and the removal of
hosts; only the owner of the hosts partition sends the commands. A host
therefore never receives commands from two holders in turn, even when it changes
its pool, and the cap of a wave holds across all pools that its hosts belong to.
"""

import asyncio
from collections import abc
import typing

from returns import pipeline

from chervillead.entries import host_messages
from chervillead.machines import fleet_allocator
from chervillead.machines import host_moves
from chervillead.machines import interface
from chervillead.machines import wave_downtime
from chervillead.pools import owner_state
from chervillead.pools import ports as ports_module

# Slightly shorter than the timeout of calls between entry hosts.
CALL_TIMEOUT_S = 0.9
# Interval at which spare hosts are sent to pools that lack hosts.
ALLOCATION_INTERVAL_S = 0.1
# Maximum age of the number of spare hosts.
SPARE_HOSTS_MAX_AGE_S = 0.5
# Maximum age of the list that shows which hosts are down for maintenance.
WAVE_HOSTS_MAX_AGE_S = 0.5
# Shortest interval of log lines about the allocation.
ALLOCATION_LOG_INTERVAL_S = 1.0

WAVE_FULL = "wave-full"
STARTING = "starting"
UNANSWERED = "unanswered"
UNRECORDED = "unrecorded"
OTHER_WORKER = "other-worker"


_UNREADABLE = host_messages.HostReply(
    UNANSWERED, detail="cannot read the list of hosts or the recorded commands"
)


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
        # Maintenance that a previous owner started has ended by then.
        commands_from_s = self._now_s() + max(
            wave_downtime.recovery_s(ports.limits.maintenance_s),
            ports.limits.host_lease_s,
        )
        self._moves = host_moves.HostMoves(
            state, client, ports, commands_from_s
        )
        self._allocator = fleet_allocator.FleetAllocator(state.token)
        self._downtime = wave_downtime.WaveDowntime(
            ports.clock.monotonic, ports.limits.maintenance_s
        )
        self._logged_s = float("-inf")
        self._logged_pools: dict[str, list[int]] = {}

    def _now_s(self) -> float:
        return self._clock.monotonic()

    async def run(self) -> None:
        """Sends spare hosts to the pools that lack hosts, until cancelled."""
        while True:
            if self._state.has_authority():
                self._log_allocation()
                await self._send_spare_hosts()
            await asyncio.sleep(ALLOCATION_INTERVAL_S)

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
        # The call may have been delayed until after a change of owner.
        if not self._allocator.is_current(call.pool, call.token):
            return host_messages.HostReply(host_messages.REPLACED)
        if isinstance(call, host_messages.BeginMaintenance):
            return await self._begin_maintenance(call)
        if isinstance(call, host_messages.ReportLoad):
            self._allocator.record(call, self._now_s())
            return self._allocator.reply(call.pool, self._now_s())
        return await self._turn_off(call)

    async def _send_spare_hosts(self) -> None:
        """Sends spare hosts to the pools that lack hosts."""
        if not self._allocator.has_unmet_demand(
            self._now_s()
        ) or not await self._moves.refresh(SPARE_HOSTS_MAX_AGE_S):
            return
        idle = self._idle_spare_hosts()
        self._allocator.spare_hosts = len(idle)
        deficits = self._allocator.allocation(self._now_s()).deficits
        destinations = [
            pool for pool, count in deficits.items() for _ in range(count)
        ]
        moves = list(zip(idle, destinations, strict=False))
        if not moves or not await self._moves.record_commands(
            host.name for host, _ in moves
        ):
            return
        await asyncio.gather(*(self._send(*move) for move in moves))

    def _idle_spare_hosts(self) -> list[interface.Host]:
        """Returns the usable spare hosts, those due for maintenance last.

        Maintenance costs nothing while a host is turned off.
        """
        spare_pools = self._fleet.spare_pools()
        zones_out = self._fleet.zones_out()
        hosts = host_moves.spread_over_zones(
            host
            for host in self._moves.hosts
            if host.pool in spare_pools
            and host.state is interface.HostState.UP
            and host.zone not in zones_out
            and self._moves.may_command(host)
        )
        return sorted(hosts, key=lambda host: self._may_be_due(host.name))

    def _may_be_due(self, host_name: str) -> bool:
        """Returns whether a host may have its maintenance before it."""
        now_s = self._now_s()
        return any(
            host_name in wave.hosts
            and not self._downtime.has_begun(wave.number, host_name)
            and now_s < wave.first_seen_s + wave.duration_s
            for wave in self._fleet.waves().values()
        )

    async def _send(
        self, host: interface.Host, pool: str
    ) -> host_moves.Outcome:
        """Moves a host to a pool and counts it as on its way."""
        number = self._allocator.record_sent(pool, self._now_s())
        outcome = await self._moves.move(host, pool)
        if host_moves.rejection_of(outcome) is not None:
            self._allocator.forget_sent(pool, number)
        return outcome

    def _log_allocation(self) -> None:
        """Logs the demand and size of each pool if they have changed."""
        now_s = self._now_s()
        if now_s - self._logged_s < ALLOCATION_LOG_INTERVAL_S:
            return
        pools = self._allocator.describe(now_s)
        if pools == self._logged_pools:
            return
        self._logged_s, self._logged_pools = now_s, pools
        self._state.log(
            "hosts:allocated",
            spare=self._allocator.spare_hosts,
            columns="hosts,min,urgent,needed,retained,size",
            pools=pools,
        )

    async def _begin_maintenance(
        self, call: host_messages.BeginMaintenance
    ) -> host_messages.HostReply:
        """Starts the maintenance of a host within the cap of its wave."""
        downtime = self._downtime
        if downtime.has_begun(call.wave, call.host):
            return host_messages.HostReply()
        if not await self._moves.refresh(WAVE_HOSTS_MAX_AGE_S):
            return _UNREADABLE
        if downtime.has_begun(call.wave, call.host):
            return host_messages.HostReply()
        host = self._moves.host(call.host)
        if host is not None and not self._moves.may_command(host):
            return host_messages.HostReply(STARTING)
        if host is not None and host.runs_other_worker(call.worker_id):
            return host_messages.HostReply(OTHER_WORKER)
        wave = self._fleet.waves().get(call.wave)
        if wave is None or not downtime.has_slot(
            wave, call.host, self._moves.hosts_down()
        ):
            return host_messages.HostReply(WAVE_FULL)
        # Counts against the cap before the response arrives, since a command
        # without a response may still be carried out.
        downtime.reserve(call.wave, call.host)
        reason = await self._record_command(call.host, call)
        if reason:
            downtime.release(call.wave, call.host)
            return host_messages.HostReply(reason)
        outcome = await self._client.begin_maintenance(
            call.host, call.wave, self._state.token
        )
        if pipeline.is_successful(outcome):
            downtime.begin(call.wave, call.host)
        elif outcome.failure().rejection is not None:
            downtime.release(call.wave, call.host)
        return _reply(outcome)

    async def _record_command(
        self,
        host_name: str,
        call: host_messages.BeginMaintenance | host_messages.TurnOffHost,
    ) -> str:
        """Records that a command for a host is about to be sent.

        Returns:
            Why the command must not be sent; empty if it may be.
        """
        if not await self._moves.record_commands([host_name]):
            return UNRECORDED
        if not self._state.has_authority():
            # The process was suspended while the command was being recorded.
            return STARTING
        if not self._allocator.is_current(call.pool, call.token):
            return host_messages.REPLACED
        return ""

    async def _turn_off(
        self, call: host_messages.TurnOffHost
    ) -> host_messages.HostReply:
        """Moves the host of a drained worker to a pool that lacks hosts."""
        if not await self._moves.refresh():
            return _UNREADABLE
        host = self._moves.host_of(call.worker_id)
        if host is None:
            # The host has already moved, or its worker has ended otherwise.
            return host_messages.HostReply()
        spare = min(self._fleet.spare_pools(), default=None)
        if spare is None:
            return host_messages.HostReply(
                interface.RejectionReason.UNKNOWN.value
            )
        if not self._moves.may_command(host):
            return host_messages.HostReply(STARTING)
        reason = await self._record_command(host.name, call)
        if reason:
            return host_messages.HostReply(reason)
        pool = self._destination(host)
        if pool is not None:
            outcome = await self._send(host, pool)
            if (
                host_moves.rejection_of(outcome)
                is interface.RejectionReason.UNKNOWN
            ):
                pool = None
        if pool is None:
            outcome = await self._moves.move(host, spare)
        if host_moves.rejection_of(outcome) is None:
            self._allocator.record_left(host.pool)
        return _reply(outcome)

    def _destination(self, host: interface.Host) -> str | None:
        """Returns the pool that a released host serves next, if any."""
        if host.zone in self._fleet.zones_out():
            return None
        return self._allocator.destination(host.pool, self._now_s())


def _reply(outcome: host_moves.Outcome) -> host_messages.HostReply:
    if pipeline.is_successful(outcome):
        return host_messages.HostReply()
    failure = outcome.failure()
    return host_messages.HostReply(
        failure.rejection.value if failure.rejection else UNANSWERED,
        may_have_run=failure.rejection is None,
        detail=failure.detail,
    )
