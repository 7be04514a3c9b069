"""Carries burn records over the retention of the log.

The log forgets old records. The holder of the fleet's lowest live seat appends
the parts that the longest window still needs a second time, well before the
log drops them. A part counts once however often the log holds it.
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
    """Returns the parts whose newest record has used up half its time.

    Args:
        entries: All that the log holds, in order.
        now_s: Wall time.
        retention: Records that the log keeps at least.
        longest_s: Length of the longest window.
    """
    if not entries:
        return []
    if entries[0].offset > 0:
        # The log has dropped records, so it shows what it does keep.
        retention = min(retention, len(entries))
    newest: dict[
        tuple[str, int, int], tuple[int, burn_rates.CountedPeriod]
    ] = {}
    for entry in entries:
        if entry.record is None or entry.record.kind != records.BURN:
            continue
        part = burn_records.decode_period(entry.record).value_or(None)
        if part is not None and part.until_s > now_s - longest_s:
            newest[part.host, part.from_s, part.until_s] = entry.offset, part
    end = entries[-1].offset + 1
    return [
        part
        for offset, part in newest.values()
        if (end - offset) * 2 >= retention
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
    """Looks in each period for parts to carry, until cancelled.

    Args:
        reader: Holder of the folded configuration.
        platform: Client of the log.
        clock: Source of time.
        host: This entry host.
        live: Returns the live entry hosts.
        period_s: Time between two looks.
        retention: Records that the log keeps at least.
    """
    while True:
        await asyncio.sleep(period_s)
        state = reader.configuration
        kept = state.offset + 1 - reader.oldest_offset
        if snapshots.lowest_live_seat_host(state, live()) != host or (
            kept * 2 < retention and reader.oldest_offset == 0
        ):
            continue
        entries = await history.read_entries(platform)
        if not pipeline.is_successful(entries):
            continue
        republished = 0
        for part in periods_to_republish(
            entries.unwrap(), now_s=clock.wall(), retention=retention
        ):
            published = await publisher.publish(
                burn_records.propose_record(part, reader),
                reader,
                platform,
                clock,
            )
            if published.publication is not publisher.Publication.ACCEPTED:
                # The next look finds what is left.
                break
            republished += 1
        if republished:
            eliot.log_message("burn:republished", periods=republished)
