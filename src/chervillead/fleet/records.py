"""Records of the platform's log and their encoding.

The log holds opaque bytes. chervillead writes each record as a msgpack map, so
that fields can be added without breaking older readers.
"""

from collections import abc
import typing

import msgspec
from returns import result


class Record(typing.NamedTuple):
    """A proposal for a change of the shared state.

    Attributes:
        record_id: Unique id; a repeat of it has no effect.
        kind: One of `KINDS`.
        subject: Name of what changes, unique within its kind.
        based_on: Version of the subject that the proposer saw: the offset of
            its last accepted record, or `NO_VERSION`.
        fields: New state of the subject in the shape that the kind asks for;
            an empty map removes the subject.
    """

    record_id: str
    kind: str
    subject: str
    based_on: int
    fields: dict[str, typing.Any]


NO_VERSION = -1

QUEUE = "queue"
TEAM = "team"
KEY = "key"
POOL = "pool"
HOST = "host"
ZONE = "zone"
SEAT = "seat"
DRAIN = "drain"
MOVE = "move"
ROLLOUT = "rollout"
BURN = "burn"
SNAPSHOT = "snapshot"
TRANSFER = "transfer"
KINDS = frozenset(
    (
        QUEUE,
        TEAM,
        KEY,
        POOL,
        HOST,
        ZONE,
        SEAT,
        DRAIN,
        MOVE,
        ROLLOUT,
        BURN,
        SNAPSHOT,
        TRANSFER,
    )
)


class LogEntry(typing.NamedTuple):
    """Bytes of one record at its offset in the log."""

    offset: int
    data: bytes


class OffsetRecord(typing.NamedTuple):
    """A decoded record at its offset.

    Attributes:
        offset: Offset in the log.
        record: The record, or None if it was malformed.
        data: Its bytes in the log, so that peers can be served the same.
    """

    offset: int
    record: Record | None
    data: bytes = b""


class LogPage(typing.NamedTuple):
    """A part of the log.

    Attributes:
        oldest_offset: Lowest offset that the log still keeps.
        next_offset: Offset that the next append will get.
        entries: Consecutive entries from the offset asked for.
    """

    oldest_offset: int
    next_offset: int
    entries: list[LogEntry]


class _RecordMap(typing.TypedDict):
    record_id: str
    kind: str
    subject: str
    based_on: int
    fields: dict[str, typing.Any]


_decoder = msgspec.msgpack.Decoder(_RecordMap)


def encode_record(record: Record) -> bytes:
    """Returns the bytes to append for `record`."""
    return msgspec.msgpack.encode(record._asdict())


def decode_record(data: bytes) -> result.Result[Record, str]:
    """Returns the record in `data`, or why there is none."""
    try:
        return result.Success(Record(**_decoder.decode(data)))
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return result.Failure(f"malformed record: {error}")


def decode_entries(
    entries: abc.Iterable[LogEntry],
) -> abc.Iterator[OffsetRecord]:
    """Yields each entry's record; malformed ones are kept as None.

    A malformed entry still takes up its offset, so the fold must see it.
    """
    for entry in entries:
        yield OffsetRecord(
            entry.offset, decode_record(entry.data).value_or(None), entry.data
        )
