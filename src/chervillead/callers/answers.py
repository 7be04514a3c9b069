"""Cache of the outcomes of claimed requests, for later fetches."""

from collections import abc
import typing

from returns import result

from chervillead import types
from chervillead import verdicts

RETENTION_S = 600.0
# An eighth of the 256 MB of an entry host. The claim holder also stores answers
# of up to 64 KB, so only larger ones are lost when this bound evicts them.
MAX_CACHED_BYTES = 32 * 1024 * 1024
# Memory of an outcome besides its body. It is counted so that the number of
# empty answers is bounded as well.
ENTRY_OVERHEAD_BYTES = 1024

RequestOutcome: typing.TypeAlias = result.Result[types.Answer, verdicts.Refusal]


class CachedOutcome(typing.NamedTuple):
    """A cached outcome of a request.

    Attributes:
        team: The team whose keys may fetch the outcome.
        outcome: The answer or the refusal.
        cached_s: Monotonic time at which the outcome was cached.
    """

    team: str
    outcome: RequestOutcome
    cached_s: float


class AnswerCache:
    """Outcomes by request id; evicts the oldest by age and total size."""

    def __init__(
        self, clock: types.Clock, max_bytes: int = MAX_CACHED_BYTES
    ) -> None:
        self._clock = clock
        self._max_bytes = max_bytes
        self._bytes = 0
        self._outcomes: dict[str, CachedOutcome] = {}

    @property
    def cached_bytes(self) -> int:
        """Bytes of all cached outcomes, including their overhead."""
        return self._bytes

    def put(self, request_id: str, team: str, outcome: RequestOutcome) -> None:
        """Caches the outcome of a request; it replaces an earlier one."""
        self._evict(request_id)
        now_s = self._clock.monotonic()
        self._outcomes[request_id] = CachedOutcome(team, outcome, now_s)
        self._bytes += _count_bytes(outcome)
        for oldest_id in list(self._ids_to_evict(now_s)):
            self._evict(oldest_id)

    def get(self, request_id: str) -> CachedOutcome | None:
        """Returns the cached outcome of a request, or None."""
        return self._outcomes.get(request_id)

    def _ids_to_evict(self, now_s: float) -> abc.Iterator[str]:
        """Yields the oldest ids until age and total size are within bounds."""
        remaining_bytes = self._bytes
        for request_id, cached in self._outcomes.items():
            if (
                remaining_bytes <= self._max_bytes
                and now_s < cached.cached_s + RETENTION_S
            ):
                return
            remaining_bytes -= _count_bytes(cached.outcome)
            yield request_id

    def _evict(self, request_id: str) -> None:
        cached = self._outcomes.pop(request_id, None)
        if cached is not None:
            self._bytes -= _count_bytes(cached.outcome)


def _count_bytes(outcome: RequestOutcome) -> int:
    body = outcome.map(lambda answer: answer.body).value_or(b"")
    return ENTRY_OVERHEAD_BYTES + len(body)
