"""Calls about jobs between entry hosts.

Each can be received twice without harm: it names the job that it is about.
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
    """Asks the owner of a partition for the state of a job."""

    partition: int
    job_id: str


class CancelJob(typing.NamedTuple):
    """Asks the owner of a partition to cancel a job."""

    partition: int
    job_id: str
    timeout_ms: int


class CountPending(typing.NamedTuple):
    """Asks the owner of a partition for the waiting jobs of a queue."""

    partition: int
    queue: str


class JobReply(typing.NamedTuple):
    """Answer of an owner.

    Attributes:
        verdict: A `verdicts.Verdict` value; "ran" if the call succeeded.
        reason: Identifier of the refusal; empty if there is none.
        status: HTTP status that fits a refusal.
        detail: Explanation for people.
        retry_after_ms: When a new attempt makes sense; -1 if none does.
        phase: State of the job that was asked for.
        account: Client account of that job.
        queue: Queue of that job.
        pending: Number of waiting jobs that was asked for.
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


class AskOperatorRecords(typing.NamedTuple):
    """Asks another host for what operators published.

    Attributes:
        digest: Digest of the records that the sender has.
    """

    digest: int


class OperatorRecords(typing.NamedTuple):
    """What operators published, as a host knows it.

    Attributes:
        digest: Digest of the records.
        age_ms: Time since the store confirmed them; -1 if it never did.
        records: Keys and values; empty if the digests are equal.
        owners: Members of the owners' group by partition.
    """

    digest: int
    age_ms: int
    records: tuple[tuple[str, bytes], ...]
    owners: dict[int, str] = {}


JobCall = SubmitJob | FindJob | CancelJob | CountPending
Call = JobCall | AskOperatorRecords | host_messages.HostCall
Reply = JobReply | OperatorRecords | host_messages.HostReply
