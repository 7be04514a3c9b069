"""Configuration by offset between entry hosts.

A host that is behind a peer asks it for what it lacks, so a host that can't
reach the platform gets the newest state that any reachable peer has.
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

CHECK_S = 0.25
# A host that reads the log itself is behind for about one poll (200 ms).
BEHIND_S = 0.5
ANSWER_TIMEOUT_S = 1.0
MAX_RECORDS_BYTES = 1024 * 1024

OWN_ZONE_SYNC_PEERS = 3
OTHER_ZONE_SYNC_PEERS = 2
# Heartbeats of a full mesh of this size cost a host 80 frames a second.
FULL_MESH_PEERS = 20


class ConfigSyncPorts(typing.NamedTuple):
    """What the relay needs from the rest of the process.

    Attributes:
        offset: Returns the offset of the newest state.
        recent_entries: Returns the kept records from an offset on, or None.
        apply_entries: Folds records.
        encode_snapshot: Returns the whole state.
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
    """Returns the peers that `host` exchanges the configuration with.

    Each host ranks the others by a hash of both names, so that contacts are
    spread evenly and few of them change when a host comes or goes.

    Args:
        host: The host that picks.
        zone: Its zone.
        hosts: Names of the entry hosts of each zone.
    """
    contacts: set[str] = set()
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
        contacts.update(ranked[:count])
    return frozenset(contacts)


def peers_to_dial(
    settings: settings_module.Settings,
    configuration: configuration_module.Configuration,
) -> set[tuple[str, types.Address]]:
    """Returns the peers to which a stream is kept open.

    A small fleet is a full mesh. In a large one a host dials its contacts, the
    holder of each duty seat, which it asks for grants and claims, and the seat
    holders of its own zone, which confirm its seat.
    """
    known = membership.known_peers(settings, configuration)
    if len(known) <= FULL_MESH_PEERS:
        return known
    hosts: dict[str, list[str]] = {}
    for seat in configuration.seats.values():
        hosts.setdefault(seat.zone, []).append(seat.host)
    wanted = set(select_sync_peers(settings.host, settings.zone, hosts))
    wanted.update(hosts.get(settings.zone, ()))
    wanted.update(
        seats.zone_leader(configuration, zone) or "" for zone in hosts
    )
    # Before the first record the settings are all that is known.
    return {peer for peer in known if peer[0] in wanted} or known


def connect_ports(reader: log_reader.LogReader) -> ConfigSyncPorts:
    """Returns the ports of a process that follows the log."""
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
    """Returns the records from an offset on, or the state if they are gone."""
    entries = ports.recent_entries(message.offset)
    if entries is None:
        return messages.ConfigSnapshot(ports.offset(), ports.encode_snapshot())
    return messages.ConfigRecords(message.offset, list(_bounded(entries)))


def apply_reply(ports: ConfigSyncPorts, answer: messages.Message) -> bool:
    """Takes a peer's answer; returns whether the state is newer for it."""
    before = ports.offset()
    match answer:
        case messages.ConfigRecords():
            entries = (
                records.LogEntry(offset, data)
                for offset, data in enumerate(answer.records, answer.first)
            )
            ports.apply_entries(records.decode_entries(entries))
        case messages.ConfigSnapshot():
            ports.install_snapshot(answer.offset, answer.state)
    return ports.offset() > before


async def sync_from_peers(
    ports: ConfigSyncPorts,
    offsets: abc.Callable[[], abc.Mapping[str, int]],
    ask: Ask,
) -> None:
    """Asks peers that are ahead for what this host lacks, until cancelled.

    Args:
        ports: Functions to the state.
        offsets: Returns the offsets of the peers that were heard of late.
        ask: Sends a question to a peer.
    """
    behind_checks = 0
    while True:
        own = ports.offset()
        ahead = {h: o for h, o in offsets().items() if o > own}
        behind_checks = behind_checks + 1 if ahead else 0
        # A host without a state can't wait for the log to bring one.
        if ahead and (own < 0 or behind_checks * CHECK_S > BEHIND_S):
            newest = max(ahead.values())
            peer = random.choice([h for h, o in ahead.items() if o == newest])
            request = messages.ConfigRequest(own + 1)
            reply = await ask(peer, request, ANSWER_TIMEOUT_S)
            if pipeline.is_successful(reply) and apply_reply(
                ports, reply.unwrap()
            ):
                eliot.log_message(
                    "entries:relayed", peer=peer, offset=ports.offset()
                )
                continue
        await asyncio.sleep(CHECK_S)


def _bounded(entries: abc.Iterable[bytes]) -> abc.Iterator[bytes]:
    """Yields records that fit one message; the peer asks again for more."""
    size = 0
    for entry in entries:
        size += len(entry)
        # One large record must pass, or the peer would ask for it for good.
        if size > max(MAX_RECORDS_BYTES, len(entry)):
            return
        yield entry
