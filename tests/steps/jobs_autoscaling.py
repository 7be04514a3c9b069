"""Steps of tests/jobs/autoscaling.feature."""

import behave

from chervillead.jobs import autoscaling
from chervillead.jobs import model

PERIOD_S = 0.1


def load(context, *, hosts=4, used=0, pending=0, **fields):
    return autoscaling.PoolLoad(
        hosts,
        model.Resources(1000 * context.cores, 65536),
        model.Resources(1000 * used),
        model.Resources(1000 * pending),
        **fields,
    )


def record_demand(context, cores, seconds):
    for _ in range(round(seconds / PERIOD_S)):
        context.now_s += PERIOD_S
        context.autoscaler.record(load(context, used=cores), context.now_s)


@behave.given("hosts of {cores:d} cores")
def step(context, cores):
    context.cores = cores
    context.autoscaler = autoscaling.PoolAutoscaler()
    context.now_s = 100.0


@behave.when(
    "a pool of {hosts:d} hosts has {used:d} cores in use and {pending:d} "
    "pending"
)
def step(context, hosts, used, pending):
    found = load(context, hosts=hosts, used=used, pending=pending)
    context.needed = autoscaling.hosts_needed(found, model.Resources())


@behave.when(
    "a pool of {hosts:d} hosts has a demand of {first:d} cores, and of "
    "{second:d} cores 1 s later"
)
def step(context, hosts, first, second):
    for cores, at_s in ((first, 100.0), (second, 101.0)):
        context.autoscaler.record(load(context, hosts=hosts, used=cores), at_s)
    context.needed = context.autoscaler.min_size(101.0)


@behave.when(
    "a pool has a demand of {first:d} cores for {first_s:g} s and of "
    "{second:d} cores for {second_s:g} s"
)
def step(context, first, first_s, second, second_s):
    record_demand(context, first, first_s)
    record_demand(context, second, second_s)


@behave.when("a pool has a demand of {cores:d} cores for {seconds:g} s")
@behave.when("it has a demand of {cores:d} cores for {seconds:g} s more")
def step(context, cores, seconds):
    record_demand(context, cores, seconds)


@behave.when(
    "a pool of {hosts:d} hosts needs {min_hosts:d} hosts for a limit and is "
    "{packing}"
)
def step(context, hosts, min_hosts, packing):
    found = load(
        context,
        hosts=hosts,
        min_hosts=min_hosts,
        is_fragmented=packing == "fragmented",
    )
    context.needed = autoscaling.hosts_needed(found, model.Resources())


@behave.then("it needs {hosts:d} hosts")
def step(context, hosts):
    assert context.needed == hosts, context.needed


@behave.then("it doesn't grow beyond {hosts:d} hosts")
def step(context, hosts):
    assert context.autoscaler.min_size(context.now_s) == hosts


@behave.then("it keeps at least {hosts:d} hosts")
def step(context, hosts):
    assert context.autoscaler.max_size(context.now_s) >= hosts


@behave.then("it keeps {hosts:d} hosts")
def step(context, hosts):
    assert context.autoscaler.max_size(context.now_s) == hosts


@behave.then("it may not shrink yet")
def step(context):
    assert context.autoscaler.max_size(context.now_s) is None


@behave.when(
    "a pool has a demand of {cores:d} cores for {seconds:g} s, of which "
    "{on_time:d} cores are on time"
)
def step(context, cores, seconds, on_time):
    del seconds
    urgent = model.Resources(on_time * 1000)
    for at_s in (100.0, 101.0):
        found = load(context, hosts=16, used=cores)._replace(urgent=urgent)
        context.autoscaler.record(found, at_s)


@behave.then("it needs {hosts:d} hosts, of which {urgent:d} are urgent")
def step(context, hosts, urgent):
    found = (
        context.autoscaler.min_size(101.0),
        context.autoscaler.urgent_size(101.0),
    )
    assert found == (hosts, urgent), found
