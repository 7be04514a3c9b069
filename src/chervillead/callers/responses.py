"""Builds responses to callers and reads variables from request paths."""

import blacksheep
import msgspec
from returns import pipeline
from returns import result

from chervillead import types
from chervillead import verdicts
from chervillead.callers import problems

# Interval after which a caller should fetch a running request again.
POLL_AFTER_S = 1


def route_value(request: blacksheep.Request, name: str) -> str:
    """Returns a variable of the route's path, or "" if it is missing."""
    return (request.route_values or {}).get(name) or ""


def outcome_response(
    outcome: result.Result[types.Answer, verdicts.Refusal], request_id: str
) -> blacksheep.Response:
    """Returns the response with the answer or the refusal of a request."""
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
    """Logs a refusal and returns it as a problem response."""
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
    """Returns the 202 response for a request that is still in progress."""
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
    """Returns the refusal of an unknown path or method."""
    path = request.url.value.decode("latin-1")
    return verdicts.not_run(
        "unknown-path",
        404,
        f"{request.method[:16]} {path[:64]!r} is not served; allowed are "
        "POST /queues/QUEUE/requests, GET and DELETE /requests/ID, "
        "GET /livez and GET /readyz",
    )
