"""Batched appends of one owner to one partition (group commit).

A call to the store takes milliseconds regardless of its size, and state changes
are many and small. Records that are queued while a call is in progress are
therefore sent together in the next one.
"""

import asyncio
from collections import abc
import typing

from returns import pipeline
from returns import result

from chervillead import verdicts
from chervillead.store import interface

# Time for which a batch collects records before it is sent; it is short
# compared with the response time of the store.
BATCH_DELAY_S = 0.004
RETRY_INTERVAL_S = 0.15
# How long an idle partition may wait until it is opened again: a group changes
# several times in a row when its members start or stop together.
IDLE_REOPENING_DELAY_S = 0.4
# A link of 5 Mbit/s carries it in about a tenth of a second, so that the reply
# isn't late even while the link has other work.
MAX_BATCH_BYTES = 64 * 1024
# Key of the record that each owner appends when it opens a partition. An owner
# that opens it again sees by the partition's end whether another one has come
# between.
OPENING_KEY = "o"


class AppendError(Exception):
    """A record won't be confirmed by the store.

    Attributes:
        may_be_stored: Whether the store may have executed an attempt to append
            the record; False only if it certainly executed none.
    """

    def __init__(self, *, may_be_stored: bool) -> None:
        super().__init__()
        self.may_be_stored = may_be_stored


class FencedError(AppendError):
    """A newer owner has taken over the partition, so appends are rejected."""


class RefusedError(AppendError):
    """The store never accepts the record, so it wasn't stored.

    Attributes:
        detail: Why, for logs and callers.
    """

    def __init__(self, detail: str) -> None:
        super().__init__(may_be_stored=False)
        self.detail = detail


class DiscardedError(AppendError):
    """The record was removed from the queue before it was sent."""


def is_stored(stored: asyncio.Future[None]) -> bool:
    """Returns whether an append has completed without an error."""
    return (
        stored.done() and not stored.cancelled() and stored.exception() is None
    )


def all_stored(
    appends: abc.Sequence[asyncio.Future[None]],
) -> asyncio.Future[None]:
    """Returns a future that completes when all of some appends have.

    It raises the AppendError of one of them if any has failed.
    """
    if len(appends) == 1:
        return appends[0]
    stored = asyncio.get_running_loop().create_future()
    stored.add_done_callback(lambda f: f.cancelled() or f.exception())
    missing = set(appends)

    def note(done: asyncio.Future[None]) -> None:
        missing.discard(done)
        if stored.done():
            return
        if not is_stored(done):
            error = None if done.cancelled() else done.exception()
            stored.set_exception(error or DiscardedError(may_be_stored=False))
        elif not missing:
            stored.set_result(None)

    for append in appends:
        append.add_done_callback(note)
    return stored


class _PendingRecord(typing.NamedTuple):
    # None to confirm the ownership without a record.
    record: interface.KeyedRecord | None
    stored: asyncio.Future[None]


# Receives a record that the store never accepts, and why.
OnRefused = abc.Callable[[interface.KeyedRecord, str], None]


