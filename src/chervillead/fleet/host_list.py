"""The task that follows the platform's lagging list of hosts.

The list says which hosts are live or leaving, some seconds late. It is used to
give no work to hosts that are going away; it never decides who owns anything.
"""

import asyncio
from collections import abc
import random
import typing

import eliot
from returns import pipeline

from chervillead import types
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import log_client

# The list lags by seconds anyway; polling faster gains little.
POLL_S = 1.0
MAX_BACKOFF_S = 8.0


class HostList(typing.NamedTuple):
    """What the platform last said of hosts.

    Attributes:
        live: Hosts that are live and don't leave.
        leaving: Hosts that are live and about to leave.
        down: Hosts that are listed as not live.
        known: Whether the platform has answered at all.
    """

    live: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()
    down: frozenset[str] = frozenset()
    known: bool = False


UNKNOWN = HostList()


def group_hosts(entries: abc.Iterable[log_client.HostEntry]) -> HostList:
    """Returns the list in sets; the last line of a name counts."""
    lines = {entry.name: entry for entry in entries}
    return HostList(
        frozenset(n for n, e in lines.items() if e.live and not e.leaving),
        frozenset(n for n, e in lines.items() if e.live and e.leaving),
        frozenset(n for n, e in lines.items() if not e.live),
        known=True,
    )


def missing_hosts(
    configuration: configuration_module.Configuration, hosts: HostList
) -> frozenset[str]:
    """Returns configured hosts that the list doesn't show at all."""
    if not hosts.known:
        return frozenset()
    listed = hosts.live | hosts.leaving | hosts.down
    return frozenset(configuration.hosts) - listed


def is_host_schedulable(
    configuration: configuration_module.Configuration,
    hosts: HostList,
    name: str,
) -> bool:
    """Returns whether new work may start on the host `name`.

    The configuration decides first. The list can only forbid: a host that it
    shows as leaving or down gets no work. A host that it doesn't show keeps
    its work, because a list that lags doesn't show new hosts yet.
    """
    if name in hosts.leaving or name in hosts.down:
        return False
    return configuration_module.is_host_schedulable(configuration, name)


class HostListCache:
    """Holds the newest host list and its age."""

    def __init__(self, clock: types.Clock) -> None:
        self._clock = clock
        self._hosts = UNKNOWN
        self._read_s: float | None = None
        self._changed = asyncio.Event()

    @property
    def hosts(self) -> HostList:
        """The newest list, kept while the platform is out of reach."""
        return self._hosts

    @property
    def age_s(self) -> float:
        """Seconds since the list was read; inf before the first time."""
        if self._read_s is None:
            return float("inf")
        return self._clock.monotonic() - self._read_s

    async def wait_for_change(self) -> None:
        """Returns after the list has changed."""
        await self._changed.wait()

    def take(self, hosts: HostList) -> None:
        """Notes a list that the platform has just handed out."""
        self._read_s = self._clock.monotonic()
        if hosts != self._hosts:
            self._hosts = hosts
            changed, self._changed = self._changed, asyncio.Event()
            changed.set()


async def poll_host_list(
    holder: HostListCache, platform: log_client.PlatformClient
) -> None:
    """Polls the host list until cancelled; backs off while it fails."""
    failures = 0
    while True:
        listed = await platform.list_hosts()
        if pipeline.is_successful(listed):
            failures = 0
            holder.take(group_hosts(listed.unwrap()))
            await asyncio.sleep(POLL_S)
            continue
        failures += 1
        eliot.log_message("platform:hosts-failed", error=listed.failure())
        ceiling_s = min(MAX_BACKOFF_S, POLL_S * 2**failures)
        # The floor keeps a platform that fails at once from being called in a
        # tight loop.
        await asyncio.sleep(random.uniform(POLL_S / 2, ceiling_s))
