"""Reads request bodies within limits on size, memory and time."""

import asyncio
from collections import abc

from returns import result

from chervillead import verdicts

MAX_BODY_BYTES = 1024 * 1024
# A quarter of the 256 MB of an entry host.
MAX_BODY_MEMORY_BYTES = 64 * 1024 * 1024
BODY_TIMEOUT_S = 10.0


class TruncatedBodyError(Exception):
    """The caller's connection was closed before the end of the body."""


class BodyMemoryLimiter:
    """Limits the memory of all request bodies on this host."""

    def __init__(self, max_bytes: int = MAX_BODY_MEMORY_BYTES) -> None:
        self._max_bytes = max_bytes
        self._reserved_bytes = 0

    @property
    def reserved_bytes(self) -> int:
        """Bytes that are reserved at present."""
        return self._reserved_bytes

    def reserve(self, count: int) -> bool:
        """Reserves bytes; returns False if they would exceed the limit."""
        if self._reserved_bytes + count > self._max_bytes:
            return False
        self._reserved_bytes += count
        return True

    def release(self, count: int) -> None:
        """Returns reserved bytes to the limiter."""
        self._reserved_bytes -= count


async def read_body(
    chunks: abc.AsyncIterable[bytes],
    declared: int | None,
    body_memory: BodyMemoryLimiter,
    *,
    timeout_s: float = BODY_TIMEOUT_S,
) -> result.Result[bytes, verdicts.Refusal]:
    """Reads a complete request body.

    Args:
        chunks: Chunks of the body; the iterator raises TruncatedBodyError if
            the connection is closed early.
        declared: Content length in bytes, or None if the caller sent none.
        body_memory: Limit on the memory of all bodies. The calling function
            must release the length of the returned body; after a refusal
            nothing stays reserved.
        timeout_s: Time limit for receiving the complete body.

    Returns:
        The body, or the refusal of one that is too large, late or truncated.
    """
    if declared is not None and declared > MAX_BODY_BYTES:
        return result.Failure(_too_large(declared))
    body = bytearray()
    refusal: verdicts.Refusal | None = None
    try:
        async with asyncio.timeout(timeout_s):
            async for chunk in chunks:
                refusal = _reserve_chunk(len(body), len(chunk), body_memory)
                if refusal is not None:
                    break
                body += chunk
    except TimeoutError:
        refusal = _timed_out(len(body), declared, timeout_s)
    except TruncatedBodyError:
        refusal = _truncated(len(body), declared)
    except asyncio.CancelledError:
        body_memory.release(len(body))
        raise
    if refusal is not None:
        body_memory.release(len(body))
        return result.Failure(refusal)
    return result.Success(bytes(body))


def _reserve_chunk(
    length: int, added: int, body_memory: BodyMemoryLimiter
) -> verdicts.Refusal | None:
    """Reserves memory for a chunk, or returns the refusal."""
    if length + added > MAX_BODY_BYTES:
        return _too_large(length + added)
    if not body_memory.reserve(added):
        return verdicts.not_run(
            "bodies-too-large",
            503,
            "no memory for more request bodies: "
            f"{body_memory.reserved_bytes} bytes in use on this host",
            retry_after_s=1.0,
        )
    return None


def _too_large(length: int) -> verdicts.Refusal:
    return verdicts.not_run(
        "body-too-large",
        413,
        f"the body has at least {length} bytes; at most {MAX_BODY_BYTES} are "
        "allowed",
    )


def _timed_out(
    length: int, declared: int | None, timeout_s: float
) -> verdicts.Refusal:
    return verdicts.not_run(
        "body-timeout",
        408,
        f"{length} of {_format_length(declared)} bytes received within "
        f"{timeout_s} s",
    )


def _truncated(length: int, declared: int | None) -> verdicts.Refusal:
    return verdicts.not_run(
        "body-truncated",
        400,
        f"connection closed after {length} of {_format_length(declared)} bytes",
    )


def _format_length(declared: int | None) -> str:
    return "an undeclared number of" if declared is None else str(declared)
