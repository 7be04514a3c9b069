"""HTTP application that maps blacksheep requests to `submission` and back."""

import asyncio
from collections import abc
import typing

import blacksheep
from returns import pipeline
from returns import result

from chervillead import types
from chervillead import verdicts
from chervillead.callers import answers
from chervillead.callers import bodies
from chervillead.callers import headers
from chervillead.callers import in_progress
from chervillead.callers import request_claims
from chervillead.callers import request_limiter
from chervillead.callers import responses
from chervillead.entries import messages

RequestOutcome: typing.TypeAlias = result.Result[types.Answer, verdicts.Refusal]


class FrontEndPorts(typing.NamedTuple):
    """Functions and state that the front end gets from the process.

    Attributes:
        authorize: Returns the team of a (queue, key) pair, or a refusal.
        team_of_key: Returns the team of a key, regardless of the queue.
        submit: Runs a request; the flag says whether its id must be claimed.
        lookup: Asks the claim holder for the state of a request id.
        cancel: Asks the host that processes a claimed request to cancel it.
        answers: Cached outcomes of the claimed requests of this host.
        limiter: Limits on what all connections hold.
        running_submissions: Tasks of the submissions in progress.
        is_ready: Whether the load balancer should send requests here.
        is_stopping: Whether to close connections after the next answer.
        clock: Source of time.
    """

    authorize: abc.Callable[
        [str, str | None], result.Result[str, verdicts.Refusal]
    ]
    team_of_key: abc.Callable[
        [str | None], result.Result[str, verdicts.Refusal]
    ]
    submit: abc.Callable[
        [types.Request, bool, in_progress.RequestProgress],
        abc.Coroutine[typing.Any, typing.Any, RequestOutcome],
    ]
    lookup: request_claims.Lookup
    cancel: abc.Callable[[str], None]
    answers: answers.AnswerCache
    limiter: request_limiter.RequestLimiter
    running_submissions: set[asyncio.Task[RequestOutcome]]
    is_ready: abc.Callable[[], bool]
    is_stopping: abc.Callable[[], bool]
    clock: types.Clock


class _Submission(typing.NamedTuple):
    """A request whose headers, key and body passed all checks."""

    request: types.Request
    asynchronous: bool


def build_application(ports: FrontEndPorts) -> blacksheep.Application:
    """Returns the application for callers and the load balancer's probes."""
    router = blacksheep.Router()
    application = blacksheep.Application(router=router)

    async def submit(request: blacksheep.Request) -> blacksheep.Response:
        parsed = await _parse_submission(request, ports)
        if not pipeline.is_successful(parsed):
            response = await _refusal_response(request, parsed.failure(), ports)
        else:
            reservation = bodies.reservation_of(request)
            response = await _submit(parsed.unwrap(), reservation, ports)
        return _close_if_stopping(response, ports)

    async def fetch(request: blacksheep.Request) -> blacksheep.Response:
        return _close_if_stopping(await _fetch(request, ports), ports)

    async def cancel(request: blacksheep.Request) -> blacksheep.Response:
        return _close_if_stopping(await _cancel(request, ports), ports)

    async def livez() -> blacksheep.Response:
        return blacksheep.text("live")

    async def readyz() -> blacksheep.Response:
        if ports.is_ready():
            return _close_if_stopping(blacksheep.text("ready"), ports)
        return _close_if_stopping(
            blacksheep.text("not ready", status=503), ports
        )

    async def unknown_path(request: blacksheep.Request) -> blacksheep.Response:
        refusal = responses.unknown_path_refusal(request)
        return _close_if_stopping(
            await _refusal_response(request, refusal, ports), ports
        )

    router.add_post("/queues/{queue}/requests", submit)
    router.add_get("/requests/{request_id}", fetch)
    router.add_delete("/requests/{request_id}", cancel)
    router.add_get("/livez", livez)
    router.add_get("/readyz", readyz)
    router.fallback = unknown_path
    return application


async def _parse_submission(
    request: blacksheep.Request, ports: FrontEndPorts
) -> result.Result[_Submission, verdicts.Refusal]:
    """Checks the headers and the key, then reads the body."""
    queue = responses.route_value(request, "queue")
    parsed = headers.parse_headers(request.headers, ports.clock)
    team = parsed.bind(lambda found: ports.authorize(queue, found.key))
    if not pipeline.is_successful(team):
        return result.Failure(team.failure())
    found = parsed.unwrap()
    body = await bodies.read_body(request)
    return body.map(
        lambda payload: _Submission(
            types.Request(
                found.request_id,
                queue,
                team.unwrap(),
                payload,
                found.content_type,
                found.size,
                found.deadline_s,
                found.idempotent,
                found.run_s,
            ),
            found.asynchronous,
        )
    )


async def _refusal_response(
    request: blacksheep.Request,
    refusal: verdicts.Refusal,
    ports: FrontEndPorts,
) -> blacksheep.Response:
    """Returns the response to a request that wasn't accepted.

    The verdict of a submission takes earlier submissions of its id into
    account.
    """
    request_id = headers.id_for_claim_lookup(request.headers, ports.clock)
    if request_id and request.method == "POST":
        refusal = await request_claims.correct_verdict(
            refusal, request_id, ports.lookup
        )
    return responses.problem_response(refusal, request_id)


