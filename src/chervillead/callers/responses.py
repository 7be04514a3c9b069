"""Responses to callers, and what their requests' paths say."""

import blacksheep
import msgspec
from returns import pipeline
from returns import result

from chervillead import types
from chervillead import verdicts
from chervillead.callers import problems

# A running request is asked for again after this many seconds.
POLL_AFTER_S = 1


def route_value(request: blacksheep.Request, name: str) -> str:
    """Returns a variable part of the path, or ""."""
    return (request.route_values or {}).get(name) or ""


def outcome_response(
    outcome: result.Result[types.Answer, verdicts.Refusal], request_id: str
) -> blacksheep.Response:
    """Returns the response to a request that has ended."""
    if not pipeline.is_successful(outcome):
        return problem_response(outcome.failure(), request_id)
    answer = outcome.unwrap()
    return blacksheep.Response(
        answer.status,
        [
            (b"chervillead-verdict", verdicts.Verdict.RAN.value.encode()),
            (b"chervillead-request-id", request_id.encode()),
        ],
        blacksheep.Content(answer.content_type.encode(), answer.body),
    )


def problem_response(
    refusal: verdicts.Refusal, request_id: str
) -> blacksheep.Response:
    """Returns a refusal as a problem, and logs it."""
    problems.log_refusal(refusal, request_id)
    return blacksheep.Response(
        refusal.status,
        [
            *problems.problem_headers(refusal),
            *(
                [(b"chervillead-request-id", request_id.encode())]
                * bool(request_id)
            ),
        ],
        blacksheep.Content(
            problems.CONTENT_TYPE.encode(),
            problems.encode_problem(refusal, request_id),
        ),
    )


def accepted_response(request_id: str, state: str) -> blacksheep.Response:
    """Returns the response to a request that goes on."""
    return blacksheep.Response(
        202,
        [
            (b"location", f"/requests/{request_id}".encode()),
            (b"retry-after", str(POLL_AFTER_S).encode()),
            (b"chervillead-request-id", request_id.encode()),
        ],
        blacksheep.Content(
            b"application/json",
            msgspec.json.encode({"request_id": request_id, "state": state}),
        ),
    )


def unknown_path_refusal(request: blacksheep.Request) -> verdicts.Refusal:
    """Returns the refusal of a path or method that isn't served."""
    path = request.url.value.decode("latin-1")
    return verdicts.not_run(
        "unknown-path",
        404,
        f"{request.method[:16]} {path[:64]!r} isn't served; allowed are "
        "POST /queues/QUEUE/requests, GET and DELETE /requests/ID, "
        "GET /livez and GET /readyz",
    )
