"""Operations of callers on jobs, independent of the transport.

A front end decodes a request, calls one of these functions and encodes the
result. Several front ends can share them.
"""

from collections import abc
import typing

from returns import pipeline
from returns import result

from chervillead import verdicts
from chervillead.entries import job_messages
from chervillead.jobs import model

# Part of the caller's deadline that is kept for sending the response.
RESPONSE_MARGIN_S = 0.15
# A request that no partition owner answers within this time is rejected: a
# caller that retries is served sooner than one that waits for its deadline.
MAX_OWNER_CALL_S = 2.0

CallOwner = abc.Callable[
    [job_messages.JobCall, float],
    abc.Awaitable[result.Result[job_messages.JobReply, verdicts.Refusal]],
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
        partition_of: Returns the partition of a pool.
        call_owner: Calls the owner of the message's partition; the second
            argument is the timeout in seconds.
        previous_pools: Returns the pools that recently served a queue.
        log: Writes a log line.
    """

    configuration: abc.Callable[[], model.FleetConfiguration | None]
    is_current: abc.Callable[[], bool]
    configuration_age_s: abc.Callable[[], float]
    partition_of: abc.Callable[[str], int]
    call_owner: CallOwner
    previous_pools: abc.Callable[[str], abc.Collection[str]]
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

    A caller retries a submission whose response was lost. If the queue was
    assigned to another pool in between, the previous owner may already hold
    the job, so it is asked first.
    """
    timeout_s = owner_call_timeout_s(time_left_s)
    partition = ports.partition_of(spec.pool)
    previous = {ports.partition_of(p) for p in ports.previous_pools(spec.queue)}
    for previous_partition in sorted(previous - {partition}):
        found = (
            await ports.call_owner(
                job_messages.FindJob(previous_partition, spec.job_id), timeout_s
            )
        ).bind(_check_reply)
        if pipeline.is_successful(found):
            return result.Success(None)
        if found.failure().status != 410:
            return result.Failure(
                _not_ready(
                    "queue is moving to another pool; "
                    "its previous owner is unavailable"
                )
            )
    outcome = await ports.call_owner(
        job_messages.SubmitJob(partition, spec, int(1000 * timeout_s)),
        timeout_s,
    )
    return outcome.bind(_check_reply).map(lambda reply: None)


async def find(
    ports: JobPorts, admission: Admission, job_id: str, time_left_s: float
) -> result.Result[job_messages.JobReply, verdicts.Refusal]:
    """Returns the state of a job that belongs to the caller's account."""
    found = await _find_in_all_partitions(
        ports, admission.queue.pool, job_id, owner_call_timeout_s(time_left_s)
    )
    return found.bind(lambda located: _check_account(located.reply, admission))


async def cancel(
    ports: JobPorts, admission: Admission, job_id: str, time_left_s: float
) -> result.Result[None, verdicts.Refusal]:
    """Cancels a job that belongs to the caller's account."""
    timeout_s = owner_call_timeout_s(time_left_s)
    located = await _find_in_all_partitions(
        ports, admission.queue.pool, job_id, timeout_s
    )
    allowed = located.bind(lambda found: _check_account(found.reply, admission))
    if not pipeline.is_successful(allowed):
        return result.Failure(allowed.failure())
    outcome = await ports.call_owner(
        job_messages.CancelJob(
            located.unwrap().partition, job_id, int(1000 * timeout_s)
        ),
        timeout_s,
    )
    return outcome.bind(_check_reply).map(lambda reply: None)


async def count_pending(
    ports: JobPorts, queue: model.Queue, time_left_s: float
) -> result.Result[int, verdicts.Refusal]:
    """Returns the number of a queue's accepted jobs that have not started."""
    outcome = await ports.call_owner(
        job_messages.CountPending(ports.partition_of(queue.pool), queue.name),
        owner_call_timeout_s(time_left_s),
    )
    return outcome.bind(_check_reply).map(lambda reply: reply.pending)


class _LocatedJob(typing.NamedTuple):
    partition: int
    reply: job_messages.JobReply


async def _find_in_all_partitions(
    ports: JobPorts, pool: str, job_id: str, timeout_s: float
) -> result.Result[_LocatedJob, verdicts.Refusal]:
    """Looks a job up in its queue's partition, then in all others.

    The queue may have been assigned to another pool after the job was accepted.
    """
    first = ports.partition_of(pool)
    configuration = ports.configuration()
    pools = configuration.pools if configuration is not None else {}
    others = sorted({ports.partition_of(name) for name in pools} - {first})
    refusal: verdicts.Refusal | None = None
    for partition in (first, *others):
        outcome = (
            await ports.call_owner(
                job_messages.FindJob(partition, job_id), timeout_s
            )
        ).bind(_check_reply)
        if pipeline.is_successful(outcome):
            return result.Success(_LocatedJob(partition, outcome.unwrap()))
        failure = outcome.failure()
        if refusal is None or failure.status != 410:
            refusal = failure
        if failure.status != 410:
            break
    assert refusal is not None
    return result.Failure(refusal)


def _check_account(
    reply: job_messages.JobReply, admission: Admission
) -> result.Result[job_messages.JobReply, verdicts.Refusal]:
    if reply.account == admission.account or not reply.account:
        return result.Success(reply)
    return result.Failure(
        verdicts.not_run(
            "other-account", 403, "job belongs to another client account"
        )
    )


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
            reply.detail,
            None if reply.retry_after_ms < 0 else reply.retry_after_ms / 1000,
        )
    )


def owner_call_timeout_s(time_left_s: float) -> float:
    """Returns the timeout in seconds for calls to partition owners.

    Args:
        time_left_s: Time left until the caller's deadline.
    """
    return max(0.05, min(MAX_OWNER_CALL_S, time_left_s - RESPONSE_MARGIN_S))
