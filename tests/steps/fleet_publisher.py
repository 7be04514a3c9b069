"""Steps of tests/fleet/publisher.feature."""

import asyncio
import collections

import behave

from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import fold
from chervillead.fleet import publisher
from chervillead.fleet import records
from stand_ins import log_fleet
from stand_ins import virtual_time


@behave.when(
    "{operators:d} operators race in {count:d} seeded runs with lost replies "
    "and outages of 3 s"
)
def step(context, count, operators):
    context.runs = [
        virtual_time.run_virtual(race(operators), context.seed + index)
        for index in range(count)
    ]


async def race(operators):
    fleet = log_fleet.LogFleet()
    for _ in range(operators):
        fleet.start_reader()
    fleet.append("pool", "p", spare=False)
    await asyncio.sleep(1)
    results = []
    for round_number in range(4):
        fleet.platform.replies_to_drop = round_number * 2
        tasks = [
            asyncio.ensure_future(
                fleet.publish(reader, propose_pool_change(reader))
            )
            for reader in fleet.readers
        ]
        if round_number % 2:
            await asyncio.sleep(0.002)
            fleet.platform.is_down = True
            await asyncio.sleep(3)
            fleet.platform.is_down = False
        results.append([await task for task in tasks])
        await asyncio.sleep(1)
    fleet.reference()
    await fleet.stop()
    return results, fleet.published


def propose_pool_change(reader, **fields):
    return publisher.propose(
        reader, records.POOL, "p", fields or {"max_unavailable": 2}
    )


@behave.then("every publication has the result of its record in the whole log")
def step(context):
    for results, log in context.runs:
        fold_results = {}
        for folded in fold.fold_records(
            configuration_module.EMPTY, records.decode_entries(log)
        ):
            fold_results.setdefault(folded.result.record_id, folded.result)
        for result in (r for round_ in results for r in round_):
            fold_result = fold_results[result.record_id]
            accepted = fold_result.outcome is fold.Outcome.ACCEPTED
            assert result.offset == fold_result.offset, (result, fold_result)
            assert result.publication is (
                publisher.Publication.ACCEPTED
                if accepted
                else publisher.Publication.REFUSED
            ), (result, fold_result)
            assert accepted or fold_result.detail in result.detail, (
                result,
                fold_result,
            )


@behave.then("each race has one winner")
def step(context):
    for results, _ in context.runs:
        for round_ in results:
            publications = [r.publication.value for r in round_]
            assert publications.count("accepted") == 1, publications


@behave.then("no record was appended more than {count:d} times")
def step(context, count):
    for _, log in context.runs:
        appended = collections.Counter(
            entry.record.record_id for entry in records.decode_entries(log)
        )
        assert max(appended.values()) <= count, appended.most_common(2)


def publish_one(context, prepare, propose=propose_pool_change, disconnected=()):
    async def main():
        fleet = log_fleet.LogFleet()
        reader = fleet.start_reader()
        fleet.append("pool", "p", spare=False)
        await asyncio.sleep(1)
        fleet.disconnected = set(disconnected)
        await asyncio.sleep(1)
        context.before = fleet.platform.next_offset
        task = asyncio.ensure_future(fleet.publish(reader, propose(reader)))
        await prepare(fleet, reader)
        context.published = await task
        context.appended = fleet.platform.next_offset - context.before
        context.appends = fleet.platform.appends
        await fleet.stop()

    virtual_time.run_virtual(main(), context.seed)


@behave.when("a record is published while the platform is down for a minute")
def step(context):
    async def prepare(fleet, reader):
        fleet.platform.is_down = True

    publish_one(context, prepare)


@behave.when(
    "a record is published while the platform's rate limit is exceeded"
)
def step(context):
    async def prepare(fleet, reader):
        fleet.platform.max_appends_per_s = 0

    publish_one(context, prepare)
    assert context.appends <= 15, context.appends


@behave.when("a record with unknown fields is published")
def step(context):
    async def prepare(fleet, reader):
        await asyncio.sleep(0)

    publish_one(
        context, prepare, lambda r: propose_pool_change(r, colour="red")
    )


@behave.when("a publisher's host installs a snapshot that includes the record")
def step(context):
    async def prepare(fleet, reader):
        fleet.platform.replies_to_drop = 1
        await asyncio.sleep(1)
        assert reader.configuration.offset == 0
        reader.install_state(fleet.reference())

    publish_one(context, prepare, disconnected=(0,))


@behave.then(
    'the publication is {publication} with a detail that contains "{named}"'
)
def step(context, publication, named):
    assert context.published.publication.value == publication, context.published
    assert named in context.published.detail, context.published


@behave.then("the publication is {publication} without a detail")
def step(context, publication):
    assert context.published.publication.value == publication, context.published
    assert not context.published.detail, context.published


@behave.then("nothing was appended")
def step(context):
    assert context.appended == 0, context.appended


@behave.when("records that would be accepted, stale and refused are checked")
def step(context):
    async def main():
        fleet = log_fleet.LogFleet()
        reader = fleet.start_reader()
        fleet.append("pool", "p", spare=False)
        await asyncio.sleep(1)
        good = propose_pool_change(reader)
        checked = (
            good,
            good._replace(based_on=-1),
            propose_pool_change(reader, max_unavailable=-1),
        )
        context.outcomes = [
            publisher.check_record(record, reader).outcome.value
            for record in checked
        ]
        context.appended = fleet.platform.next_offset - 1
        await fleet.stop()

    virtual_time.run_virtual(main(), context.seed)


@behave.then('the outcomes of the checks are "{outcomes}"')
def step(context, outcomes):
    assert ", ".join(context.outcomes) == outcomes, context.outcomes
