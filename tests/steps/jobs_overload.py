"""Steps of tests/jobs/overload.feature."""

import bisect
import collections
import itertools
import random

import behave

from chervillead.jobs import backlog
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import overload
from chervillead.jobs import overloaded_pools
from chervillead.jobs import waiting_jobs
from stand_ins import pool_model

TERMS = model.JobTerms(stretch=1.6, target_ms=600, queue_address="queue")


def play(arrivals, **options):
    """Returns the jobs after all have ended."""
    pool = pool_model.PoolModel(**options)
    pool.play(arrivals)
    return pool.jobs


@behave.when(
    "bursts of {burst_s:g} s submit {times:g} times what a pool can do"
)
def step(context, burst_s, times):
    context.arrivals = list(
        pool_model.make_arrivals(
            times, burst_s, {f"team-{n}": 1 for n in range(5)}
        )
    )
    context.today = play(context.arrivals, chooses=False)
    context.jobs = play(context.arrivals, chooses=True)


@behave.when("run times differ from the estimates by a factor of 2 or more")
def step(context):
    arrivals = list(pool_model.make_arrivals(2.5, 4.5, {"team-1": 1}))
    context.arrivals = arrivals
    context.today = play(arrivals, chooses=False, run_time_error=0.8)
    context.jobs = play(arrivals, chooses=True, run_time_error=0.8)


@behave.then("all jobs complete")
def step(context):
    assert len(context.jobs) == len(context.arrivals)
    assert all(job.is_completed for job in context.jobs.values())


@behave.then("{gain:g} more of the jobs are on time than by least slack")
def step(context, gain):
    today, found = (
        pool_model.on_time(context.today.values()),
        pool_model.on_time(context.jobs.values()),
    )
    assert found >= today + gain, (found, today)


@behave.then(
    "at least {least:g} of the late ones end within 3 times the target"
)
def step(context, least):
    late = [j for j in context.jobs.values() if not pool_model.on_time([j])]
    found = pool_model.ended_within(3, late)
    assert found >= least, found


def shares(jobs, key):
    """Returns the share on time of each group of jobs."""
    groups = collections.defaultdict(list)
    for job in jobs:
        groups[key(job)].append(job)
    return {
        name: round(pool_model.on_time(group), 3)
        for name, group in groups.items()
    }


@behave.then(
    "each size class is on time at least {least:g} times as often as all"
)
def step(context, least):
    jobs = list(context.jobs.values())
    works = sorted(pool_model.work_of(job.spec.steps) for job in jobs)
    bounds = [works[int(part * len(works))] for part in (0.7, 0.9)]
    found = shares(
        jobs,
        lambda job: bisect.bisect(bounds, pool_model.work_of(job.spec.steps)),
    )
    assert min(found.values()) >= least * pool_model.on_time(jobs), found


@behave.then("each queue and account at least {least:g} times as often as all")
def step(context, least):
    jobs = list(context.jobs.values())
    for key in ("queue", "account"):
        found = shares(jobs, lambda job, key=key: getattr(job.spec, key))
        assert min(found.values()) >= least * pool_model.on_time(jobs), found


@behave.when("one of five accounts submits 6 times its rate to a busy pool")
def step(context):
    accounts = dict.fromkeys(("a", "b", "c", "d"), 1) | {
        pool_model.GREEDY: pool_model.FACTOR
    }
    arrivals = list(pool_model.make_arrivals(3.0, 4.5, accounts))
    numbers = itertools.count()
    within = [
        arrival
        for arrival in arrivals
        if arrival.spec.account != pool_model.GREEDY
        or next(numbers) % pool_model.FACTOR == 0
    ]
    context.found = {}
    for name, submitted, chooses in (
        ("kept", within, True),
        ("today", arrivals, False),
        ("exceeded", arrivals, True),
    ):
        jobs = play(submitted, chooses=chooses)
        context.found[name] = pool_model.on_time(
            job
            for job in jobs.values()
            if job.spec.account != pool_model.GREEDY
        )


@behave.then("the share on time of the others falls by at most {most:g}")
def step(context, most):
    found = context.found
    assert found["exceeded"] >= found["kept"] - most, found


@behave.then("by least slack it would fall by at least {least:g}")
def step(context, least):
    found = context.found
    assert found["today"] <= found["kept"] - least, found


@behave.when(
    "a pool refuses jobs while one of five accounts exceeds its rate for 8 s"
)
def step(context):
    accounts = dict.fromkeys(("a", "b", "c", "d"), 1)
    accounts[pool_model.GREEDY] = pool_model.FACTOR
    arrivals = list(pool_model.make_arrivals(4.0, 8.0, accounts))
    context.kept = play(arrivals, chooses=True)
    pool = pool_model.PoolModel(chooses=True, admits=True)
    pool.play(arrivals)
    context.jobs, context.refused = pool.jobs, pool.refused


