"""Encoding of state snapshots, and when to append one to the log.

The log retains a limited number of records. A new host starts from the latest
snapshot in the log and the records after it, so the log must always contain a
snapshot whose subsequent records are all retained.
"""

from collections import abc
import typing
import zlib

import msgspec
from returns import pipeline
from returns import result

from chervillead import error_texts
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import log_client
from chervillead.fleet import persistent_map
from chervillead.fleet import records

# To be incremented when the encoding changes; readers reject other versions.
FORMAT_VERSION = 1

# Number of records that the platform retains at least. It is used until the
# log has dropped records and so shows its actual retention.
RETENTION_RECORDS = 50_000

# Limits the memory that a corrupt compressed snapshot can take. The state of
# 16,000 hosts has 1.8 MB.
MAX_STATE_BYTES = 256 * 1024 * 1024

SUBJECT = "configuration"


class _VersionedState(typing.NamedTuple):
    format_version: int
    state: msgspec.Raw


def encode_configuration(
    configuration: configuration_module.Configuration,
) -> bytes:
    """Returns the state as compressed bytes, for the log and for peers."""
    state = msgspec.Raw(
        msgspec.msgpack.encode(configuration, enc_hook=_encode_mapping)
    )
    encoded = msgspec.msgpack.encode(_VersionedState(FORMAT_VERSION, state))
    # Names are highly repetitive: level 1 compresses the 1.8 MB of 16,000 hosts
    # to 0.25 MB.
    return zlib.compress(encoded, 1)


def _encode_mapping(value: typing.Any) -> dict[typing.Any, typing.Any]:
    """Converts a mapping that msgspec can't encode itself to a dictionary."""
    if isinstance(value, abc.Mapping):
        return dict(value)
    raise TypeError(f"can't encode {type(value).__name__}")


def decode_configuration(
    data: bytes,
) -> result.Result[configuration_module.Configuration, str]:
    """Returns the state encoded in `data`, or an error message."""
    try:
        decompressor = zlib.decompressobj()
        encoded_state = decompressor.decompress(data, MAX_STATE_BYTES)
        if not decompressor.eof:
            return result.Failure(
                f"snapshot is truncated or exceeds {MAX_STATE_BYTES} bytes"
            )
        encoded = msgspec.msgpack.decode(encoded_state, type=_VersionedState)
        if encoded.format_version != FORMAT_VERSION:
            return result.Failure(
                f"snapshot has format version {encoded.format_version}, "
                f"allowed is {FORMAT_VERSION}"
            )
        state = msgspec.msgpack.decode(
            encoded.state, type=configuration_module.Configuration
        )
    except (zlib.error, msgspec.DecodeError, ValueError) as error:
        return result.Failure(
            error_texts.shorten_text(f"malformed snapshot: {error}")
        )
    mappings: dict[str, typing.Any] = {
        name: persistent_map.PersistentMap(value)
        for name, value in state._asdict().items()
        if isinstance(value, abc.Mapping)
    }
    return result.Success(state._replace(**mappings))


def propose_snapshot(
    configuration: configuration_module.Configuration,
) -> records.Record:
    """Returns the record that stores the state.

    The record id is derived from the offset, so the fold ignores a second
    snapshot of the same state.
    """
    return records.Record(
        f"snapshot-{configuration.offset}",
        records.SNAPSHOT,
        SUBJECT,
        records.NO_VERSION,
        {"state": encode_configuration(configuration)},
    )


def read_snapshot(
    record: records.Record,
) -> result.Result[configuration_module.Configuration, str]:
    """Returns the state stored in a snapshot record, or an error message."""
    state = record.fields.get("state")
    if record.kind != records.SNAPSHOT or not isinstance(state, bytes):
        return result.Failure(f"record {record.record_id!r} is not a snapshot")
    return decode_configuration(state)


def lowest_live_seat_host(
    configuration: configuration_module.Configuration,
    live: abc.Container[str],
) -> str | None:
    """Returns the live host with the lowest seat of the fleet, if any.

    Seats are ordered by the index of their zone, then by number. The live host
    with the lowest one is the first to append a snapshot.
    """
    zones = configuration.zones

    def rank(seat: configuration_module.Seat) -> tuple[int, int, str]:
        zone = zones.get(seat.zone)
        index = len(zones) if zone is None else zone.index
        return index, seat.number, seat.zone

    held = [seat for seat in configuration.seats.values() if seat.host in live]
    return min(held, key=rank).host if held else None


def snapshot_is_due(
    *,
    offset: int,
    oldest_offset: int,
    latest_snapshot_offset: int,
    has_lowest_seat: bool,
    retention: int = RETENTION_RECORDS,
) -> bool:
    """Returns whether this host should append a snapshot now.

    The host with the lowest seat appends after half of the retention, the
    others only after three quarters of it, in case that host does not.

    Args:
        offset: Offset of the state.
        oldest_offset: Lowest offset in the log.
        latest_snapshot_offset: Offset of the latest snapshot record in the
            log; -1 if there is none.
        has_lowest_seat: Whether this host holds the lowest seat of all live
            hosts.
        retention: Number of records that the log retains at least. Once the
            log has dropped records, the number that it still has is used if it
            is lower.
    """
    if offset < 0:
        return False
    kept_records = offset + 1 - oldest_offset
    if oldest_offset > 0:
        retention = min(retention, kept_records)
    records_since = offset - max(latest_snapshot_offset, -1)
    if has_lowest_seat:
        return records_since * 2 >= retention
    return records_since * 4 >= retention * 3


async def find_latest(
    platform: log_client.PlatformClient, first: int
) -> configuration_module.Configuration | None:
    """Returns the latest usable snapshot in the log from `first` to the end.

    Snapshots whose subsequent records are no longer in the log are ignored.
    """
    newest: configuration_module.Configuration | None = None
    offset, end = first, first + 1
    while offset < end:
        page = (await platform.read(offset, 0.0)).value_or(None)
        if page is None or not page.entries:
            return newest
        end = page.next_offset
        for entry in records.decode_entries(page.entries):
            if entry.record is None or entry.record.kind != records.SNAPSHOT:
                continue
            state = read_snapshot(entry.record)
            if pipeline.is_successful(state) and (
                state.unwrap().offset + 1 >= page.oldest_offset
            ):
                newest = state.unwrap()
        offset = page.entries[-1].offset + 1
    return newest
