"""Time until a change is in force on all hosts that read the log.

Runs in virtual time with calls of 1 to 20 ms, a platform that loses a tenth of
its reads, and the transfers and reports of nine zones as background. A host is
late when a change reaches it after the bound of its fleet's size.
"""

import asyncio
from collections import abc
import random
import typing

from returns import result

from benchmarks import figures
from chervillead.fleet import log_client
from chervillead.fleet import log_reader
from chervillead.fleet import records
from stand_ins import platform as platform_stand_in
from stand_ins import virtual_time

# Readers and the bound in seconds: today's fleet, and one at the design size.
FLEETS = ((9, 5.0), (200, 11.0))
CHANGES = 100
BACKGROUND_PER_S = 10
LOST_READS = 0.1
SEED = 20261204


def measure() -> abc.Iterator[figures.BenchmarkResult]:
    """Yields the slowest change and the number of late hosts by fleet."""
    for readers, bound_s in FLEETS:
        delays_s: list[float] = virtual_time.run_virtual(spread(readers), SEED)
        late = sum(delay_s > bound_s for delay_s in delays_s)
        yield figures.BenchmarkResult(
            f"spread: slowest of {len(delays_s)}, {readers} readers, virtual s",
            max(delays_s),
            "-",
            True,
        )
        # A change that never arrived at a host counts as late too.
        late += readers * CHANGES - len(delays_s)
        yield figures.BenchmarkResult(
            f"spread: hosts later than {bound_s:g} s, {readers} readers",
            late,
            "<= 0",
            late <= 0,
        )


def _unreliable(
    client: log_client.PlatformClient,
) -> log_client.PlatformClient:
    async def read(offset: int, wait_s: float) -> typing.Any:
        await asyncio.sleep(random.uniform(0.001, 0.02))
        if random.random() < LOST_READS:
            return result.Failure("lost")
        page = await client.read(offset, wait_s)
        await asyncio.sleep(random.uniform(0.001, 0.02))
        return page

    return client._replace(read=read)


async def spread(readers: int) -> list[float]:
    """Returns the delay of each change at each reader."""
    platform = platform_stand_in.PlatformState()
    client = platform_stand_in.memory_client(platform)
    clock = virtual_time.clock()
    appended_s: dict[int, float] = {}
    delays_s: list[float] = []

    def append(kind: str, subject: str, based_on: int) -> int:
        record = records.Record(
            f"{kind}-{platform.next_offset}",
            kind,
            subject,
            based_on,
            {"spare": True},
        )
        offset = platform.append(records.encode_record(record), -1.0)
        return typing.cast(int, offset)

    async def watch(reader: log_reader.LogReader) -> None:
        seen = -1
        while True:
            await reader.wait_for_change()
            now_s = clock.monotonic()
            reached = reader.configuration.offset
            delays_s.extend(
                now_s - at_s
                for offset, at_s in appended_s.items()
                if seen < offset <= reached
            )
            seen = reached

    followed = [log_reader.LogReader(clock) for _ in range(readers)]
    tasks = [
        asyncio.ensure_future(task)
        for reader in followed
        for task in (
            watch(reader),
            log_reader.follow_log(reader, _unreliable(client)),
        )
    ]
    version = records.NO_VERSION
    for _ in range(CHANGES):
        for _ in range(random.randrange(BACKGROUND_PER_S)):
            append(records.BURN, "minutes", records.NO_VERSION)
            await asyncio.sleep(1 / BACKGROUND_PER_S)
        version = append(records.POOL, "p", version)
        appended_s[version] = clock.monotonic()
    await asyncio.sleep(2 * FLEETS[-1][1])
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return delays_s
