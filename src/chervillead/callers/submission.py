"""The path of one request, from an authorized caller to its answer.

Nothing here knows HTTP: another front end can call `submit`.
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

# Without a pause, a request whose upstream refuses connections is granted and
# refused thousands of times a second.
FIRST_RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 0.5


class SubmissionPorts(typing.NamedTuple):
    """What a submission needs from the rest of the process.

    Attributes:
        claim: Claims the request's id under an attempt number; succeeds with
            None when the request may go on, or with the stored answer of an
            earlier submission.
        report_finished: Tells the claim holder how the attempt ended.
        lookup: Asks the claim holder what is known of an id.
        acquire: Waits for a grant.
        cancel_acquire: Ends the wait of `acquire` with a refusal.
        send: Sends the granted request to its upstream.
        stop_task: Asks the upstream to stop; returns whether it has stopped.
        release: Gives a grant back: verdict, failed, run time in seconds.
        in_progress: Requests that can be cancelled.
        clock: Source of time.
        spend_retry_budget: Takes one retry of a request that may have run from
            the retry budget; returns whether there was one.
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
        request: The request, authorized.
        ports: Functions to the other parts.
        claimed: Whether the id must be claimed first: always for a
            non-idempotent request and for one whose answer is fetched later.
        progress: Tells when the claim was accepted, and cancels the request.
    """
    if progress is None:
        progress = in_progress.RequestProgress()
    if not claimed:
        return await _run(request, ports, progress)
    # Tells the report of this submission from those of others under the id.
    attempt = random.getrandbits(53)
    claim = await ports.claim(request, attempt)
    if not pipeline.is_successful(claim):
        return await _unclaimed(request, attempt, claim.failure(), ports)
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


async def _unclaimed(
    request: types.Request,
    attempt: int,
    refusal: verdicts.Refusal,
    ports: SubmissionPorts,
) -> RequestOutcome:
    """Returns the refusal of a request whose id could not be claimed."""
    if refusal.reason == request_claims.CLAIM_UNAVAILABLE:
        # The claim may have been accepted and only its reply lost.
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
    """Tries until an attempt ends the request; see `_attempts`."""
    outcome: RequestOutcome = result.Failure(
        verdicts.not_run("deadline-exceeded", 504, "the deadline had passed")
    )
    may_have_run = False
    async for attempt in _attempts(request, ports, progress):
        outcome = attempt
        if _verdict_of(attempt) is verdicts.Verdict.MAY_HAVE_RUN:
            may_have_run = True
        if not _may_repeat(request, attempt, ports):
            break
    if _verdict_of(outcome) is not verdicts.Verdict.NOT_RUN:
        return outcome
    refusal = outcome.failure()
    if progress.is_cancelled():
        refusal = verdicts.not_run(
            cancellation.CANCELLED, 410, "cancelled before it started"
        )
    if may_have_run:
        # Only the last attempt certainly did not run.
        refusal = refusal._replace(verdict=verdicts.Verdict.MAY_HAVE_RUN)
    return result.Failure(refusal)


async def _attempts(
    request: types.Request,
    ports: SubmissionPorts,
    progress: in_progress.RequestProgress,
) -> abc.AsyncIterator[RequestOutcome]:
    """Yields the outcome of one attempt after the other until the deadline."""
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
    """Returns whether the outcome counts against the upstream's health."""
    if pipeline.is_successful(outcome):
        return outcome.unwrap().status >= 500
    return outcome.failure().reason not in BLAMELESS_REASONS


def _may_repeat(
    request: types.Request, outcome: RequestOutcome, ports: SubmissionPorts
) -> bool:
    """Returns whether another attempt is allowed.

    An attempt that certainly did not run may be repeated; one that may have
    run only if the request is idempotent and the retry budget allows it.
    """
    if pipeline.is_successful(outcome):
        return False
    refusal = outcome.failure()
    if refusal.reason not in REPEATABLE_REASONS:
        return False
    if refusal.verdict is verdicts.Verdict.NOT_RUN:
        return True
    return request.idempotent and ports.spend_retry_budget()


# Refusals that say nothing about the upstream.
BLAMELESS_REASONS = frozenset(
    (
        cancellation.CANCELLED,
        "grant-expired",
        "upstream-call-cancelled",
        "upstream-refused",
    )
)
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
