"""Codec of the records that appends and reads of the store carry."""

from collections import abc
import struct

from chervillead.store import interface

_LENGTH = struct.Struct(">I")
# The end of the partition, then the first offset that it retains.
HEAD = struct.Struct(">QQ")


def encode_records(records: abc.Iterable[interface.KeyedRecord]) -> bytes:
    """Returns records as an append carries them."""
    return b"".join(
        _LENGTH.pack(1 + len(key) + len(record.value))
        + bytes([len(key)])
        + key
        + record.value
        for record in records
        for key in (record.key.encode(),)
    )


def decode_page(
    data: bytes, first_offset: int
) -> abc.Iterator[interface.KeyedRecord]:
    """Yields the records of a read, which follow its end and first offset."""
    position = HEAD.size
    offset = first_offset
    while position + _LENGTH.size <= len(data):
        (length,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        content = data[position : position + length]
        position += length
        yield _decode_record(content, offset)
        offset += 1


def _decode_record(content: bytes, offset: int) -> interface.KeyedRecord:
    key_length = content[0] if content else 0
    key = content[1 : 1 + key_length].decode(errors="replace")
    return interface.KeyedRecord(key, content[1 + key_length :], offset)