@behave.then(
    "at least {least:d} jobs are refused, and at most {most:g} of those within "
    "the rate"
)
def step(context, least, most):
    assert len(context.refused) >= least, len(context.refused)
    within = {i for i, job in context.kept.items() if not job.is_over_rate}
    refused = within & context.refused
    assert len(refused) <= most * len(within), (len(refused), len(within))


@behave.then("at most {most:g} of them would have been on time")
def step(context, most):
    found = pool_model.on_time(context.kept[i] for i in context.refused)
    assert found <= most, found


@behave.then("the other accounts are on time as often as without refusals")
def step(context):
    found, kept = (
        pool_model.on_time(
            job
            for job in jobs.values()
            if job.spec.account != pool_model.GREEDY
        )
        for jobs in (context.jobs, context.kept)
    )
    assert found >= kept, (found, kept)


@behave.when(
    "{count:d} random changes of standings and jobs reach the index of waiting "
    "jobs"
)
def step(context, count):
    rng = random.Random(pool_model.SEED)
    jobs = [
        job_state.JobState(arrival.spec, accepted_s=arrival.at_s)
        for arrival in pool_model.make_arrivals(2.5, 4.5, {"a": 1, "b": 1})
    ]
    for job in jobs:
        job.is_over_rate = rng.random() < 0.3
    index, waiting, standings = waiting_jobs.WaitingJobs(), set(), {}
    context.yielded = []
    for now_s in range(count):
        job = rng.choice(jobs)
        job_id = job.spec.job_id
        if rng.random() < 0.3:
            index.discard(job_id)
            waiting.discard(job_id)
            standings.pop(job_id, None)
        else:
            order, terms = int(job_id, 16), pool_model.terms_of(job)
            index.put(job, terms, order=order, now_s=0.0)
            waiting.add(job_id)
        changed = rng.choices(sorted(waiting) or [job_id], k=3)
        standings |= {i: rng.choice(list(overload.Standing)) for i in changed}
        index.set_standings({i: standings[i] for i in changed})
        found = list(index.batch(now_s / 10, {}))
        context.yielded.append((found, set(waiting), dict(standings)))


@behave.then("it always yields each waiting job once")
def step(context):
    for found, waiting, _ in context.yielded:
        assert sorted(j.spec.job_id for j in found) == sorted(waiting)


@behave.then("jobs that run when there is room are in the order of acceptance")
def step(context):
    most = 0
    for found, _, standings in context.yielded:
        times = [
            (job.is_over_rate, job.accepted_s)
            for job in found
            if standings.get(job.spec.job_id) is overload.Standing.WHEN_ROOM
        ]
        most = max(most, len(times))
        assert times == sorted(times), times
    assert most > 10, most


class CrowdedPool:
    """Jobs of one task each, all of which wait."""

    def __init__(self):
        self.waiting = waiting_jobs.WaitingJobs()
        self._backlog = backlog.Backlog()
        self._pools = overloaded_pools.OverloadedPools(self._backlog)

    def accept(self, numbers, now_s):
        """Adds jobs that should be complete 2.2 s later."""
        for number in numbers:
            step = model.Step(1, model.Resources(1000), 1000)
            spec = model.JobSpec(
                f"{number:016x}", "queue", pool_model.POOL, "team", "", (step,)
            )
            job = job_state.JobState(spec, accepted_s=now_s)
            for index in (self.waiting, self._backlog):
                index.put(job, TERMS, order=number, now_s=now_s)

    def choose(self, now_s):
        """Chooses the jobs that are run in time."""
        standings = self._pools.refresh(pool_model.POOL, 100_000, now_s)
        self.waiting.set_standings(standings)
        return standings


@behave.given("a job that was moved out when it could be on time")
def step(context):
    context.pool = CrowdedPool()
    context.pool.accept(range(1000), 0.0)
    standings = context.pool.choose(0.0)
    context.job_id = next(
        job_id
        for job_id, standing in standings.items()
        if standing is overload.Standing.WHEN_ROOM
    )


@behave.when(
    "it has waited for 4 times its target beside {count:d} jobs that can be on "
    "time"
)
def step(context, count):
    # At a turn of the jobs that have waited for too long.
    context.now_s = 10.0
    context.pool.accept(range(1000, 1000 + count), context.now_s)
    context.pool.choose(context.now_s)


@behave.then("it takes turns with other jobs")
def step(context):
    placed = list(context.pool.waiting.batch(context.now_s, {}))
    places = [job.spec.job_id for job in placed]
    first = next(
        number
        for number, job in enumerate(placed)
        if job.accepted_s == context.now_s
    )
    place = places.index(context.job_id)
    assert place < first, (place, first)
