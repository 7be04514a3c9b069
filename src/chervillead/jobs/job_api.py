"""Calls of callers about jobs, free of any transport.

A front end passes in what a call says; the outcome says whether the call was
carried out. Another front end can use the same functions.
"""

from collections import abc
import typing

from returns import pipeline
from returns import result

from chervillead import verdicts
from chervillead.entries import job_messages
from chervillead.jobs import model

# Left of the caller's deadline for the way back.
RESPONSE_MARGIN_S = 0.15
# A call that no owner takes within this time is refused: a caller that comes
# back is served sooner than one that waits for its deadline.
MAX_OWNER_CALL_S = 2.0

CallOwner = abc.Callable[
    [job_messages.JobCall, float],
    abc.Awaitable[result.Result[job_messages.JobReply, verdicts.Refusal]],
]


class JobPorts(typing.NamedTuple):
    """What calls about jobs need.

    Attributes:
        configuration: Returns the newest configuration, or None.
        is_current: Whether the configuration was confirmed lately enough for
            withdrawn keys to be known.
        partition_of: Returns the partition of a pool.
        call_owner: Calls the owner of a partition.
        previous_pools: Returns the pools that a queue had a short time ago.
        log: Writes a log line.
    """

    configuration: abc.Callable[[], model.FleetConfiguration | None]
    is_current: abc.Callable[[], bool]
    partition_of: abc.Callable[[str], int]
    call_owner: CallOwner
    previous_pools: abc.Callable[[str], abc.Collection[str]]
    log: abc.Callable[..., None]


class Admission(typing.NamedTuple):
    """A call whose queue and key were accepted."""

    queue: model.Queue
    account: str


def admit(
    ports: JobPorts, host: str, path: str, key: str | None
) -> result.Result[Admission, verdicts.Refusal]:
    """Returns the queue and the client account of a call."""
    configuration = ports.configuration()
    if configuration is None:
        return result.Failure(_not_ready("no configuration yet"))
    queue = configuration.match_queue(host, path)
    if queue is None:
        return result.Failure(
            verdicts.not_run("unknown-queue", 404, f"no queue at {host}{path}")
        )
    if queue.is_public:
        return result.Success(Admission(queue, ""))
    if not ports.is_current():
        return result.Failure(_not_ready("configuration is out of date"))
    account = configuration.account_of_key.get(key or "")
    if account is None:
        return result.Failure(
            verdicts.not_run("unknown-key", 401, "the key is not known")
        )
    return result.Success(Admission(queue, account))


def _not_ready(detail: str) -> verdicts.Refusal:
    return verdicts.not_run("not-ready", 503, detail, retry_after_s=1.0)


async def submit(
    ports: JobPorts, spec: model.JobSpec, time_left_s: float
) -> result.Result[None, verdicts.Refusal]:
    """Has a job stored.

    A caller repeats a submission whose answer was lost. If the queue went to
    another pool meanwhile, the job may already be with its former owner.
    """
    budget_s = owner_call_timeout_s(time_left_s)
    partition = ports.partition_of(spec.pool)
    former = {ports.partition_of(p) for p in ports.previous_pools(spec.queue)}
    for other in sorted(former - {partition}):
        found = (
            await ports.call_owner(
                job_messages.FindJob(other, spec.job_id), budget_s
            )
        ).bind(_check_reply)
        if pipeline.is_successful(found):
            return result.Success(None)
        if found.failure().status != 410:
            return result.Failure(_not_ready("the queue is changing its pool"))
    outcome = await ports.call_owner(
        job_messages.SubmitJob(partition, spec, int(1000 * budget_s)),
        budget_s,
    )
    return outcome.bind(_check_reply).map(lambda reply: None)


async def find(
    ports: JobPorts, admission: Admission, job_id: str, time_left_s: float
) -> result.Result[job_messages.JobReply, verdicts.Refusal]:
    """Returns the state of a job of the caller's account."""
    found = await _find_in_all_partitions(
        ports, admission.queue.pool, job_id, owner_call_timeout_s(time_left_s)
    )
    return found.bind(lambda located: _check_account(located.reply, admission))


async def cancel(
    ports: JobPorts, admission: Admission, job_id: str, time_left_s: float
) -> result.Result[None, verdicts.Refusal]:
    """Cancels a job of the caller's account."""
    budget_s = owner_call_timeout_s(time_left_s)
    located = await _find_in_all_partitions(
        ports, admission.queue.pool, job_id, budget_s
    )
    allowed = located.bind(lambda found: _check_account(found.reply, admission))
    if not pipeline.is_successful(allowed):
        return result.Failure(allowed.failure())
    outcome = await ports.call_owner(
        job_messages.CancelJob(
            located.unwrap().partition, job_id, int(1000 * budget_s)
        ),
        budget_s,
    )
    return outcome.bind(_check_reply).map(lambda reply: None)


async def count_pending(
    ports: JobPorts, queue: model.Queue, time_left_s: float
) -> result.Result[int, verdicts.Refusal]:
    """Returns the accepted jobs of a queue that have not begun."""
    outcome = await ports.call_owner(
        job_messages.CountPending(ports.partition_of(queue.pool), queue.name),
        owner_call_timeout_s(time_left_s),
    )
    return outcome.bind(_check_reply).map(lambda reply: reply.pending)


class _LocatedJob(typing.NamedTuple):
    partition: int
    reply: job_messages.JobReply


async def _find_in_all_partitions(
    ports: JobPorts, pool: str, job_id: str, budget_s: float
) -> result.Result[_LocatedJob, verdicts.Refusal]:
    """Finds a job with its queue's owner, then with all others.

    A queue may have been given to another pool after the job was accepted.
    """
    first = ports.partition_of(pool)
    configuration = ports.configuration()
    pools = configuration.pools if configuration is not None else {}
    others = sorted({ports.partition_of(name) for name in pools} - {first})
    refusal: verdicts.Refusal | None = None
    for partition in (first, *others):
        outcome = (
            await ports.call_owner(
                job_messages.FindJob(partition, job_id), budget_s
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
        verdicts.not_run("other-account", 403, "the job is another account's")
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
    """Returns how long a call may look for its owner."""
    return max(0.05, min(MAX_OWNER_CALL_S, time_left_s - RESPONSE_MARGIN_S))
