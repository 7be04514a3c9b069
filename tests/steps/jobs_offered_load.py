"""Steps of tests/jobs/offered_load.feature."""

import collections

import behave

from chervillead.jobs import expected_work
from chervillead.jobs import model
from chervillead.jobs import offered_load
from chervillead.jobs import required_capacity
from stand_ins import pool_burst

# One second of one core.
WORK = model.Resources(1_000_000)
JOB = expected_work.JobWork(WORK, WORK, model.Resources(1000))
NONE = model.Resources()


def offer(load, rate, begin_s, end_s):
    """Offers jobs at a steady rate; the rates are read as an owner does."""
    times_s = [
        begin_s + n / rate for n in range(round((end_s - begin_s) * rate))
    ]
    for number in range(round((end_s - begin_s) * 10)):
        tick_s = begin_s + (number + 1) / 10
        for at_s in times_s:
            if tick_s - 0.1 <= at_s < tick_s:
                load.record(JOB, "team-1", at_s)
        load.rates(tick_s, {})


@behave.when("{count:d} pools get 28 jobs per second")
def step(context, count):
    context.requested = collections.Counter()
    for seed in range(count):
        play = pool_burst.Play(
            seed, former=False, error=pool_burst.ERRORS["learned"]
        )
        resize = play.resize

        def record(now_s, play=play, resize=resize):
            resize(now_s)
            context.requested[round(now_s, 1)] += play.requested

        play.resize = record
        play.run()


@behave.then(
    "after 0.5 s they have requested at least {part:g} of the hosts that they "
    "request in the burst"
)
def step(context, part):
    found = context.requested
    early, late = found[0.5] - found[-0.1], found[4.5] - found[-0.1]
    assert early >= part * late, (early, late)


@behave.when("an owner has measured for {seconds:g} s")
def step(context, seconds):
    load = offered_load.OfferedLoad(100.0)
    offer(load, 28, 100.0, 100.0 + seconds)
    context.rates = load.rates(100.0 + seconds, {})


@behave.then("the offered load is unknown")
def step(context):
    assert context.rates is None, context.rates


@behave.when(
    "a pool gets {rate:d} jobs per second for {seconds:g} s and none for "
    "{pause:g} s"
)
def step(context, rate, seconds, pause):
    load = offered_load.OfferedLoad(100.0)
    offer(load, rate, 100.0, 100.0 + seconds)
    context.rates = load.rates(100.0 + seconds + pause, {})


@behave.then("its offered load is none")
def step(context):
    assert context.rates.used == NONE, context.rates


@behave.when(
    "jobs of an account with a quota of {quota:d} cores bring {cores:d} cores "
    "of work"
)
def step(context, quota, cores):
    limits = {"team-1": model.Resources(1000 * quota)}
    load = offered_load.OfferedLoad(100.0)
    offer(load, cores, 100.0, 102.0)
    waiting = expected_work.WaitingJob("team-1", 1.0, WORK.times(cores))
    demand = required_capacity.Demand(
        rates=load.rates(102.0, limits),
        backlog=expected_work.backlog([waiting], limits),
        running=NONE,
        kept=NONE,
        arriving_s=0.0,
        lead_time_s=2.0,
    )
    context.required = required_capacity.required(
        demand,
        ready=model.Resources(1000 * quota),
        hosts=3,
        host_capacity=model.Resources(8000),
    )


@behave.then("the pool requires at most {cores:d} cores")
def step(context, cores):
    assert context.required.millicores <= 1000 * cores, context.required


def total(context, former, field):
    """Returns the sum of a field over all bursts of a computation."""
    return sum(getattr(n, field) for n in context.outcomes[former])


def lost_parts(context, in_time, offered):
    """Returns the part of the work that is late, by the new and the former."""
    return [
        1 - total(context, former, in_time) / total(context, former, offered)
        for former in (False, True)
    ]


@behave.when(
    "{bursts:d} bursts of {rate:d} jobs per second are served with {estimates} "
    "estimates"
)
def step(context, bursts, rate, estimates):
    context.outcomes = {
        former: [
            pool_burst.Play(
                seed,
                former=former,
                error=pool_burst.ERRORS[estimates],
                rate=rate,
            ).run()
            for seed in range(bursts)
        ]
        for former in (True, False)
    }


@behave.then("no more work is late than by the width of the backlog")
def step(context):
    lost, former = lost_parts(context, "in_time", "offered")
    assert lost <= former, (lost, former)


@behave.then(
    "of the jobs of the first 4 s, at most {part:g} times as much work is late"
)
def step(context, part):
    lost, former = lost_parts(context, "early_in_time", "early_offered")
    assert lost <= part * former, (lost, former)


@behave.then("hosts are on for at most {part:g} times as long")
def step(context, part):
    host_seconds, former = (
        total(context, former, "host_seconds") for former in (False, True)
    )
    assert host_seconds <= part * former, (host_seconds, former)