class PartitionWriter:
    """Queues and sends the records of one owner to one partition."""

    def __init__(
        self, store: interface.Store, topic: str, partition: int, epoch: int
    ) -> None:
        self._store = store
        self._topic = topic
        self._partition = partition
        self._epoch = epoch
        self._sequence = 0
        # End of the partition after the last append of this writer.
        self._end = 0
        # Epoch under which the partition is to be opened again, if any.
        self._requested_epoch: int | None = None
        self._reopens_idle = False
        self._is_outdated = False
        self._on_reopened: abc.Callable[[], None] = lambda: None
        self._on_refused: OnRefused = lambda record, detail: None
        # How many of the next records were part of a refused batch, and how
        # many of them are sent at once to find the one that caused it.
        self._suspect_records = 0
        self._max_batch_records = 1
        self._pending: list[_PendingRecord] = []
        self._in_flight: list[_PendingRecord] = []
        self._wake_event = asyncio.Event()
        self._is_fenced = False
        self._failing_since_s: float | None = None

    @property
    def epoch(self) -> int:
        """Epoch of the owner; the store rejects appends of lower epochs."""
        return self._epoch

    @property
    def is_fenced(self) -> bool:
        """Whether a newer owner has taken over, or the writer was closed."""
        return self._is_fenced

    @property
    def is_current(self) -> bool:
        """Whether no other owner can have come between, as far as is known."""
        return self._requested_epoch is None and not self._is_fenced

    @property
    def is_outdated(self) -> bool:
        """Whether another owner may have held the partition meanwhile."""
        return self._is_outdated

    def on_reopened(self, action: abc.Callable[[], None]) -> None:
        """Sets the function to call when `reopen` has succeeded."""
        self._on_reopened = action

    def on_refused(self, action: OnRefused) -> None:
        """Sets the function to call with each record that is refused."""
        self._on_refused = action

    def failure_duration_s(self) -> float:
        """Returns for how many seconds appends have failed; 0 if none fails."""
        if self._failing_since_s is None:
            return 0.0
        return _now_s() - self._failing_since_s

    def append(self, key: str, value: bytes) -> asyncio.Future[None]:
        """Queues a record.

        Of several records of one key in a batch only the last one is sent.

        Returns:
            A future that completes when the record is stored; it raises an
            AppendError if the owner is fenced first or the record discarded.
        """
        return self._queue(interface.KeyedRecord(key, value))

    def confirm(self) -> asyncio.Future[None]:
        """Asks the store whether this owner still holds the partition.

        Returns:
            A future that completes when the store has accepted an append that
            was sent after this call: until then no newer owner had opened the
            partition. It raises an AppendError like that of a record.
        """
        return self._queue(None)

    def _queue(
        self, record: interface.KeyedRecord | None
    ) -> asyncio.Future[None]:
        stored = asyncio.get_running_loop().create_future()
        # Retrieves the exception, as nobody may be waiting for the future when
        # the owner is fenced.
        stored.add_done_callback(lambda f: f.cancelled() or f.exception())
        if self._is_fenced:
            stored.set_exception(FencedError(may_be_stored=False))
            return stored
        self._pending.append(_PendingRecord(record, stored))
        self._wake_event.set()
        return stored

    def discard_unsent(self, stored: asyncio.Future[None]) -> bool:
        """Removes a queued record that has not been sent.

        The future raises DiscardedError, as other calls may wait for it.

        Args:
            stored: The future that `append` returned for the record.

        Returns:
            Whether the record was removed; False if it has been sent.
        """
        for number, entry in enumerate(self._pending):
            if entry.stored is stored:
                del self._pending[number]
                _fail([entry], DiscardedError(may_be_stored=False))
                return True
        return False

    def delete(self, key: str) -> None:
        """Queues the deletion of a key (an empty record) without waiting."""
        self.append(key, b"")

    async def open(self) -> interface.StoreFailure | None:
        """Opens the partition, which fences any previous owner.

        Returns:
            The failure, or None if this owner now holds the partition.
        """
        while True:
            outcome = await self._append_opening(self._epoch, self._sequence)
            if pipeline.is_successful(outcome):
                # The store answers a known sequence number with its earlier
                # reply, so the first batch must not reuse that of this call.
                self._sequence += 1
                self._end = outcome.unwrap()
                return None
            failure = outcome.failure()
            if failure.rejection is interface.RejectionReason.FENCED:
                self._fence()
            if (
                failure.rejection
                is not interface.RejectionReason.OUT_OF_SEQUENCE
            ):
                return failure
            # The store has forgotten an earlier call of this owner that it
            # executed.
            self._sequence = failure.expected or 0

    def reopen(self, epoch: int, *, is_idle: bool) -> None:
        """Asks for the partition to be opened again under a higher epoch.

        Afterwards no owner of an epoch in between can append. If one has opened
        the partition before, the writer is outdated, and closed. Records wait
        until that is known.

        Args:
            epoch: The epoch.
            is_idle: Whether it may wait for further requests, unless there are
                records.
        """
        self._requested_epoch = epoch
        self._reopens_idle = is_idle
        self._wake_event.set()

    async def _wait_while_idle(self) -> None:
        """Waits for further requests to open a partition without records."""
        ends_s = _now_s() + IDLE_REOPENING_DELAY_S
        while self._reopens_idle and not self._pending and _now_s() < ends_s:
            self._wake_event.clear()
            try:
                async with asyncio.timeout(ends_s - _now_s()):
                    await self._wake_event.wait()
            except TimeoutError:
                break
        self._wake_event.set()

    async def _reopen(self, epoch: int) -> None:
        outcome = await self._append_opening(epoch, 0)
        if pipeline.is_successful(outcome):
            end = outcome.unwrap()
            if end != self._end + 1:
                self._is_outdated = True
                self._fence()
                return
            self._epoch, self._sequence, self._end = epoch, 1, end
            self._failing_since_s = None
            if self._requested_epoch == epoch:
                self._requested_epoch = None
                self._on_reopened()
            return
        failure = outcome.failure()
        if failure.rejection not in (
            None,
            interface.RejectionReason.INVALID,
        ):
            self._is_outdated = (
                failure.rejection is not interface.RejectionReason.FENCED
            )
            self._fence()
            return
        self._note_failure()
        await asyncio.sleep(RETRY_INTERVAL_S)

    async def _append_opening(
        self, epoch: int, sequence: int
    ) -> result.Result[int, interface.StoreFailure]:
        return await self._store.append(
            self._topic,
            self._partition,
            (interface.KeyedRecord(OPENING_KEY, str(epoch).encode()),),
            interface.Producer("owner", epoch, sequence),
        )

    def _note_failure(self) -> None:
        if self._failing_since_s is None:
            self._failing_since_s = _now_s()

    async def run(self) -> None:
        """Sends queued records in batches until cancelled or fenced."""
        while not self._is_fenced:
            await self._wake_event.wait()
            if self._requested_epoch is not None:
                await self._wait_while_idle()
                await self._reopen(self._requested_epoch)
                continue
            await asyncio.sleep(BATCH_DELAY_S)
            batch = self._take_batch()
            if not self._pending:
                self._wake_event.clear()
            if batch:
                await self._send(batch)

    def close(self) -> None:
        """Fails the futures of all unconfirmed records with FencedError.

        Those in flight may be stored; those in the queue certainly are not.
        """
        _fail(self._in_flight, FencedError(may_be_stored=True))
        self._fence()

    def _take_batch(self) -> list[_PendingRecord]:
        size = 0
        count = 0
        for entry in self._pending:
            size += len(entry.record.value) if entry.record else 0
            if count and size > MAX_BATCH_BYTES:
                break
            if self._suspect_records and count >= self._max_batch_records:
                break
            count += 1
        batch, self._pending = self._pending[:count], self._pending[count:]
        return batch

    async def _send(self, batch: list[_PendingRecord]) -> None:
        """Sends one batch and retries until it is stored or fenced.

        A batch that certainly was not executed goes back to the queue.
        """
        may_be_stored = False
        self._in_flight = batch
        latest = {
            entry.record.key: entry.record for entry in batch if entry.record
        }
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
                # Either the first append of this epoch, or a retry whose first
                # attempt the store no longer remembers. Each record is the
                # latest of its key, so appending it again is harmless.
                self._sequence = failure.expected or 0
                continue
            if failure.rejection is interface.RejectionReason.INVALID:
                self._handle_refusal(batch, failure)
                return
            if failure.rejection is not None:
                # Fencing an attempt proves nothing about an earlier one that
                # got no reply.
                is_fenced = (
                    failure.rejection is interface.RejectionReason.FENCED
                )
                error = FencedError(
                    may_be_stored=may_be_stored or not is_fenced
                )
                _fail(batch, error)
                self._fence()
                return
            self._note_failure()
            if failure.verdict is not verdicts.Verdict.NOT_RUN:
                may_be_stored = True
            if not may_be_stored:
                # The store executed no attempt, so the records go back to the
                # queue, from which they can still be discarded.
                self._pending[:0] = batch
                self._in_flight = []
                self._wake_event.set()
                await asyncio.sleep(RETRY_INTERVAL_S)
                return
            await asyncio.sleep(RETRY_INTERVAL_S)
        self._failing_since_s = None
        self._in_flight = []
        self._sequence += 1
        self._end = outcome.unwrap()
        self._suspect_records = max(0, self._suspect_records - len(batch))
        for entry in batch:
            if not entry.stored.done():
                entry.stored.set_result(None)

    def _handle_refusal(
        self, batch: list[_PendingRecord], failure: interface.StoreFailure
    ) -> None:
        """Fails the only record of a refused batch, or sends smaller batches.

        Records are appended all or nothing, so the others of a batch are sent
        again, in order, in batches of half its size until the refused one is
        alone.
        """
        self._in_flight = []
        self._wake_event.set()
        if len(batch) > 1:
            self._pending[:0] = batch
            self._suspect_records = len(batch)
            self._max_batch_records = len(batch) // 2
            return
        self._suspect_records = 0
        _fail(batch, RefusedError(failure.detail))
        for entry in batch:
            if entry.record is not None:
                self._on_refused(entry.record, failure.detail)

    def _fence(self) -> None:
        self._is_fenced = True
        self._wake_event.set()
        _fail(self._pending, FencedError(may_be_stored=False))
        self._pending.clear()


def _fail(entries: typing.Iterable[_PendingRecord], error: AppendError) -> None:
    for entry in entries:
        if not entry.stored.done():
            entry.stored.set_exception(error)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
