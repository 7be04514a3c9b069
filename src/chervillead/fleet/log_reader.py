"""Follows the platform's log and folds it into the configuration."""

import asyncio
import collections
from collections import abc
import itertools
import random

import eliot
from returns import pipeline

from chervillead import types
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import fold
from chervillead.fleet import log_client
from chervillead.fleet import log_pages
from chervillead.fleet import records
from chervillead.fleet import snapshots

# Time for which a read waits for new records.
POLL_WAIT_S = 0.2
MAX_BACKOFF_S = 2.0

# Bounds of the raw records kept for peers that lag behind. The platform's rate
# limit allows 24,000 records a minute, but a peer that is so far behind catches
# up faster from a snapshot.
RECENT_ENTRIES = 4096
RECENT_BYTES = 4 * 1024 * 1024


class LogReader:
    """Holds the latest configuration and the time of its last confirmation."""

    def __init__(self, clock: types.Clock) -> None:
        self._clock = clock
        self._configuration = configuration_module.EMPTY
        self._confirmed_s: float | None = None
        self._read_started_s: float | None = None
        self._changed = asyncio.Event()
        self._results: dict[str, fold.FoldResult] = {}
        self._alarms: tuple[log_pages.Alarm, ...] = ()
        self._oldest_offset = 0
        self._latest_snapshot_offset = records.NO_VERSION
        self._recent: collections.deque[bytes] = collections.deque()
        self._recent_bytes = 0

    @property
    def configuration(self) -> configuration_module.Configuration:
        """The latest configuration known to this host."""
        return self._configuration

    @property
    def unconfirmed_s(self) -> float:
        """Seconds since the log last confirmed the state; infinite if never."""
        if self._confirmed_s is None:
            return float("inf")
        return self._clock.monotonic() - self._confirmed_s

    @property
    def alarms(self) -> tuple[log_pages.Alarm, ...]:
        """Current faults of the log; empty while it is healthy."""
        return self._alarms

    @property
    def oldest_offset(self) -> int:
        """Lowest offset in the log at the time of the last read."""
        return self._oldest_offset

    @property
    def latest_snapshot_offset(self) -> int:
        """Offset of the latest snapshot known to be in the log, or -1."""
        return self._latest_snapshot_offset

    def result_of(self, record_id: str) -> fold.FoldResult | None:
        """Returns the result of a recently folded record; None if unknown."""
        return self._results.get(record_id)

    async def wait_for_change(self) -> None:
        """Waits until the next change of the state."""
        await self._changed.wait()

    def start_read(self) -> None:
        """Records the start time of a read of the log."""
        self._read_started_s = self._clock.monotonic()

    def confirm(self) -> None:
        """Records that the log has no records beyond the state.

        The state is confirmed as of the start of the read, because the reply
        may have been in transit while this process was paused.
        """
        now_s = self._clock.monotonic()
        self._confirmed_s = (
            now_s if self._read_started_s is None else self._read_started_s
        )

    def raise_alarm(self, alarm: log_pages.Alarm) -> None:
        """Reports a fault of the log and keeps the state unchanged."""
        if self._alarms != (alarm,):
            eliot.log_message(
                "platform:alarm", alarm=alarm.name, detail=alarm.detail
            )
        self._alarms = (alarm,)

    def record_healthy_log(self, oldest_offset: int) -> None:
        """Clears the alarms and stores the lowest offset of the log."""
        if self._alarms:
            eliot.log_message("platform:alarm-cleared")
        self._alarms = ()
        self._oldest_offset = oldest_offset

    def apply_entries(
        self, entries: abc.Iterable[records.OffsetRecord]
    ) -> None:
        """Folds records received from the log or from a peer.

        Records that the state already includes are skipped. Folding stops at
        the first gap in the offsets.
        """
        previous_offset = self._configuration.offset
        for entry in entries:
            if entry.offset > self._configuration.offset + 1:
                break
            for step in fold.fold_records(self._configuration, (entry,)):
                self._configuration = step.configuration
                self._record_result(entry, step.result)
        if self._configuration.offset > previous_offset:
            self._notify_change()

    def install_snapshot(self, offset: int, state: bytes) -> bool:
        """Replaces the state by a newer snapshot; returns whether it did.

        A snapshot that is malformed, has another offset or is not newer is
        ignored.

        Args:
            offset: Expected offset of the snapshot.
            state: The state, encoded by `snapshots.encode_configuration`.
        """
        decoded = snapshots.decode_configuration(state)
        if not pipeline.is_successful(decoded):
            eliot.log_message(
                "platform:snapshot-malformed", error=decoded.failure()
            )
            return False
        if decoded.unwrap().offset != offset:
            return False
        return self.install_state(decoded.unwrap())

    def install_state(
        self, configuration: configuration_module.Configuration
    ) -> bool:
        """Replaces the state by a newer one; returns whether it was newer."""
        if configuration.offset <= self._configuration.offset:
            return False
        self._configuration = configuration
        self._latest_snapshot_offset = max(
            self._latest_snapshot_offset, configuration.offset
        )
        self._recent.clear()
        self._recent_bytes = 0
        self._notify_change()
        return True

    def recent_entries(self, offset: int) -> list[bytes] | None:
        """Returns the raw records from `offset` on, or None if unavailable."""
        end = self._configuration.offset + 1
        start = offset - (end - len(self._recent))
        if start < 0 or offset > end:
            return None
        return list(itertools.islice(self._recent, start, None))

    def _record_result(
        self, entry: records.OffsetRecord, fold_result: fold.FoldResult
    ) -> None:
        """Stores the result of a folded record, and its bytes for peers."""
        self._recent.append(entry.data)
        self._recent_bytes += len(entry.data)
        while self._recent and (
            len(self._recent) > RECENT_ENTRIES
            or self._recent_bytes > RECENT_BYTES
        ):
            self._recent_bytes -= len(self._recent.popleft())
        if fold_result.outcome is fold.Outcome.REPEATED:
            return
        record = entry.record
        if record is not None and record.kind == records.SNAPSHOT:
            self._latest_snapshot_offset = entry.offset
        self._results[fold_result.record_id] = fold_result
        if len(self._results) > fold.RECENT_IDS:
            del self._results[next(iter(self._results))]

    def _notify_change(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


async def follow_log(
    reader: LogReader, platform: log_client.PlatformClient
) -> None:
    """Reads the log and folds its records until cancelled.

    After a gap, it continues from the latest snapshot in the log.
    """
    async for offset, requested, page in read_pages(reader, platform):
        recent = reader.recent_entries(offset)
        alarm = log_pages.check_page(
            page,
            requested=requested,
            state_offset=offset,
            expected_data=recent[0] if recent else None,
        )
        if alarm is None:
            reader.record_healthy_log(page.oldest_offset)
            reader.apply_entries(records.decode_entries(page.entries))
            if reader.configuration.offset >= page.next_offset - 1:
                reader.confirm()
            continue
        if alarm.name == log_pages.GAP:
            state = await snapshots.find_latest(platform, page.oldest_offset)
            if state is not None and reader.install_state(state):
                continue
        reader.raise_alarm(alarm)
        await asyncio.sleep(random.uniform(POLL_WAIT_S, MAX_BACKOFF_S))


async def read_pages(
    reader: LogReader, platform: log_client.PlatformClient
) -> abc.AsyncIterator[tuple[int, int, records.LogPage]]:
    """Yields the state's offset, the requested offset, and the page.

    Reads that fail are retried with backoff. The state's offset is taken before
    the read, because records from a peer may advance the state during the read.
    After a failure or an alarm, the last record of the state is read again: a
    platform that lost the end of its log meanwhile may have another record at
    that offset.
    """
    failures = 0
    verify = False
    while True:
        reader.start_read()
        offset = reader.configuration.offset
        requested = max(0, offset) if verify or reader.alarms else offset + 1
        page = await platform.read(requested, POLL_WAIT_S)
        if pipeline.is_successful(page):
            failures = 0
            verify = False
            yield offset, requested, page.unwrap()
            continue
        failures += 1
        verify = True
        eliot.log_message("platform:read-failed", error=page.failure())
        # Full jitter keeps entry hosts from reading in lockstep when the
        # platform recovers.
        ceiling_s = min(MAX_BACKOFF_S, POLL_WAIT_S * 2**failures)
        await asyncio.sleep(random.uniform(0, ceiling_s))
