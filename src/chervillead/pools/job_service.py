"""Serves calls about jobs for the partitions that this host owns."""

from returns import pipeline
from returns import result

from chervillead import verdicts
from chervillead.entries import job_messages
from chervillead.pools import ownership

NOT_OWNER = "not-owner"
# This host is the owner, but has yet to load the partition's jobs.
OWNER_LOADING = "owner-loading"
RETRY_AFTER_S = 1.0


async def serve(
    call: job_messages.JobCall, local_ownership: ownership.Ownership
) -> job_messages.JobReply:
    """Executes a call, or refuses it if this host can't serve it as owner."""
    owner = local_ownership.owner_of(call.partition)
    if owner is None:
        return refusal_reply(_not_serving(call.partition, local_ownership))
    if isinstance(call, job_messages.SubmitJob):
        outcome = await owner.operations.submissions.submit(
            call.spec, call.timeout_ms / 1000
        )
        return _outcome_reply(outcome)
    if isinstance(call, job_messages.CancelJob):
        outcome = await owner.operations.cancel(
            call.job_id,
            call.account,
            call.timeout_ms / 1000,
            confirm_unknown=call.confirm_unknown,
        )
        return _outcome_reply(outcome)
    if isinstance(call, job_messages.CountPending):
        return _reply(await owner.operations.count_pending(call))
    if isinstance(call, job_messages.CloseQueue):
        return _reply(
            await owner.operations.queues.close(
                call.address, call.version, call.timeout_ms / 1000
            )
        )
    if isinstance(call, job_messages.ReportShares):
        return _reply(await owner.ledger.report(call, call.timeout_ms / 1000))
    found = await owner.operations.find(
        call.job_id, confirm_unknown=call.confirm_unknown
    )
    if not pipeline.is_successful(found):
        return refusal_reply(found.failure())
    job = found.unwrap()
    return job_messages.JobReply(
        verdicts.Verdict.RAN.value,
        phase=job.confirmed_phase.value,
        account=job.spec.account,
        queue=job.spec.queue,
    )


def is_loading(partition: int, local_ownership: ownership.Ownership) -> bool:
    """Returns whether this host owns a partition that it has yet to load."""
    owner = local_ownership.owners.get(partition)
    return (
        owner is not None
        and local_ownership.is_confirmed()
        and not owner.state.is_loaded
        and not owner.state.writer.is_fenced
    )


def _not_serving(
    partition: int, local_ownership: ownership.Ownership
) -> verdicts.Refusal:
    if is_loading(partition, local_ownership):
        return verdicts.not_run(
            OWNER_LOADING,
            503,
            f"this host is loading the jobs of partition {partition}",
            retry_after_s=RETRY_AFTER_S,
        )
    return verdicts.not_run(
        NOT_OWNER,
        503,
        f"partition {partition} is not owned by this host",
        retry_after_s=RETRY_AFTER_S,
    )


def _reply(
    outcome: result.Result[job_messages.JobReply, verdicts.Refusal],
) -> job_messages.JobReply:
    if pipeline.is_successful(outcome):
        return outcome.unwrap()
    return refusal_reply(outcome.failure())


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
