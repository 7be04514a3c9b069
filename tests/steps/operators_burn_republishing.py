"""Steps of tests/operators/burn_republishing.feature."""

import asyncio
import collections

import behave

from chervillead import burn_rates
from chervillead.fleet import records
from chervillead.operators import burn_records
from chervillead.operators import burn_republishing
from stand_ins import log_fleet
from stand_ins import virtual_time

PERIOD_S = 300


def keys_of(entries):
    return [
        burn_records.decode_period(e.record).unwrap()[:4]
        for e in records.decode_entries(entries)
        if e.record is not None and e.record.kind == records.BURN
    ]


@behave.when(
    "two hosts carry parts for {hours:d} hours while the log keeps 400 records"
)
def step(context, hours):
    async def main():
        fleet = log_fleet.LogFleet(retention=400)
        fleet.append("zone", "a", index=0)
        tasks, context.made = [], []
        for number in range(2):
            host = f"e{number}"
            fleet.append(
                "seat",
                f"a/{number}",
                zone="a",
                number=number,
                host=host,
                address=["127.0.0.1", 1],
            )
            reader = fleet.start_reader(snapshots=400)
            carrying = burn_republishing.republish_periods(
                reader,
                fleet.client,
                virtual_time.clock(),
                host=host,
                live=lambda: ("e0", "e1"),
                period_s=PERIOD_S // 10,
                retention=400,
            )
            tasks.append(asyncio.ensure_future(carrying))
        for _ in range(hours * 3600 // PERIOD_S):
            start_s = int(virtual_time.clock().wall())
            for _ in range(PERIOD_S // 3):
                await asyncio.sleep(3)
                fleet.platform.append(b"another record", -1.0)
            part = burn_rates.CountedPeriod(
                "e0", "a", start_s, start_s + PERIOD_S, False, (), ()
            )
            context.made.append(part[:4])
            # Keeps a copy of what the log is about to drop.
            fleet.reference()
            await fleet.publish(
                reader, burn_records.propose_record(part, reader)
            )
        for task in tasks:
            task.cancel()
        context.kept = keys_of(
            records.LogEntry(*entry) for entry in fleet.platform.entries
        )
        fleet.reference()
        context.appended = collections.Counter(keys_of(fleet.published))
        context.halves = fleet.platform.next_offset / 200
        await fleet.stop()

    virtual_time.run_virtual(main(), context.seed)


@behave.then(
    "the log holds each part of the 2 hours, appended once in half a retention"
)
def step(context):
    assert set(context.kept) == set(context.made), (
        len(set(context.kept)),
        len(context.made),
    )
    most = max(context.appended.values())
    print(f"most appends of one part: {most}, halves {context.halves:.1f}")
    assert most <= context.halves + 1, context.appended


@behave.when("parts are older than the longest window")
def step(context):
    entries = [
        records.OffsetRecord(
            offset,
            records.Record(
                f"r{offset}",
                records.BURN,
                "a/e0",
                -1,
                {
                    **burn_rates.CountedPeriod(
                        "e0", "a", 0, 300, False, (), ()
                    )._asdict(),
                },
            ),
        )
        for offset in range(1, 500)
    ]
    limits = (300 + burn_republishing.MAX_WINDOW_S - 1, 300 + 21_600)
    context.carried = [
        len(
            burn_republishing.periods_to_republish(
                entries[:1], now_s=now_s, retention=1
            )
        )
        for now_s in limits
    ]


@behave.then("none is carried")
def step(context):
    assert context.carried == [1, 0], context.carried
