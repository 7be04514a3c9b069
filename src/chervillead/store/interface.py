"""What the product needs of a store, as types and functions.

The store is a log: topics with partitions, records with offsets. A keyed topic
keeps the newest record of each key. Groups deal the partitions of a topic out
to their members. The adapter and the stand-ins of the tests provide it.
"""

from collections import abc
import enum
import typing

from returns import result

from chervillead import verdicts


class RejectionReason(enum.Enum):
    """Why the store refused a call for good."""

    FENCED = "fenced"
    OUT_OF_SEQUENCE = "sequence"
    NOT_A_MEMBER = "not-a-member"
    OFFSET_EXPIRED = "expired"


class StoreFailure(typing.NamedTuple):
    """A call that didn't succeed.

    Attributes:
        verdict: Whether the call may have been executed.
        detail: Explanation for logs.
        refused: Set if the store answered and a repeat can't succeed.
        expected: Expected sequence number, or first retained offset.
    """

    verdict: verdicts.Verdict
    detail: str
    rejection: RejectionReason | None = None
    expected: int | None = None


class KeyedRecord(typing.NamedTuple):
    """A record of a keyed topic; without a value the key is dropped."""

    key: str
    value: bytes
    offset: int = 0


class Producer(typing.NamedTuple):
    """Who appends: a lower epoch than one already seen is fenced."""

    name: str
    epoch: int
    sequence: int


class ReadPage(typing.NamedTuple):
    """Records from an offset on, and the offset after the last of them."""

    records: tuple[KeyedRecord, ...]
    next_offset: int


class LatestRecords(typing.NamedTuple):
    """The newest record of each key, and the offset to read on from."""

    records: tuple[KeyedRecord, ...]
    next_offset: int


class Membership(typing.NamedTuple):
    """A member's partitions as of a generation."""

    generation: int
    partitions: frozenset[int]


StoreResult = result.Result


class Store(typing.NamedTuple):
    """Operations of the store; none of them repeats an unanswered call.

    Attributes:
        append: Appends records to (topic, partition) as a producer, in one
            piece; without records it only sets the producer's epoch.
        read: Reads (topic, partition) from an offset on; waits up to some
            milliseconds for a record.
        newest: Reads the newest record of each key of (topic, partition).
        join: Joins (group, member, topic) for some milliseconds, with the
            last generation that the member knows.
        leave: Ends the membership of (group, member).
        owners: Returns the member of each partition of a group.
    """

    append: abc.Callable[
        [str, int, abc.Sequence[KeyedRecord], Producer | None],
        abc.Awaitable[StoreResult[int, StoreFailure]],
    ]
    read: abc.Callable[
        [str, int, int, int], abc.Awaitable[StoreResult[ReadPage, StoreFailure]]
    ]
    read_latest: abc.Callable[
        [str, int], abc.Awaitable[StoreResult[LatestRecords, StoreFailure]]
    ]
    join: abc.Callable[
        [str, str, str, int, int],
        abc.Awaitable[StoreResult[Membership, StoreFailure]],
    ]
    leave: abc.Callable[
        [str, str], abc.Awaitable[StoreResult[None, StoreFailure]]
    ]
    owners: abc.Callable[
        [str], abc.Awaitable[StoreResult[dict[int, str], StoreFailure]]
    ]
