"""Client for callers: submits a request and retries it only when that is safe.

All attempts carry the same request id, so that a retry never starts a second
execution. The delay between attempts is at least Retry-After, plus a random
time between 0 and a bound that doubles with each attempt (exponential back-off
with full jitter). Full jitter follows "Retry Storms When a Network Comes Back":
callers that failed at the same time must not retry at the same time.
"""

import asyncio
from collections import abc
import random
import typing

import msgspec
from returns import result

from chervillead import error_texts
from chervillead import http_exchange
from chervillead import types
from chervillead import verdicts
from chervillead.callers import request_ids

INITIAL_WINDOW_S = 0.5
MAX_WINDOW_S = 20.0

# Refusals without Retry-After that are retried nevertheless: the request still
# runs elsewhere, or has ended without running.
RETRYABLE_REASONS = frozenset(("already-submitted", "did-not-run"))

Call = abc.Callable[
    [http_exchange.HttpRequest], abc.Awaitable[http_exchange.HttpResponse]
]
Draw = abc.Callable[[float, float], float]
Outcome: typing.TypeAlias = result.Result[types.Answer, verdicts.Refusal]


class Work(typing.NamedTuple):
    """A request to submit.

    Attributes:
        queue: Queue of the request.
        body: Payload.
        key: API key of the team, or None on a queue that is open to all.
        content_type: Media type of the payload.
        idempotent: Whether running the request twice is harmless.
        request_id: Id of an earlier submission, or None for a new request.
    """

    queue: str
    body: bytes
    key: str | None = None
    content_type: str = "application/octet-stream"
    idempotent: bool = False
    request_id: str | None = None


class _Problem(typing.TypedDict):
    verdict: str
    reason: str
    detail: str
    retry_after_s: typing.NotRequired[float | None]


async def submit(
    work: Work,
    call: Call,
    clock: types.Clock,
    *,
    within_s: float,
    draw: Draw = random.uniform,
) -> Outcome:
    """Submits a request and returns its answer or the last refusal.

    Args:
        work: Request to submit.
        call: Makes one HTTP call to an entry host or the load balancer; raises
            OSError, TimeoutError or IncompleteResponseError if that fails.
        clock: Source of time.
        within_s: Seconds from now within which the caller needs the answer.
        draw: Returns a random number between two bounds.
    """
    request_id = work.request_id or request_ids.new_request_id(clock.wall())
    deadline_s = clock.monotonic() + within_s
    outcome: Outcome = result.Failure(
        verdicts.not_run(
            "deadline-exceeded",
            504,
            "the deadline had passed before the first attempt",
        )
    )
    for attempt in range(2**31):
        left_s = deadline_s - clock.monotonic()
        if left_s < 0.001:
            break
        request = _http_request(work, request_id, left_s)
        outcome = await _attempt(request, call, left_s)
        delay_s = next_delay(outcome, attempt, draw)
        if delay_s is None or clock.monotonic() + delay_s >= deadline_s:
            break
        await asyncio.sleep(delay_s)
    return outcome


def next_delay(outcome: Outcome, attempt: int, draw: Draw) -> float | None:
    """Returns the delay before the next attempt, in seconds, or None if none.

    Args:
        outcome: Outcome of the attempt.
        attempt: Number of the attempt, from 0.
        draw: Returns a random number between two bounds.
    """
    refusal = outcome.swap().value_or(None)
    if refusal is None:
        return None
    min_delay_s = refusal.retry_after_s
    if min_delay_s is None and refusal.reason not in RETRYABLE_REASONS:
        return None
    window_s = min(MAX_WINDOW_S, INITIAL_WINDOW_S * 2 ** min(attempt, 30))
    return (min_delay_s or 0.0) + draw(0.0, window_s)


def _http_request(
    work: Work, request_id: str, left_s: float
) -> http_exchange.HttpRequest:
    headers = [
        ("chervillead-request-id", request_id),
        ("chervillead-idempotent", "true" if work.idempotent else "false"),
        ("chervillead-deadline-ms", str(int(left_s * 1000))),
        ("content-type", work.content_type),
    ]
    if work.key is not None:
        headers.append(("authorization", f"Bearer {work.key}"))
    return http_exchange.HttpRequest(
        "POST", f"/queues/{work.queue}/requests", tuple(headers), work.body
    )


async def _attempt(
    request: http_exchange.HttpRequest, call: Call, left_s: float
) -> Outcome:
    try:
        async with asyncio.timeout(left_s):
            response = await call(request)
    except http_exchange.UnsendableRequestError as error:
        return result.Failure(
            verdicts.not_run("unsendable-request", 400, str(error))
        )
    except (
        OSError,
        TimeoutError,
        http_exchange.IncompleteResponseError,
    ) as error:
        # The entry host may have accepted the request before the connection
        # was lost.
        detail = f"{type(error).__name__}: {error}"
        refusal = verdicts.may_have_run("connection-lost", 503, detail)
        return result.Failure(refusal._replace(retry_after_s=0.0))
    content_type = response.headers.get("content-type", "")
    if content_type == "application/problem+json":
        return result.Failure(_read_problem(response))
    return result.Success(
        types.Answer(response.status, content_type, response.body)
    )


def _read_problem(response: http_exchange.HttpResponse) -> verdicts.Refusal:
    try:
        problem = msgspec.json.decode(response.body, type=_Problem)
        return verdicts.Refusal(
            verdicts.Verdict(problem["verdict"]),
            problem["reason"],
            response.status,
            error_texts.shorten_text(problem["detail"]),
            problem.get("retry_after_s"),
        )
    except (msgspec.DecodeError, ValueError) as error:
        return verdicts.may_have_run("malformed-problem", 502, str(error))
