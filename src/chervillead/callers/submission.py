"""Processes one request, from its authorized submission to its answer.

This module doesn't depend on HTTP, so another front end can call `submit` too.
"""

import asyncio
from collections import abc
import random
import typing

import eliot
from returns import pipeline
from returns import result

from chervillead import types
from chervillead import verdicts
from chervillead.callers import cancellation
from chervillead.callers import in_progress
from chervillead.callers import request_claims

RequestOutcome: typing.TypeAlias = result.Result[types.Answer, verdicts.Refusal]

# Without a delay, a request whose upstream refuses connections would be granted
# and refused thousands of times per second.
FIRST_RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 0.5


class SubmissionPorts(typing.NamedTuple):
    """Functions and state that a submission gets from the process.

    Attributes:
        claim: Claims the id of a request under an attempt number; succeeds with
            None if the request may start, or with the stored answer of an
            earlier submission.
        report_finished: Reports the end of the attempt to the claim holder.
        lookup: Asks the claim holder for the state of a request id.
        acquire: Waits for a grant.
        cancel_acquire: Ends the wait of `acquire` with a refusal.
        send: Sends the granted request to its upstream.
        stop_task: Asks the upstream to stop; returns whether it has stopped.
        release: Releases a grant with the verdict, whether the attempt failed,
            and its run time in seconds.
        in_progress: Requests that can be cancelled.
        clock: Source of time.
        spend_retry_budget: Takes one retry of a request that may have run from
            the retry budget; returns whether one was left.
        log: Writes a log message of a type with fields.
    """

    claim: abc.Callable[
        [types.Request, int],
        abc.Awaitable[result.Result[types.Answer | None, verdicts.Refusal]],
    ]
    report_finished: abc.Callable[
        [types.Request, int, verdicts.Verdict, types.Answer | None], None
    ]
    lookup: request_claims.Lookup
    acquire: abc.Callable[
        [types.Request],
        abc.Awaitable[result.Result[types.Grant, verdicts.Refusal]],
    ]
    cancel_acquire: abc.Callable[[str], None]
    send: abc.Callable[
        [types.Request, types.Grant], abc.Awaitable[RequestOutcome]
    ]
    stop_task: abc.Callable[[types.Grant, str], abc.Awaitable[bool]]
    release: abc.Callable[[types.Grant, verdicts.Verdict, bool, float], None]
    in_progress: in_progress.RequestsInProgress
    clock: types.Clock
    spend_retry_budget: abc.Callable[[], bool]
    log: abc.Callable[..., object] = eliot.log_message


async def submit(
    request: types.Request,
    ports: SubmissionPorts,
    *,
    claimed: bool,
    progress: in_progress.RequestProgress | None = None,
) -> RequestOutcome:
    """Runs `request` and returns its answer or a refusal with a verdict.

    Args:
        request: The request; its team must be authorized.
        ports: Functions and state of the process.
        claimed: Whether the id must be claimed first; required for a
            non-idempotent request and for one whose answer is fetched later.
        progress: Signals that the claim was accepted, and lets the caller
            cancel the request.
    """
    if progress is None:
        progress = in_progress.RequestProgress()
    if not claimed:
        return await _run(request, ports, progress)
    # Distinguishes the report of this submission from those of other
    # submissions of the same id.
    attempt = random.getrandbits(53)
    claim = await ports.claim(request, attempt)
    if not pipeline.is_successful(claim):
        return await _claim_refused(request, attempt, claim.failure(), ports)
    stored = claim.unwrap()
    if stored is not None:
        return result.Success(stored)
    progress.claimed.set()
    verdict = verdicts.Verdict.MAY_HAVE_RUN
    answer: types.Answer | None = None
    try:
        with ports.in_progress.track(request.request_id, progress):
            outcome = await _run(request, ports, progress)
        answer = outcome.value_or(None)
        verdict = _verdict_of(outcome)
        return outcome
    finally:
        ports.report_finished(request, attempt, verdict, answer)


async def _claim_refused(
    request: types.Request,
    attempt: int,
    refusal: verdicts.Refusal,
    ports: SubmissionPorts,
) -> RequestOutcome:
    """Returns the refusal of a request whose claim was not accepted."""
    if refusal.reason == request_claims.CLAIM_UNAVAILABLE:
        # The claim may have been accepted and only its reply lost, so it is
        # released.
        ports.report_finished(request, attempt, verdicts.Verdict.NOT_RUN, None)
    if request.idempotent:
        return result.Failure(refusal)
    if refusal.reason == request_claims.CLAIM_UNAVAILABLE:
        return result.Failure(request_claims.unverified_refusal(refusal))
    return result.Failure(
        await request_claims.correct_verdict(
            refusal, request.request_id, ports.lookup
        )
    )


