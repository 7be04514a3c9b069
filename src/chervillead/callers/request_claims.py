"""Messages about claims on request ids, and what their replies mean.

The claim holder of a request id stores at most one claim on it, in the table of
`entries.claims`.
"""

from collections import abc
import typing

from returns import pipeline
from returns import result

from chervillead import types
from chervillead import verdicts
from chervillead.entries import claims
from chervillead.entries import messages

# Reason of the refusal when the claim holder gave no usable reply.
CLAIM_UNAVAILABLE = "claim-unavailable"
ALREADY_SUBMITTED = "already-submitted"
# An idempotent request may run without a claim, and a submission may still be
# in transit, so an unknown id doesn't imply the verdict "not run".
UNKNOWN_REQUEST = verdicts.may_have_run(
    "unknown-request", 404, "no request of this team is known under this id"
)

Lookup: typing.TypeAlias = abc.Callable[
    [str], abc.Awaitable[result.Result[messages.ClaimState, verdicts.Refusal]]
]


def encode_claim(
    request: types.Request, owner: str, attempt: int
) -> messages.Claim:
    """Returns the claim message of host `owner` on the id of a request."""
    return messages.Claim(
        request.request_id,
        claims.digest_body(request.body),
        owner,
        request.team,
        attempt,
    )


def encode_finished(
    request: types.Request,
    attempt: int,
    verdict: verdicts.Verdict,
    answer: types.Answer | None,
) -> messages.Finished:
    """Returns the report of how a request ended, without a large answer."""
    if answer is not None and len(answer.body) > claims.MAX_STORED_ANSWER_BYTES:
        answer = None
    return messages.Finished(request.request_id, verdict, answer, attempt)


async def correct_verdict(
    refusal: verdicts.Refusal, request_id: str, lookup: Lookup
) -> verdicts.Refusal:
    """Corrects the verdict on a non-idempotent request by the claim on its id.

    The load balancer may have submitted the request through another host as
    well, so this host alone can't tell that it did not run.

    Args:
        refusal: Refusal that this host alone would give.
        request_id: Valid id of the request.
        lookup: Asks the claim holder for the state of an id.

    Returns:
        The refusal, with a verdict that holds for all submissions of the id.
    """
    if refusal.verdict is not verdicts.Verdict.NOT_RUN:
        return refusal
    reply = await lookup(request_id)
    if not pipeline.is_successful(reply):
        return unverified_refusal(refusal)
    verdict = _verdict_of_claim(reply.unwrap())
    if verdict is verdicts.Verdict.NOT_RUN:
        return refusal
    return refusal._replace(
        verdict=verdict,
        detail=f"{refusal.detail}; the id has an earlier submission",
    )


def unverified_refusal(refusal: verdicts.Refusal) -> verdicts.Refusal:
    """Returns the refusal as "may have run", since its claim is unknown."""
    return refusal._replace(
        verdict=verdicts.Verdict.MAY_HAVE_RUN,
        detail=f"{refusal.detail}; the claim holder is unreachable",
    )


def _verdict_of_claim(state: messages.ClaimState) -> verdicts.Verdict:
    if state.state == messages.CLAIM_UNKNOWN:
        return verdicts.Verdict.NOT_RUN
    if state.state == messages.CLAIM_FINISHED and state.verdict is not None:
        return state.verdict
    return verdicts.Verdict.MAY_HAVE_RUN


def is_running(refusal: verdicts.Refusal) -> bool:
    """Returns whether the refusal says that the request is in progress."""
    return refusal.reason == ALREADY_SUBMITTED


def claim_outcome(
    state: messages.ClaimState,
) -> result.Result[types.Answer | None, verdicts.Refusal]:
    """Returns the outcome of a claim: None if the request may start."""
    if state.state == messages.CLAIM_ACCEPTED:
        return result.Success(None)
    return lookup_outcome(state)


def lookup_outcome(
    state: messages.ClaimState,
) -> result.Result[types.Answer, verdicts.Refusal]:
    """Returns the outcome of a request from the state of its claim."""
    if state.state == messages.CLAIM_FINISHED and state.answer is not None:
        return result.Success(state.answer)
    return result.Failure(_refusal_of_claim(state))


def _refusal_of_claim(state: messages.ClaimState) -> verdicts.Refusal:
    if state.state == messages.CLAIM_CONFLICT:
        return verdicts.not_run(
            "request-id-reused", 422, "the id was used with another body"
        )
    if state.state == messages.CLAIM_RUNNING:
        return verdicts.may_have_run(
            ALREADY_SUBMITTED, 409, f"{state.owner} is processing it"
        )._replace(retry_after_s=1.0)
    if state.verdict is verdicts.Verdict.NOT_RUN:
        return verdicts.not_run(
            "did-not-run", 409, "ended without running; submit it again"
        )
    if state.verdict is verdicts.Verdict.RAN:
        return verdicts.ran(
            "answer-not-kept", 410, f"ran; only {state.owner} had its answer"
        )
    return verdicts.may_have_run(
        "outcome-unknown", 409, "an earlier submission may have run"
    )
