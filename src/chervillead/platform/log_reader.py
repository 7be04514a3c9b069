"""The task that follows the platform's log and holds the folded state."""

import asyncio
from collections import abc
import random

import eliot
from returns import pipeline

from chervillead import types
from chervillead.platform import configuration as configuration_module
from chervillead.platform import fold
from chervillead.platform import log_client
from chervillead.platform import records

POLL_WAIT_S = 0.2
MAX_BACKOFF_S = 2.0


class LogReader:
    """Holds the newest configuration and when it was last confirmed."""

    def __init__(self, clock: types.Clock) -> None:
        self._clock = clock
        self._configuration = configuration_module.EMPTY
        self._confirmed_s: float | None = None
        self._asked_s: float | None = None
        self._changed = asyncio.Event()
        self._fates: dict[str, fold.Fate] = {}

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

    def fate_of(self, record_id: str) -> fold.Fate | None:
        """Returns the fate of a recently folded record."""
        return self._fates.get(record_id)

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

    def take_entries(self, entries: abc.Iterable[records.OffsetRecord]) -> None:
        """Folds records that came from the log or from a peer."""
        for step in fold.fold_records(self._configuration, entries):
            self._configuration = step.configuration
            self._remember_fate(step.fate)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _remember_fate(self, fate: fold.Fate) -> None:
        if fate.outcome is fold.Outcome.REPEATED:
            return
        self._fates[fate.record_id] = fate
        if len(self._fates) > fold.RECENT_IDS:
            del self._fates[next(iter(self._fates))]


async def follow_log(
    reader: LogReader, platform: log_client.PlatformClient
) -> None:
    """Reads the log until cancelled and folds what it finds."""
    async for page in read_pages(reader, platform):
        if page.entries:
            reader.take_entries(records.decode_entries(page.entries))
        if reader.configuration.offset >= page.end - 1:
            reader.confirm()


async def read_pages(
    reader: LogReader, platform: log_client.PlatformClient
) -> abc.AsyncIterator[records.LogPage]:
    """Yields pages from the state's offset on; backs off while it fails."""
    failures = 0
    while True:
        reader.start_read()
        page = await platform.read(reader.configuration.offset + 1, POLL_WAIT_S)
        if pipeline.is_successful(page):
            failures = 0
            yield page.unwrap()
            continue
        failures += 1
        eliot.log_message("platform:read-failed", error=page.failure())
        # Full jitter keeps the entry hosts from reading in step when the
        # platform returns.
        ceiling = min(MAX_BACKOFF_S, POLL_WAIT_S * 2**failures)
        await asyncio.sleep(random.uniform(0, ceiling))
