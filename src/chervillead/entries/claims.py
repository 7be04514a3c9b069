"""Claims on request ids: at most one owner for each, and its outcome.

The leader of the zone that an id maps to keeps the claim in memory. It drops
claims after `RETENTION_S`; ids are refused before they reach that age.
"""

from collections import abc
import typing

import xxhash

from chervillead import types
from chervillead import verdicts
from chervillead.callers import request_ids
from chervillead.entries import messages

# Exceeds the maximum age of an id by the clock difference on either side, since
# an id must not outlive its claim.
RETENTION_S = request_ids.MAX_AGE_S + 2 * request_ids.MAX_AHEAD_S
# Only the owner keeps larger answers, as a claim holder has 256 MB of memory.
MAX_STORED_ANSWER_BYTES = 64 * 1024
MAX_CLAIMS = 150_000
MAX_ANSWERS_BYTES = 64 * 1024 * 1024
# Keeps a handover message well below the maximum frame size.
MAX_HANDOVER_BATCH_BYTES = 1024 * 1024
ESTIMATED_CLAIM_BYTES = 256

# Seat and incarnation of an owner; None if it has no seat yet.
OwnerSeat: typing.TypeAlias = tuple[str, int] | None


class _Claim(typing.NamedTuple):
    digest: int
    claimed_s: float
    state: messages.ClaimState
    owner_seat: OwnerSeat


def digest_body(body: bytes) -> int:
    """Returns the digest that detects another body under the same id."""
    return xxhash.xxh3_64_intdigest(body)


