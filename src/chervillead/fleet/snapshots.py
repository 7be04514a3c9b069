"""Snapshots of the folded state, and when to append one to the log.

The log keeps records for a limited time. A new host starts from the newest
snapshot in the log and the records after it, so there must always be one whose
following records are all kept.
"""

from collections import abc
import typing
import zlib

import msgspec
from returns import pipeline
from returns import result

from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import log_client
from chervillead.fleet import persistent_map
from chervillead.fleet import records

# Raised when the encoding changes; a reader refuses another version.
FORMAT_VERSION = 1

# What the platform keeps at least, until the log itself shows how much it is.
RETENTION_RECORDS = 50_000

# Refuses a damaged snapshot that would expand without end. The state takes
# 1.8 MB at 16,000 hosts.
MAX_STATE_BYTES = 256 * 1024 * 1024

SUBJECT = "configuration"


class _Encoded(typing.NamedTuple):
    format_version: int
    state: msgspec.Raw


def encode_configuration(
    configuration: configuration_module.Configuration,
) -> bytes:
    """Returns the whole state as bytes, for the log and for peers."""
    state = msgspec.Raw(
        msgspec.msgpack.encode(configuration, enc_hook=_plain_mapping)
    )
    encoded = msgspec.msgpack.encode(_Encoded(FORMAT_VERSION, state))
    # Names repeat a lot: level 1 makes 0.25 MB of 1.8 MB at 16,000 hosts.
    return zlib.compress(encoded, 1)


def _plain_mapping(value: typing.Any) -> dict[typing.Any, typing.Any]:
    """Returns mappings that aren't dictionaries as such."""
    if isinstance(value, abc.Mapping):
        return dict(value)
    raise TypeError(f"can't encode {type(value).__name__}")


def decode_configuration(
    data: bytes,
) -> result.Result[configuration_module.Configuration, str]:
    """Returns the state in `data`, or why there is none."""
    try:
        inflater = zlib.decompressobj()
        plain = inflater.decompress(data, MAX_STATE_BYTES)
        if not inflater.eof:
            return result.Failure(
                f"snapshot is cut short or above {MAX_STATE_BYTES} bytes"
            )
        encoded = msgspec.msgpack.decode(plain, type=_Encoded)
        if encoded.format_version != FORMAT_VERSION:
            return result.Failure(
                f"snapshot has format version {encoded.format_version}, "
                f"allowed is {FORMAT_VERSION}"
            )
        state = msgspec.msgpack.decode(
            encoded.state, type=configuration_module.Configuration
        )
    except (zlib.error, msgspec.DecodeError, ValueError) as error:
        return result.Failure(f"malformed snapshot: {error}")
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

    Its id follows from the offset, so the fold passes over a second snapshot
    of the same state.
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
    """Returns the state that a snapshot record stores."""
    state = record.fields.get("state")
    if record.kind != records.SNAPSHOT or not isinstance(state, bytes):
        return result.Failure(f"record {record.record_id!r} is no snapshot")
    return decode_configuration(state)


def lowest_live_seat_host(
    configuration: configuration_module.Configuration,
    live: abc.Container[str],
) -> str | None:
    """Returns the live host that holds the fleet's lowest seat."""
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

    Args:
        offset: Offset of the state.
        oldest_offset: Lowest offset that the log keeps.
        latest_snapshot_offset: Offset of the latest snapshot record in the
            log; -1 if
            there is none.
        has_lowest_seat: Whether this host holds the lowest seat of all live
            hosts.
        retention: Records that the log keeps at least. Once it has dropped
            records, the number that it does keep counts if it is lower.
    """
    if offset < 0:
        return False
    kept = offset + 1 - oldest_offset
    if oldest_offset > 0:
        retention = min(retention, kept)
    passed = offset - max(latest_snapshot_offset, -1)
    if has_lowest_seat:
        return passed * 2 >= retention
    return passed * 4 >= retention * 3


async def find_latest(
    platform: log_client.PlatformClient, first: int
) -> configuration_module.Configuration | None:
    """Returns the newest snapshot in the log, read from `first` to its end.

    A snapshot whose following records are no longer kept is of no use and is
    passed over.
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
