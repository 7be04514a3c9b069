"""Appends snapshots of the state well before the log's retention runs out."""

import asyncio
from collections import abc
import random

import eliot

from chervillead import types
from chervillead.fleet import log_client
from chervillead.fleet import log_reader
from chervillead.fleet import publisher
from chervillead.fleet import snapshots

CHECK_INTERVAL_S = 1.0


async def write_snapshots(
    reader: log_reader.LogReader,
    platform: log_client.PlatformClient,
    clock: types.Clock,
    *,
    host: str,
    live: abc.Callable[[], abc.Container[str]],
    retention: int = snapshots.RETENTION_RECORDS,
) -> None:
    """Appends a snapshot whenever one is due, until cancelled.

    Args:
        reader: Reader of the log that has the state.
        platform: Client of the platform's log.
        clock: Clock of the time-out of an append.
        host: Name of this host.
        live: Returns the names of the live entry hosts.
        retention: Number of records that the log retains at least.
    """

    def is_due() -> bool:
        holder = snapshots.lowest_live_seat_host(reader.configuration, live())
        return not reader.alarms and snapshots.snapshot_is_due(
            offset=reader.configuration.offset,
            oldest_offset=reader.oldest_offset,
            latest_snapshot_offset=reader.latest_snapshot_offset,
            has_lowest_seat=holder == host,
            retention=retention,
        )

    while True:
        # The delay is random, so that the other hosts see the snapshot of one
        # host before they would append their own.
        await asyncio.sleep(random.uniform(0, 2 * CHECK_INTERVAL_S))
        if not is_due():
            continue
        published = await publisher.publish(
            snapshots.propose_snapshot(reader.configuration),
            reader,
            platform,
            clock,
        )
        eliot.log_message(
            "platform:snapshot",
            record=published.record_id,
            publication=published.publication.value,
        )
