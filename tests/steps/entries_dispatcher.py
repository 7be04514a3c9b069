"""Steps of tests/entries/dispatcher.feature."""

import itertools

import behave

from chervillead import types
from chervillead.entries import messages
from chervillead.fleet import configuration as configuration_module
from stand_ins import dispatch_zones

HOST = "entry-x"


def release_of(grant_id, *, failed=False):
    return messages.Release(grant_id, True, failed, 10)


@behave.given(
    "dispatchers of {zones:d} zones with {hosts:d} hosts of {slots:d} slots "
    "and a limit of {limit:d}"
)
def step(context, zones, hosts, slots, limit):
    context.now_s = 100.0
    context.confirmed = True
    context.ejected = set()
    context.eject = False
    context.numbers = itertools.count()

    def record_release(slot, message):
        if context.eject and message.failed:
            context.ejected.add(slot.upstream)

    context.zones = dispatch_zones.MemoryZones(
        dispatch_zones.make_configuration(
            zones=zones, hosts=hosts, slots=slots, teams={"a": (1, limit)}
        ),
        clock=types.Clock(lambda: context.now_s, lambda: context.now_s),
        may_grant=lambda: context.confirmed,
        usable_slots=lambda name, host: (
            0 if name in context.ejected else host.slots
        ),
        record_release=record_release,
    )
    context.dispatcher = context.zones.dispatchers["entry-z0"]


def change(context, field, name, value):
    values = dict(getattr(context.zones.configuration, field))
    values[name] = value
    context.zones.configuration = context.zones.configuration._replace(
        **{field: values}
    )
    context.dispatcher.grant_waiting()


def register(context, team="a", **fields):
    context.reply = context.dispatcher.register(
        HOST,
        dispatch_zones.register(f"r{next(context.numbers)}", team, **fields),
    )
    return context.reply


@behave.given("zone z1 alone has a host of {memory:d} MB")
def step(context, memory):
    host = context.zones.configuration.hosts["z1-0"]
    large = host._replace(size=host.size._replace(memory_mb=memory))
    change(context, "hosts", "z1-0", large)


@behave.given("a host is ejected at its first failed release")
def step(context):
    context.eject = True


@behave.when('team "" registers {count:d} requests in zone z0')
def step(context, count):
    for _ in range(count):
        register(context, "")


@behave.when("team a registers {count:d} requests in zone z0")
def step(context, count):
    for _ in range(count):
        register(context)


@behave.when("{count:d} requests of {memory:d} MB register in zone z0")
def step(context, count, memory):
    for _ in range(count):
        register(context, size=types.Size(0.0, memory, 0))


@behave.when("a request of {memory:d} MB registers in zone z0")
def step(context, memory):
    register(context, size=types.Size(0.0, memory, 0))


@behave.when("the same request registers {count:d} times in zone z0")
def step(context, count):
    for _ in range(count):
        context.dispatcher.register(HOST, dispatch_zones.register("same"))


@behave.when("the limit of team a becomes {limit:d}")
def step(context, limit):
    team = context.zones.configuration.teams["a"]
    change(context, "teams", "a", team._replace(limit=limit))


def release(context, count, *, failed=False):
    for grant_id in list(context.dispatcher.slots.held)[:count]:
        context.dispatcher.release(release_of(grant_id, failed=failed))


@behave.when("the dispatcher of z0 gets {count:d} releases")
def step(context, count):
    release(context, count)


@behave.when("the dispatcher of z0 gets {count:d} failed releases")
def step(context, count):
    release(context, count, failed=True)


@behave.when("one release reaches the dispatcher of z0 {count:d} times")
def step(context, count):
    message = release_of(next(iter(context.dispatcher.slots.held)))
    for _ in range(count):
        context.dispatcher.release(message)


