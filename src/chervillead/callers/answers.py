"""Outcomes of claimed requests, kept for callers who fetch them later."""

from collections import abc
import typing

from returns import result

from chervillead import types
from chervillead import verdicts

RETENTION_S = 600.0
# An eighth of the 256 MB of an entry host. Answers of up to 64 KB are at the
# claim holder too, so this bound loses only large ones early.
MAX_CACHED_BYTES = 32 * 1024 * 1024
# What an outcome takes besides its body; counted so that many empty answers
# are bounded as well.
ENTRY_OVERHEAD_BYTES = 1024

RequestOutcome: typing.TypeAlias = result.Result[types.Answer, verdicts.Refusal]


class CachedOutcome(typing.NamedTuple):
    """How a request ended.

    Attributes:
        team: The team whose keys may fetch it.
        outcome: The answer or the refusal.
        cached_s: Monotonic time at which it was cached.
    """

    team: str
    outcome: RequestOutcome
    cached_s: float


class AnswerCache:
    """Outcomes by request id; the oldest are dropped beyond the bound."""

    def __init__(
        self, clock: types.Clock, max_bytes: int = MAX_CACHED_BYTES
    ) -> None:
        self._clock = clock
        self._max_bytes = max_bytes
        self._bytes = 0
        self._outcomes: dict[str, CachedOutcome] = {}

    @property
    def cached_bytes(self) -> int:
        """Bytes counted at present."""
        return self._bytes

    def put(self, request_id: str, team: str, outcome: RequestOutcome) -> None:
        """Stores how a request ended; a later outcome replaces it."""
        self._drop(request_id)
        now_s = self._clock.monotonic()
        self._outcomes[request_id] = CachedOutcome(team, outcome, now_s)
        self._bytes += _count_bytes(outcome)
        for old_id in list(self._ids_to_drop(now_s)):
            self._drop(old_id)

    def get(self, request_id: str) -> CachedOutcome | None:
        """Returns how a request ended, if that is stored."""
        return self._outcomes.get(request_id)

    def _ids_to_drop(self, now_s: float) -> abc.Iterator[str]:
        """Yields the oldest ids until age and bytes are within bounds."""
        left = self._bytes
        for request_id, stored in self._outcomes.items():
            if left <= self._max_bytes and now_s < stored.cached_s + (
                RETENTION_S
            ):
                return
            left -= _count_bytes(stored.outcome)
            yield request_id

    def _drop(self, request_id: str) -> None:
        stored = self._outcomes.pop(request_id, None)
        if stored is not None:
            self._bytes -= _count_bytes(stored.outcome)


def _count_bytes(outcome: RequestOutcome) -> int:
    body = outcome.map(lambda answer: answer.body).value_or(b"")
    return ENTRY_OVERHEAD_BYTES + len(body)
