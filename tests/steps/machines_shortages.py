"""Steps of tests/machines/shortages.feature."""

import behave

from chervillead.machines import shortages

SPARE = "the spare pool"


@behave.given("pool {pool} lacks {hosts:d} hosts")
def step(context, pool, hosts):
    context.now_s = 0.0
    context.shortages = shortages.Shortages()
    context.shortages.record(pool, hosts, context.now_s)


@behave.when("{seconds:d} s pass for the recorded shortages")
def step(context, seconds):
    context.now_s += seconds


@behave.when("pool {pool} offers {hosts:d} idle hosts")
@behave.when("pool {pool} offers {hosts:d} idle host")
def step(context, pool, hosts):
    context.claimed = context.shortages.claim(pool, hosts, context.now_s)


@behave.then("{hosts:d} of them are claimed")
def step(context, hosts):
    assert context.claimed == hosts, context.claimed


@behave.then("the next released hosts move to {first}, {second} and {third}")
def step(context, first, second, third):
    for expected in (first, second, third):
        found = context.shortages.take_destination(context.now_s)
        assert (found or SPARE) == expected, found


@behave.then("the next released host moves to the spare pool")
def step(context):
    assert context.shortages.take_destination(context.now_s) is None


@behave.then("{hosts:d} moved hosts are reported to pool {pool}")
def step(context, pool, hosts):
    assert context.shortages.take_sent(pool) == hosts
