"""Steps of tests/event_loop_lag.feature."""

import asyncio

import behave

from chervillead import event_loop_lag
from stand_ins import virtual_time

# Between two measurements, so that a part of the time is not seen as a lag.
BLOCKED_FROM_S = 0.35
WATCHED_S = 0.9


async def watch_blocked_loop(blocked_s):
    loop = asyncio.get_running_loop()
    recent, lines = event_loop_lag.RecentLag(), []
    watching = asyncio.create_task(
        event_loop_lag.watch(
            loop.time,
            recent.record,
            lambda message_type, **fields: lines.append(message_type),
        )
    )
    await asyncio.sleep(BLOCKED_FROM_S)
    # On the virtual clock, time passes without any task getting its turn.
    loop._virtual_selector.now_s += blocked_s
    await asyncio.sleep(WATCHED_S - BLOCKED_FROM_S)
    watching.cancel()
    return recent.highest_s, lines


@behave.when("a task holds up the event loop for {blocked:g} s")
def step(context, blocked):
    context.highest_s, context.lines = virtual_time.run_virtual(
        watch_blocked_loop(blocked), context.seed
    )


@behave.then("the highest recent lag is {low:g} s to {high:g} s")
def step(context, low, high):
    assert low <= context.highest_s <= high, context.highest_s


@behave.then("{count:d} lines tell of the lag")
def step(context, count):
    assert context.lines == ["process:lagging"] * count, context.lines
