"""HTTP routes that callers use to submit, find, cancel and count jobs."""

from collections import abc
import typing

import blacksheep
import msgspec
from returns import pipeline
from returns import result

from chervillead import error_texts
from chervillead import types
from chervillead import verdicts
from chervillead.callers import bodies
from chervillead.jobs import job_api
from chervillead.jobs import validation
from chervillead.platform import job_bodies

# Deadline of calls without a valid deadline-ms header.
DEFAULT_DEADLINE_MS = 3000
_JSON = b"application/json"


class RoutePorts(typing.NamedTuple):
    """Dependencies of the routes.

    Attributes:
        jobs: Dependencies of calls about jobs.
        clock: Monotonic and wall clock.
        is_ready: Whether the load balancer should route to this host.
        is_stopping: Whether connections close after the current response.
        observe: Records a duration in seconds, by histogram name.
        increment: Increments a counter, by name and label values.
    """

    jobs: job_api.JobPorts
    clock: types.Clock
    is_ready: abc.Callable[[], bool]
    is_stopping: abc.Callable[[], bool]
    observe: abc.Callable[[str, float], None]
    increment: abc.Callable[..., None]


class _Call(typing.NamedTuple):
    """An admitted call; `job_id` is empty for calls about a whole queue."""

    admission: job_api.Admission
    job_id: str
    time_left_s: float


def build_application(ports: RoutePorts) -> blacksheep.Application:
    """Returns the application for callers and the readiness probe."""
    router = blacksheep.Router()
    application = blacksheep.Application(router=router)

    async def handle(request: blacksheep.Request) -> blacksheep.Response:
        started_s = ports.clock.monotonic()
        path = request.url.path.decode("latin-1")
        if path == "/ready" and request.method == "GET":
            return _json_response(200 if ports.is_ready() else 503, None, ports)
        call = _decode_call(request, path, ports)
        if not pipeline.is_successful(call):
            response = _refusal_response(call.failure(), path, ports)
        else:
            response = await _dispatch(request, call.unwrap(), path, ports)
        duration_s = ports.clock.monotonic() - started_s
        ports.observe("call_seconds", duration_s)
        ports.increment(
            "chervillead_calls", request.method, str(response.status)
        )
        return response

    router.fallback = handle
    return application


def _decode_call(
    request: blacksheep.Request, path: str, ports: RoutePorts
) -> result.Result[_Call, verdicts.Refusal]:
    host = (_header(request, b"host") or "").partition(":")[0]
    admission = job_api.admit(ports.jobs, host, path, _header(request, b"key"))
    deadline = _header(request, b"deadline-ms") or ""
    time_left_ms = int(deadline) if deadline.isdigit() else DEFAULT_DEADLINE_MS
    return admission.map(
        lambda admitted: _Call(
            admitted,
            path[len(admitted.queue.path_prefix) :].strip("/"),
            time_left_ms / 1000,
        )
    )


async def _dispatch(
    request: blacksheep.Request, call: _Call, path: str, ports: RoutePorts
) -> blacksheep.Response:
    if not call.job_id and request.method == "GET":
        return await _count(call, path, ports)
    if not validation.is_job_id(call.job_id):
        refusal = verdicts.not_run(
            "bad-job-id",
            404 if request.method != "POST" else 400,
            f"{call.job_id!r} is not 16 hexadecimal digits",
        )
        return _refusal_response(refusal, path, ports)
    if request.method == "POST":
        return await _submit(request, call, path, ports)
    if request.method == "GET":
        return await _find(call, path, ports)
    if request.method == "DELETE":
        return await _cancel(call, path, ports)
    refusal = verdicts.not_run("bad-method", 405, request.method)
    return _refusal_response(refusal, path, ports)


async def _submit(
    request: blacksheep.Request, call: _Call, path: str, ports: RoutePorts
) -> blacksheep.Response:
    body = await bodies.read_body(request)
    if not pipeline.is_successful(body):
        known = await job_api.check_unread(
            ports.jobs,
            call.admission,
            call.job_id,
            body.failure(),
            call.time_left_s,
        )
        if not pipeline.is_successful(known):
            return _refusal_response(known.failure(), path, ports)
        return _json_response(200, None, ports)
    decoded = job_bodies.decode_job(
        body.unwrap(),
        job_id=call.job_id,
        queue=call.admission.queue,
        account=call.admission.account,
        now_unix_ms=int(1000 * ports.clock.wall()),
    )
    if not pipeline.is_successful(decoded):
        refusal = verdicts.not_run("bad-job", 400, decoded.failure().detail)
        return _refusal_response(refusal, path, ports)
    stored = await job_api.submit(
        ports.jobs, decoded.unwrap(), call.time_left_s
    )
    if not pipeline.is_successful(stored):
        return _refusal_response(stored.failure(), path, ports)
    return _json_response(200, None, ports)


async def _find(
    call: _Call, path: str, ports: RoutePorts
) -> blacksheep.Response:
    state = await job_api.find(
        ports.jobs, call.admission, call.job_id, call.time_left_s
    )
    if not pipeline.is_successful(state):
        return _refusal_response(state.failure(), path, ports)
    return _json_response(200, {"State": state.unwrap().phase}, ports)


async def _cancel(
    call: _Call, path: str, ports: RoutePorts
) -> blacksheep.Response:
    outcome = await job_api.cancel(
        ports.jobs, call.admission, call.job_id, call.time_left_s
    )
    if not pipeline.is_successful(outcome):
        return _refusal_response(outcome.failure(), path, ports)
    return _json_response(200, None, ports)


async def _count(
    call: _Call, path: str, ports: RoutePorts
) -> blacksheep.Response:
    outcome = await job_api.count_pending(
        ports.jobs, call.admission.queue, call.time_left_s
    )
    if not pipeline.is_successful(outcome):
        return _refusal_response(outcome.failure(), path, ports)
    return _json_response(200, {"Pending": outcome.unwrap()}, ports)


def _refusal_response(
    refusal: verdicts.Refusal, path: str, ports: RoutePorts
) -> blacksheep.Response:
    configuration = ports.jobs.configuration()
    age_s = ports.jobs.configuration_age_s()
    ports.jobs.log(
        "call:refused",
        path=error_texts.shorten_text(path),
        reason=refusal.reason,
        status=refusal.status,
        verdict=refusal.verdict.value,
        detail=refusal.detail,
        version=configuration and configuration.version,
        version_age_s=round(age_s, 3) if age_s < float("inf") else None,
    )
    response = _json_response(
        refusal.status,
        {"Reason": refusal.reason, "Detail": refusal.detail},
        ports,
    )
    if refusal.retry_after_s is not None:
        seconds = str(max(1, round(refusal.retry_after_s))).encode()
        response.add_header(b"retry-after", seconds)
    return response


def _json_response(
    status: int, fields: dict[str, object] | None, ports: RoutePorts
) -> blacksheep.Response:
    content = blacksheep.Content(_JSON, msgspec.json.encode(fields or {}))
    response = blacksheep.Response(status, content=content)
    if ports.is_stopping():
        response.add_header(b"connection", b"close")
    return response


def _header(request: blacksheep.Request, name: bytes) -> str | None:
    value = request.headers.get_first(name)
    return None if value is None else value.decode("latin-1")
