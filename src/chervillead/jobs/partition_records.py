"""Stored records of a partition that describe no job, as MessagePack.

They lie beside the records of the partition's jobs, so a later owner loads both
at once. The first letter of a key tells the kind of its record.
"""

import typing

import msgspec
import xxhash

from chervillead.jobs import learned_times
from chervillead.jobs import records


class Cancellation(typing.NamedTuple):
    """A call that cancelled a job which its owner didn't know.

    Attributes:
        job_id: The job.
        account: Client account of the caller.
    """

    job_id: str
    account: str


class QueueAssignment(typing.NamedTuple):
    """Whether a partition accepts jobs of a queue.

    Attributes:
        address: Address of the queue.
        version: Version of the configuration that opened or closed it here.
        is_open: Whether it accepts its jobs.
        other_jobs: Jobs that other partitions have accepted a short time before
            it was opened here.
        other_partitions: Partitions that held jobs without a started task then.
    """

    address: str
    version: int
    is_open: bool
    other_jobs: tuple[str, ...] = ()
    other_partitions: tuple[int, ...] = ()


class QuotaShare(typing.NamedTuple):
    """Share of an account's quota that a partition holds."""

    account: str
    share: int


class QuotaGrants(typing.NamedTuple):
    """Shares of an account's quota that partitions have been granted.

    Attributes:
        account: The client account.
        shares: The shares, by partition.
        reports: Epoch and number of the last report of each partition.
    """

    account: str
    shares: dict[int, int]
    reports: dict[int, tuple[int, int]]


class LearnedRunTime(typing.NamedTuple):
    """Run times of the tasks of one queue and image.

    Attributes:
        queue_address: Address of the queue.
        image: The image; empty for none.
        learned: The run times.
        used_unix_ms: When the last of the runs completed.
    """

    queue_address: str
    image: str
    learned: learned_times.LearnedTimes
    used_unix_ms: int


Record = (
    Cancellation | QueueAssignment | QuotaShare | QuotaGrants | LearnedRunTime
)
_Value = typing.TypeVar("_Value")

# The letters of job records are taken.
_PREFIXES: dict[type, str] = {
    Cancellation: "c",
    QueueAssignment: "q",
    QuotaShare: "s",
    QuotaGrants: "g",
    LearnedRunTime: "r",
}
# Names of the kinds of records, by the first letter of their keys.
KINDS = {
    _PREFIXES[Cancellation]: "cancellation",
    _PREFIXES[QueueAssignment]: "queue",
    _PREFIXES[QuotaShare]: "quota-share",
    _PREFIXES[QuotaGrants]: "quota-grants",
    _PREFIXES[LearnedRunTime]: "run-time",
}
_decoders: dict[type, msgspec.msgpack.Decoder[typing.Any]] = {
    kind: msgspec.msgpack.Decoder(kind) for kind in _PREFIXES
}
_encoder = msgspec.msgpack.Encoder()


def key_of(record: Record) -> str:
    """Returns the key of a record.

    What it is about is hashed, since keys are short and names may not be.
    """
    if isinstance(record, LearnedRunTime):
        return run_time_key(record.queue_address, record.image)
    if isinstance(record, Cancellation):
        subject = f"{record.job_id}:{record.account}"
    elif isinstance(record, QueueAssignment):
        subject = record.address
    else:
        subject = record.account
    return _hashed_key(type(record), subject)


def run_time_key(queue_address: str, image: str) -> str:
    """Returns the key of the record of a queue's and image's run times."""
    return _hashed_key(LearnedRunTime, f"{queue_address}\n{image}")


def _hashed_key(kind: type, subject: str) -> str:
    return _PREFIXES[kind] + xxhash.xxh64_hexdigest(subject.encode())


def encode(record: Record) -> bytes:
    """Returns the value of a record."""
    return _encoder.encode(record)


def has_kind(key: str, kind: type) -> bool:
    """Returns whether a key is that of a record of some kind."""
    return key.startswith(_PREFIXES[kind])


def decode(kind: type[_Value], value: bytes) -> _Value:
    """Returns the record in a value.

    Raises:
        MalformedRecordError: The value isn't a record of this kind.
    """
    try:
        return typing.cast(_Value, _decoders[kind].decode(value))
    except (msgspec.DecodeError, RecursionError) as error:
        raise records.MalformedRecordError(str(error)) from error
