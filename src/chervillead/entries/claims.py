"""Claims on request ids: at most one owner for each, and how it ended.

A claim table lives in the memory of the seat that the id hashes to. It forgets
claims after `RETENTION_S`; ids are refused before they are that old.
"""

from collections import abc
import typing

import xxhash

from chervillead import types
from chervillead import verdicts
from chervillead.callers import request_ids
from chervillead.entries import messages

# Longer than ids are accepted, by the clock difference on either side: an id
# must not outlive its claim.
RETENTION_S = request_ids.MAX_AGE_S + 2 * request_ids.MAX_AHEAD_S
# Larger answers stay with the owner only: a claim holder has 256 MB in all.
MAX_STORED_ANSWER_BYTES = 64 * 1024
MAX_CLAIMS = 150_000
MAX_ANSWERS_BYTES = 64 * 1024 * 1024
# Keeps a hand-over message well below the largest frame.
MAX_HANDOVER_BATCH_BYTES = 1024 * 1024
ESTIMATED_CLAIM_BYTES = 256

# A seat and its incarnation, or None for an owner that has no seat yet.
OwnerSeat: typing.TypeAlias = tuple[str, int] | None


class _Claim(typing.NamedTuple):
    digest: int
    claimed_s: float
    state: messages.ClaimState
    owner_seat: OwnerSeat


def digest_body(body: bytes) -> int:
    """Returns a digest that tells two bodies under one id apart."""
    return xxhash.xxh3_64_intdigest(body)


