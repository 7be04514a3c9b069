"""The path of one request, from an authorized caller to its answer.

Nothing here knows HTTP: another front end can call `submit`.
"""

from collections import abc
import typing

import eliot
from returns import pipeline
from returns import result

from chervillead import types
from chervillead import verdicts
from chervillead.entries import messages

RequestOutcome: typing.TypeAlias = result.Result[types.Answer, verdicts.Refusal]


class SubmissionPorts(typing.NamedTuple):
    """What a submission needs from the rest of the process.

    Attributes:
        claim: Claims the request's id; succeeds with None when the request may
            go on, or with the stored answer of an earlier submission.
        finish: Tells the claim holder how the request ended.
        acquire: Waits for a grant.
        send: Sends the granted request to its upstream.
        release: Gives a grant back: started, failed, run time in seconds.
        clock: Source of time.
    """

    claim: abc.Callable[
        [types.Request],
        abc.Awaitable[result.Result[types.Answer | None, verdicts.Refusal]],
    ]
    finish: abc.Callable[
        [types.Request, verdicts.Verdict, types.Answer | None], None
    ]
    acquire: abc.Callable[
        [types.Request],
        abc.Awaitable[result.Result[types.Grant, verdicts.Refusal]],
    ]
    send: abc.Callable[
        [types.Request, types.Grant], abc.Awaitable[RequestOutcome]
    ]
    release: abc.Callable[[types.Grant, bool, bool, float], None]
    clock: types.Clock


async def submit(
    request: types.Request, ports: SubmissionPorts, *, claimed: bool
) -> RequestOutcome:
    """Runs `request` and returns its answer or a refusal with a verdict.

    Args:
        request: The request, authorized.
        ports: Functions to the other parts.
        claimed: Whether the id must be claimed first: always for a
            non-idempotent request and for one whose answer is fetched later.
    """
    if not claimed:
        return await _run(request, ports)
    claim = await ports.claim(request)
    if not pipeline.is_successful(claim):
        return result.Failure(claim.failure())
    stored = claim.unwrap()
    if stored is not None:
        return result.Success(stored)
    verdict = verdicts.Verdict.MAY_HAVE_RUN
    answer: types.Answer | None = None
    try:
        outcome = await _run(request, ports)
        answer = outcome.value_or(None)
        verdict = _verdict_of(outcome)
        return outcome
    finally:
        ports.finish(request, verdict, answer)


async def _run(
    request: types.Request, ports: SubmissionPorts
) -> RequestOutcome:
    """Tries until an attempt ends the request; see `_attempts`."""
    outcome: RequestOutcome = result.Failure(
        verdicts.not_run("deadline-exceeded", 504, "the deadline had passed")
    )
    async for attempt in _attempts(request, ports):
        outcome = attempt
        if not _may_repeat(request, attempt):
            break
    return outcome


async def _attempts(
    request: types.Request, ports: SubmissionPorts
) -> abc.AsyncIterator[RequestOutcome]:
    """Yields the outcome of one attempt after the other until the deadline."""
    while ports.clock.monotonic() < request.deadline_s:
        grant = await ports.acquire(request)
        if not pipeline.is_successful(grant):
            yield result.Failure(grant.failure())
            return
        yield await _attempt(request, grant.unwrap(), ports)


async def _attempt(
    request: types.Request, grant: types.Grant, ports: SubmissionPorts
) -> RequestOutcome:
    started_s = ports.clock.monotonic()
    verdict = verdicts.Verdict.MAY_HAVE_RUN
    failed = True
    try:
        outcome = await ports.send(request, grant)
        verdict = _verdict_of(outcome)
        failed = not pipeline.is_successful(outcome)
    finally:
        ports.release(
            grant,
            verdict is not verdicts.Verdict.NOT_RUN,
            failed,
            ports.clock.monotonic() - started_s,
        )
    eliot.log_message(
        "callers:attempt",
        request_id=request.request_id,
        upstream=grant.upstream.name,
        verdict=verdict.value,
    )
    return outcome


def _verdict_of(outcome: RequestOutcome) -> verdicts.Verdict:
    if pipeline.is_successful(outcome):
        return verdicts.Verdict.RAN
    return outcome.failure().verdict


def _may_repeat(request: types.Request, outcome: RequestOutcome) -> bool:
    """Returns whether another attempt is allowed.

    An attempt that certainly did not run may be repeated; one that may have
    run only if the request is idempotent.
    """
    if pipeline.is_successful(outcome):
        return False
    refusal = outcome.failure()
    if refusal.retry_after_s is None and not request.idempotent:
        return False
    return (
        refusal.verdict is verdicts.Verdict.NOT_RUN or request.idempotent
    ) and refusal.reason in REPEATABLE_REASONS


# Failures of one upstream, after which another one may serve the request.
REPEATABLE_REASONS = frozenset(
    (
        "grant-expired",
        "upstream-unreachable",
        "upstream-refused",
        "upstream-connection-lost",
        "upstream-silent",
        "upstream-task-unknown",
        "answer-mismatch",
    )
)


def claim_outcome(
    state: messages.ClaimState,
) -> result.Result[types.Answer | None, verdicts.Refusal]:
    """Returns what a claim holder's reply means for a submission."""
    if state.state == messages.CLAIM_ACCEPTED:
        return result.Success(None)
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
            "already-submitted", 409, f"{state.owner} is working on it"
        )
    if state.verdict is verdicts.Verdict.RAN:
        return verdicts.ran("answer-not-kept", 410, "ran; the answer is gone")
    return verdicts.may_have_run(
        "outcome-unknown", 409, "an earlier submission may have run"
    )
