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


def period_keys(entries):
    return [
        burn_records.decode_period(e.record).unwrap()[:4]
        for e in records.decode_entries(entries)
        if e.record is not None and e.record.kind == records.BURN
    ]


@behave.when(
    "two hosts republish periods for {hours:d} hours while the log keeps 400 "
    "records"
)
def step(context, hours):
    async def main():
        fleet = log_fleet.LogFleet(retention=400)
        fleet.append("zone", "a", index=0)
        tasks, context.appended_periods = [], []
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
            republishing = burn_republishing.republish_periods(
                reader,
                fleet.client,
                virtual_time.clock(),
                host=host,
                live=lambda: ("e0", "e1"),
                period_s=PERIOD_S // 10,
                retention=400,
            )
            tasks.append(asyncio.ensure_future(republishing))
        for _ in range(hours * 3600 // PERIOD_S):
            start_s = int(virtual_time.clock().wall())
            for _ in range(PERIOD_S // 3):
                await asyncio.sleep(3)
                fleet.platform.append(b"another record", -1.0)
            period = burn_rates.CountedPeriod(
                "e0", "a", start_s, start_s + PERIOD_S, False, (), ()
            )
            context.appended_periods.append(period[:4])
            # Copies the records before the log drops them.
            fleet.reference()
            await fleet.publish(
                reader, burn_records.propose_record(period, reader)
            )
        for task in tasks:
            task.cancel()
        context.periods_in_log = period_keys(
            records.LogEntry(*entry) for entry in fleet.platform.entries
        )
        fleet.reference()
        context.appended = collections.Counter(period_keys(fleet.published))
        context.half_retentions = fleet.platform.next_offset / 200
        await fleet.stop()

    virtual_time.run_virtual(main(), context.seed)


@behave.then(
    "the log holds each period of the 2 hours, appended once per half retention"
)
def step(context):
    assert set(context.periods_in_log) == set(context.appended_periods), (
        len(set(context.periods_in_log)),
        len(context.appended_periods),
    )
    max_appends = max(context.appended.values())
    print(
        f"max appends of one period: {max_appends}, half retentions "
        f"{context.half_retentions:.1f}"
    )
    assert max_appends <= context.half_retentions + 1, context.appended


@behave.when("counted periods are older than the longest window")
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
    context.republished = [
        len(
            burn_republishing.periods_to_republish(
                entries[:1], now_s=now_s, retention=1
            )
        )
        for now_s in limits
    ]


@behave.then("none is republished")
def step(context):
    assert context.republished == [1, 0], context.republished
