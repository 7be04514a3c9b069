"""Operations of callers on jobs, independent of the transport.

A front end decodes a request, calls one of these functions and encodes the
result. Several front ends can share them.
"""

import asyncio
from collections import abc
import typing

from returns import pipeline
from returns import result

from chervillead import error_texts
from chervillead import verdicts
from chervillead.entries import job_messages
from chervillead.jobs import job_access
from chervillead.jobs import model

# Part of the caller's deadline that is kept for sending the response.
RESPONSE_MARGIN_S = 0.15
# A request that no partition owner answers within this time is rejected: a
# caller that retries is served sooner than one that waits for its deadline.
MAX_OWNER_CALL_S = 2.0
# Statuses by which callers know that a submission never runs.
PROMISING_STATUSES = (429, 503)

ReplyOutcome = result.Result[job_messages.JobReply, verdicts.Refusal]
CallOwner = abc.Callable[
    [job_messages.JobCall, float],
    abc.Coroutine[typing.Any, typing.Any, ReplyOutcome],
]


class JobPorts(typing.NamedTuple):
    """Dependencies of the operations.

    Attributes:
        configuration: Returns the newest configuration, or None if none has
            been received yet.
        is_current: Whether the configuration was confirmed recently enough to
            decide about calls.
        configuration_age_s: Returns the time since the configuration was last
            known to be the newest, in seconds; infinite if it never was.
        partitions: Number of partitions.
        partition_of: Returns the partition of a pool.
        call_owner: Calls the owner of the message's partition; the second
            argument is the timeout in seconds.
        log: Writes a log line.
    """

    configuration: abc.Callable[[], model.FleetConfiguration | None]
    is_current: abc.Callable[[], bool]
    configuration_age_s: abc.Callable[[], float]
    partitions: int
    partition_of: abc.Callable[[str], int]
    call_owner: CallOwner
    log: abc.Callable[..., None]


class Admission(typing.NamedTuple):
    """An accepted request: its queue and the client account of its key.

    The account is empty on a public queue.
    """

    queue: model.Queue
    account: str


def admit(
    ports: JobPorts, host: str, path: str, key: str | None
) -> result.Result[Admission, verdicts.Refusal]:
    """Routes a request to its queue and authenticates its key.

    Args:
        ports: Dependencies.
        host: Host name that the request was sent to.
        path: Path of the request.
        key: Key that the caller presented, or None.

    Returns:
        The queue and the client account, or why the request is rejected.
    """
    configuration = ports.configuration()
    if configuration is None:
        return result.Failure(_not_ready("no configuration received yet"))
    # Callers take 404 and 401 as final, so a version that may have been
    # replaced decides nothing, not even that a queue is unknown or public.
    if not ports.is_current():
        return result.Failure(_not_ready("configuration is stale"))
    queue = configuration.match_queue(host, path)
    if queue is None:
        return result.Failure(
            verdicts.not_run(
                "unknown-queue", 404, f"no queue matches {host}{path}"
            )
        )
    if queue.is_public:
        return result.Success(Admission(queue, ""))
    account = configuration.account_of_key.get(key or "")
    if account is None:
        return result.Failure(
            verdicts.not_run("unknown-key", 401, "key is unknown or withdrawn")
        )
    return result.Success(Admission(queue, account))


def _not_ready(detail: str) -> verdicts.Refusal:
    return verdicts.not_run("not-ready", 503, detail, retry_after_s=1.0)


async def submit(
    ports: JobPorts, spec: model.JobSpec, time_left_s: float
) -> result.Result[None, verdicts.Refusal]:
    """Stores a job with the owner of its queue's partition.

    A caller retries a submission whose response was lost. The owner makes sure
    that no other partition has accepted it, whatever pool its queue had then.
    """
    timeout_s = owner_call_timeout_s(time_left_s)
    partition = ports.partition_of(spec.pool)
    outcome = await ports.call_owner(
        job_messages.SubmitJob(partition, spec, int(1000 * timeout_s)),
        timeout_s,
    )
    return outcome.bind(_check_reply).map(lambda reply: None)


async def check_unread(
    ports: JobPorts,
    admission: Admission,
    job_id: str,
    refusal: verdicts.Refusal,
    time_left_s: float,
) -> result.Result[None, verdicts.Refusal]:
    """Decides on a submission whose body was refused before it was decoded.

    Callers take 429 and 503 as a promise that the job never runs, but an
    earlier submission of it may have been accepted. Only the owner of the
    queue's pool is asked, as many such submissions may come at once.

    Args:
        ports: Dependencies.
        admission: The queue and the client account.
        job_id: Id of the job.
        refusal: Why the body was refused.
        time_left_s: Time left until the caller's deadline.

    Returns:
        Success if the job is known, or a refusal that is true.
    """
    if refusal.status not in PROMISING_STATUSES:
        return result.Failure(refusal)
    partition = ports.partition_of(admission.queue.pool)
    outcome = await ports.call_owner(
        job_messages.FindJob(partition, job_id, confirm_unknown=False),
        owner_call_timeout_s(time_left_s),
    )
    found = outcome.bind(_check_reply)
    if pipeline.is_successful(found):
        return result.Success(None)
    if _is_unknown(found):
        return result.Failure(refusal)
    return result.Failure(
        verdicts.may_have_run(refusal.reason, 504, refusal.detail)
    )


