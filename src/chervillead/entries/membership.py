"""Liveness of the entry hosts, as this host sees it."""

import asyncio
from collections import abc

from chervillead import settings as settings_module
from chervillead import types
from chervillead.entries import messages
from chervillead.entries import streams as streams_module
from chervillead.fleet import configuration as configuration_module

HEARTBEAT_INTERVAL_S = 0.25
SUSPECT_TIMEOUT_S = 1.0


class Membership:
    """Last heartbeat of each peer and the time of its arrival."""

    def __init__(self, host: str, clock: types.Clock) -> None:
        self._host = host
        self._clock = clock
        self._heartbeats: dict[str, messages.Heartbeat] = {}
        self._last_heard_s: dict[str, float] = {}
        self._peers_over_units: set[str] = set()

    @property
    def live(self) -> frozenset[str]:
        """This host and the peers whose last heartbeat is recent."""
        oldest_s = self._clock.monotonic() - SUSPECT_TIMEOUT_S
        heard = (
            h for h, at_s in self._last_heard_s.items() if at_s >= oldest_s
        )
        return frozenset((self._host, *heard))

    @property
    def not_leaving(self) -> frozenset[str]:
        """Live hosts that haven't announced that they are leaving."""
        return frozenset(
            host
            for host in self.live
            if host not in self._heartbeats
            or not self._heartbeats[host].leaving
        )

    def heartbeat_of(self, host: str) -> messages.Heartbeat | None:
        """Returns the last heartbeat of a peer; None if there was none."""
        return self._heartbeats.get(host)

    def silent_s(self, host: str) -> float:
        """Returns the seconds since a peer's last heartbeat; inf if none."""
        if host == self._host:
            return 0.0
        if host not in self._last_heard_s:
            return float("inf")
        return self._clock.monotonic() - self._last_heard_s[host]

    def ejected_upstreams(self, pool: str) -> int:
        """Returns the number of a pool's upstreams that live peers ejected."""
        live = self.live
        return sum(
            heartbeat.ejected.get(pool, 0)
            for host, heartbeat in self._heartbeats.items()
            if host in live
        )

    def is_over_units(self, team: str) -> bool:
        """Returns whether a live peer reports a team above its units."""
        return any(
            team in self._heartbeats[host].teams_over_units
            and self.silent_s(host) <= SUSPECT_TIMEOUT_S
            for host in self._peers_over_units
        )

    def offset_of(self, host: str) -> int:
        """Returns the offset that a peer last reported; -1 if none."""
        heartbeat = self._heartbeats.get(host)
        return -1 if heartbeat is None else heartbeat.offset

    def offsets(self) -> dict[str, int]:
        """Returns the offsets of the live peers."""
        peers = self.live - {self._host}
        return {peer: self.offset_of(peer) for peer in peers}

    def record_heartbeat(
        self, host: str, heartbeat: messages.Heartbeat
    ) -> None:
        """Records a heartbeat that just arrived."""
        self._heartbeats[host] = heartbeat
        # The set is nearly always empty, so that each grant needn't check
        # every peer.
        if heartbeat.teams_over_units:
            self._peers_over_units.add(host)
        else:
            self._peers_over_units.discard(host)
        self._last_heard_s[host] = self._clock.monotonic()


def known_peers(
    settings: settings_module.Settings,
    configuration: configuration_module.Configuration,
) -> set[tuple[str, types.Address]]:
    """Returns the other entry hosts that the settings or seats name.

    The address in a seat record takes precedence, since it is newer than the
    settings.
    """
    known = {peer.host: peer.address for peer in settings.peers}
    known.update(
        (seat.host, seat.address) for seat in configuration.seats.values()
    )
    known.pop(settings.host, None)
    return set(known.items())


async def send_heartbeats(
    peer_streams: streams_module.PeerStreams,
    current: abc.Callable[[], messages.Heartbeat],
    clock: types.Clock,
) -> None:
    """Sends heartbeats on all streams and closes the silent ones."""
    while True:
        heartbeat = current()
        for stream in peer_streams.open_streams():
            if clock.monotonic() - stream.last_heard_s > SUSPECT_TIMEOUT_S:
                stream.close()
            else:
                stream.post(heartbeat)
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)
