"""Steps of tests/entries/admission.feature."""

import random

import behave

from chervillead import types
from chervillead.entries import admission
from chervillead.entries import messages
from stand_ins import dispatch_zones

HOST = "entry-x"


def start(context, slots, teams, **fields):
    context.now_s = 100.0
    context.zones = dispatch_zones.MemoryZones(
        dispatch_zones.make_configuration(
            slots=slots,
            teams={team: (share, 10**6) for team, share in teams.items()},
            **fields,
        ),
        clock=types.Clock(lambda: context.now_s, lambda: context.now_s),
    )
    context.dispatcher = context.zones.dispatchers["entry-z0"]


def register(context, name, team, count, **fields):
    return [
        context.dispatcher.register(
            HOST, dispatch_zones.register(f"{name}{n}", team, **fields)
        )
        for n in range(count)
    ]


def end_running(context, count):
    for grant_id in list(context.dispatcher.slots.held)[:count]:
        context.now_s += 0.01
        context.dispatcher.release(messages.Release(grant_id, True, False, 10))


def granted(context):
    return [
        notice.request_id
        for notice in context.zones.notices[HOST]
        if isinstance(notice, messages.Granted)
    ]


@behave.given(
    "a full pool of {slots:d} slots used by team big, with shares big {big:d} "
    "and small {small:d}"
)
def step(context, slots, big, small):
    start(context, slots, {"big": big, "small": small})
    register(context, "running", "big", slots)


@behave.when("teams big and small register {count:d} requests each, big first")
def step(context, count):
    register(context, "big", "big", count)
    register(context, "small", "small", count)


@behave.when("two rounds of {count:d} running requests finish one by one")
def step(context, count):
    # The past usage from the time when the team was alone decays between the
    # rounds.
    end_running(context, count)
    context.now_s += 20.0
    end_running(context, count)


@behave.then("team big runs {big:d} and team small runs {small:d}")
def step(context, big, small):
    slots = context.dispatcher.slots
    found = (slots.running("big"), slots.running("small"))
    assert found == (big, small), found


@behave.given(
    "two teams with equal shares, of which one used {slots:d} slots for "
    "{time_s:d} s"
)
def step(context, slots, time_s):
    context.usages = admission.UsageTable()
    context.usages.change("p", "busy", slots, 0.0)
    context.usages.change("p", "busy", 4 - slots, float(time_s))
    context.usages.change("p", "idle", 6, float(time_s))
    context.now_s = float(time_s)


@behave.then(
    "the other team is served next, with {own:d} slots in use against {other:d}"
)
def step(context, own, other):
    usages = {
        team: context.usages.usage("p", team, context.now_s)
        for team in ("busy", "idle")
    }
    assert (usages["idle"].running, usages["busy"].running) == (own, other)
    distances = {
        team: admission.normalized_usage(usage, 1.0)
        for team, usage in usages.items()
    }
    assert distances["idle"] < distances["busy"], distances


@behave.given(
    "a full pool of {slots:d} slots served by queues with targets of "
    "{long:d} s and {short:d} s"
)
def step(context, slots, long, short):
    start(context, slots, {"a": 1}, target_s=float(long))
    queues = dict(context.zones.configuration.queues)
    queue = queues[dispatch_zones.QUEUE]
    queues["urgent"] = queue._replace(target_s=float(short))
    context.zones.configuration = context.zones.configuration._replace(
        queues=queues
    )
    register(context, "running", "a", slots)


@behave.when("a request of each queue waits and the slot is freed")
def step(context):
    register(context, "long", "a", 1)
    register(context, "short", "a", 1, queue="urgent")
    end_running(context, 1)


@behave.then("the request of the queue with the short target is granted")
def step(context):
    assert granted(context) == ["short0"], context.zones.notices


@behave.given("a waiting list of {count:d} that team big has filled")
def step(context, count):
    start(context, 1, {"big": 1, "small": 1}, max_waiting=count)
    register(context, "running", "big", 1)
    replies = register(context, "big", "big", count + 3)
    assert [type(r) for r in replies[count:]] == [messages.Refused] * 3


@behave.when("team small registers {count:d} requests")
def step(context, count):
    register(context, "small", "small", count)


@behave.then(
    "{count:d} requests of each team wait and {refused:d} of team big were "
    "refused"
)
def step(context, count, refused):
    counts = context.dispatcher.waiting.queue_counts(dispatch_zones.QUEUE)
    assert counts == {"big": count, "small": count}, counts
    names = [notice.request_id for notice in context.zones.notices[HOST]]
    # The newest requests are evicted, because they have waited the least.
    assert sorted(names) == [f"big{n}" for n in range(10 - refused, 10)]


@behave.given(
    "{count:d} measured runs of {run_s:d} s, every tenth of {long_s:d} s"
)
def step(context, count, run_s, long_s):
    context.run_times = admission.RunTimeTracker()
    for number in range(count):
        measured_s = long_s if number % 10 == 9 else run_s
        context.run_times.record("q", "a", float(measured_s))


@behave.then(
    "a declared time of {declared:d} s is estimated as {low:f} to {high:f} s"
)
def step(context, declared, low, high):
    estimate_s = context.run_times.estimate_s("q", "a", float(declared))
    assert low <= estimate_s <= high, estimate_s


@behave.given(
    "{count:d} refusals at a backlog of {low:d} s and {other:d} at one of "
    "{high:d} s"
)
def step(context, count, low, other, high):
    uniform = random.Random(context.seed).uniform
    context.waits = [
        [admission.retry_after_ms(float(backlog), uniform) for _ in range(n)]
        for n, backlog in ((count, low), (other, high))
    ]


@behave.then(
    "their Retry-After spreads from 0 to {low:d} s and from 0 to {high:d} s"
)
def step(context, low, high):
    for waits, window_s in zip(context.waits, (low, high), strict=True):
        assert max(waits) <= window_s * 1000, max(waits)
        assert max(waits) >= window_s * 900, max(waits)
        assert min(waits) <= window_s * 100, min(waits)


@behave.when("{count:d} requests register and are withdrawn, and 1 more waits")
def step(context, count):
    register(context, "gone", "a", count)
    for number in range(count):
        context.dispatcher.withdraw(messages.Withdraw(f"gone{number}"))
    register(context, "stays", "a", 1)


@behave.then("the remaining request gets the slot once it is freed")
def step(context):
    assert len(context.dispatcher.waiting) == 1
    end_running(context, 1)
    assert granted(context) == ["stays0"]