async def find(
    ports: JobPorts, admission: Admission, job_id: str, time_left_s: float
) -> result.Result[job_messages.JobReply, verdicts.Refusal]:
    """Returns the state of a job that belongs to the caller's account."""
    found = await _call_holder(
        ports,
        admission.queue.pool,
        lambda partition, confirm_unknown, timeout_s: job_messages.FindJob(
            partition, job_id, confirm_unknown
        ),
        time_left_s,
    )
    return found.bind(lambda reply: _check_account(reply, admission))


async def cancel(
    ports: JobPorts, admission: Admission, job_id: str, time_left_s: float
) -> result.Result[None, verdicts.Refusal]:
    """Cancels a job that belongs to the caller's account.

    If no owner knows the job, none of them accepts it afterwards.
    """
    cancelled = await _call_holder(
        ports,
        admission.queue.pool,
        lambda partition, confirm_unknown, timeout_s: job_messages.CancelJob(
            partition,
            job_id,
            admission.account,
            confirm_unknown,
            int(1000 * timeout_s),
        ),
        time_left_s,
    )
    return cancelled.map(lambda reply: None)


async def count_pending(
    ports: JobPorts, queue: model.Queue, time_left_s: float
) -> result.Result[int, verdicts.Refusal]:
    """Returns the number of a queue's accepted jobs that have not started.

    Jobs that were accepted before the queue moved to its pool are counted too.
    """
    timeout_s = owner_call_timeout_s(time_left_s)
    timeout_ms = int(1000 * timeout_s)

    async def count(partition: int, name: str, pool: str) -> ReplyOutcome:
        call = job_messages.CountPending(
            partition, queue.address, name, pool, timeout_ms
        )
        outcome = await ports.call_owner(call, timeout_s)
        return outcome.bind(_check_reply)

    present = await count(
        ports.partition_of(queue.pool), queue.name, queue.pool
    )
    if not pipeline.is_successful(present):
        return result.Failure(present.failure())
    reply = present.unwrap()
    earlier = await asyncio.gather(
        *(count(partition, "", "") for partition in reply.partitions)
    )
    for outcome in earlier:
        if not pipeline.is_successful(outcome):
            return result.Failure(outcome.failure())
    return result.Success(
        reply.pending + sum(outcome.unwrap().pending for outcome in earlier)
    )


# Makes the call to the owner of a partition, given whether it has to confirm
# that it doesn't know the job, and its timeout in seconds.
_MakeCall = abc.Callable[[int, bool, float], job_messages.JobCall]


async def _call_holder(
    ports: JobPorts, pool: str, make_call: _MakeCall, time_left_s: float
) -> ReplyOutcome:
    """Calls the owner that knows a job: that of its queue, then all others.

    The queue may have been assigned to another pool after the job was accepted,
    and that pool may be gone from the configuration. If no owner knows the job,
    all of them are asked to confirm it, since callers take that as final.
    """
    now_s = asyncio.get_running_loop().time
    ends_s = now_s() + time_left_s
    first = ports.partition_of(pool)
    others = [p for p in range(ports.partitions) if p != first]
    for partitions, confirm_unknown in (
        ([first], False),
        (others, False),
        ([first, *others], True),
    ):
        timeout_s = owner_call_timeout_s(ends_s - now_s())
        outcome = await _first_success(
            ports.call_owner(
                make_call(partition, confirm_unknown, timeout_s), timeout_s
            )
            for partition in partitions
        )
        if not _is_unknown(outcome):
            break
    return outcome


async def _first_success(
    calls: abc.Iterable[abc.Coroutine[typing.Any, typing.Any, ReplyOutcome]],
) -> ReplyOutcome:
    """Returns the first success of several calls, or why there is none.

    A refusal other than that the job is unknown goes first: its owner may know
    the job.
    """
    tasks = {asyncio.ensure_future(call) for call in calls}
    refused: list[ReplyOutcome] = []
    try:
        while tasks:
            done, tasks = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                outcome = task.result().bind(_check_reply)
                if pipeline.is_successful(outcome):
                    return outcome
                refused.append(outcome)
    finally:
        for task in tasks:
            task.cancel()
    return min(refused, key=_is_unknown)


def _is_unknown(outcome: ReplyOutcome) -> bool:
    """Returns whether an outcome says that the job is unknown."""
    return (
        not pipeline.is_successful(outcome) and outcome.failure().status == 410
    )


def _check_account(
    reply: job_messages.JobReply, admission: Admission
) -> ReplyOutcome:
    refusal = job_access.check_account(reply.account, admission.account)
    return result.Success(reply) if refusal is None else result.Failure(refusal)


def _check_reply(
    reply: job_messages.JobReply,
) -> result.Result[job_messages.JobReply, verdicts.Refusal]:
    if not reply.reason:
        return result.Success(reply)
    return result.Failure(
        verdicts.Refusal(
            verdicts.Verdict(reply.verdict),
            reply.reason,
            reply.status,
            error_texts.shorten_text(reply.detail),
            None if reply.retry_after_ms < 0 else reply.retry_after_ms / 1000,
        )
    )


def owner_call_timeout_s(time_left_s: float) -> float:
    """Returns the timeout in seconds for calls to partition owners.

    Args:
        time_left_s: Time left until the caller's deadline.
    """
    return max(0.05, min(MAX_OWNER_CALL_S, time_left_s - RESPONSE_MARGIN_S))
