"""Synchronisation of the configuration between entry hosts.

A host whose offset is below a peer's asks it for the missing records, so a
host that can't reach the platform gets the newest state of any reachable peer.
"""

import asyncio
from collections import abc
import random
import typing

import eliot
from returns import pipeline
from returns import result
import xxhash

from chervillead import settings as settings_module
from chervillead import types
from chervillead import verdicts
from chervillead.entries import membership
from chervillead.entries import messages
from chervillead.entries import seats
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import log_reader
from chervillead.fleet import records
from chervillead.fleet import snapshots

CHECK_INTERVAL_S = 0.25
# Exceeds the log's poll interval (200 ms), for which any host may be behind.
SYNC_DELAY_S = 0.5
REPLY_TIMEOUT_S = 1.0
MAX_RECORDS_BYTES = 1024 * 1024

OWN_ZONE_SYNC_PEERS = 3
OTHER_ZONE_SYNC_PEERS = 2
# A full mesh of this size costs a host 80 heartbeat frames a second.
FULL_MESH_PEERS = 20


class ConfigSyncPorts(typing.NamedTuple):
    """Functions that the synchronisation needs from the rest of the process.

    Attributes:
        offset: Returns the offset of the newest state.
        recent_entries: Returns the retained records from an offset on; None if
            some of them are no longer retained.
        apply_entries: Folds records.
        encode_snapshot: Returns the whole state, encoded.
        install_snapshot: Installs the state at an offset if it is newer.
    """

    offset: abc.Callable[[], int]
    recent_entries: abc.Callable[[int], list[bytes] | None]
    apply_entries: abc.Callable[[abc.Iterable[records.OffsetRecord]], None]
    encode_snapshot: abc.Callable[[], bytes]
    install_snapshot: abc.Callable[[int, bytes], bool]


Ask = abc.Callable[
    [str, messages.Message, float],
    abc.Awaitable[result.Result[messages.Message, verdicts.Refusal]],
]


def select_sync_peers(
    host: str, zone: str, hosts: abc.Mapping[str, abc.Iterable[str]]
) -> frozenset[str]:
    """Returns the peers that `host` synchronises the configuration with.

    Rendezvous hashing: each host ranks the others by a hash of both names, so
    that peers are spread evenly and few change when a host joins or leaves.

    Args:
        host: The host that selects.
        zone: Its zone.
        hosts: Names of the entry hosts of each zone.
    """
    sync_peers: set[str] = set()
    for other_zone, names in hosts.items():
        count = (
            OWN_ZONE_SYNC_PEERS if other_zone == zone else OTHER_ZONE_SYNC_PEERS
        )
        ranked = sorted(
            (name for name in names if name != host),
            key=lambda name: xxhash.xxh3_64_intdigest(
                f"{host}\0{name}".encode()
            ),
        )
        sync_peers.update(ranked[:count])
    return frozenset(sync_peers)


def peers_to_dial(
    settings: settings_module.Settings,
    configuration: configuration_module.Configuration,
) -> set[tuple[str, types.Address]]:
    """Returns the peers to which this host keeps a stream open.

    A small fleet is a full mesh. In a large one a host dials its sync peers,
    the leader of each zone, which it asks for grants and claims, and the seat
    holders of its own zone, which confirm its seat.
    """
    known = membership.known_peers(settings, configuration)
    if len(known) <= FULL_MESH_PEERS:
        return known
    hosts: dict[str, list[str]] = {}
    for seat in configuration.seats.values():
        hosts.setdefault(seat.zone, []).append(seat.host)
    selected = set(select_sync_peers(settings.host, settings.zone, hosts))
    selected.update(hosts.get(settings.zone, ()))
    selected.update(
        seats.zone_leader(configuration, zone) or "" for zone in hosts
    )
    # Before the first record only the peers in the settings are known.
    return {peer for peer in known if peer[0] in selected} or known


def connect_ports(reader: log_reader.LogReader) -> ConfigSyncPorts:
    """Returns the ports of a process that reads the log."""
    return ConfigSyncPorts(
        lambda: reader.configuration.offset,
        reader.recent_entries,
        reader.apply_entries,
        lambda: snapshots.encode_configuration(reader.configuration),
        reader.install_snapshot,
    )


def reply_to_request(
    ports: ConfigSyncPorts, message: messages.ConfigRequest
) -> messages.ConfigRecords | messages.ConfigSnapshot:
    """Returns the records from an offset on, or a snapshot without them."""
    entries = ports.recent_entries(message.offset)
    if entries is None:
        return messages.ConfigSnapshot(ports.offset(), ports.encode_snapshot())
    return messages.ConfigRecords(message.offset, list(_bounded(entries)))


def apply_reply(ports: ConfigSyncPorts, reply: messages.Message) -> bool:
    """Applies a peer's reply and returns whether the state became newer."""
    before = ports.offset()
    match reply:
        case messages.ConfigRecords():
            entries = (
                records.LogEntry(offset, data)
                for offset, data in enumerate(reply.records, reply.first)
            )
            ports.apply_entries(records.decode_entries(entries))
        case messages.ConfigSnapshot():
            ports.install_snapshot(reply.offset, reply.state)
    return ports.offset() > before


async def sync_from_peers(
    ports: ConfigSyncPorts,
    offsets: abc.Callable[[], abc.Mapping[str, int]],
    ask: Ask,
) -> None:
    """Fetches missing records from peers that are ahead, until cancelled.

    Args:
        ports: Functions on the state of this host.
        offsets: Returns the offsets of the live peers.
        ask: Sends a message to a peer and returns its reply.
    """
    behind_checks = 0
    while True:
        own = ports.offset()
        ahead = {h: o for h, o in offsets().items() if o > own}
        behind_checks = behind_checks + 1 if ahead else 0
        # Without any state this host can't serve, so it doesn't wait for the
        # log.
        if ahead and (
            own < 0 or behind_checks * CHECK_INTERVAL_S > SYNC_DELAY_S
        ):
            newest = max(ahead.values())
            peer = random.choice([h for h, o in ahead.items() if o == newest])
            request = messages.ConfigRequest(own + 1)
            reply = await ask(peer, request, REPLY_TIMEOUT_S)
            if pipeline.is_successful(reply) and apply_reply(
                ports, reply.unwrap()
            ):
                eliot.log_message(
                    "entries:config-synced", peer=peer, offset=ports.offset()
                )
                continue
        await asyncio.sleep(CHECK_INTERVAL_S)


def _bounded(entries: abc.Iterable[bytes]) -> abc.Iterator[bytes]:
    """Yields the records that fit a message; the peer asks for the rest."""
    size = 0
    for entry in entries:
        size += len(entry)
        # A first record above the limit is sent alone, or the peer would ask
        # for it forever.
        if size > max(MAX_RECORDS_BYTES, len(entry)):
            return
        yield entry
