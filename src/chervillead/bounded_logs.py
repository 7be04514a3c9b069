"""Structured logging with a rate limit that never blocks the process.

Lines are buffered and written in batches to a non-blocking file descriptor.
Lines beyond the rate limit, or beyond the buffer if the reader is slow, are
dropped; the next line that is kept carries their number as `dropped_before`.
Lines about decisions that can't be taken back have a rate limit of their own:
they are rare, and often follow a burst of others, such as the lines about each
run that a new owner finds.
"""

import asyncio
from collections import abc
import os
import time
import typing

import eliot
import msgspec

from chervillead import error_texts

LINES_PER_S = 400
BURST_LINES = 2000
DECISION_LINES_PER_S = 50
DECISION_BURST_LINES = 500
FLUSH_INTERVAL_S = 0.1
# Room for the last lines of a traceback.
MAX_FIELD_CHARACTERS = 2000
MAX_BUFFER_BYTES = 256 * 1024
# Part of the buffer that only lines about decisions may use.
DECISION_BUFFER_BYTES = 64 * 1024
# Decisions that can't be taken back.
DECISION_TYPES = frozenset(
    {
        "host:moved",
        "job:ended",
        "job:given-up",
        "maintenance:begun",
        "owner:fenced",
        "owner:gained",
        "owner:lost",
        "owner:recovered",
        "run:crash-counted",
        "run:stop",
    }
)


class _TokenBucket:
    """Rate limiter that allows bursts."""

    def __init__(self, rate_per_s: float, burst: int, now_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = float(burst)
        self._refilled_s = now_s

    def take(self, now_s: float) -> bool:
        """Takes a token; returns False if there is none."""
        refill = self._rate_per_s * (now_s - self._refilled_s)
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class BoundedLog:
    """Token-bucket rate limiter and write buffer in front of a descriptor."""

    def __init__(
        self,
        descriptor: int,
        *,
        monotonic: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._descriptor = descriptor
        self._monotonic = monotonic
        self._buffer = bytearray()
        now_s = monotonic()
        self._lines = _TokenBucket(LINES_PER_S, BURST_LINES, now_s)
        self._decision_lines = _TokenBucket(
            DECISION_LINES_PER_S, DECISION_BURST_LINES, now_s
        )
        self._dropped = 0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def dropped(self) -> int:
        """Lines dropped since the last line that was kept."""
        return self._dropped

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Buffers one message, or drops it; eliot calls this per message."""
        if not self._has_capacity(message.get("message_type")):
            self._dropped += 1
            return
        fields = {
            name: _shortened(value)
            for name, value in message.items()
            if name not in ("task_uuid", "task_level")
        }
        if self._dropped:
            fields["dropped_before"] = self._dropped
            self._dropped = 0
        self._buffer += msgspec.json.encode(fields, enc_hook=str) + b"\n"
        self._schedule_flush()

    def flush(self) -> None:
        """Writes buffered lines until the descriptor would block.

        Any other write error discards the buffer.
        """
        self._timer = None
        try:
            while self._buffer:
                written = os.write(self._descriptor, self._buffer)
                del self._buffer[:written]
        except BlockingIOError:
            # Without a running event loop, the next line tries again.
            if _running_loop() is not None:
                self._schedule_flush()
        except OSError:
            self._buffer.clear()

    def _has_capacity(self, message_type: object) -> bool:
        """Takes the capacity for a line; returns False if there is none."""
        now_s, size = self._monotonic(), len(self._buffer)
        if size <= MAX_BUFFER_BYTES and self._lines.take(now_s):
            return True
        return (
            message_type in DECISION_TYPES
            and size <= MAX_BUFFER_BYTES + DECISION_BUFFER_BYTES
            and self._decision_lines.take(now_s)
        )

    def _schedule_flush(self) -> None:
        if self._timer is not None:
            return
        loop = _running_loop()
        if loop is None:
            # At start and exit, lines are few.
            self.flush()
            return
        self._timer = loop.call_later(FLUSH_INTERVAL_S, self.flush)


def _running_loop() -> asyncio.AbstractEventLoop | None:
    try:
        return asyncio.get_running_loop()
    except RuntimeError:
        return None


def _shortened(value: object) -> object:
    """Returns a field of a line, with long texts shortened."""
    if isinstance(value, str):
        return error_texts.shorten_text(value, MAX_FIELD_CHARACTERS)
    if isinstance(value, list):
        return [_shortened(item) for item in value]
    return value


def install_bounded_log(descriptor: int = 1) -> BoundedLog:
    """Sends all eliot messages of the process to a descriptor.

    The descriptor, by default that of standard output, becomes non-blocking.
    """
    os.set_blocking(descriptor, False)
    log = BoundedLog(descriptor)
    eliot.add_destinations(log)
    return log


def bind_log(**fields: object) -> abc.Callable[..., None]:
    """Returns a function that logs messages with these fields added."""

    def log(message_type: str, **extra: object) -> None:
        eliot.log_message(message_type, **fields, **extra)

    return log
