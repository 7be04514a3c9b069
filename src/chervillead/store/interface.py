"""Interface of the replicated log store.

The store holds topics with partitions, and records with offsets. A keyed topic
is compacted: it keeps the latest record of each key. A consumer group assigns
the partitions of a topic to its members. The platform's adapter implements this
interface.
"""

from collections import abc
import enum
import typing

from returns import result

from chervillead import verdicts


class RejectionReason(enum.Enum):
    """Why the store rejected a call; repeating the call can't succeed.

    Attributes:
        FENCED: The producer's epoch is lower than one already seen.
        OUT_OF_SEQUENCE: The sequence number isn't the expected one.
        NOT_A_MEMBER: The group doesn't know the member or its generation.
        OFFSET_EXPIRED: The offset is older than the retained records.
        INVALID: The store never accepts such a call, whoever makes it.
    """

    FENCED = "fenced"
    OUT_OF_SEQUENCE = "sequence"
    NOT_A_MEMBER = "not-a-member"
    OFFSET_EXPIRED = "expired"
    INVALID = "invalid"


class StoreFailure(typing.NamedTuple):
    """A failed call to the store.

    Attributes:
        verdict: Whether the call may have been executed.
        detail: Explanation for logs.
        rejection: Reason if the store rejected the call, or None if the same
            call may succeed later.
        expected: Expected sequence number (OUT_OF_SEQUENCE) or first retained
            offset (OFFSET_EXPIRED), or None.
    """

    verdict: verdicts.Verdict
    detail: str
    rejection: RejectionReason | None = None
    expected: int | None = None


class KeyedRecord(typing.NamedTuple):
    """A record of a keyed topic; an empty value deletes the key."""

    key: str
    value: bytes
    offset: int = 0

    @property
    def size_bytes(self) -> int:
        """Size of the record in the store, with its key."""
        return 1 + len(self.key.encode()) + len(self.value)


class Producer(typing.NamedTuple):
    """Identity of an appender, for fencing and for detecting duplicates.

    Attributes:
        name: Name of the producer.
        epoch: Fencing token; the store rejects epochs below the highest seen.
        sequence: Number of the append within the epoch.
    """

    name: str
    epoch: int
    sequence: int


class ReadPage(typing.NamedTuple):
    """Records read from an offset on.

    Attributes:
        records: The records, in order.
        next_offset: Offset after the last one.
        end_offset: End of the partition at the time of the read; the page is
            partial if it is higher than `next_offset`.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end_offset: int


class LatestRecords(typing.NamedTuple):
    """The latest record of each key, and the offset to continue reading at."""

    records: tuple[KeyedRecord, ...]
    next_offset: int


class Membership(typing.NamedTuple):
    """The partitions assigned to a group member in a generation."""

    generation: int
    partitions: frozenset[int]


StoreResult = result.Result


class Store(typing.NamedTuple):
    """Operations of the store.

    None of them retries an unanswered call, except that `read_latest` repeats
    the read of a page.

    Attributes:
        append: Appends records atomically to (topic, partition) as a producer
            and returns the end of the partition after them; without records it
            only sets the producer's epoch.
        read: Reads (topic, partition) from an offset on; the last argument is
            the longest wait for a record, in ms.
        read_latest: Reads the latest record of each key of (topic, partition).
        join: Joins or renews a membership: (group, member, topic), its
            lifetime in ms, and the last generation that the member knows.
        leave: Ends the membership of (group, member).
        owners: Returns the member that each partition of a group is assigned
            to.
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
