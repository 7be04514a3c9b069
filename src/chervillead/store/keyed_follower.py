"""Follows a keyed topic and reports the changes of its keys.

A follower whose offset has expired reads the latest record of each key again,
so it misses no change and reports the keys deleted in the meantime.
"""

import asyncio
from collections import abc
import typing

from returns import pipeline
from returns import result

from chervillead.store import interface

RETRY_INTERVAL_S = 0.2
# After an outage few keys may be left of many, so a history that is sized by
# the present keys alone could be too short.
MIN_HISTORY_RECORDS = 1200


class Change(typing.NamedTuple):
    """A change of a keyed topic.

    Attributes:
        key: The changed key.
        value: Its new value, or None if the key was deleted.
    """

    key: str
    value: bytes | None


async def follow(
    store: interface.Store,
    topic: str,
    *,
    wait_ms: int,
    pause_s: float = 0.0,
    boot_time: abc.Callable[[], float],
    apply_changes: abc.Callable[[list[Change]], None],
    on_current: abc.Callable[[float], None],
    on_failure: abc.Callable[[interface.StoreFailure], None],
    apply_history: abc.Callable[[list[Change]], None] | None = None,
    history_records_per_key: int = 0,
) -> None:
    """Follows partition 0 of a topic until cancelled.

    Args:
        store: The store to read from.
        topic: Name of the keyed topic.
        wait_ms: Longest time for which a read waits for a record.
        pause_s: Pause between two reads, so that one read returns many changes.
        boot_time: Clock in seconds that also runs while the host is suspended.
        apply_changes: Receives the changes in order.
        on_current: Receives the boot time up to which the state is known to be
            current.
        on_failure: Receives each failed call.
        apply_history: Receives older changes once, after the first read of the
            latest records; they include keys that were deleted recently. A
            failed read is repeated, since the worker of a missed key may still
            run tasks.
        history_records_per_key: Number of older records to read for each
            present key.
    """
    offset: int | None = None
    keys: set[str] = set()
    while True:
        started_s = boot_time()
        if offset is None:
            latest = await store.read_latest(topic, 0)
            if not pipeline.is_successful(latest):
                on_failure(latest.failure())
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            page = latest.unwrap()
            present = {record.key for record in page.records}
            apply_changes(
                [Change(r.key, r.value) for r in page.records]
                + [Change(key, None) for key in sorted(keys - present)]
            )
            keys, offset = present, page.next_offset
            on_current(started_s)
            continue
        if apply_history is not None:
            count = max(
                MIN_HISTORY_RECORDS, history_records_per_key * len(keys)
            )
            history = await _read_history(store, topic, offset, count)
            if pipeline.is_successful(history):
                apply_history(history.unwrap())
                apply_history = None
            else:
                on_failure(history.failure())
        read = await store.read(topic, 0, offset, wait_ms)
        if not pipeline.is_successful(read):
            on_failure(read.failure())
            if (
                read.failure().rejection
                is interface.RejectionReason.OFFSET_EXPIRED
            ):
                offset = None
            else:
                await asyncio.sleep(RETRY_INTERVAL_S)
            continue
        changes = [
            Change(record.key, record.value or None)
            for record in read.unwrap().records
        ]
        for change in changes:
            (keys.discard if change.value is None else keys.add)(change.key)
        if changes:
            apply_changes(changes)
        offset = read.unwrap().next_offset
        if offset < read.unwrap().end_offset:
            continue
        on_current(started_s)
        if pause_s:
            await asyncio.sleep(pause_s)


async def _read_history(
    store: interface.Store, topic: str, end: int, count: int
) -> interface.StoreResult[list[Change], interface.StoreFailure]:
    """Returns up to `count` changes before an offset, oldest first.

    It returns fewer if the older ones are no longer retained.
    """
    changes: list[Change] = []
    offset = max(0, end - count)
    while offset < end:
        read = await store.read(topic, 0, offset, 0)
        if not pipeline.is_successful(read):
            first = read.failure().expected
            if first is None or first <= offset:
                return result.Failure(read.failure())
            offset = first
            continue
        page = read.unwrap()
        changes.extend(Change(r.key, r.value or None) for r in page.records)
        offset = page.next_offset
        if not page.records:
            break
    return result.Success(changes)
