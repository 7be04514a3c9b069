"""Reading of request bodies within bounds on memory and time."""

import asyncio
from collections import abc

from returns import result

from chervillead import verdicts

MAX_BODY_BYTES = 1024 * 1024
# A quarter of the 256 MB of an entry host.
MAX_HELD_BYTES = 64 * 1024 * 1024
BODY_TIMEOUT_S = 10.0


class TruncatedBodyError(Exception):
    """The caller's connection ended within the body."""


class HeldBodies:
    """Bytes of all request bodies that this host holds."""

    def __init__(self, max_bytes: int = MAX_HELD_BYTES) -> None:
        self._max_bytes = max_bytes
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes held at present."""
        return self._held_bytes

    def hold(self, count: int) -> bool:
        """Counts more bytes as held unless they exceed the bound."""
        if self._held_bytes + count > self._max_bytes:
            return False
        self._held_bytes += count
        return True

    def free(self, count: int) -> None:
        """Counts bytes as no longer held."""
        self._held_bytes -= count


async def read_body(
    chunks: abc.AsyncIterable[bytes],
    declared: int | None,
    held: HeldBodies,
    *,
    timeout_s: float = BODY_TIMEOUT_S,
) -> result.Result[bytes, verdicts.Refusal]:
    """Reads a whole body.

    Args:
        chunks: Parts of the body; raises TruncatedBodyError if they end early.
        declared: Length that the caller declared, or None.
        held: Counter of held bytes; the caller of this function frees the
            length of the body that it gets.
        timeout_s: Bound on the time of the whole body.
    """
    if declared is not None and declared > MAX_BODY_BYTES:
        return result.Failure(_too_large(declared))
    body = bytearray()
    refusal: verdicts.Refusal | None = None
    try:
        async with asyncio.timeout(timeout_s):
            async for chunk in chunks:
                refusal = _refuse_chunk(len(body), len(chunk), held)
                if refusal is not None:
                    break
                body += chunk
    except TimeoutError:
        refusal = _timed_out(len(body), declared, timeout_s)
    except TruncatedBodyError:
        refusal = _truncated(len(body), declared)
    except asyncio.CancelledError:
        held.free(len(body))
        raise
    if refusal is not None:
        held.free(len(body))
        return result.Failure(refusal)
    return result.Success(bytes(body))


def _refuse_chunk(
    length: int, more: int, held: HeldBodies
) -> verdicts.Refusal | None:
    """Counts a chunk as held, or returns why it can't be."""
    if length + more > MAX_BODY_BYTES:
        return _too_large(length + more)
    if not held.hold(more):
        return verdicts.not_run(
            "bodies-too-large",
            503,
            f"this host holds {held.held_bytes} bytes of request bodies",
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
