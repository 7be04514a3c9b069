"""Steps of tests/fleet/snapshots.feature."""

import asyncio
import random
import zlib

import behave
import hypothesis
from hypothesis import strategies
import msgspec
from returns import pipeline

from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import records
from chervillead.fleet import snapshots
from stand_ins import log_fleet
from stand_ins import virtual_time

RETENTION = 400


@behave.when("hypothesis encodes and decodes configurations")
def step(context):
    strategies.register_type_strategy(float, strategies.floats(allow_nan=False))
    strategies.register_type_strategy(
        int, strategies.integers(-(2**63), 2**64 - 1)
    )
    context.seen = 0

    @hypothesis.settings(
        derandomize=True,
        max_examples=60,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(strategies.from_type(configuration_module.Configuration))
    def check(state):
        context.seen += 1
        decoded = snapshots.decode_configuration(
            snapshots.encode_configuration(state)
        )
        assert decoded.unwrap() == state, (decoded, state)

    check()


@behave.then("each decoded configuration equals the encoded one")
def step(context):
    assert context.seen >= 60, context.seen


@behave.when("a snapshot is read that {damage}")
def step(context, damage):
    encoded = snapshots.encode_configuration(configuration_module.EMPTY)
    data = {
        "is truncated": encoded[:-3],
        "is not a snapshot": b"nonsense",
        "has a newer format": zlib.compress(msgspec.msgpack.encode([2, []])),
    }[damage]
    context.decoded = snapshots.decode_configuration(data)


@behave.then("the snapshot is rejected with an error that contains {named}")
def step(context, named):
    assert not pipeline.is_successful(context.decoded)
    assert named in context.decoded.failure(), context.decoded


@behave.then(
    "with offset {offset:d}, oldest {oldest:d}, snapshot {newest:d} of "
    "retention 100 the host with the lowest seat appends: {lowest}, others: "
    "{others}"
)
def step(context, offset, oldest, newest, lowest, others):
    for is_lowest, expected in ((True, lowest), (False, others)):
        due = snapshots.snapshot_is_due(
            offset=offset,
            oldest_offset=oldest,
            latest_snapshot_offset=newest,
            has_lowest_seat=is_lowest,
            retention=100,
        )
        assert due == (expected == "yes"), (is_lowest, due)


@behave.when(
    "nine hosts write snapshots while {times:d} times the retention is appended"
)
def step(context, times):
    async def main():
        fleet = log_fleet.LogFleet(retention=RETENTION)
        for _ in range(9):
            fleet.start_reader(snapshots=RETENTION)
        fleet.append("zone", "z0", index=0)
        for number in range(9):
            fleet.append(
                "seat",
                f"z0/{number}",
                zone="z0",
                number=number,
                host=f"e{number}",
                address=["10.0.0.1", 80],
            )
        context.unusable, context.snapshots = [], set()
        for number in range(times * RETENTION):
            fleet.platform.append(
                records.encode_record(
                    records.Record(f"{number}", "burn", "b", -1, {"n": 1})
                ),
                -1.0,
            )
            # The platform is down for the last tenth of each retention.
            fleet.platform.is_down = number % RETENTION > RETENTION * 0.9
            await asyncio.sleep(random.uniform(0, 0.2))
            kept = [
                entry.record
                for entry in records.decode_entries(
                    records.LogEntry(*e) for e in fleet.platform.entries
                )
                if entry.record.kind == records.SNAPSHOT
            ]
            context.snapshots |= {record.record_id for record in kept}
            offsets = [int(r.record_id.split("-")[1]) for r in kept]
            oldest = fleet.platform.entries[0][0]
            if oldest > 0 and max(offsets, default=-1) + 1 < oldest:
                context.unusable.append(number)
        fleet.platform.is_down = False
        late = fleet.start_reader()
        await asyncio.sleep(5)
        first = fleet.readers[0]
        assert late.configuration == first.configuration
        assert not late.alarms, late.alarms
        await fleet.stop()

    context.retentions = times
    virtual_time.run_virtual(main(), context.seed)


@behave.then("a new reader could start at any time")
def step(context):
    assert not context.unusable, context.unusable[:5]


@behave.then("at most {count:d} snapshots were appended per retention")
def step(context, count):
    appended = len(context.snapshots)
    assert 0 < appended <= count * context.retentions, appended
