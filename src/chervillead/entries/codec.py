"""Encoding of messages between entry hosts as length-prefixed msgpack frames.

A frame is a 4-byte big-endian length and the array
`[number, reply_to, kind, fields]`. `number` identifies the frame on its
stream; `reply_to` is the number of the frame that it answers, or 0.
"""

import asyncio
from collections import abc
import struct
import typing

import msgspec

from chervillead import error_texts
from chervillead.entries import host_messages
from chervillead.entries import job_messages
from chervillead.entries import messages

MAX_FRAME_BYTES = 4 * 1024 * 1024
_LENGTH = struct.Struct(">I")


class Frame(typing.NamedTuple):
    """A message with the numbers that match a reply to its call."""

    number: int
    reply_to: int
    message: messages.Message


class MalformedFrameError(Exception):
    """The bytes are not a frame, or its message is invalid."""


class _RawFrame(typing.NamedTuple):
    number: int
    reply_to: int
    kind: str
    fields: msgspec.Raw


_KINDS: dict[str, type] = {
    "hello": messages.Hello,
    "heartbeat": messages.Heartbeat,
    "register": messages.Register,
    "granted": messages.Granted,
    "waiting": messages.Waiting,
    "refused": messages.Refused,
    "withdraw": messages.Withdraw,
    "release": messages.Release,
    "claim": messages.Claim,
    "claim-state": messages.ClaimState,
    "lookup": messages.Lookup,
    "finished": messages.Finished,
    "cancel": messages.Cancel,
    "holdings": messages.HeldGrantsReport,
    "hand-over": messages.Handover,
    "config-request": messages.ConfigRequest,
    "config-records": messages.ConfigRecords,
    "config-snapshot": messages.ConfigSnapshot,
    "submit-job": job_messages.SubmitJob,
    "find-job": job_messages.FindJob,
    "cancel-job": job_messages.CancelJob,
    "count-pending": job_messages.CountPending,
    "close-queue": job_messages.CloseQueue,
    "report-shares": job_messages.ReportShares,
    "job-reply": job_messages.JobReply,
    "ask-operator-records": job_messages.AskOperatorRecords,
    "operator-records": job_messages.OperatorRecords,
    "begin-upkeep": host_messages.BeginMaintenance,
    "turn-off-host": host_messages.TurnOffHost,
    "report-load": host_messages.ReportLoad,
    "host-reply": host_messages.HostReply,
}
_KIND_OF_TYPE = {message_type: kind for kind, message_type in _KINDS.items()}
_DECODERS: dict[str, msgspec.msgpack.Decoder[typing.Any]] = {
    kind: msgspec.msgpack.Decoder(message_type)
    for kind, message_type in _KINDS.items()
}
_encoder = msgspec.msgpack.Encoder()
_frame_decoder = msgspec.msgpack.Decoder(_RawFrame)


def encode_frame(frame: Frame) -> bytes:
    """Returns the bytes of `frame`, prefixed with their length."""
    kind = _KIND_OF_TYPE[type(frame.message)]
    payload = _encoder.encode(
        (frame.number, frame.reply_to, kind, frame.message)
    )
    return _LENGTH.pack(len(payload)) + payload


def decode_payload(payload: bytes) -> Frame:
    """Decodes `payload`, the bytes of a frame without the length prefix.

    Raises:
        MalformedFrameError: The payload isn't a message of a known kind.
    """
    try:
        raw = _frame_decoder.decode(payload)
        message = _DECODERS[raw.kind].decode(raw.fields)
    # Deeply nested values exceed the recursion limit.
    except (msgspec.DecodeError, KeyError, RecursionError) as error:
        detail = error_texts.shorten_text(f"malformed frame: {error}")
        raise MalformedFrameError(detail) from error
    return Frame(raw.number, raw.reply_to, message)


async def read_frames(
    reader: asyncio.StreamReader,
) -> abc.AsyncIterator[Frame]:
    """Yields frames until the stream ends.

    Raises:
        MalformedFrameError: A frame is too long or malformed.
    """
    while (length := await read_length(reader)) is not None:
        try:
            payload = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        yield decode_payload(payload)


async def read_length(reader: asyncio.StreamReader) -> int | None:
    """Reads the length of the next payload; None at the end of the stream.

    Raises:
        MalformedFrameError: The frame is too long.
    """
    try:
        prefix = await reader.readexactly(_LENGTH.size)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    length: int = _LENGTH.unpack(prefix)[0]
    if length > MAX_FRAME_BYTES:
        raise MalformedFrameError(
            f"frame too long: {length} bytes, limit {MAX_FRAME_BYTES}"
        )
    return length
