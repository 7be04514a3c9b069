"""Structured logs of bounded volume that never block the process.

Lines are gathered and written together to a non-blocking descriptor. What
exceeds the rate, or what the reader doesn't take in time, is dropped and
counted; the next line that passes carries the count.
"""

import asyncio
from collections import abc
import os
import time
import typing

import eliot
import msgspec

LINES_PER_S = 400
BURST_LINES = 2000
FLUSH_S = 0.1
MAX_HELD_BYTES = 256 * 1024


class BoundedLog:
    """Lines on their way to a descriptor."""

    def __init__(
        self,
        descriptor: int,
        *,
        monotonic: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._descriptor = descriptor
        self._monotonic = monotonic
        self._held = bytearray()
        self._tokens = float(BURST_LINES)
        self._refilled_s = monotonic()
        self._dropped = 0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def dropped(self) -> int:
        """Lines dropped since the last line that passed."""
        return self._dropped

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Takes one message; eliot calls this for each."""
        if not self._may_pass():
            self._dropped += 1
            return
        fields = {
            name: value
            for name, value in message.items()
            if name not in ("task_uuid", "task_level")
        }
        if self._dropped:
            fields["dropped_before"] = self._dropped
            self._dropped = 0
        self._held += msgspec.json.encode(fields, enc_hook=str) + b"\n"
        self._schedule()

    def flush(self) -> None:
        """Writes what the descriptor takes now."""
        self._timer = None
        try:
            while self._held:
                written = os.write(self._descriptor, self._held)
                del self._held[:written]
        except BlockingIOError:
            self._schedule()
        except OSError:
            self._held.clear()

    def _may_pass(self) -> bool:
        now_s = self._monotonic()
        self._tokens = min(
            BURST_LINES,
            self._tokens + LINES_PER_S * (now_s - self._refilled_s),
        )
        self._refilled_s = now_s
        if self._tokens < 1 or len(self._held) > MAX_HELD_BYTES:
            return False
        self._tokens -= 1
        return True

    def _schedule(self) -> None:
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Before the loop runs and after it has ended, lines are few.
            self.flush()
            return
        self._timer = loop.call_later(FLUSH_S, self.flush)


def install_bounded_log(descriptor: int = 1) -> BoundedLog:
    """Sends all log messages of the process to a descriptor."""
    os.set_blocking(descriptor, False)
    log = BoundedLog(descriptor)
    eliot.add_destinations(log)
    return log


def bind_log(**fields: object) -> abc.Callable[..., None]:
    """Returns a function that logs a message with some fields always set."""

    def log(message_type: str, **more: object) -> None:
        eliot.log_message(message_type, **fields, **more)

    return log
