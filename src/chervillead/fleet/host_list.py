"""Polling of the platform's host list.

The list says which hosts are live or leaving and lags by some seconds. It is
used only to keep new work from hosts that leave or are down, never to decide
who owns a seat or a request.
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

# The list lags by seconds, so a shorter interval would gain little.
POLL_S = 1.0
MAX_BACKOFF_S = 8.0


class HostList(typing.NamedTuple):
    """Names of the hosts in the platform's list, by state.

    Attributes:
        live: Hosts that are live and not leaving.
        leaving: Hosts that are live and about to leave.
        down: Hosts that are listed as not live.
        is_known: Whether the platform has returned a list yet.
    """

    live: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()
    down: frozenset[str] = frozenset()
    is_known: bool = False


UNKNOWN = HostList()


def group_hosts(entries: abc.Iterable[log_client.HostEntry]) -> HostList:
    """Groups the hosts by state; the last of several entries of a host wins."""
    by_name = {entry.name: entry for entry in entries}
    return HostList(
        frozenset(n for n, e in by_name.items() if e.live and not e.leaving),
        frozenset(n for n, e in by_name.items() if e.live and e.leaving),
        frozenset(n for n, e in by_name.items() if not e.live),
        is_known=True,
    )


def missing_hosts(
    configuration: configuration_module.Configuration, hosts: HostList
) -> frozenset[str]:
    """Returns configured hosts without an entry in the list.

    The result is empty while no list is known.
    """
    if not hosts.is_known:
        return frozenset()
    listed = hosts.live | hosts.leaving | hosts.down
    return frozenset(configuration.hosts) - listed


def is_host_schedulable(
    configuration: configuration_module.Configuration,
    hosts: HostList,
    name: str,
) -> bool:
    """Returns whether new work may start on the host `name`.

    A host must be schedulable by the configuration and must not be listed as
    leaving or down. A host without an entry stays schedulable, because a
    lagging list doesn't contain new hosts yet.
    """
    if name in hosts.leaving or name in hosts.down:
        return False
    return configuration_module.is_host_schedulable(configuration, name)


class HostListCache:
    """Caches the latest host list and tracks its age."""

    def __init__(self, clock: types.Clock) -> None:
        self._clock = clock
        self._hosts = UNKNOWN
        self._updated_s: float | None = None
        self._changed = asyncio.Event()

    @property
    def hosts(self) -> HostList:
        """The latest list, kept while the platform is unreachable."""
        return self._hosts

    @property
    def age_s(self) -> float:
        """Seconds since the list was read; infinite before the first read."""
        if self._updated_s is None:
            return float("inf")
        return self._clock.monotonic() - self._updated_s

    async def wait_for_change(self) -> None:
        """Waits until the list differs from the one at the time of the call."""
        await self._changed.wait()

    def update(self, hosts: HostList) -> None:
        """Stores a list just received, and notifies waiters if it changed."""
        self._updated_s = self._clock.monotonic()
        if hosts != self._hosts:
            self._hosts = hosts
            changed, self._changed = self._changed, asyncio.Event()
            changed.set()


async def poll_host_list(
    cache: HostListCache, platform: log_client.PlatformClient
) -> None:
    """Polls the host list until cancelled, with backoff after failures."""
    failures = 0
    while True:
        listed = await platform.list_hosts()
        if pipeline.is_successful(listed):
            failures = 0
            cache.update(group_hosts(listed.unwrap()))
            await asyncio.sleep(POLL_S)
            continue
        failures += 1
        eliot.log_message("platform:hosts-failed", error=listed.failure())
        ceiling_s = min(MAX_BACKOFF_S, POLL_S * 2**failures)
        # The lower bound prevents a tight loop while calls fail immediately.
        await asyncio.sleep(random.uniform(POLL_S / 2, ceiling_s))
