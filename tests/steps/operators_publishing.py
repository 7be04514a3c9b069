"""Steps of tests/operators/publishing.feature."""

import asyncio

import behave

from chervillead.fleet import records
from chervillead.operators import publishing
from chervillead.operators import session as session_module
from stand_ins import log_fleet
from stand_ins import virtual_time


def run_operators(context, main):
    """Runs `main` with a fleet and a function that opens log sessions."""

    async def run():
        fleet = log_fleet.LogFleet()

        async def session():
            reader = fleet.start_reader()
            await asyncio.sleep(1)
            return session_module.Session(
                reader, fleet.client, virtual_time.clock()
            )

        fleet.append("zone", "a", index=0)
        fleet.append("zone", "b", index=1)
        fleet.append("pool", "p", spare=False)
        fleet.append("queue", "q", pool="p", target_part=0.9, max_waiting=7)
        fleet.append("team", "t", share=1.0, limit=8)
        await main(fleet, session)
        context.state = fleet.reference()
        await fleet.stop()

    virtual_time.run_virtual(run(), context.seed)


def team_change(**fields):
    return publishing.Change(records.TEAM, "t", fields)


@behave.when("an operator changes only the target time of a queue")
def step(context):
    async def main(fleet, session):
        change = publishing.Change(records.QUEUE, "q", {"target_s": 1.5})
        answer = await publishing.publish_change(change, await session())
        assert answer["publication"] == "accepted", answer

    run_operators(context, main)


@behave.then("the queue keeps its other fields")
def step(context):
    queue = context.state.queues["q"]
    assert queue.target_s == 1.5, queue
    assert (queue.target_part, queue.max_waiting) == (0.9, 7), queue


@behave.when(
    "a change ends as unknown, another follows, and the first is repeated"
)
def step(context):
    async def main(fleet, session):
        first = await session()
        cut_off = first._replace(
            reader=first.reader, platform=fleet.client_of(0)
        )
        fleet.disconnected = {0}
        await asyncio.sleep(1)
        context.first = await publishing.publish_change(
            team_change(limit=9), cut_off, record_id="r1", within_s=3
        )
        assert context.first["publication"] == "unknown", context.first
        offset = fleet.platform.next_offset - 1
        second = await publishing.publish_change(
            team_change(limit=5), await session()
        )
        assert second["publication"] == "accepted", second
        context.repeat = await publishing.publish_change(
            team_change(limit=9), await session(), record_id="r1"
        )
        assert context.repeat["offset"] == offset, context.repeat

    run_operators(context, main)


@behave.then("the repeat reports the first offset and the second change stands")
def step(context):
    assert context.repeat["publication"] == "accepted", context.repeat
    assert context.state.teams["t"].limit == 5, context.state.teams


@behave.when("a rollout is started twice with one id, then as a dry run")
def step(context):
    async def main(fleet, session):
        change = publishing.Change(
            records.ROLLOUT,
            "r",
            {"pool": "p", "change": "kernel"},
            must_be_new=True,
        )
        context.answers = [
            await publishing.publish_change(
                change, await session(), record_id="r1", dry_run=dry_run
            )
            for dry_run in (False, False, True)
        ]

    run_operators(context, main)


@behave.then("all three answers equal the first")
def step(context):
    publications = [answer["publication"] for answer in context.answers]
    assert publications == ["accepted"] * 3, context.answers
    first, second, _ = context.answers
    assert first["offset"] == second["offset"], context.answers


@behave.when("two operators change one team from the same state")
def step(context):
    async def main(fleet, session):
        sessions = [await session(), await session()]
        context.answers = await asyncio.gather(
            *(
                publishing.publish_change(team_change(limit=n), s)
                for n, s in enumerate(sessions)
            )
        )

    run_operators(context, main)


@behave.then("one change is accepted and one is rejected as stale")
def step(context):
    refused, accepted = sorted(
        context.answers, key=lambda a: publishing.exit_status(a), reverse=True
    )
    assert publishing.exit_status(accepted) == 0, accepted
    assert publishing.exit_status(refused) == 1, refused
    assert refused["reason"].startswith("stale"), refused


@behave.when("a valid and an invalid change are published as dry runs")
def step(context):
    async def main(fleet, session):
        opened, end = await session(), fleet.platform.next_offset
        context.answers = [
            await publishing.publish_change(change, opened, dry_run=True)
            for change in (team_change(limit=1), team_change(limit=-1))
        ]
        context.appended = fleet.platform.next_offset - end

    run_operators(context, main)


@behave.then(
    "the dry runs report accepted and refused, and nothing is appended"
)
def step(context):
    publications = [answer["publication"] for answer in context.answers]
    assert publications == ["accepted", "refused"], context.answers
    assert "-1" in context.answers[1]["reason"], context.answers
    assert context.appended == 0, context.appended


@behave.when('zone "{zone}" is taken out where only "a" and "b" are known')
def step(context, zone):
    async def main(fleet, session):
        opened, end = await session(), fleet.platform.next_offset
        change = publishing.Change(
            records.ZONE, zone, {"status": "out", "index": 7}, must_exist=True
        )
        context.answer = await publishing.publish_change(change, opened)
        context.appended = fleet.platform.next_offset - end

    run_operators(context, main)


@behave.then(
    'the change is rejected with the hint "{hint}" and nothing is appended'
)
def step(context, hint):
    assert context.answer["publication"] == "refused", context.answer
    assert f"did you mean '{hint}'" in context.answer["reason"], context.answer
    assert context.appended == 0, context.appended


@behave.when("a change meets a log that can't be read, with and without an id")
def step(context):
    context.answers = [
        publishing.not_appended_answer(
            team_change(limit=1), record_id, "down", dry_run=False
        )
        for record_id in ("r1", None)
    ]


@behave.then("the answer is unknown with the id and refused without it")
def step(context):
    statuses = [publishing.exit_status(answer) for answer in context.answers]
    assert statuses == [3, 1], context.answers
