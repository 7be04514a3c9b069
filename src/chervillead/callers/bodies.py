"""Reading of request bodies within bounds on memory and time."""

import asyncio
from collections import abc

from returns import result

from chervillead import verdicts

MAX_BODY_BYTES = 1024 * 1024
# A quarter of the 256 MB of an entry host.
MAX_BODY_MEMORY_BYTES = 64 * 1024 * 1024
BODY_TIMEOUT_S = 10.0


class TruncatedBodyError(Exception):
    """The caller's connection ended within the body."""


class BodyMemoryLimiter:
    """Bytes of all request bodies that this host holds."""

    def __init__(self, max_bytes: int = MAX_BODY_MEMORY_BYTES) -> None:
        self._max_bytes = max_bytes
        self._reserved_bytes = 0

    @property
    def reserved_bytes(self) -> int:
        """Bytes held at present."""
        return self._reserved_bytes

    def reserve(self, count: int) -> bool:
        """Counts more bytes as held unless they exceed the bound."""
        if self._reserved_bytes + count > self._max_bytes:
            return False
        self._reserved_bytes += count
        return True

    def release(self, count: int) -> None:
        """Counts bytes as no longer held."""
        self._reserved_bytes -= count


async def read_body(
    chunks: abc.AsyncIterable[bytes],
    declared: int | None,
    body_memory: BodyMemoryLimiter,
    *,
    timeout_s: float = BODY_TIMEOUT_S,
) -> result.Result[bytes, verdicts.Refusal]:
    """Reads a whole body.

    Args:
        chunks: Parts of the body; raises TruncatedBodyError if they end early.
        declared: Length that the caller declared, or None.
        body_memory: Bound on the bytes of all bodies; whoever calls this
            function releases the length of the returned body.
        timeout_s: Bound on the time of the whole body.
    """
    if declared is not None and declared > MAX_BODY_BYTES:
        return result.Failure(_too_large(declared))
    body = bytearray()
    refusal: verdicts.Refusal | None = None
    try:
        async with asyncio.timeout(timeout_s):
            async for chunk in chunks:
                refusal = _refuse_chunk(len(body), len(chunk), body_memory)
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


def _refuse_chunk(
    length: int, more: int, body_memory: BodyMemoryLimiter
) -> verdicts.Refusal | None:
    """Counts a chunk as held, or returns why it can't be."""
    if length + more > MAX_BODY_BYTES:
        return _too_large(length + more)
    if not body_memory.reserve(more):
        return verdicts.not_run(
            "bodies-too-large",
            503,
            f"this host holds {body_memory.reserved_bytes} bytes of request "
            "bodies",
            retry_after_s=1.0,
        )
    return None


def _too_large(length: int) -> verdicts.Refusal:
    return verdicts.not_run(
        "body-too-large",
        413,
        f"the body has {length} bytes or more, at most {MAX_BODY_BYTES} are "
        "allowed",
    )


def _timed_out(
    length: int, declared: int | None, timeout_s: float
) -> verdicts.Refusal:
    return verdicts.not_run(
        "body-timeout",
        408,
        f"{length} of {_described(declared)} bytes came within {timeout_s} s",
    )


def _truncated(length: int, declared: int | None) -> verdicts.Refusal:
    return verdicts.not_run(
        "body-truncated",
        400,
        f"the connection ended after {length} of {_described(declared)} bytes",
    )


def _described(declared: int | None) -> str:
    return "an undeclared number of" if declared is None else str(declared)
