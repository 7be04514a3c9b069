"""HTTP front end: translates between blacksheep and `submission`."""

import asyncio
from collections import abc
import typing

import blacksheep
from blacksheep import exceptions
from returns import pipeline
from returns import result

from chervillead import types
from chervillead import verdicts
from chervillead.callers import answers
from chervillead.callers import bodies
from chervillead.callers import headers
from chervillead.callers import in_progress
from chervillead.callers import request_claims
from chervillead.callers import responses
from chervillead.entries import messages

RequestOutcome: typing.TypeAlias = result.Result[types.Answer, verdicts.Refusal]


class FrontEndPorts(typing.NamedTuple):
    """What the front end needs from the rest of the process.

    Attributes:
        authorize: Returns the team for (queue, key).
        team_of_key: Returns the team of a key, whatever the queue.
        submit: Runs a request; the flag asks for a claim on its id.
        lookup: Asks the claim holder what is known of an id.
        cancel: Asks the owner of a claimed id to cancel its request.
        answers: Outcomes of claimed requests of this host.
        body_memory: Bound on the memory that request bodies take.
        running_submissions: Tasks of the submissions under way.
        is_ready: Whether the balancer should send requests here.
        is_stopping: Whether connections should be closed after an answer.
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
    body_memory: bodies.BodyMemoryLimiter
    running_submissions: set[asyncio.Task[RequestOutcome]]
    is_ready: abc.Callable[[], bool]
    is_stopping: abc.Callable[[], bool]
    clock: types.Clock


class _Submission(typing.NamedTuple):
    """A submission whose headers, key and body were accepted."""

    request: types.Request
    asynchronous: bool


def build_application(ports: FrontEndPorts) -> blacksheep.Application:
    """Returns the application that serves callers and the balancer."""
    router = blacksheep.Router()
    application = blacksheep.Application(router=router)

    async def submit(request: blacksheep.Request) -> blacksheep.Response:
        parsed = await _accept(request, ports)
        if not pipeline.is_successful(parsed):
            response = await _refuse(request, parsed.failure(), ports)
        else:
            response = await _submit(parsed.unwrap(), ports)
        return _closing(response, ports)

    async def fetch(request: blacksheep.Request) -> blacksheep.Response:
        return _closing(await _fetch(request, ports), ports)

    async def cancel(request: blacksheep.Request) -> blacksheep.Response:
        return _closing(await _cancel(request, ports), ports)

    async def livez() -> blacksheep.Response:
        return blacksheep.text("live")

    async def readyz() -> blacksheep.Response:
        if ports.is_ready():
            return _closing(blacksheep.text("ready"), ports)
        return _closing(blacksheep.text("not ready", status=503), ports)

    async def unknown_path(
        request: blacksheep.Request,
    ) -> blacksheep.Response:
        refusal = responses.unknown_path_refusal(request)
        return _closing(await _refuse(request, refusal, ports), ports)

    router.add_post("/queues/{queue}/requests", submit)
    router.add_get("/requests/{request_id}", fetch)
    router.add_delete("/requests/{request_id}", cancel)
    router.add_get("/livez", livez)
    router.add_get("/readyz", readyz)
    router.fallback = unknown_path
    return application


async def _accept(
    request: blacksheep.Request, ports: FrontEndPorts
) -> result.Result[_Submission, verdicts.Refusal]:
    """Checks the headers and the key, then reads the body."""
    queue = responses.route_value(request, "queue")
    parsed = headers.parse_headers(request.headers, ports.clock)
    team = parsed.bind(lambda found: ports.authorize(queue, found.key))
    if not pipeline.is_successful(team):
        return result.Failure(team.failure())
    found = parsed.unwrap()
    body = await bodies.read_body(
        _chunks(request), found.content_length, ports.body_memory
    )
    return body.map(
        lambda whole: _Submission(
            types.Request(
                found.request_id,
                queue,
                team.unwrap(),
                whole,
                found.content_type,
                found.size,
                found.deadline_s,
                found.idempotent,
                found.run_s,
            ),
            found.asynchronous,
        )
    )


async def _chunks(request: blacksheep.Request) -> abc.AsyncIterator[bytes]:
    try:
        async for chunk in request.stream():  # type: ignore[attr-defined]
            yield chunk
    except exceptions.MessageAborted as error:
        raise bodies.TruncatedBodyError from error


async def _refuse(
    request: blacksheep.Request,
    refusal: verdicts.Refusal,
    ports: FrontEndPorts,
) -> blacksheep.Response:
    """Answers a submission that wasn't accepted, with a true verdict."""
    request_id = headers.id_for_claim_lookup(request.headers, ports.clock)
    if request_id and request.method == "POST":
        refusal = await request_claims.correct_verdict(
            refusal, request_id, ports.lookup
        )
    return responses.problem_response(refusal, request_id)


