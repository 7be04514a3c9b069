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


JobCall = SubmitJob | FindJob | CancelJob | CountPending | CloseQueue
Call = JobCall | AskOperatorRecords | host_messages.HostCall
Reply = JobReply | OperatorRecords | host_messages.HostReply
