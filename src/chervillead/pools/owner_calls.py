"""Limits the calls of this host to the owners of partitions.

An owner that is short of processor time or bandwidth recovers sooner with
fewer calls, and each call that it answers too late was in vain. A host
therefore bounds its calls in progress to one owner, and to an owner that
answers none of them it sends one at a time.
"""

from collections import abc
import contextlib

from chervillead import types

# Many times what a host needs at its share of the largest load.
MAX_CALLS_IN_PROGRESS = 64
# How long after an unanswered call an owner counts as silent, so that a host
# without calls in progress doesn't keep an outdated opinion.
SILENCE_MEMORY_S = 2.0
# An owner refuses what the store doesn't confirm before this time has passed.
MIN_SILENCE_S = 1.0


class OwnerCalls:
    """Calls in progress to one owner, and whether it answers them."""

    def __init__(self, now_s: abc.Callable[[], float]) -> None:
        self._now_s = now_s
        self._in_progress = 0
        self._last_reply_s = float("-inf")
        self._silent_until_s = float("-inf")

    @property
    def is_silent(self) -> bool:
        """Whether the owner has lately answered no call in time."""
        return self._now_s() < self._silent_until_s

    @property
    def may_call(self) -> bool:
        """Whether another call to the owner may begin now."""
        limit = 1 if self.is_silent else MAX_CALLS_IN_PROGRESS
        return self._in_progress < limit

    @contextlib.contextmanager
    def in_progress(self) -> abc.Iterator[None]:
        """Counts a call as in progress during the context."""
        self._in_progress += 1
        try:
            yield
        finally:
            self._in_progress -= 1

    def record_reply(self) -> None:
        """Records that the owner has answered a call, with any outcome."""
        self._last_reply_s = self._now_s()
        self._silent_until_s = float("-inf")

    def record_silence(self, sent_s: float) -> None:
        """Records that a call sent at that time got no reply in time.

        The owner counts as silent only if the call waited long enough and no
        other call got a reply since it was sent.
        """
        now_s = self._now_s()
        if now_s - sent_s >= MIN_SILENCE_S and self._last_reply_s < sent_s:
            self._silent_until_s = now_s + SILENCE_MEMORY_S


class CallLimits:
    """The limits by address of the owner."""

    def __init__(self, now_s: abc.Callable[[], float]) -> None:
        self._now_s = now_s
        self._owners: dict[types.Address, OwnerCalls] = {}

    def of(self, address: types.Address) -> OwnerCalls:
        """Returns the limits for the owner at an address."""
        return self._owners.setdefault(address, OwnerCalls(self._now_s))
