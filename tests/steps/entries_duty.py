"""Steps of tests/entries/duty.feature."""

import behave

from chervillead import types
from chervillead.entries import duty
from chervillead.platform import log_reader
from chervillead.platform import records


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
