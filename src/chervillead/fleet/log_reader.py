"""The task that follows the platform's log and holds the folded state."""

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

POLL_WAIT_S = 0.2
MAX_BACKOFF_S = 2.0

# Raw records kept for peers that are behind: a minute at the platform's rate
# would be 24,000, but a peer that far behind is served a snapshot faster.
RECENT_ENTRIES = 4096
RECENT_BYTES = 4 * 1024 * 1024


class LogReader:
    """Holds the newest configuration and when it was last confirmed."""

    def __init__(self, clock: types.Clock) -> None:
        self._clock = clock
        self._configuration = configuration_module.EMPTY
        self._confirmed_s: float | None = None
        self._asked_s: float | None = None
        self._changed = asyncio.Event()
        self._results: dict[str, fold.FoldResult] = {}
        self._alarms: tuple[log_pages.Alarm, ...] = ()
        self._oldest_offset = 0
        self._latest_snapshot_offset = records.NO_VERSION
        self._recent: collections.deque[bytes] = collections.deque()
        self._recent_bytes = 0

    @property
    def configuration(self) -> configuration_module.Configuration:
        """The newest state that this host knows."""
        return self._configuration

    @property
    def unconfirmed_s(self) -> float:
        """Seconds since the log last confirmed the state; inf before that."""
        if self._confirmed_s is None:
            return float("inf")
        return self._clock.monotonic() - self._confirmed_s

    @property
    def alarms(self) -> tuple[log_pages.Alarm, ...]:
        """Faults of the log at present; empty when it is sound."""
        return self._alarms

    @property
    def oldest_offset(self) -> int:
        """Lowest offset that the log kept when it was last read."""
        return self._oldest_offset

    @property
    def latest_snapshot_offset(self) -> int:
        """Offset of the newest snapshot known to be in the log, or -1."""
        return self._latest_snapshot_offset

    def result_of(self, record_id: str) -> fold.FoldResult | None:
        """Returns the fate of a recently folded record."""
        return self._results.get(record_id)

    async def wait_for_change(self) -> None:
        """Returns after the state has changed."""
        await self._changed.wait()

    def start_read(self) -> None:
        """Notes that the log is asked now."""
        self._asked_s = self._clock.monotonic()

    def confirm(self) -> None:
        """Notes that the log answered and has nothing beyond the state.

        The state is confirmed for the time of the question: the answer may
        have been under way while this process was paused.
        """
        now_s = self._clock.monotonic()
        self._confirmed_s = now_s if self._asked_s is None else self._asked_s

    def raise_alarm(self, alarm: log_pages.Alarm) -> None:
        """Reports a fault of the log; the state is kept as it is."""
        if self._alarms != (alarm,):
            eliot.log_message(
                "platform:alarm", alarm=alarm.name, detail=alarm.detail
            )
        self._alarms = (alarm,)

    def record_healthy_log(self, oldest_offset: int) -> None:
        """Clears the alarms and notes where the log starts."""
        if self._alarms:
            eliot.log_message("platform:alarm-cleared")
        self._alarms = ()
        self._oldest_offset = oldest_offset

    def apply_entries(
        self, entries: abc.Iterable[records.OffsetRecord]
    ) -> None:
        """Folds records that came from the log or from a peer.

        Records that the state includes already are passed over, and so is all
        that doesn't follow directly.
        """
        before = self._configuration.offset
        for entry in entries:
            if entry.offset > self._configuration.offset + 1:
                break
            for step in fold.fold_records(self._configuration, (entry,)):
                self._configuration = step.configuration
                self._note(entry, step.result)
        if self._configuration.offset > before:
            self._announce_change()

    def install_snapshot(self, offset: int, state: bytes) -> bool:
        """Replaces the state by a newer snapshot; returns whether it did.

        Args:
            offset: Offset that the state is said to have.
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
        """Replaces the state by a newer one; returns whether it did."""
        if configuration.offset <= self._configuration.offset:
            return False
        self._configuration = configuration
        self._latest_snapshot_offset = max(
            self._latest_snapshot_offset, configuration.offset
        )
        self._recent.clear()
        self._recent_bytes = 0
        self._announce_change()
        return True

    def recent_entries(self, offset: int) -> list[bytes] | None:
        """Returns the raw records from `offset` on, or None if not kept."""
        end = self._configuration.offset + 1
        start = offset - (end - len(self._recent))
        if start < 0 or offset > end:
            return None
        return list(itertools.islice(self._recent, start, None))

    def _note(
        self, entry: records.OffsetRecord, fold_result: fold.FoldResult
    ) -> None:
        """Keeps a folded record's fate, and its bytes for peers."""
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

    def _announce_change(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


async def follow_log(
    reader: LogReader, platform: log_client.PlatformClient
) -> None:
    """Reads the log until cancelled and folds what it finds."""
    async for offset, asked, page in read_pages(reader, platform):
        kept = reader.recent_entries(offset)
        alarm = log_pages.check_page(
            page,
            asked=asked,
            offset=offset,
            known=kept[0] if kept else None,
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
    """Yields the state's offset, the offset asked for, and the page.

    It backs off while the log fails. The offset is the one before the read: a
    peer may bring the state forward while the log is read. After a failure or
    an alarm the state's last record is read once more: a platform that lost
    its tail meanwhile could hold others there.
    """
    failures = 0
    verify = False
    while True:
        reader.start_read()
        offset = reader.configuration.offset
        asked = max(0, offset) if verify or reader.alarms else offset + 1
        page = await platform.read(asked, POLL_WAIT_S)
        if pipeline.is_successful(page):
            failures = 0
            verify = False
            yield offset, asked, page.unwrap()
            continue
        failures += 1
        verify = True
        eliot.log_message("platform:read-failed", error=page.failure())
        # Full jitter keeps the entry hosts from reading in step when the
        # platform returns.
        ceiling = min(MAX_BACKOFF_S, POLL_WAIT_S * 2**failures)
        await asyncio.sleep(random.uniform(0, ceiling))