class ClaimTable:
    """Claims held by one seat."""

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
            owner_seat: Returns the present seat of an entry host.
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
        self._handed_since_s = float("inf")

    @property
    def complete_since_s(self) -> float:
        """Wall time since which this table has had every claim."""
        return self._complete_since_s

    def activate(
        self, activated_s: float, *, had_complete_handover: bool
    ) -> None:
        """Starts the duty.

        Args:
            activated_s: Wall time of the activation.
            had_complete_handover: Whether the previous leader handed over all
                its claims.
        """
        handed_since_s = (
            self._handed_since_s if had_complete_handover else float("inf")
        )
        self._complete_since_s = min(activated_s, handed_since_s)

    def clear(self) -> None:
        """Forgets all claims, when the duty seat is lost."""
        self._claims.clear()
        self._running.clear()
        self._answers_bytes = 0
        self._handed_since_s = float("inf")

    def claim(
        self, message: messages.Claim
    ) -> messages.ClaimState | messages.Refused:
        """Accepts a first claim on an id, or says what became of the first."""
        self._forget_old()
        known = self._claims.get(message.request_id)
        if known is not None and not _is_same_request(known, message):
            return messages.ClaimState(
                message.request_id, messages.CLAIM_CONFLICT
            )
        if (
            known is not None
            and known.state.verdict is not verdicts.Verdict.NOT_RUN
        ):
            return known.state
        if known is None and self._may_be_forgotten(message.request_id):
            return messages.ClaimState(message.request_id, messages.CLAIM_LOST)
        if known is None and len(self._claims) >= self._max_claims:
            return refusal(message.request_id, "the claim table is full")
        running = messages.ClaimState(
            message.request_id,
            messages.CLAIM_RUNNING,
            message.owner,
            team=message.team,
            attempt=message.attempt,
        )
        # A repeat of a request that did not run is kept as long as a new one.
        self._claims.pop(message.request_id, None)
        self._store(message.digest, running)
        return running._replace(state=messages.CLAIM_ACCEPTED)

    def lookup(self, message: messages.Lookup) -> messages.ClaimState:
        """Returns what is known of an id."""
        known = self._claims.get(message.request_id)
        if known is not None:
            return known.state
        if self._may_be_forgotten(message.request_id):
            return messages.ClaimState(message.request_id, messages.CLAIM_LOST)
        return messages.ClaimState(message.request_id, messages.CLAIM_UNKNOWN)

    def finish(self, message: messages.Finished) -> None:
        """Stores how a submission ended; a repeat has no effect.

        A request that certainly did not run may be claimed again; until then
        its verdict can be looked up. The report of another submission under
        the same id has no effect.
        """
        known = self._claims.get(message.request_id)
        if (
            known is None
            or known.state.attempt != message.attempt
            or known.state.state == messages.CLAIM_FINISHED
        ):
            return
        self._running.pop(message.request_id, None)
        answer = message.answer
        length = 0 if answer is None else len(answer.body)
        if self._answers_bytes + length > self._max_answers_bytes:
            answer, length = None, 0
        self._answers_bytes += length
        state = known.state._replace(
            state=messages.CLAIM_FINISHED,
            verdict=message.verdict,
            answer=answer,
        )
        self._claims[message.request_id] = known._replace(state=state)

    def mark_lost_claims(
        self, is_dead: abc.Callable[[str, OwnerSeat], bool]
    ) -> None:
        """Marks the unfinished claims of dead owners as lost."""
        for request_id in list(self._running):
            claim = self._claims[request_id]
            if is_dead(claim.state.owner, claim.owner_seat):
                del self._running[request_id]
                state = claim.state._replace(state=messages.CLAIM_LOST)
                self._claims[request_id] = claim._replace(state=state)

    def handover_batches(
        self,
    ) -> abc.Iterator[list[tuple[int, messages.ClaimState]]]:
        """Yields all claims in parts that each fit a message."""
        part: list[tuple[int, messages.ClaimState]] = []
        size = 0
        for claim in self._claims.values():
            part.append((claim.digest, claim.state))
            answer = claim.state.answer
            size += ESTIMATED_CLAIM_BYTES + (
                0 if answer is None else len(answer.body)
            )
            if size >= MAX_HANDOVER_BATCH_BYTES:
                yield part
                part, size = [], 0
        yield part

    def restore(
        self,
        entries: abc.Iterable[tuple[int, messages.ClaimState]],
        known_for_s: float,
    ) -> None:
        """Takes over claims from the leaving holder.

        Args:
            entries: Digests and states.
            known_for_s: How long the leaving holder has had every claim;
                negative while more entries follow.
        """
        for digest, state in entries:
            if state.request_id not in self._claims:
                self._store(digest, state)
        if known_for_s >= 0:
            self._handed_since_s = self._clock.wall() - known_for_s

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

    def _may_be_forgotten(self, request_id: str) -> bool:
        """Returns whether an earlier holder may have had a claim on the id.

        The caller's clock may run ahead of this host's.
        """
        parsed = request_ids.parse_request_id(request_id, self._clock.wall())
        created_s = parsed.map(lambda checked: checked.created_s).value_or(
            float("-inf")
        )
        ahead_s = request_ids.MAX_AHEAD_S
        return created_s - ahead_s < self._complete_since_s

    def _forget_old(self) -> None:
        """Drops claims past the retention; the oldest stand first."""
        oldest_s = self._clock.monotonic() - RETENTION_S
        for request_id in list(_take_while_old(self._claims, oldest_s)):
            claim = self._claims.pop(request_id)
            self._running.pop(request_id, None)
            if claim.state.answer is not None:
                self._answers_bytes -= len(claim.state.answer.body)


def refusal(request_id: str, detail: str) -> messages.Refused:
    """Returns the refusal of a claim or look-up; nothing was changed."""
    return messages.Refused(request_id, "claim-unavailable", 503, detail, 1000)


def _is_same_request(known: _Claim, message: messages.Claim) -> bool:
    return (known.digest, known.state.team) == (message.digest, message.team)


def _take_while_old(
    claims: dict[str, _Claim], oldest_s: float
) -> abc.Iterator[str]:
    for request_id, claim in claims.items():
        if claim.claimed_s >= oldest_s:
            return
        yield request_id
