"""Steps of tests/entries/duty.feature."""

import asyncio
import collections
import pathlib
import tempfile

import behave

from chervillead import types
from chervillead.entries import duty
from chervillead.platform import log_reader
from chervillead.platform import records
from stand_ins import local_fleet
from stand_ins import paused_fleet


def seat_record(subject, host, number):
    fields = {"zone": "a", "number": number, "host": host}
    return records.Record(
        f"id-{host}",
        records.SEAT,
        subject,
        records.NO_VERSION,
        {**fields, "address": ["127.0.0.1", 1]},
    )


@behave.given("a duty seat that became active")
def step(context):
    context.now_s = 100.0
    context.peer_offset = 0
    clock = types.Clock(lambda: context.now_s, lambda: context.now_s)
    context.reader = log_reader.LogReader(clock)
    context.duty = duty.DutyState(
        zone="a",
        reader=context.reader,
        peers=duty.PeerView(
            lambda host: 0.0,
            lambda host: context.peer_offset,
            lambda address: False,
        ),
        clock=clock,
    )
    own = seat_record("a/0", "own", 0)
    context.duty.note_proposal(own)
    context.reader.take_entries(
        [
            records.OffsetRecord(0, own),
            records.OffsetRecord(1, seat_record("a/1", "peer", 1)),
        ]
    )
    context.duty.update("own")
    for _ in range(31):
        context.now_s += 0.1
        context.duty.tick()
    context.reader.start_read()
    context.reader.confirm()
    assert context.duty.update("own").gained
    assert context.duty.may_act()


@behave.when("the process is paused for 5 s")
def step(context):
    context.reader.start_read()
    context.now_s += 5.0


@behave.when("the answer of a read from before the pause arrives")
def step(context):
    context.reader.confirm()


@behave.when("the log is read to its end")
def step(context):
    context.reader.start_read()
    context.reader.confirm()


@behave.when("the log was last read 2 s ago and a peer is ahead by a record")
def step(context):
    for _ in range(20):
        context.now_s += 0.1
        context.duty.tick()
    assert context.duty.is_confirmed(), "the peers should confirm"
    context.peer_offset = context.reader.configuration.offset + 1


@behave.then("the duty seat is not confirmed, although its peers are heard")
@behave.then("the duty seat is not confirmed")
def step(context):
    assert not context.duty.may_act()


@behave.then("the duty seat is confirmed")
def step(context):
    assert context.duty.may_act()


@behave.given(
    "a fleet of processes at port {port:d} with {count:d} entry hosts"
)
def step(context, port, count):
    context.plan = local_fleet.FleetPlan(
        base_port=port, entry_hosts=count, upstreams_per_queue=4, slots=4
    )


@behave.when(
    "its dispatcher of zone a is stopped under load until it is replaced"
)
def step(context):
    with tempfile.TemporaryDirectory() as folder:
        context.run = asyncio.run(
            paused_fleet.run_paused(context.plan, pathlib.Path(folder))
        )


@behave.then("another host holds the duty seat of zone a")
def step(context):
    assert context.run.holder != context.run.stopped, context.run.stopped


@behave.then("every request ran at most once and every outcome is true")
def step(context):
    runs, replies = context.run.runs, context.run.replies
    statuses = collections.Counter(r.status for r in replies.values())
    print(f"replies by status: {dict(statuses)}, executions: {runs.total()}")
    assert statuses[200], statuses
    assert [i for i, count in runs.items() if count > 1] == []
    for request_id, reply in replies.items():
        if reply.status == 200:
            assert reply.body == b"done:" + paused_fleet.work_of(request_id)
            assert runs[request_id] == 1, request_id
        elif b'"not-run"' in reply.body:
            assert runs[request_id] == 0, (request_id, reply)
