"""Serves calls about jobs for the partitions that this host owns."""

from collections import abc

from returns import pipeline
from returns import result

from chervillead import verdicts
from chervillead.entries import job_messages
from chervillead.pools import job_operations
from chervillead.pools import partition_owner

NOT_OWNER = "not-owner"

FindOwner = abc.Callable[[int], partition_owner.PartitionOwner | None]


async def serve(
    call: job_messages.JobCall, find_owner: FindOwner
) -> job_messages.JobReply:
    """Executes a call, or refuses it if this host is not the owner."""
    owner = find_owner(call.partition)
    if owner is None:
        return refusal_reply(
            verdicts.not_run(
                NOT_OWNER,
                503,
                f"partition {call.partition} is not owned by this host",
                retry_after_s=1.0,
            )
        )
    if isinstance(call, job_messages.SubmitJob):
        outcome = await owner.operations.submit(
            call.spec, call.timeout_ms / 1000
        )
        return _outcome_reply(outcome)
    if isinstance(call, job_messages.CancelJob):
        outcome = await owner.operations.cancel(
            call.job_id, call.timeout_ms / 1000
        )
        return _outcome_reply(outcome)
    if isinstance(call, job_messages.CountPending):
        return job_messages.JobReply(
            verdicts.Verdict.RAN.value,
            pending=owner.operations.pending(call.queue),
        )
    job = owner.state.jobs.get(call.job_id)
    if job is None:
        return refusal_reply(job_operations.unknown_job(call.job_id))
    return job_messages.JobReply(
        verdicts.Verdict.RAN.value,
        phase=job.phase.value,
        account=job.spec.account,
        queue=job.spec.queue,
    )


def _outcome_reply(
    outcome: result.Result[None, verdicts.Refusal],
) -> job_messages.JobReply:
    if pipeline.is_successful(outcome):
        return job_messages.JobReply(verdicts.Verdict.RAN.value)
    return refusal_reply(outcome.failure())


def refusal_reply(refusal: verdicts.Refusal) -> job_messages.JobReply:
    """Returns the reply that encodes a refusal."""
    return job_messages.JobReply(
        refusal.verdict.value,
        reason=refusal.reason,
        status=refusal.status,
        detail=refusal.detail,
        retry_after_ms=(
            -1
            if refusal.retry_after_s is None
            else int(1000 * refusal.retry_after_s)
        ),
    )


def reply_refusal(reply: job_messages.JobReply) -> verdicts.Refusal | None:
    """Returns the refusal that a reply encodes, or None for a success."""
    if not reply.reason:
        return None
    return verdicts.Refusal(
        verdicts.Verdict(reply.verdict),
        reply.reason,
        reply.status,
        reply.detail,
        None if reply.retry_after_ms < 0 else reply.retry_after_ms / 1000,
    )