async def _run(
    request: types.Request,
    ports: SubmissionPorts,
    progress: in_progress.RequestProgress,
) -> RequestOutcome:
    """Makes attempts until one settles the request; see `_attempts`."""
    outcome: RequestOutcome = result.Failure(
        verdicts.not_run("deadline-exceeded", 504, "the deadline has passed")
    )
    may_have_run = False
    async for attempt in _attempts(request, ports, progress):
        outcome = attempt
        if _verdict_of(attempt) is verdicts.Verdict.MAY_HAVE_RUN:
            may_have_run = True
        if not _may_retry(request, attempt, ports):
            break
    if _verdict_of(outcome) is not verdicts.Verdict.NOT_RUN:
        return outcome
    refusal = outcome.failure()
    if progress.is_cancelled():
        refusal = verdicts.not_run(
            cancellation.CANCELLED, 410, "cancelled before it started"
        )
    if may_have_run:
        # Only the last attempt is known not to have run.
        refusal = refusal._replace(verdict=verdicts.Verdict.MAY_HAVE_RUN)
    return result.Failure(refusal)


async def _attempts(
    request: types.Request,
    ports: SubmissionPorts,
    progress: in_progress.RequestProgress,
) -> abc.AsyncIterator[RequestOutcome]:
    """Yields the outcomes of successive attempts until the deadline."""
    delay_s = FIRST_RETRY_DELAY_S
    while not progress.is_cancelled():
        with progress.cancel_handler(
            lambda: ports.cancel_acquire(request.request_id)
        ):
            grant = await ports.acquire(request)
        if not pipeline.is_successful(grant):
            yield result.Failure(grant.failure())
            return
        if progress.is_cancelled():
            ports.release(grant.unwrap(), verdicts.Verdict.NOT_RUN, False, 0.0)
            return
        yield await _attempt(request, grant.unwrap(), ports, progress)
        pause_s = random.uniform(0.5, 1.0) * delay_s
        if ports.clock.monotonic() + pause_s >= request.deadline_s:
            return
        await asyncio.sleep(pause_s)
        delay_s = min(MAX_RETRY_DELAY_S, 2 * delay_s)


async def _attempt(
    request: types.Request,
    grant: types.Grant,
    ports: SubmissionPorts,
    progress: in_progress.RequestProgress,
) -> RequestOutcome:
    started_s = ports.clock.monotonic()
    verdict = verdicts.Verdict.MAY_HAVE_RUN
    failed = True
    try:
        outcome = await cancellation.send_cancellable(
            lambda: ports.send(request, grant),
            lambda: ports.stop_task(grant, request.request_id),
            progress,
        )
        verdict = _verdict_of(outcome)
        failed = _has_failed(outcome)
    finally:
        ports.release(
            grant,
            verdict,
            failed,
            ports.clock.monotonic() - started_s,
        )
    ports.log(
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


def _has_failed(outcome: RequestOutcome) -> bool:
    """Returns whether the outcome is a failure of the upstream."""
    if pipeline.is_successful(outcome):
        return outcome.unwrap().status >= 500
    return outcome.failure().reason not in HEALTH_NEUTRAL_REASONS


def _may_retry(
    request: types.Request, outcome: RequestOutcome, ports: SubmissionPorts
) -> bool:
    """Returns whether another attempt is allowed.

    An attempt that did not run may be retried. One that may have run is retried
    only if the request is idempotent and the retry budget allows it.
    """
    if pipeline.is_successful(outcome):
        return False
    refusal = outcome.failure()
    if refusal.reason not in RETRYABLE_REASONS:
        return False
    if refusal.verdict is verdicts.Verdict.NOT_RUN:
        return True
    return request.idempotent and ports.spend_retry_budget()


# Refusals that say nothing about the health of the upstream.
HEALTH_NEUTRAL_REASONS = frozenset(
    (
        cancellation.CANCELLED,
        "grant-expired",
        "upstream-call-cancelled",
        "upstream-refused",
    )
)
# Failures of one upstream after which another one may serve the request.
RETRYABLE_REASONS = frozenset(
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
