"""Steps of tests/machines/fleet_allocator.feature."""

import behave

from chervillead.entries import host_messages
from chervillead.machines import fleet_allocator

SPARE = "the spare pool"
TERM = 7
OWNER_TOKEN = 5


def report_of(pool, hosts, needed):
    return host_messages.ReportLoad(
        pool,
        OWNER_TOKEN,
        hosts,
        0,
        3,
        needed,
        needed,
        needed,
        TERM,
        accounted=0,
    )


@behave.given("pool {pool} has {hosts:d} hosts and needs {needed:d}")
def step(context, pool, hosts, needed):
    if not hasattr(context, "reports"):
        context.now_s = 0.0
        context.reports = {}
        context.allocator = fleet_allocator.FleetAllocator(TERM)
    context.reports[pool] = report_of(pool, hosts, needed)
    context.allocator.record(context.reports[pool], context.now_s)


@behave.given("pool {pool} is releasing {hosts:d} hosts besides")
def step(context, pool, hosts):
    report = context.reports[pool]._replace(releasing=hosts)
    context.reports[pool] = report
    context.allocator.record(report, context.now_s)


@behave.then("the pools have {hosts:d} hosts in all")
def step(context, hosts):
    columns = context.allocator.describe(context.now_s).values()
    assert sum(column[0] for column in columns) == hosts, columns


@behave.given("{hosts:d} hosts are spare")
def step(context, hosts):
    context.allocator.spare_hosts = hosts


@behave.when("{seconds:d} s pass for the reported loads")
def step(context, seconds):
    context.now_s += seconds


@behave.when("pool {pool} counts them and reports once more")
def step(context, pool):
    reply = context.allocator.reply(pool, context.now_s)
    report = context.reports[pool]
    context.reports[pool] = report._replace(
        hosts=report.hosts + reply.arriving, accounted=reply.last_sent
    )
    context.allocator.record(context.reports[pool], context.now_s)


@behave.when("a new owner reports pool {pool} with {hosts:d} hosts")
def step(context, pool, hosts):
    report = context.reports[pool]._replace(hosts=hosts, term=0, accounted=0)
    context.reports[pool] = report
    context.allocator.record(report, context.now_s)


@behave.when("the next owner of pool {pool} reports {hosts:d} hosts")
def step(context, pool, hosts):
    report = context.reports[pool]._replace(token=OWNER_TOKEN + 1, hosts=hosts)
    context.allocator.record(report, context.now_s)


@behave.then("pool {pool} has {hosts:d} hosts for the allocator")
def step(context, pool, hosts):
    found = context.allocator.describe(context.now_s)[pool]
    assert found[0] == hosts, found


@behave.when("pool {pool} reports once more")
def step(context, pool):
    context.allocator.record(context.reports[pool], context.now_s)


@behave.when("another owner takes over the hosts partition")
def step(context):
    context.allocator = fleet_allocator.FleetAllocator(TERM + 1)


def release(context, pool):
    destination = context.allocator.destination(pool, context.now_s)
    if destination is not None:
        context.allocator.record_sent(destination, context.now_s)
    context.allocator.record_left(pool)
    return destination or SPARE


@behave.when("a host released by {pool} moves to {destination}")
def step(context, pool, destination):
    assert release(context, pool) == destination


@behave.then("the next hosts released by {pool} move to {destinations}")
@behave.then("the next host released by {pool} moves to {destinations}")
def step(context, pool, destinations):
    expected = destinations.replace(" and ", ", ").split(", ")
    found = [release(context, pool) for _ in expected]
    assert found == expected, found


@behave.then(
    "pool {pool} should release {surplus:d} hosts, of which {wanted:d} are "
    "wanted"
)
def step(context, pool, surplus, wanted):
    reply = context.allocator.reply(pool, context.now_s)
    assert (reply.surplus, reply.wanted) == (surplus, wanted), reply


@behave.then("{hosts:d} hosts are on their way to pool {pool}")
def step(context, hosts, pool):
    reply = context.allocator.reply(pool, context.now_s)
    assert (reply.term, reply.arriving) == (TERM, hosts), reply


@behave.then("only pool {pool} has a size")
def step(context, pool):
    sizes = context.allocator.allocation(context.now_s).sizes
    assert list(sizes) == [pool], sizes
