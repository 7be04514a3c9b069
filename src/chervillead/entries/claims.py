"""Claims on request ids: at most one owner for each, and how it ended.

A claim table lives in the memory of the seat that the id hashes to. It forgets
claims after `RETENTION_S`; ids older than that are refused.
"""

from collections import abc
import typing

import xxhash

from chervillead import types
from chervillead import verdicts
from chervillead.entries import messages

RETENTION_S = 600.0
# Larger answers stay with the owner only: a claim holder has 256 MB in all.
MAX_STORED_ANSWER_BYTES = 64 * 1024


class _Claim(typing.NamedTuple):
    digest: int
    owner: str
    claimed_s: float
    state: messages.ClaimState


def digest_body(body: bytes) -> int:
    """Returns a digest that tells two bodies under one id apart."""
    return xxhash.xxh3_64_intdigest(body)


class ClaimTable:
    """Claims held by one seat."""

    def __init__(self, clock: types.Clock) -> None:
        self._clock = clock
        self._claims: dict[str, _Claim] = {}

    def claim(self, message: messages.Claim) -> messages.ClaimState:
        """Accepts a first claim on an id, or says what became of the first."""
        self._forget_old()
        known = self._claims.get(message.request_id)
        if known is not None and not _is_same_work(known, message):
            return messages.ClaimState(
                message.request_id, messages.CLAIM_CONFLICT
            )
        if known is None or known.state.verdict is verdicts.Verdict.NOT_RUN:
            accepted = messages.ClaimState(
                message.request_id,
                messages.CLAIM_ACCEPTED,
                message.owner,
                team=message.team,
                attempt=message.attempt,
            )
            self._claims.pop(message.request_id, None)
            running = accepted._replace(state=messages.CLAIM_RUNNING)
            self._claims[message.request_id] = _Claim(
                message.digest, message.owner, self._clock.monotonic(), running
            )
            return accepted
        return known.state

    def lookup(self, message: messages.Lookup) -> messages.ClaimState:
        """Returns what is known of an id."""
        known = self._claims.get(message.request_id)
        if known is None:
            return messages.ClaimState(
                message.request_id, messages.CLAIM_UNKNOWN
            )
        return known.state

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
        state = known.state._replace(
            state=messages.CLAIM_FINISHED,
            verdict=message.verdict,
            answer=message.answer,
        )
        self._claims[message.request_id] = known._replace(state=state)

    def lose_owner(self, owner: str) -> None:
        """Marks the unfinished claims of a dead owner as lost."""
        for request_id, claim in self._claims_of(owner):
            state = claim.state._replace(state=messages.CLAIM_LOST)
            self._claims[request_id] = claim._replace(state=state)

    def _claims_of(self, owner: str) -> list[tuple[str, _Claim]]:
        return [
            (request_id, claim)
            for request_id, claim in self._claims.items()
            if claim.owner == owner
            and claim.state.state == messages.CLAIM_RUNNING
        ]

    def _forget_old(self) -> None:
        """Drops claims past the retention; the oldest stand first."""
        oldest_s = self._clock.monotonic() - RETENTION_S
        for request_id in list(_take_while_old(self._claims, oldest_s)):
            del self._claims[request_id]


def _is_same_work(known: _Claim, message: messages.Claim) -> bool:
    return (known.digest, known.state.team) == (message.digest, message.team)


def _take_while_old(
    claims: dict[str, _Claim], oldest_s: float
) -> abc.Iterator[str]:
    for request_id, claim in claims.items():
        if claim.claimed_s >= oldest_s:
            return
        yield request_id