class ClaimTable:
    """Claims of one holder, in memory."""

    def __init__(
        self,
        clock: types.Clock,
        owner_seat: abc.Callable[[str], OwnerSeat] = lambda owner: None,
        *,
        max_claims: int = MAX_CLAIMS,
        max_answers_bytes: int = MAX_ANSWERS_BYTES,
    ) -> None:
        """Makes an empty table.

        Args:
            clock: Source of time.
            owner_seat: Returns the current seat of an entry host.
            max_claims: New claims are refused beyond this number.
            max_answers_bytes: Answers aren't stored beyond this total.
        """
        self._clock = clock
        self._owner_seat = owner_seat
        self._max_claims = max_claims
        self._max_answers_bytes = max_answers_bytes
        self._answers_bytes = 0
        self._claims: dict[str, _Claim] = {}
        self._running: dict[str, None] = {}
        self._complete_since_s = float("-inf")
        self._handover_since_s = float("inf")

    @property
    def complete_since_s(self) -> float:
        """Wall time from which on this table has every claim."""
        return self._complete_since_s

    def activate(
        self, activated_s: float, *, had_complete_handover: bool
    ) -> None:
        """Starts to hold claims.

        Args:
            activated_s: Wall time at which the leader became active.
            had_complete_handover: Whether the previous leader handed over all
                its claims.
        """
        handover_since_s = (
            self._handover_since_s if had_complete_handover else float("inf")
        )
        self._complete_since_s = min(activated_s, handover_since_s)

    def clear(self) -> None:
        """Drops all claims, after the leader seat is lost."""
        self._claims.clear()
        self._running.clear()
        self._answers_bytes = 0
        self._handover_since_s = float("inf")

    def claim(
        self, message: messages.Claim
    ) -> messages.ClaimState | messages.Refused:
        """Accepts the first claim on an id, or returns the state of that one.

        The id of a request that did not run can be claimed again.
        """
        self._drop_expired()
        existing = self._claims.get(message.request_id)
        if existing is not None and not _is_same_request(existing, message):
            return messages.ClaimState(
                message.request_id, messages.CLAIM_CONFLICT
            )
        if (
            existing is not None
            and existing.state.verdict is not verdicts.Verdict.NOT_RUN
        ):
            return existing.state
        if existing is None and self._may_predate_table(message.request_id):
            return messages.ClaimState(message.request_id, messages.CLAIM_LOST)
        if existing is None and len(self._claims) >= self._max_claims:
            return refusal(message.request_id, "the claim table is full")
        running = messages.ClaimState(
            message.request_id,
            messages.CLAIM_RUNNING,
            message.owner,
            team=message.team,
            attempt=message.attempt,
        )
        # Reinserted, so that the retention of a repeated claim restarts.
        self._claims.pop(message.request_id, None)
        self._store(message.digest, running)
        return running._replace(state=messages.CLAIM_ACCEPTED)

    def lookup(self, message: messages.Lookup) -> messages.ClaimState:
        """Returns the state of the claim on an id."""
        existing = self._claims.get(message.request_id)
        if existing is not None:
            return existing.state
        if self._may_predate_table(message.request_id):
            return messages.ClaimState(message.request_id, messages.CLAIM_LOST)
        return messages.ClaimState(message.request_id, messages.CLAIM_UNKNOWN)

    def finish(self, message: messages.Finished) -> None:
        """Stores the outcome of a submission.

        A repeated message, and one about another submission of the same id,
        have no effect. The id of a request that certainly did not run may be
        claimed again; until then its verdict can be looked up.
        """
        existing = self._claims.get(message.request_id)
        if (
            existing is None
            or existing.state.attempt != message.attempt
            or existing.state.state == messages.CLAIM_FINISHED
        ):
            return
        self._running.pop(message.request_id, None)
        answer = message.answer
        length = 0 if answer is None else len(answer.body)
        if self._answers_bytes + length > self._max_answers_bytes:
            answer, length = None, 0
        self._answers_bytes += length
        state = existing.state._replace(
            state=messages.CLAIM_FINISHED,
            verdict=message.verdict,
            answer=answer,
        )
        self._claims[message.request_id] = existing._replace(state=state)

    def mark_lost_claims(
        self, is_dead: abc.Callable[[str, OwnerSeat], bool]
    ) -> None:
        """Marks the running claims of dead owners as lost."""
        for request_id in list(self._running):
            claim = self._claims[request_id]
            if is_dead(claim.state.owner, claim.owner_seat):
                del self._running[request_id]
                state = claim.state._replace(state=messages.CLAIM_LOST)
                self._claims[request_id] = claim._replace(state=state)

    def handover_batches(
        self,
    ) -> abc.Iterator[list[tuple[int, messages.ClaimState]]]:
        """Yields all claims in batches that each fit a message."""
        batch: list[tuple[int, messages.ClaimState]] = []
        size = 0
        for claim in self._claims.values():
            batch.append((claim.digest, claim.state))
            answer = claim.state.answer
            size += ESTIMATED_CLAIM_BYTES + (
                0 if answer is None else len(answer.body)
            )
            if size >= MAX_HANDOVER_BATCH_BYTES:
                yield batch
                batch, size = [], 0
        yield batch

    def restore(
        self,
        entries: abc.Iterable[tuple[int, messages.ClaimState]],
        known_for_s: float,
    ) -> None:
        """Stores claims that the leaving leader handed over.

        Args:
            entries: Digests and states of the claims.
            known_for_s: Seconds for which the leaving leader has had every
                claim; negative while more batches follow.
        """
        for digest, state in entries:
            if state.request_id not in self._claims:
                self._store(digest, state)
        if known_for_s >= 0:
            self._handover_since_s = self._clock.wall() - known_for_s

    def _store(self, digest: int, state: messages.ClaimState) -> None:
        self._claims[state.request_id] = _Claim(
            digest,
            self._clock.monotonic(),
            state,
            self._owner_seat(state.owner),
        )
        if state.state == messages.CLAIM_RUNNING:
            self._running[state.request_id] = None
        if state.answer is not None:
            self._answers_bytes += len(state.answer.body)

    def _may_predate_table(self, request_id: str) -> bool:
        """Returns whether an earlier holder may have had a claim on the id.

        The time in the id comes from the caller's clock, which may run ahead
        of this host's.
        """
        parsed = request_ids.parse_request_id(request_id, self._clock.wall())
        created_s = parsed.map(lambda checked: checked.created_s).value_or(
            float("-inf")
        )
        ahead_s = request_ids.MAX_AHEAD_S
        return created_s - ahead_s < self._complete_since_s

    def _drop_expired(self) -> None:
        """Drops claims past the retention; the table is in order of age."""
        cutoff_s = self._clock.monotonic() - RETENTION_S
        for request_id in list(_expired_ids(self._claims, cutoff_s)):
            claim = self._claims.pop(request_id)
            self._running.pop(request_id, None)
            if claim.state.answer is not None:
                self._answers_bytes -= len(claim.state.answer.body)


def refusal(request_id: str, detail: str) -> messages.Refused:
    """Returns the refusal of a claim or look-up that changed nothing."""
    return messages.Refused(request_id, "claim-unavailable", 503, detail, 1000)


def _is_same_request(existing: _Claim, message: messages.Claim) -> bool:
    return (existing.digest, existing.state.team) == (
        message.digest,
        message.team,
    )


def _expired_ids(
    claims: dict[str, _Claim], cutoff_s: float
) -> abc.Iterator[str]:
    for request_id, claim in claims.items():
        if claim.claimed_s >= cutoff_s:
            return
        yield request_id
