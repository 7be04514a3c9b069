"""Steps of tests/operators/session.feature."""

import behave

from chervillead.operators import session as session_module
from stand_ins import log_fleet
from stand_ins import virtual_time


def open_session(context, prepare):
    async def main():
        fleet = log_fleet.LogFleet()
        prepare(fleet)
        async with session_module.open_session(
            fleet.client, virtual_time.clock(), within_s=5.0
        ) as opened:
            context.opened = opened.map(
                lambda session: session.reader.configuration.offset
            )
        context.next_offset = fleet.platform.next_offset

    virtual_time.run_virtual(main(), context.seed)


@behave.when("a session opens on a log of {count:d} records")
def step(context, count):
    def prepare(fleet):
        for _ in range(count):
            fleet.platform.append(b"not a record", -1.0)

    open_session(context, prepare)


@behave.then("the session's state is at the end of the log")
def step(context):
    assert context.opened.unwrap() == context.next_offset - 1, context.opened


@behave.when("a session opens on a platform that is down")
def step(context):
    def prepare(fleet):
        fleet.platform.is_down = True

    open_session(context, prepare)


@behave.then("no session opens and the error names the last offset read")
def step(context):
    assert "last offset read is -1" in context.opened.failure(), context.opened