async def _submit(
    submission: _Submission,
    reservation: request_limiter.Reservation,
    ports: FrontEndPorts,
) -> blacksheep.Response:
    """Runs a submission and returns its response.

    A synchronous submission is answered when it ends, an asynchronous one as
    soon as its id is claimed.
    """
    request = submission.request
    progress = in_progress.RequestProgress()
    claimed = submission.asynchronous or not request.idempotent
    # The submission continues when the caller disconnects, because a slot is
    # free only after the upstream has stopped the task.
    task = asyncio.get_running_loop().create_task(
        ports.submit(request, claimed, progress)
    )
    ports.running_submissions.add(task)
    reservation.hold()

    def on_task_done(ended: asyncio.Task[RequestOutcome]) -> None:
        ports.running_submissions.discard(ended)
        reservation.release()
        if ended.cancelled() or ended.exception() is not None:
            return
        if progress.claimed.is_set():
            ports.answers.put(request.request_id, request.team, ended.result())

    task.add_done_callback(on_task_done)
    if not submission.asynchronous:
        outcome = await asyncio.shield(task)
        return responses.outcome_response(outcome, request.request_id)
    if not await _ended_before_claim(task, progress):
        return responses.accepted_response(request.request_id, "running")
    outcome = task.result()
    if outcome.swap().map(request_claims.is_running).value_or(False):
        return responses.accepted_response(request.request_id, "running")
    return responses.outcome_response(outcome, request.request_id)


async def _ended_before_claim(
    task: asyncio.Task[RequestOutcome], progress: in_progress.RequestProgress
) -> bool:
    """Waits for the claim or the request's end; returns whether it ended."""
    claim = asyncio.get_running_loop().create_task(progress.claimed.wait())
    try:
        await asyncio.wait((task, claim), return_when="FIRST_COMPLETED")
    finally:
        claim.cancel()
    return task.done()


async def _fetch(
    request: blacksheep.Request, ports: FrontEndPorts
) -> blacksheep.Response:
    """Returns the outcome of an earlier submission of the same team."""
    request_id = responses.route_value(request, "request_id").lower()
    found = await _find_outcome(request, request_id, ports)
    if not pipeline.is_successful(found):
        return responses.problem_response(found.failure(), request_id)
    outcome = found.unwrap()
    if outcome.swap().map(request_claims.is_running).value_or(False):
        return responses.accepted_response(request_id, "running")
    return responses.outcome_response(outcome, request_id)


async def _cancel(
    request: blacksheep.Request, ports: FrontEndPorts
) -> blacksheep.Response:
    """Cancels a request of the same team unless it has ended."""
    request_id = responses.route_value(request, "request_id").lower()
    found = await _find_outcome(request, request_id, ports)
    if not pipeline.is_successful(found):
        return responses.problem_response(found.failure(), request_id)
    outcome = found.unwrap()
    if outcome.swap().map(request_claims.is_running).value_or(False):
        ports.cancel(request_id)
        return responses.accepted_response(request_id, "cancelling")
    verdict = outcome.swap().map(lambda refusal: refusal.verdict)
    return responses.problem_response(
        verdicts.Refusal(
            verdict.value_or(verdicts.Verdict.RAN),
            "already-ended",
            409,
            "the request has ended and can't be cancelled",
        ),
        request_id,
    )


async def _find_outcome(
    request: blacksheep.Request, request_id: str, ports: FrontEndPorts
) -> result.Result[RequestOutcome, verdicts.Refusal]:
    """Returns the outcome of a request id that belongs to the key's team."""
    key = headers.single_values(request.headers).bind(
        lambda values: headers.parse_key(values.get(headers.KEY))
    )
    team = key.bind(ports.team_of_key)
    if not pipeline.is_successful(team):
        refusal = team.failure()
        # The fetch itself failed, so whether the request ran is unknown.
        return result.Failure(
            refusal._replace(verdict=verdicts.Verdict.MAY_HAVE_RUN)
        )
    cached = ports.answers.get(request_id)
    if cached is not None:
        if cached.team != team.unwrap():
            return result.Failure(request_claims.UNKNOWN_REQUEST)
        return result.Success(cached.outcome)
    reply = await ports.lookup(request_id)
    if not pipeline.is_successful(reply):
        return result.Failure(
            request_claims.unverified_refusal(reply.failure())
        )
    state = reply.unwrap()
    # A request of another team is reported as unknown, so that its existence
    # isn't disclosed.
    if state.state == messages.CLAIM_UNKNOWN or state.team != team.unwrap():
        return result.Failure(request_claims.UNKNOWN_REQUEST)
    return result.Success(request_claims.lookup_outcome(state))


def _close_if_stopping(
    response: blacksheep.Response, ports: FrontEndPorts
) -> blacksheep.Response:
    """Asks the caller to reconnect elsewhere if this host is stopping."""
    if ports.is_stopping():
        response.add_header(b"connection", b"close")
    return response
