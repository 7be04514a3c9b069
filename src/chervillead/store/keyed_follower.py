"""Follows a keyed topic and reports the changes of its keys.

A follower whose offset has expired reads the latest record of each key again,
so it misses no change and reports the keys deleted in the meantime.
"""

import asyncio
from collections import abc

from returns import pipeline
from returns import result

from chervillead.store import interface
from chervillead.store import keyed_state

RETRY_INTERVAL_S = 0.2
# After an outage few keys may be left of many, so a history that is sized by
# the present keys alone could be too short.
MIN_HISTORY_RECORDS = 1200


async def follow(
    store: interface.Store,
    topic: str,
    state: keyed_state.KeyedState,
    *,
    wait_ms: int,
    pause_s: float = 0.0,
    boot_time: abc.Callable[[], float],
    apply_changes: abc.Callable[[list[keyed_state.Change]], None],
    on_current: abc.Callable[[float], None],
    on_failure: abc.Callable[[interface.StoreFailure], None],
    apply_history: abc.Callable[[list[keyed_state.Change]], None] | None = None,
    history_records_per_key: int = 0,
) -> None:
    """Follows partition 0 of a topic until cancelled.

    Args:
        store: The store to read from.
        topic: Name of the keyed topic.
        state: What is known of the partition; records are read from its
            position on, which other sources may advance as well.
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
    must_read_all = True
    next_wait_ms = wait_ms
    while True:
        started_s = boot_time()
        if must_read_all:
            latest = await store.read_latest(topic, 0)
            if not pipeline.is_successful(latest):
                on_failure(latest.failure())
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            records, next_offset = latest.unwrap()
            keys = {record.key for record in records}
            apply_changes(state.merge_snapshot(records, keys, next_offset))
            must_read_all = False
            on_current(started_s)
            continue
        if apply_history is not None:
            count = max(
                MIN_HISTORY_RECORDS, history_records_per_key * len(state.keys)
            )
            history = await _read_history(store, topic, state.position, count)
            if pipeline.is_successful(history):
                apply_history(history.unwrap())
                apply_history = None
            else:
                on_failure(history.failure())
        read = await store.read(topic, 0, state.position, next_wait_ms)
        if not pipeline.is_successful(read):
            on_failure(read.failure())
            if (
                read.failure().rejection
                is interface.RejectionReason.OFFSET_EXPIRED
            ):
                must_read_all = True
            else:
                await asyncio.sleep(RETRY_INTERVAL_S)
            continue
        page = read.unwrap()
        # A large record takes long to arrive, and the state is confirmed only
        # as of the start of the read, so the next one doesn't wait.
        next_wait_ms = 0 if page.records else wait_ms
        changes = state.merge_log(page.records, page.next_offset)
        if changes:
            apply_changes(changes)
        if state.position < page.end_offset:
            continue
        on_current(started_s)
        if pause_s:
            await asyncio.sleep(pause_s)


async def _read_history(
    store: interface.Store, topic: str, end: int, count: int
) -> interface.StoreResult[list[keyed_state.Change], interface.StoreFailure]:
    """Returns up to `count` changes before an offset, oldest first.

    It returns fewer if the older ones are no longer retained.
    """
    changes: list[keyed_state.Change] = []
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
        changes.extend(
            keyed_state.Change(r.key, r.value or None) for r in page.records
        )
        offset = page.next_offset
        if not page.records:
            break
    return result.Success(changes)
