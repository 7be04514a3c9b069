"""Moves hosts between pools under one fencing token.

Each command is recorded before it is sent, so that the next owner of the hosts
partition knows which hosts it must leave alone for a while.
"""

import asyncio
from collections import abc

from returns import pipeline
from returns import result

from chervillead import verdicts
from chervillead.machines import interface
from chervillead.pools import owner_state
from chervillead.pools import ports as ports_module
from chervillead.store import interface as store_interface

# Maximum age of the list of hosts when a command needs their exact state.
HOST_LIST_MAX_AGE_S = 0.2
# Holds the time of the last command to each host, written before it is sent.
COMMANDS_TOPIC = "keyed.hosts"

Outcome = result.Result[None, interface.HostCallFailure]


class HostMoves:
    """Hosts as listed, and the commands that were sent to them."""

    def __init__(
        self,
        state: owner_state.OwnerState,
        client: interface.HostServiceClient,
        ports: ports_module.OwnerPorts,
        commands_from_s: float,
    ) -> None:
        """Starts without commands.

        Args:
            state: State of the owner of the hosts partition.
            client: Client of the hosts service.
            ports: Dependencies on the rest of the process.
            commands_from_s: Time from which hosts that a previous owner sent
                commands to may receive others.
        """
        self._state = state
        self._client = client
        self._clock = ports.clock
        self._limits = ports.limits
        self._store = ports.store
        self._commands_from_s = commands_from_s
        # How long a command of a previous owner matters.
        self._previous_command_s = commands_from_s - self._now_s()
        self._hosts: dict[str, interface.Host] = {}
        self._listed_s = float("-inf")
        self._listing = asyncio.Lock()
        self._moved_until_s: dict[str, float] = {}
        # Hosts that a previous owner has just sent commands to; None until they
        # have been read.
        self._previous_commands: set[str] | None = None

    @property
    def hosts(self) -> abc.Collection[interface.Host]:
        """Hosts of the last list."""
        return self._hosts.values()

    async def refresh(self, max_age_s: float = HOST_LIST_MAX_AGE_S) -> bool:
        """Reads the list of hosts unless the cached one is recent.

        Args:
            max_age_s: Maximum age of the cached list, in seconds.

        Returns:
            False if the list or the previous owner's commands can't be read.
        """
        if not await self._read_previous_commands():
            return False
        async with self._listing:
            if self._now_s() - self._listed_s < max_age_s:
                return True
            requested_s = self._now_s()
            listed = await self._client.list_hosts()
            if not pipeline.is_successful(listed):
                return False
            self._hosts = {host.name: host for host in listed.unwrap()}
            self._listed_s = requested_s
            return True

    def host(self, name: str) -> interface.Host | None:
        """Returns a host by its name, or None if it isn't listed."""
        return self._hosts.get(name)

    def host_of(self, worker_id: str) -> interface.Host | None:
        """Returns the host that is up with a worker, if there is one."""
        return next(
            (
                host
                for host in self._hosts.values()
                if host.worker_id == worker_id
                and host.state is interface.HostState.UP
            ),
            None,
        )

    def may_command(self, host: interface.Host) -> bool:
        """Returns whether this owner may send a command to a host now."""
        now_s = self._now_s()
        was_commanded = host.name in (self._previous_commands or ())
        return not (was_commanded and now_s < self._commands_from_s) and (
            self._moved_until_s.get(host.name, 0.0) <= now_s
        )

    def hosts_down(self) -> set[str]:
        """Returns the hosts that may be down for maintenance.

        Those that a previous owner commanded count until they are surely up.
        """
        down = {
            host.name
            for host in self._hosts.values()
            if host.state is interface.HostState.MAINTENANCE
        }
        if self._now_s() < self._commands_from_s:
            down |= self._previous_commands or set()
        return down

    async def record_commands(self, host_names: abc.Iterable[str]) -> bool:
        """Records that commands are about to be sent to hosts."""
        value = str(int(1000 * self._clock.wall())).encode()
        records = tuple(
            store_interface.KeyedRecord(name, value) for name in host_names
        )
        if not records:
            return True
        stored = await self._store.append(COMMANDS_TOPIC, 0, records, None)
        return pipeline.is_successful(stored)

    async def move(self, host: interface.Host, pool: str) -> Outcome:
        """Moves a host to a pool; its command must have been recorded.

        Not carried out if the ownership ran out meanwhile, for example because
        the process was suspended while the command was being recorded.
        """
        if not self._state.has_authority():
            return result.Failure(
                interface.HostCallFailure(
                    verdicts.Verdict.NOT_RUN,
                    "the ownership of the hosts is no longer confirmed",
                    interface.RejectionReason.BUSY,
                )
            )
        # The list may still show the host in its previous pool.
        self._moved_until_s[host.name] = self._now_s() + self._limits.move_s
        outcome = await self._client.move(host.name, pool, self._state.token)
        failure = None if pipeline.is_successful(outcome) else outcome.failure()
        self._state.log(
            "host:moved" if failure is None else "host:move-failed",
            worker_host=host.name,
            worker=host.worker_id,
            previous_pool=host.pool,
            pool=pool,
            token=self._state.token,
            error=failure and failure.detail,
        )
        return outcome

    def _now_s(self) -> float:
        return self._clock.monotonic()

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
        recent_unix_ms = 1000 * (self._clock.wall() - self._previous_command_s)
        self._previous_commands = {
            record.key
            for record in read.unwrap().records
            if int(record.value) > recent_unix_ms
        }
        return True


def spread_over_zones(
    hosts: abc.Iterable[interface.Host],
) -> list[interface.Host]:
    """Returns hosts ordered so that any prefix is balanced over the zones."""
    seen: dict[str, int] = {}
    ranked: list[tuple[int, str, str, interface.Host]] = []
    for host in sorted(hosts, key=lambda host: host.name):
        seen[host.zone] = seen.get(host.zone, 0) + 1
        ranked.append((seen[host.zone], host.zone, host.name, host))
    return [host for *_, host in sorted(ranked)]


def rejection_of(outcome: Outcome) -> interface.RejectionReason | None:
    """Returns why a command was rejected; None if it may have had effect."""
    if pipeline.is_successful(outcome):
        return None
    return outcome.failure().rejection
