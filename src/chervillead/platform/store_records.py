"""Binary codec of the records in append and read calls of the store."""

from collections import abc
import struct

from chervillead.store import interface

_LENGTH = struct.Struct(">I")
# Head of a read: end offset of the partition, then its first retained offset.
HEAD = struct.Struct(">QQ")


def encode_records(records: abc.Iterable[interface.KeyedRecord]) -> bytes:
    """Returns the body of an append: length-prefixed records in order."""
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
    """Yields the records of a read, which follow its head.

    Args:
        data: Body of the response.
        first_offset: Offset of the first record in it.

    Raises:
        ValueError: The body ends within its head or within a record.
    """
    if len(data) < HEAD.size:
        raise ValueError(f"{len(data)} bytes, fewer than the head has")
    position = HEAD.size
    offset = first_offset
    while position < len(data):
        record_begin = position + _LENGTH.size
        if record_begin > len(data):
            raise ValueError(f"the length of record {offset} is cut off")
        (length,) = _LENGTH.unpack_from(data, position)
        position = record_begin + length
        if position > len(data):
            raise ValueError(f"record {offset} is cut off")
        record = data[record_begin:position]
        yield _decode_record(record, offset)
        offset += 1


def _decode_record(record: bytes, offset: int) -> interface.KeyedRecord:
    key_length = record[0] if record else 0
    key = record[1 : 1 + key_length].decode(errors="replace")
    return interface.KeyedRecord(key, record[1 + key_length :], offset)