async def _submit(
    submission: _Submission, ports: FrontEndPorts
) -> blacksheep.Response:
    """Runs a submission; answers at its end or, if asked, at its claim."""
    request = submission.request
    progress = in_progress.RequestProgress()
    claimed = submission.asynchronous or not request.idempotent
    # The submission goes on when the caller disconnects, because a slot is
    # free only when the upstream has stopped.
    task = asyncio.get_running_loop().create_task(
        ports.submit(request, claimed, progress)
    )
    ports.running_submissions.add(task)

    def end(ended: asyncio.Task[RequestOutcome]) -> None:
        ports.running_submissions.discard(ended)
        ports.body_memory.release(len(request.body))
        if ended.cancelled() or ended.exception() is not None:
            return
        if progress.claimed.is_set():
            ports.answers.put(request.request_id, request.team, ended.result())

    task.add_done_callback(end)
    if not submission.asynchronous:
        outcome = await asyncio.shield(task)
        return responses.outcome_response(outcome, request.request_id)
    if not await _ends_before_claim(task, progress):
        return responses.accepted_response(request.request_id, "running")
    outcome = task.result()
    if outcome.swap().map(request_claims.is_running).value_or(False):
        return responses.accepted_response(request.request_id, "running")
    return responses.outcome_response(outcome, request.request_id)


async def _ends_before_claim(
    task: asyncio.Task[RequestOutcome], progress: in_progress.RequestProgress
) -> bool:
    """Waits for the claim; returns whether the request ended without it."""
    claim = asyncio.get_running_loop().create_task(progress.claimed.wait())
    try:
        await asyncio.wait((task, claim), return_when="FIRST_COMPLETED")
    finally:
        claim.cancel()
    return task.done()


async def _fetch(
    request: blacksheep.Request, ports: FrontEndPorts
) -> blacksheep.Response:
    """Answers with the outcome of an earlier submission of the same team."""
    request_id = responses.route_value(request, "request_id").lower()
    found = await _find(request, request_id, ports)
    if not pipeline.is_successful(found):
        return responses.problem_response(found.failure(), request_id)
    outcome = found.unwrap()
    if outcome.swap().map(request_claims.is_running).value_or(False):
        return responses.accepted_response(request_id, "running")
    return responses.outcome_response(outcome, request_id)


async def _cancel(
    request: blacksheep.Request, ports: FrontEndPorts
) -> blacksheep.Response:
    """Cancels a request of the same team, if it hasn't ended."""
    request_id = responses.route_value(request, "request_id").lower()
    found = await _find(request, request_id, ports)
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


async def _find(
    request: blacksheep.Request, request_id: str, ports: FrontEndPorts
) -> result.Result[RequestOutcome, verdicts.Refusal]:
    """Returns what is known of an id, if the key's team owns it."""
    key = headers.single_values(request.headers).bind(
        lambda values: headers.parse_key(values.get(headers.KEY))
    )
    team = key.bind(ports.team_of_key)
    if not pipeline.is_successful(team):
        refusal = team.failure()
        # A fetch says nothing about whether the fetched request ran.
        return result.Failure(
            refusal._replace(verdict=verdicts.Verdict.MAY_HAVE_RUN)
        )
    stored = ports.answers.get(request_id)
    if stored is not None:
        if stored.team != team.unwrap():
            return result.Failure(request_claims.UNKNOWN_REQUEST)
        return result.Success(stored.outcome)
    reply = await ports.lookup(request_id)
    if not pipeline.is_successful(reply):
        return result.Failure(
            request_claims.unverified_refusal(reply.failure())
        )
    state = reply.unwrap()
    # A request of another team looks the same as an unknown one.
    if state.state == messages.CLAIM_UNKNOWN or state.team != team.unwrap():
        return result.Failure(request_claims.UNKNOWN_REQUEST)
    return result.Success(request_claims.lookup_outcome(state))


def _closing(
    response: blacksheep.Response, ports: FrontEndPorts
) -> blacksheep.Response:
    """Tells the caller to use another connection if this host stops."""
    if ports.is_stopping():
        response.add_header(b"connection", b"close")
    return response
