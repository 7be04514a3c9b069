"""Steps of tests/fleet/log_reader.feature."""

import asyncio

import behave

from chervillead.fleet import publisher
from chervillead.fleet import records
from chervillead.fleet import snapshots
from stand_ins import local_fleet
from stand_ins import log_fleet
from stand_ins import memory_fleet
from stand_ins import platform as platform_stand_in
from stand_ins import virtual_time


@behave.given("three log readers that have folded {count:d} records")
def step(context, count):
    context.count = count


def run_readers(context, scenario):
    async def main():
        fleet = log_fleet.LogFleet()
        for _ in range(3):
            fleet.start_reader()
        append_zones(fleet, context.count)
        await asyncio.sleep(1)
        context.before = [reader.configuration for reader in fleet.readers]
        await scenario(fleet)
        await fleet.stop()
        context.fleet = fleet

    virtual_time.run_virtual(main(), context.seed)


def append_zones(fleet, count):
    for _ in range(count):
        number = fleet.platform.next_offset
        fleet.append("zone", f"z{number}", index=number)


async def cause_fault(fleet, fault):
    platform = fleet.platform
    if fault == "records expire during a partition":
        fleet.disconnected = {0, 1, 2}
        await asyncio.sleep(1)
        platform.retention = 10
        append_zones(fleet, 20)
        fleet.disconnected = set()
    elif fault == "the log loses its last records":
        platform.drop_tail(3)
    elif fault == "lost records are replaced":
        platform.is_down = True
        await asyncio.sleep(1)
        platform.drop_tail(3)
        append_zones(fleet, 5)
        platform.is_down = False
    else:
        append_zones(fleet, 1)
        del platform.entries[-1]
        platform.entries.append((platform.next_offset, b"x"))
        platform.next_offset += 1
    await asyncio.sleep(5)


@behave.when('the log fault "{fault}" occurs')
def step(context, fault):
    async def scenario(fleet):
        await cause_fault(fleet, fault)
        context.alarms = [reader.alarms for reader in fleet.readers]
        context.states = [reader.configuration for reader in fleet.readers]
        context.unconfirmed_s = [
            reader.unconfirmed_s for reader in fleet.readers
        ]

    context.fault = fault
    run_readers(context, scenario)


@behave.then(
    'the readers raise "{alarm}", keep their state and count as unconfirmed'
)
def step(context, alarm):
    names = [[entry.name for entry in alarms] for alarms in context.alarms]
    assert names == [[alarm]] * 3, context.alarms
    assert context.states == context.before
    assert min(context.unconfirmed_s) > 4, context.unconfirmed_s


@behave.when("a snapshot is appended")
def step(context):
    async def scenario(fleet):
        await cause_fault(fleet, context.fault)
        assert all(reader.alarms for reader in fleet.readers)
        record = snapshots.propose_snapshot(fleet.reference())
        fleet.platform.append(records.encode_record(record), -1.0)
        append_zones(fleet, 5)
        await asyncio.sleep(5)

    run_readers(context, scenario)


@behave.then("the readers reach the end of the log without an alarm")
def step(context):
    for reader in context.fleet.readers:
        assert not reader.alarms, reader.alarms
        assert reader.configuration == context.fleet.reference()


@behave.when("the first reader is disconnected and 20 records are appended")
def step(context):
    async def scenario(fleet):
        fleet.disconnected = {0}
        await asyncio.sleep(1)
        append_zones(fleet, 20)
        await asyncio.sleep(1)

    run_readers(context, scenario)
    context.behind, context.ahead = context.fleet.readers[:2]


@behave.then("it ignores records after a gap and older or corrupt snapshots")
def step(context):
    behind, ahead = context.behind, context.ahead
    before = behind.configuration
    assert before.offset == 29, before.offset
    raw = ahead.recent_entries(35)
    behind.apply_entries(
        records.decode_entries(
            records.LogEntry(35 + index, data) for index, data in enumerate(raw)
        )
    )
    state = snapshots.encode_configuration(ahead.configuration)
    older = snapshots.encode_configuration(before)
    assert not behind.install_snapshot(49, state[:-5])
    assert not behind.install_snapshot(48, state)
    assert not ahead.install_snapshot(29, older)
    assert behind.configuration is before
    assert ahead.configuration.offset == 49
    assert ahead.recent_entries(51) is None
    assert ahead.recent_entries(-1) is None


@behave.then(
    "it applies recent records of a peer and installs a newer snapshot"
)
def step(context):
    behind, ahead = context.behind, context.ahead
    raw = ahead.recent_entries(20)
    behind.apply_entries(
        records.decode_entries(
            records.LogEntry(20 + index, data) for index, data in enumerate(raw)
        )
    )
    assert behind.configuration == ahead.configuration
    other = context.fleet.readers[2]
    newer = ahead.configuration._replace(offset=60)
    assert other.install_snapshot(60, snapshots.encode_configuration(newer))
    assert other.configuration == newer
    assert other.recent_entries(61) == []
    assert other.recent_entries(60) is None


@behave.when(
    "{count:d} seeded fleets of 9 entry hosts go through races, an outage "
    "and short retention"
)
def step(context, count):
    context.fleets = []
    for seed in range(context.seed, context.seed + count):
        context.fleets.append(
            (seed, virtual_time.run_virtual(race_operators(seed), seed))
        )


async def race_operators(seed):
    """Returns the states of all hosts, that of the whole log, and results."""
    plan = local_fleet.FleetPlan(entry_hosts=9)
    fleet = memory_fleet.MemoryFleet(plan, seed=seed)
    await fleet.start()
    whole = log_fleet.LogFleet()
    whole.platform = fleet.platform
    whole.client = platform_stand_in.memory_client(fleet.platform)

    async def operate(index, round_number):
        parts = fleet.hosts[plan.entry_name(index)]
        record = publisher.propose(
            parts.reader,
            records.TEAM,
            "nursery-north",
            {"share": 1.0, "limit": 100 * round_number + index},
        )
        return await publisher.publish(
            record, parts.reader, parts.platform, parts.clock
        )

    published = []
    for round_number in range(6):
        fleet.platform.replies_to_drop = round_number % 3
        racing = [
            asyncio.ensure_future(operate(index, round_number))
            for index in (0, 1, 2)
        ]
        if round_number == 3:
            fleet.platform.is_down = True
            await asyncio.sleep(2)
            fleet.platform.is_down = False
        published += [await task for task in racing]
        whole.reference()
    await fleet.kill_host(plan.entry_name(8))
    first = fleet.hosts[plan.entry_name(0)]
    record = snapshots.propose_snapshot(first.reader.configuration)
    await publisher.publish(record, first.reader, first.platform, first.clock)
    fleet.platform.retention = 5
    published.append(await operate(0, 9))
    fleet.start_host(8)
    await asyncio.sleep(5)
    states = {name: p.reader.configuration for name, p in fleet.hosts.items()}
    reference = whole.reference()
    await fleet.stop()
    return states, reference, published


@behave.then("all entry hosts have the state of the whole log")
def step(context):
    for seed, (states, reference, published) in context.fleets:
        assert len(states) == 9
        for name, state in states.items():
            assert state == reference, (seed, name, state.offset, reference)
        accepted = [
            p.offset
            for p in published
            if p.publication is publisher.Publication.ACCEPTED
        ]
        assert len(accepted) == 7, (seed, published)
        assert accepted[-1] == reference.versions[("team", "nursery-north")]
        reasons = [p.detail for p in published if p.offset not in accepted]
        assert all("is based on version" in r for r in reasons), reasons
