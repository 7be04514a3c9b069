"""Calls about jobs between entry hosts.

The calls are idempotent: each names the job that it is about.
"""

import typing

from chervillead.entries import host_messages
from chervillead.jobs import model


class SubmitJob(typing.NamedTuple):
    """Asks the owner of a partition to store a job."""

    partition: int
    spec: model.JobSpec
    timeout_ms: int


class FindJob(typing.NamedTuple):
    """Asks the owner of a partition for the state of a job.

    Attributes:
        partition: The partition.
        job_id: The job.
        confirm_unknown: Whether a caller will be told if the owner doesn't know
            the job, so that the store has to confirm the ownership first.
    """

    partition: int
    job_id: str
    confirm_unknown: bool


class CancelJob(typing.NamedTuple):
    """Asks the owner of a partition to cancel a job.

    Attributes:
        partition: The partition.
        job_id: The job.
        account: Client account of the caller.
        confirm_unknown: Whether a caller will be told if the owner doesn't know
            the job, so that the owner may not accept it later.
        timeout_ms: How long the owner may wait for the store.
    """

    partition: int
    job_id: str
    account: str
    confirm_unknown: bool
    timeout_ms: int


class CountPending(typing.NamedTuple):
    """Asks the owner of a partition for a queue's number of pending jobs.

    Attributes:
        partition: The partition.
        address: Address of the queue.
        queue: Name of the queue if its pool lies in the partition now; empty to
            count what the partition has accepted earlier.
        pool: Pool of the queue.
        timeout_ms: How long the owner may wait for the store and other owners.
    """

    partition: int
    address: str
    queue: str
    pool: str
    timeout_ms: int


class CloseQueue(typing.NamedTuple):
    """Asks the owner of a partition to accept no more jobs of a queue.

    Attributes:
        partition: The partition.
        address: Address of the queue.
        version: Version of the configuration that assigns the queue to another
            partition.
        timeout_ms: How long the owner may wait for the store.
    """

    partition: int
    address: str
    version: int
    timeout_ms: int


class ShareRow(typing.NamedTuple):
    """What a partition holds and needs of an account's quota, in shares.

    Attributes:
        account: The client account.
        held: Share that it holds.
        used: Share that its running tasks need.
        least: Share with which one more task or gang could start.
        wanted: Share that it could use.
        waiting_ms: How long it has been waiting for `least`.
    """

    account: str
    held: int
    used: int
    least: int
    wanted: int
    waiting_ms: int


class ReportShares(typing.NamedTuple):
    """Tells the owner of the hosts partition about shares of quotas.

    Attributes:
        partition: The hosts partition.
        reporter: Partition of the sender.
        epoch: Epoch of the sender as its owner.
        number: Number of the report; it rises with each one of an owner.
        rows: The accounts that have a share or need one.
        timeout_ms: How long the owner may wait for the store.
    """

    partition: int
    reporter: int
    epoch: int
    number: int
    rows: tuple[ShareRow, ...]
    timeout_ms: int


class ShareGrant(typing.NamedTuple):
    """Share of an account's quota that a partition holds.

    Attributes:
        account: The client account.
        held: Share that it holds.
        target: Share that it should hold; it gives back what is beyond that.
    """

    account: str
    held: int
    target: int


class JobReply(typing.NamedTuple):
    """Reply of the owner of a partition.

    Attributes:
        verdict: A `verdicts.Verdict` value; "ran" if the call succeeded.
        reason: Identifier of the refusal; empty if there is none.
        status: HTTP status that fits a refusal.
        detail: Explanation of the refusal, for people.
        retry_after_ms: Time after which to retry; -1 if a retry is pointless.
        phase: State of the job.
        account: Client account of the job.
        queue: Queue of the job.
        pending: Number of pending jobs, in the replies to `CountPending` and
            `CloseQueue`.
        partitions: Other partitions with pending jobs of the queue.
        job_ids: Jobs whose submission may come again, in the reply to
            `CloseQueue`.
        shares: Shares that the sender holds, in the reply to `ReportShares`.
    """

    verdict: str
    reason: str = ""
    status: int = 200
    detail: str = ""
    retry_after_ms: int = -1
    phase: str = ""
    account: str = ""
    queue: str = ""
    pending: int = 0
    partitions: tuple[int, ...] = ()
    job_ids: tuple[str, ...] = ()
    shares: tuple[ShareGrant, ...] = ()


class AskOperatorRecords(typing.NamedTuple):
    """Asks another host for the records that operators published.

    Attributes:
        position: Offset before which the sender has all records.
        max_bytes: Longest packed records that the reply may carry.
    """

    position: int
    max_bytes: int


class OperatorRecords(typing.NamedTuple):
    """Records that operators published, as a host has them.

    Attributes:
        position: Offset before which the host has all records.
        age_ms: Time since the store confirmed the records; -1 if it never did.
        keys: Keys of all records that the host has.
        packed: Packed records from the offset on that the call asked for; None
            if they are longer than the call allows.
        packed_bytes: Length of the packed records.
        owners: Member of the owners' group that owns each partition.
    """

    position: int
    age_ms: int
    keys: tuple[str, ...]
    packed: bytes | None
    packed_bytes: int
    owners: dict[int, str] = {}


JobCall = (
    SubmitJob | FindJob | CancelJob | CountPending | CloseQueue | ReportShares
)
Call = JobCall | AskOperatorRecords | host_messages.HostCall
Reply = JobReply | OperatorRecords | host_messages.HostReply
