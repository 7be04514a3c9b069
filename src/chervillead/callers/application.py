"""HTTP front end: translates between blacksheep and `submission`."""

import asyncio
from collections import abc
import typing

import blacksheep
from returns import pipeline
from returns import result

from chervillead import types
from chervillead import verdicts
from chervillead.callers import problems
from chervillead.callers import request_ids

DEFAULT_DEADLINE_MS = 30_000
MAX_DEADLINE_MS = 600_000
MAX_BODY_BYTES = 1024 * 1024


class FrontEndPorts(typing.NamedTuple):
    """What the front end needs from the rest of the process.

    Attributes:
        authorize: Returns the team for (queue, key).
        submit: Runs a request; the flag asks for a claim on its id.
        lookup: Returns the outcome of an earlier submission.
        is_ready: Whether the balancer should send requests here.
        clock: Source of time.
    """

    authorize: abc.Callable[
        [str, str | None], result.Result[str, verdicts.Refusal]
    ]
    submit: abc.Callable[
        [types.Request, bool],
        abc.Coroutine[
            typing.Any,
            typing.Any,
            result.Result[types.Answer, verdicts.Refusal],
        ],
    ]
    lookup: abc.Callable[
        [str], abc.Awaitable[result.Result[types.Answer, verdicts.Refusal]]
    ]
    is_ready: abc.Callable[[], bool]
    clock: types.Clock


class _CallerHeaders(typing.NamedTuple):
    request_id: str
    key: str | None
    idempotent: bool
    deadline_s: float
    run_s: float | None
    size: types.Size


def build_application(ports: FrontEndPorts) -> blacksheep.Application:
    """Returns the application that serves callers and the balancer."""
    router = blacksheep.Router()
    application = blacksheep.Application(router=router)
    submissions: set[asyncio.Task[typing.Any]] = set()

    async def submit(request: blacksheep.Request) -> blacksheep.Response:
        parsed = _parse_headers(request, ports.clock)
        if not pipeline.is_successful(parsed):
            return _problem(parsed.failure(), "")
        headers = parsed.unwrap()
        queue = _route_value(request, "queue")
        team = ports.authorize(queue, headers.key)
        if not pipeline.is_successful(team):
            return _problem(team.failure(), headers.request_id)
        body = await request.read() or b""
        if len(body) > MAX_BODY_BYTES:
            return _problem(_too_large(len(body)), headers.request_id)
        # The submission goes on when the caller disconnects, because a slot is
        # free only when the upstream has stopped.
        task = asyncio.get_running_loop().create_task(
            ports.submit(
                types.Request(
                    headers.request_id,
                    queue,
                    team.unwrap(),
                    body,
                    _header(request, b"content-type")
                    or "application/octet-stream",
                    headers.size,
                    headers.deadline_s,
                    headers.idempotent,
                    headers.run_s,
                ),
                not headers.idempotent,
            )
        )
        submissions.add(task)
        task.add_done_callback(submissions.discard)
        outcome = await asyncio.shield(task)
        return _response(outcome, headers.request_id)

    async def fetch(request: blacksheep.Request) -> blacksheep.Response:
        request_id = _route_value(request, "request_id")
        return _response(await ports.lookup(request_id), request_id)

    async def livez() -> blacksheep.Response:
        return blacksheep.text("live")

    async def readyz() -> blacksheep.Response:
        if ports.is_ready():
            return blacksheep.text("ready")
        return blacksheep.text("not ready", status=503)

    router.add_post("/queues/{queue}/requests", submit)
    router.add_get("/requests/{request_id}", fetch)
    router.add_get("/livez", livez)
    router.add_get("/readyz", readyz)
    return application


def _route_value(request: blacksheep.Request, name: str) -> str:
    return (request.route_values or {}).get(name) or ""


def _header(request: blacksheep.Request, name: bytes) -> str | None:
    value = request.get_first_header(name)
    return None if value is None else value.decode("latin-1")


def _parse_headers(
    request: blacksheep.Request, clock: types.Clock
) -> result.Result[_CallerHeaders, verdicts.Refusal]:
    wall_s = clock.wall()
    text = _header(request, b"chervillead-request-id")
    if text is None:
        text = request_ids.new_request_id(wall_s)
    identity = request_ids.parse_request_id(text, wall_s)
    if not pipeline.is_successful(identity):
        return result.Failure(identity.failure())
    time_left = _header(request, b"chervillead-deadline-ms")
    left_ms = DEFAULT_DEADLINE_MS
    if time_left is not None:
        if not time_left.isdigit() or not 0 < int(time_left) <= MAX_DEADLINE_MS:
            return result.Failure(
                verdicts.not_run(
                    "malformed-deadline",
                    400,
                    f"chervillead-deadline-ms is {time_left[:32]!r}, allowed "
                    f"is a whole number from 1 to {MAX_DEADLINE_MS}",
                )
            )
        left_ms = int(time_left)
    key = _header(request, b"authorization")
    return result.Success(
        _CallerHeaders(
            identity.unwrap().text,
            None if key is None else key.removeprefix("Bearer "),
            _header(request, b"chervillead-idempotent") == "true",
            clock.monotonic() + left_ms / 1000,
            None,
            types.Size(),
        )
    )


def _response(
    outcome: result.Result[types.Answer, verdicts.Refusal], request_id: str
) -> blacksheep.Response:
    if not pipeline.is_successful(outcome):
        return _problem(outcome.failure(), request_id)
    answer = outcome.unwrap()
    return blacksheep.Response(
        answer.status,
        [
            (b"chervillead-verdict", verdicts.Verdict.RAN.value.encode()),
            (b"chervillead-request-id", request_id.encode()),
        ],
        blacksheep.Content(answer.content_type.encode(), answer.body),
    )


def _problem(refusal: verdicts.Refusal, request_id: str) -> blacksheep.Response:
    return blacksheep.Response(
        refusal.status,
        problems.problem_headers(refusal),
        blacksheep.Content(
            problems.CONTENT_TYPE.encode(),
            problems.encode_problem(refusal, request_id),
        ),
    )


def _too_large(length: int) -> verdicts.Refusal:
    return verdicts.not_run(
        "body-too-large",
        413,
        f"the body has {length} bytes, at most {MAX_BODY_BYTES} are allowed",
    )