@behave.when(
    "an entry host reports {held:d} grants of team a and {waiting:d} "
    "waiting requests"
)
def step(context, held, waiting):
    size = types.Size()
    queue = dispatch_zones.QUEUE
    context.dispatcher.restore(
        HOST,
        messages.HeldGrantsReport(
            [
                messages.HeldGrant(f"g{n}", f"o{n}", "z0-0", queue, "a", size)
                for n in range(held)
            ],
            [dispatch_zones.register(f"w{n}") for n in range(waiting)],
        ),
    )


@behave.when(
    "{time_s:f} s pass and the dispatcher of z0 frees the expired grants"
)
def step(context, time_s):
    context.now_s += time_s
    for slot in context.dispatcher.expired_grants(HOST):
        context.dispatcher.free_expired(slot.grant_id)


@behave.when("{time_s:f} s pass at the dispatcher of z0")
def step(context, time_s):
    context.now_s += time_s
    context.dispatcher.grant_waiting()


@behave.when("the seat of the dispatcher is not confirmed")
def step(context):
    context.confirmed = False
    context.dispatcher.grant_waiting()


@behave.when("{count:d} runs of {run_s:f} s are measured in zone z0")
def step(context, count, run_s):
    for _ in range(count):
        context.dispatcher.run_times.record(dispatch_zones.QUEUE, "a", run_s)


@behave.when("zone z0 goes out of service")
def step(context):
    out = configuration_module.Zone(0, configuration_module.ZoneStatus.OUT)
    change(context, "zones", "z0", out)


@behave.when("all grants are released in zone z0")
def step(context):
    release(context, None)


@behave.when("all grants are released and zone z0 returns")
def step(context):
    release(context, None)
    change(context, "zones", "z0", configuration_module.Zone(0))


@behave.when("all requests of team a are withdrawn in zone z0")
def step(context):
    for number in range(next(context.numbers)):
        context.dispatcher.withdraw(messages.Withdraw(f"r{number}"))


@behave.then('team "" runs {running:d} and waits for {waiting:d} in zone z0')
def step(context, running, waiting):
    assert context.dispatcher.slots.running("") == running
    assert len(context.dispatcher.waiting) == waiting


@behave.then("team a runs {running:d} and waits for {waiting:d} in zone z0")
def step(context, running, waiting):
    found = (
        context.dispatcher.slots.running("a"),
        len(context.dispatcher.waiting),
    )
    assert found == (running, waiting), found


@behave.then("zone z0 reports {count:d} requests of team a without a unit")
def step(context, count):
    assert context.dispatcher.unit_shortages() == {"a": count}


@behave.then('the waiting requests were refused as "{reason}"')
def step(context, reason):
    notices = context.zones.notices[HOST]
    assert notices, "the dispatcher sent no refusals"
    assert {notice.reason for notice in notices} == {reason}, notices
    assert not len(context.dispatcher.waiting)


@behave.then('a request in zone z0 is refused as "{reason}" with {status:d}')
def step(context, reason, status):
    reply = register(context)
    assert (reply.reason, reply.status) == (reason, status), reply


@behave.then('it is refused as "{reason}" with {status:d} and {retry} retry')
def step(context, reason, status, retry):
    reply = context.reply
    assert (reply.reason, reply.status) == (reason, status), reply
    assert (reply.retry_after_ms > 0) == (retry == "a"), reply


@behave.then('a request with {left_s:f} s left is refused as "{reason}" in z0')
def step(context, left_s, reason):
    reply = register(context, time_left_ms=int(left_s * 1000))
    assert reply.reason == reason, reply


@behave.then("a request with {left_s:f} s left is not refused in z0")
def step(context, left_s):
    reply = register(context, time_left_ms=int(left_s * 1000))
    assert isinstance(reply, messages.Waiting), reply


@behave.when("the entry host reports nothing to z0 now and {time_s:f} s later")
def step(context, time_s):
    context.dispatcher.restore(HOST, messages.HeldGrantsReport([], []))
    context.now_s += time_s
    context.dispatcher.restore(HOST, messages.HeldGrantsReport([], []))
