"""Republishes burn records before the log's retention drops them.

The host of the fleet's lowest live seat appends counted periods that the
longest window still needs again, well before the log drops them. A period
counts once, however many records of it the log holds.
"""

import asyncio
from collections import abc

import eliot
from returns import pipeline

from chervillead import burn_rates
from chervillead import types
from chervillead.fleet import log_client
from chervillead.fleet import log_reader
from chervillead.fleet import publisher
from chervillead.fleet import records
from chervillead.fleet import snapshots
from chervillead.operators import burn_records
from chervillead.operators import history

MAX_WINDOW_S = 21_600


def periods_to_republish(
    entries: abc.Sequence[records.OffsetRecord],
    *,
    now_s: float,
    retention: int,
    longest_s: int = MAX_WINDOW_S,
) -> list[burn_rates.CountedPeriod]:
    """Returns the periods whose latest record is past half the retention.

    Args:
        entries: All records in the log, in order.
        now_s: Wall time, in seconds since the epoch.
        retention: Minimum number of records that the log keeps.
        longest_s: Length of the longest window, in seconds.
    """
    if not entries:
        return []
    if entries[0].offset > 0:
        # The log has dropped records, so it may keep only as many as it holds
        # now.
        retention = min(retention, len(entries))
    latest: dict[
        tuple[str, int, int], tuple[int, burn_rates.CountedPeriod]
    ] = {}
    for entry in entries:
        if entry.record is None or entry.record.kind != records.BURN:
            continue
        period = burn_records.decode_period(entry.record).value_or(None)
        if period is not None and period.until_s > now_s - longest_s:
            latest[period.host, period.from_s, period.until_s] = (
                entry.offset,
                period,
            )
    next_offset = entries[-1].offset + 1
    return [
        period
        for offset, period in latest.values()
        if (next_offset - offset) * 2 >= retention
    ]


async def republish_periods(
    reader: log_reader.LogReader,
    platform: log_client.PlatformClient,
    clock: types.Clock,
    *,
    host: str,
    live: abc.Callable[[], abc.Container[str]],
    period_s: int,
    retention: int = snapshots.RETENTION_RECORDS,
) -> None:
    """Periodically republishes periods close to expiry, until cancelled.

    Args:
        reader: Provides the folded configuration.
        platform: Client of the log.
        clock: Source of time.
        host: Name of this entry host.
        live: Returns the names of the live entry hosts.
        period_s: Time between two checks, in seconds.
        retention: Minimum number of records that the log keeps.
    """
    while True:
        await asyncio.sleep(period_s)
        state = reader.configuration
        record_count = state.offset + 1 - reader.oldest_offset
        if snapshots.lowest_live_seat_host(state, live()) != host or (
            record_count * 2 < retention and reader.oldest_offset == 0
        ):
            continue
        entries = await history.read_entries(platform)
        if not pipeline.is_successful(entries):
            continue
        republished = 0
        for period in periods_to_republish(
            entries.unwrap(), now_s=clock.wall(), retention=retention
        ):
            published = await publisher.publish(
                burn_records.propose_record(period, reader),
                reader,
                platform,
                clock,
            )
            if published.publication is not publisher.Publication.ACCEPTED:
                # The next check finds the remaining periods.
                break
            republished += 1
        if republished:
            eliot.log_message("burn:republished", periods=republished)
