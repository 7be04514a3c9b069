"""Refusals of calls about jobs by the owner of a partition.

Each one says whether the call may have run, and when to come back.
"""

from chervillead import verdicts
from chervillead.pools import retry_after
from chervillead.store import group_commit

RETRY_AFTER_S = 1.0

OWNER_OVERLOADED = "owner-overloaded"
OWNER_REPLACED = "owner-replaced"
CANCELLED = "cancelled"
POOL_OVERLOADED = "pool-overloaded"
JOB_TOO_LARGE = "job-too-large"


def unknown_job(job_id: str) -> verdicts.Refusal:
    """Returns the refusal of a call about an unknown job."""
    return verdicts.not_run("unknown-job", 410, f"no job {job_id}")


def overloaded(lag_s: float, limit_s: float) -> verdicts.Refusal:
    """Returns the refusal of a job by an owner whose event loop runs late."""
    return verdicts.not_run(
        OWNER_OVERLOADED,
        503,
        f"the owner runs its tasks {lag_s:.1f} s late, more than {limit_s} s",
        retry_after_s=retry_after.draw_s(),
    )


def pool_overloaded(detail: str, retry_after_s: float) -> verdicts.Refusal:
    """Returns the refusal of a job that could not be served usefully."""
    return verdicts.not_run(
        POOL_OVERLOADED, 429, detail, retry_after_s=retry_after_s
    )


def outdated(name: str) -> verdicts.Refusal:
    """Returns the refusal by an owner whose configuration lacks the queue."""
    return verdicts.not_run(
        "owner-outdated",
        503,
        f"the owner's configuration has no queue {name!r} in that pool",
        retry_after_s=RETRY_AFTER_S,
    )


def store_unavailable(detail: str) -> verdicts.Refusal:
    """Returns the refusal of a call for which the store is needed."""
    return verdicts.not_run(
        "store-away", 503, detail, retry_after_s=RETRY_AFTER_S
    )


def unconfirmed() -> verdicts.Refusal:
    """Returns the refusal of a call that needs a proof of the ownership."""
    return store_unavailable("the store has not confirmed the ownership")


def being_stored(job_id: str) -> verdicts.Refusal:
    """Returns the refusal of a call about a job that is being stored."""
    return verdicts.not_run(
        "being-stored",
        503,
        f"job {job_id} is on its way to the store",
        retry_after_s=RETRY_AFTER_S,
    )


def cancelled_before(job_id: str) -> verdicts.Refusal:
    """Returns the refusal of a submission that was cancelled before it came."""
    return verdicts.not_run(
        CANCELLED, 503, f"job {job_id} was cancelled before it was submitted"
    )


def too_many_cancellations() -> verdicts.Refusal:
    """Returns the refusal to keep one more cancelled submission."""
    return verdicts.not_run(
        "too-many-cancellations",
        503,
        "too many unknown jobs were cancelled recently",
        retry_after_s=retry_after.draw_s(),
    )


def owner_replaced() -> verdicts.Refusal:
    """Returns the refusal of a call by an owner that was replaced."""
    return verdicts.not_run(
        OWNER_REPLACED,
        503,
        "another host has become the owner",
        retry_after_s=RETRY_AFTER_S,
    )


def append_failed(error: BaseException | None) -> verdicts.Refusal:
    """Returns the refusal of a submission whose append has failed."""
    if isinstance(error, group_commit.DiscardedError):
        return store_unavailable("the record was not sent to the store in time")
    if isinstance(error, group_commit.RefusedError):
        return verdicts.not_run(JOB_TOO_LARGE, 413, error.detail)
    if isinstance(error, group_commit.AppendError) and not error.may_be_stored:
        return owner_replaced()
    return verdicts.may_have_run(
        OWNER_REPLACED,
        502,
        "another host became the owner before the job was stored",
    )


def store_timeout() -> verdicts.Refusal:
    """Returns the refusal of a call that the store may have executed."""
    return verdicts.may_have_run(
        "store-silent", 504, "the store did not confirm the record in time"
    )
