"""Records of the platform's log and their encoding.

The log holds opaque bytes. chervillead writes each record as a msgpack map, so
that fields can be added without breaking older readers.
"""

from collections import abc
import typing

import msgspec
from returns import result

from chervillead import error_texts


class Record(typing.NamedTuple):
    """A proposed change of the shared state.

    Attributes:
        record_id: Unique id; a record with a repeated id has no effect.
        kind: One of `KINDS`.
        subject: Name of the changed item, unique within its kind.
        based_on: Version of the subject that the proposer saw: the offset of
            the subject's last accepted record, or `NO_VERSION`.
        fields: New value of the subject as fields of the type that belongs to
            the kind; an empty map removes the subject.
    """

    record_id: str
    kind: str
    subject: str
    based_on: int
    fields: dict[str, typing.Any]


# Version of a subject without an accepted record.
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
    """Encoded record at its offset in the log."""

    offset: int
    data: bytes


class OffsetRecord(typing.NamedTuple):
    """A decoded record at its offset.

    Attributes:
        offset: Offset in the log.
        record: The record, or None if it is malformed.
        data: Bytes of the record in the log, to be forwarded to peers as is.
    """

    offset: int
    record: Record | None
    data: bytes = b""


class LogPage(typing.NamedTuple):
    """A page of consecutive log entries.

    Attributes:
        oldest_offset: Lowest offset in the log.
        next_offset: Offset of the next append.
        entries: Consecutive entries from the requested offset on.
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


_record_decoder = msgspec.msgpack.Decoder(_RecordMap)


def encode_record(record: Record) -> bytes:
    """Returns the bytes to append for `record`."""
    return msgspec.msgpack.encode(record._asdict())


def decode_record(data: bytes) -> result.Result[Record, str]:
    """Returns the record encoded in `data`, or an error message."""
    try:
        return result.Success(Record(**_record_decoder.decode(data)))
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return result.Failure(
            error_texts.shorten_text(f"malformed record: {error}")
        )


def decode_entries(
    entries: abc.Iterable[LogEntry],
) -> abc.Iterator[OffsetRecord]:
    """Yields the record of each entry, or None for a malformed one.

    Malformed entries are not skipped, because they occupy an offset that the
    fold must advance past.
    """
    for entry in entries:
        yield OffsetRecord(
            entry.offset, decode_record(entry.data).value_or(None), entry.data
        )
