"""Verdicts: whether a refused request may have run.

A caller may retry a request that did not run. It must not retry a
non-idempotent request that may have run. Every error on the path of a request
therefore carries a verdict.

Example:
    >>> from chervillead import verdicts
    >>> verdicts.not_run("queue-full", 503, retry_after_s=1.5).verdict.value
    'not-run'
"""

import enum
import typing

from chervillead import error_texts


class Verdict(enum.Enum):
    """What is known about the execution of a request."""

    NOT_RUN = "not-run"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"


class Refusal(typing.NamedTuple):
    """An error on the path of a request.

    Attributes:
        verdict: Whether the request may have run.
        reason: Stable identifier of the error, for programs.
        status: HTTP status code that fits the error.
        detail: Explanation for people; contains the invalid value, shortened.
        retry_after_s: Seconds to wait before a retry, or None if a retry of
            the same request can't succeed.
    """

    verdict: Verdict
    reason: str
    status: int
    detail: str = ""
    retry_after_s: float | None = None


def not_run(
    reason: str,
    status: int,
    detail: str = "",
    *,
    retry_after_s: float | None = None,
) -> Refusal:
    """Returns a refusal of a request that certainly did not run."""
    detail = error_texts.shorten_text(detail)
    return Refusal(Verdict.NOT_RUN, reason, status, detail, retry_after_s)


def may_have_run(reason: str, status: int, detail: str = "") -> Refusal:
    """Returns a refusal of a request that may or may not have run."""
    detail = error_texts.shorten_text(detail)
    return Refusal(Verdict.MAY_HAVE_RUN, reason, status, detail)


def ran(reason: str, status: int, detail: str = "") -> Refusal:
    """Returns a refusal of a request that ran but whose answer is lost."""
    detail = error_texts.shorten_text(detail)
    return Refusal(Verdict.RAN, reason, status, detail)
