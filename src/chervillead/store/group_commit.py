"""Appends of one owner to one partition, many records at a time.

Answers the pattern of many small changes of state at once: a call to the store
costs milliseconds whatever it carries, so records that come while one is under
way leave together with the next.
"""

import asyncio
import typing

from returns import pipeline

from chervillead import verdicts
from chervillead.store import interface

# Records that come within this time share a call; it is short beside the
# answer time of the store.
BATCH_DELAY_S = 0.004
RETRY_INTERVAL_S = 0.15
MAX_BATCH_BYTES = 512 * 1024


class FencedError(Exception):
    """A newer owner appends to the partition."""


class _Entry(typing.NamedTuple):
    record: interface.KeyedRecord
    stored: asyncio.Future[None]


class PartitionWriter:
    """Records of one owner on their way to one partition."""

    def __init__(
        self, store: interface.Store, topic: str, partition: int, epoch: int
    ) -> None:
        self._store = store
        self._topic = topic
        self._partition = partition
        self._epoch = epoch
        self._sequence = 0
        self._waiting: list[_Entry] = []
        self._wake = asyncio.Event()
        self._is_fenced = False
        self._failing_since_s: float | None = None

    @property
    def epoch(self) -> int:
        """Epoch of the owner."""
        return self._epoch

    @property
    def is_fenced(self) -> bool:
        """Whether a newer owner has taken the partition."""
        return self._is_fenced

    def failure_duration_s(self) -> float:
        """Returns for how long the store has not taken records."""
        if self._failing_since_s is None:
            return 0.0
        return asyncio.get_running_loop().time() - self._failing_since_s

    def append(self, key: str, value: bytes) -> asyncio.Future[None]:
        """Queues a record; the future ends when it is stored.

        A record that is replaced before it leaves isn't sent.
        """
        stored = asyncio.get_running_loop().create_future()
        # Nobody may wait for it any more when the owner is fenced.
        stored.add_done_callback(lambda f: f.cancelled() or f.exception())
        if self._is_fenced:
            stored.set_exception(FencedError())
            return stored
        record = interface.KeyedRecord(key, value)
        self._waiting.append(_Entry(record, stored))
        self._wake.set()
        return stored

    def discard_unsent(self, stored: asyncio.Future[None]) -> bool:
        """Drops a record that has not left; returns whether it was dropped."""
        for number, entry in enumerate(self._waiting):
            if entry.stored is stored:
                del self._waiting[number]
                return True
        return False

    def delete(self, key: str) -> None:
        """Has the store forget a key; nobody waits for it."""
        self.append(key, b"")

    async def open(self) -> interface.StoreFailure | None:
        """Sets the epoch, which shuts out any former owner.

        Returns:
            The failure, or None once the partition is this owner's.
        """
        outcome = await self._store.append(
            self._topic,
            self._partition,
            (),
            interface.Producer("owner", self._epoch, 0),
        )
        if pipeline.is_successful(outcome):
            # The store repeats its answer to a sequence number that it knows,
            # so the first batch must not reuse the one of this call.
            self._sequence = 1
            return None
        failure = outcome.failure()
        if failure.rejection is interface.RejectionReason.OUT_OF_SEQUENCE:
            # An earlier call of this owner was executed though its answer was
            # lost; the epoch is set.
            self._sequence = failure.expected or 0
            return None
        if failure.rejection is interface.RejectionReason.FENCED:
            self._fence()
        return failure

    async def run(self) -> None:
        """Sends records until cancelled or fenced."""
        while not self._is_fenced:
            await self._wake.wait()
            await asyncio.sleep(BATCH_DELAY_S)
            batch = self._take_batch()
            if not self._waiting:
                self._wake.clear()
            if batch:
                await self._send(batch)

    def close(self) -> None:
        """Ends all waits; what was queued may or may not be stored."""
        self._fence()

    def _take_batch(self) -> list[_Entry]:
        size = 0
        count = 0
        for entry in self._waiting:
            size += len(entry.record.value)
            if count and size > MAX_BATCH_BYTES:
                break
            count += 1
        batch, self._waiting = self._waiting[:count], self._waiting[count:]
        return batch

    async def _send(self, batch: list[_Entry]) -> None:
        """Sends one batch until the store has taken it."""
        may_be_stored = False
        latest = {entry.record.key: entry.record for entry in batch}
        records = tuple(latest.values())
        while True:
            producer = interface.Producer("owner", self._epoch, self._sequence)
            outcome = await self._store.append(
                self._topic, self._partition, records, producer
            )
            if pipeline.is_successful(outcome):
                break
            failure = outcome.failure()
            if failure.rejection is interface.RejectionReason.OUT_OF_SEQUENCE:
                # Either the first append of this epoch, or a repeat that the
                # store has forgotten; records are the newest of their keys, so
                # sending them once more is harmless.
                self._sequence = failure.expected or 0
                continue
            if failure.rejection is not None:
                self._fence(batch)
                return
            loop = asyncio.get_running_loop()
            if self._failing_since_s is None:
                self._failing_since_s = loop.time()
            if failure.verdict is not verdicts.Verdict.NOT_RUN:
                may_be_stored = True
            if not may_be_stored:
                # Nothing has left, so the records can still be withdrawn.
                self._waiting[:0] = batch
                self._wake.set()
                await asyncio.sleep(RETRY_INTERVAL_S)
                return
            await asyncio.sleep(RETRY_INTERVAL_S)
        self._failing_since_s = None
        self._sequence += 1
        for entry in batch:
            if not entry.stored.done():
                entry.stored.set_result(None)

    def _fence(self, batch: typing.Iterable[_Entry] = ()) -> None:
        self._is_fenced = True
        self._wake.set()
        for entry in (*batch, *self._waiting):
            if not entry.stored.done():
                entry.stored.set_exception(FencedError())
        self._waiting.clear()
