"""A store in memory, behind the product's interface of the store.

It fences producers by their epochs, answers a repeated append with its first
reply, and can lose replies of calls that it has executed.
"""

import asyncio
from collections import abc
import random
import typing

from returns import result

from chervillead import verdicts
from chervillead.store import interface

NO_REPLY = interface.StoreFailure(verdicts.Verdict.MAY_HAVE_RUN, "no reply")
FENCED = interface.StoreFailure(
    verdicts.Verdict.NOT_RUN, "409", interface.RejectionReason.FENCED
)


class _Partition:
    def __init__(self) -> None:
        self.end = 0
        self.latest: dict[str, interface.KeyedRecord] = {}
        self.epoch = -1
        self.replies: dict[int, int] = {}


class MemoryStore:
    """Records by topic and partition.

    Attributes:
        longest_call_s: Calls take a random time up to this one, half of it
            before and half after they are executed.
        lost_replies: Fraction of the appends whose replies are lost.
    """

    def __init__(
        self, rng: random.Random, longest_call_s: float, lost_replies: float
    ) -> None:
        self.longest_call_s = longest_call_s
        self.lost_replies = lost_replies
        self._rng = rng
        self._partitions: dict[tuple[str, int], _Partition] = {}

    def latest(self, topic: str, partition: int) -> list[interface.KeyedRecord]:
        """Returns the latest record of each key."""
        return list(self._partition(topic, partition).latest.values())

    def store(self) -> interface.Store:
        """Returns the calls that the product uses."""
        unused = typing.cast(typing.Any, None)
        return interface.Store(
            append=self._append,
            read=unused,
            read_latest=self._read_latest,
            join=unused,
            leave=unused,
            owners=unused,
        )

    def _partition(self, topic: str, number: int) -> _Partition:
        return self._partitions.setdefault((topic, number), _Partition())

    async def _pause(self) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, self.longest_call_s / 2))

    async def _append(
        self,
        topic: str,
        number: int,
        records: abc.Sequence[interface.KeyedRecord],
        producer: interface.Producer | None,
    ) -> interface.StoreResult[int, interface.StoreFailure]:
        await self._pause()
        partition = self._partition(topic, number)
        outcome = self._execute(partition, records, producer)
        await self._pause()
        if self._rng.random() < self.lost_replies:
            return result.Failure(NO_REPLY)
        return outcome

    def _execute(
        self,
        partition: _Partition,
        records: abc.Sequence[interface.KeyedRecord],
        producer: interface.Producer | None,
    ) -> interface.StoreResult[int, interface.StoreFailure]:
        if producer is not None:
            if producer.epoch < partition.epoch:
                return result.Failure(FENCED)
            if producer.epoch > partition.epoch:
                partition.epoch = producer.epoch
                partition.replies.clear()
            if producer.sequence in partition.replies:
                return result.Success(partition.replies[producer.sequence])
        partition.end += len(records)
        for record in records:
            if record.value:
                partition.latest[record.key] = record
            else:
                partition.latest.pop(record.key, None)
        if producer is not None:
            partition.replies[producer.sequence] = partition.end
        return result.Success(partition.end)

    async def _read_latest(
        self, topic: str, number: int
    ) -> interface.StoreResult[interface.LatestRecords, interface.StoreFailure]:
        await self._pause()
        partition = self._partition(topic, number)
        latest = interface.LatestRecords(
            tuple(partition.latest.values()), partition.end
        )
        await self._pause()
        return result.Success(latest)
