"""Steps of tests/pools/pass_delay.feature."""

import behave

from chervillead.pools import partition_owner
from chervillead.pools import placement_scheduler


@behave.when("a placement pass took {cost:g} ms")
def step(context, cost):
    context.delay_s = partition_owner.pass_delay_s(cost / 1000)


@behave.then("the next one comes after {delay:g} ms")
def step(context, delay):
    assert abs(1000 * context.delay_s - delay) < 1e-6, context.delay_s


@behave.when("a pass over all waiting jobs took {cost:g} ms")
def step(context, cost):
    context.delay_s = placement_scheduler.thorough_delay_s(cost / 1000)


@behave.then("the next one over all comes after {delay:g} ms")
def step(context, delay):
    assert abs(1000 * context.delay_s - delay) < 1e-6, context.delay_s
