"""Compressed records in messages between entry hosts.

A configuration of thousands of queues repeats its field names for each queue,
so it shrinks to a small part of its size; links of small hosts carry that in
time where they can't carry the records as they are stored.
"""

from collections import abc
import zlib

import msgspec

from chervillead.store import interface

# The fastest level already removes the repeated names.
_LEVEL = 1
# Longest records that are unpacked, so that a malformed message can't take all
# memory of a host.
MAX_UNPACKED_BYTES = 32 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[interface.KeyedRecord, ...])


class MalformedRecordsError(Exception):
    """The bytes are not packed records, or unpack to too many bytes."""


def pack(records: abc.Iterable[interface.KeyedRecord]) -> bytes:
    """Returns records in a compressed form."""
    return zlib.compress(_encoder.encode(tuple(records)), _LEVEL)


def unpack(packed: bytes) -> tuple[interface.KeyedRecord, ...]:
    """Returns the records that were packed.

    Raises:
        MalformedRecordsError: The bytes aren't packed records, or are longer
            than `MAX_UNPACKED_BYTES` once unpacked.
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(packed, MAX_UNPACKED_BYTES)
        if not decompressor.eof:
            raise MalformedRecordsError(
                f"truncated, or over {MAX_UNPACKED_BYTES} bytes"
            )
        return _decoder.decode(data)
    except (zlib.error, msgspec.DecodeError, RecursionError) as error:
        raise MalformedRecordsError(repr(error)) from error
