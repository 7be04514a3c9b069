"""Steps of tests/callers/parse_turns.feature."""

import asyncio
import time

import behave

from chervillead.callers import parse_turns


class Parsing:
    """A connection that needs some turns, and the order of all turns."""

    def __init__(self, client, turns, order, pause_s=0.0):
        self.client = client
        self.left = turns
        self.order = order
        self.pause_s = pause_s
        self.fails = False

    def take_turn(self):
        """Takes one turn; returns whether it needs more."""
        self.order.append(self)
        time.sleep(self.pause_s)
        if self.fails:
            raise OSError("the connection is lost")
        self.left -= 1
        return self.left > 0


async def run(context):
    """Runs all turns, and counts the iterations of the event loop."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda *_: None)
    turns = parse_turns.ParseTurns()
    for parsing in context.parsings:
        turns.join(parse_turns.Connection(parsing.client, parsing.take_turn))
    context.turns_by_iteration = []
    while turns.is_contended:
        before = len(context.order)
        await asyncio.sleep(0)
        context.turns_by_iteration.append(len(context.order) - before)


def add_connections(context, count, turns, pause_s=0.0):
    context.order = []
    context.parsings = [
        Parsing("10.0.0.1", turns, context.order, pause_s) for _ in range(count)
    ]


@behave.given(
    "{count:d} connections of one client that need {turns:d} turns each"
)
def step(context, count, turns):
    add_connections(context, count, turns)


@behave.given(
    "{count:d} connections of one client that need {turns:d} turns of "
    "{milliseconds:d} ms each"
)
def step(context, count, turns, milliseconds):
    add_connections(context, count, turns, milliseconds / 1000)


@behave.when("a connection of another client that needs {turns:d} turns joins")
def step(context, turns):
    context.other = Parsing("10.0.0.2", turns, context.order)
    context.parsings.append(context.other)
    asyncio.run(run(context))


@behave.when("the second one raises an error in its first turn")
def step(context):
    context.parsings[1].fails = True
    asyncio.run(run(context))


@behave.then("it has had its turns after at most {count:d} turns of all")
def step(context, count):
    last = max(
        number
        for number, parsing in enumerate(context.order, 1)
        if parsing is context.other
    )
    assert not context.other.left
    assert last <= count, last


@behave.then("another task of the event loop runs after each turn")
def step(context):
    asyncio.run(run(context))
    assert sum(context.turns_by_iteration) == 50, context.turns_by_iteration
    assert max(context.turns_by_iteration) == 1, context.turns_by_iteration


@behave.then("the others have had their turns")
def step(context):
    assert [parsing.left for parsing in context.parsings] == [0, 2, 0]
