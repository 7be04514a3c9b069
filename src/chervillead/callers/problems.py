"""Encoding of refusals as problem details (RFC 9457)."""

import math

import eliot
import msgspec

from chervillead import verdicts

CONTENT_TYPE = "application/problem+json"
VERDICT_HEADER = "chervillead-verdict"

_TITLES = {
    verdicts.Verdict.NOT_RUN: "The request did not run",
    verdicts.Verdict.RAN: "The request ran but its answer is lost",
    verdicts.Verdict.MAY_HAVE_RUN: "The request may have run",
}


def encode_problem(refusal: verdicts.Refusal, request_id: str) -> bytes:
    """Returns the JSON body of the problem that describes `refusal`."""
    return msgspec.json.encode(
        {
            "type": f"urn:chervillead:problem:{refusal.reason}",
            "title": _TITLES[refusal.verdict],
            "status": refusal.status,
            "detail": refusal.detail,
            "reason": refusal.reason,
            "verdict": refusal.verdict.value,
            "request_id": request_id,
            "retry_after_s": refusal.retry_after_s,
        }
    )


def problem_headers(refusal: verdicts.Refusal) -> list[tuple[bytes, bytes]]:
    """Returns the verdict and, if set, the retry-after header of a refusal."""
    headers = [(VERDICT_HEADER.encode(), refusal.verdict.value.encode())]
    if refusal.retry_after_s is not None:
        # The header holds whole seconds (RFC 9110); the body keeps the
        # fraction.
        seconds = max(1, math.ceil(refusal.retry_after_s))
        headers.append((b"retry-after", str(seconds).encode()))
    return headers


def closing_headers(refusal: verdicts.Refusal) -> list[tuple[bytes, bytes]]:
    """Returns all headers of a problem response that closes its connection."""
    length = len(encode_problem(refusal, ""))
    return [
        *problem_headers(refusal),
        (b"content-type", CONTENT_TYPE.encode()),
        (b"content-length", str(length).encode()),
        (b"connection", b"close"),
    ]


def log_refusal(refusal: verdicts.Refusal, request_id: str) -> None:
    """Logs a refusal under its request id, or "" if the id is unknown."""
    eliot.log_message(
        "callers:refused",
        request_id=request_id,
        reason=refusal.reason,
        status=refusal.status,
        verdict=refusal.verdict.value,
        detail=refusal.detail,
    )
