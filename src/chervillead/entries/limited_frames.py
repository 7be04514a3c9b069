"""Reads frames of accepted streams within the limits on requests."""

import asyncio
from collections import abc
import typing

from chervillead import verdicts
from chervillead.callers import request_limiter
from chervillead.entries import codec

# Frames have room of their own, for one of the maximum size: hosts must stay
# connected while requests that run hold all that requests may.
EXTRA_BYTES = codec.MAX_FRAME_BYTES + request_limiter.REQUEST_BYTES


class LimitedFrame(typing.NamedTuple):
    """A frame and what it holds; its handler releases the reservation."""

    frame: codec.Frame
    reservation: request_limiter.Reservation


def accept(
    limiter: request_limiter.RequestLimiter, writer: asyncio.StreamWriter
) -> request_limiter.Connection | None:
    """Counts an accepted stream, or closes it and returns None."""
    peer = writer.get_extra_info("peername")
    connection = limiter.connect(
        peer[0] if peer else "", lambda refusal: writer.transport.abort()
    )
    if connection is None:
        writer.transport.abort()
    return connection


async def read_frames(
    reader: asyncio.StreamReader,
    connection: request_limiter.Connection,
    close: abc.Callable[[], None],
) -> abc.AsyncIterator[LimitedFrame]:
    """Yields frames until the stream ends or exceeds a limit.

    Args:
        reader: Stream of frames.
        connection: The accepted stream.
        close: Closes the stream when a frame of it has to give way.

    Raises:
        MalformedFrameError: A frame is too long or malformed.
    """
    while True:
        length = await codec.read_length(reader)
        if length is None:
            return
        reservation = connection.reserve(
            lambda refusal: close(), extra_bytes=EXTRA_BYTES
        )
        payload = None
        try:
            if reservation.resize(request_limiter.REQUEST_BYTES + length):
                payload = await _read_payload(reader, length, reservation)
            if payload is None:
                return
            reservation.complete()
            frame = codec.decode_payload(payload)
        except BaseException:
            reservation.release()
            raise
        yield LimitedFrame(frame, reservation)


async def _read_payload(
    reader: asyncio.StreamReader,
    length: int,
    reservation: request_limiter.Reservation,
) -> bytes | None:
    """Returns the payload; None if the stream ended or was too slow."""
    timeout_s = reservation.limits.body_timeout_s
    try:
        async with asyncio.timeout(timeout_s):
            return await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        reservation.release()
    except TimeoutError:
        reservation.refuse(
            verdicts.not_run(
                "frame-timeout",
                408,
                f"a frame of {length} bytes wasn't complete within "
                f"{timeout_s} s",
            )
        )
    return None
