"""Steps of tests/jobs/overload.feature."""

import bisect
import collections
import heapq
import itertools
import random
import statistics
import typing

import behave

from chervillead.jobs import account_rates
from chervillead.jobs import backlog
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import ordering
from chervillead.jobs import overloaded_pools
from chervillead.jobs import readiness
from chervillead.jobs import task_runs
from chervillead.jobs import waiting_jobs

POOL = "pool"
MILLICORES = 30 * 48_000
SEED = 20261207
QUEUES = ("queue-1", "queue-2")
BURSTS = 2
# Before each burst, with a twentieth of the arrivals.
CALM_S = 6.0
GREEDY = "greedy"
FACTOR = 6


class Arrival(typing.NamedTuple):
    """A job that is submitted; its account's agreed rate is in `rate`."""

    at_s: float
    spec: model.JobSpec
    rate: float


def make_steps(rng):
    """Returns the sequential steps of a job, as docs/hard-load.md has them."""
    steps = []
    for number in range(rng.randint(1, 5)):
        tasks = min(32, 1 + int(rng.expovariate(1 / 6)))
        size = model.Resources(1000 * rng.randint(3, 13))
        depends_on = (number - 1,) if number else ()
        run_ms = int(rng.triangular(300, 4000, 500))
        steps.append(model.Step(tasks, size, run_ms, depends_on))
    return tuple(steps)


def make_arrivals(times_capacity, burst_s, accounts):
    """Yields jobs in order, drawn from accounts by weights."""
    rng = random.Random(SEED)
    sizes = [make_steps(rng) for _ in range(500)]
    burst_rate = times_capacity * MILLICORES / mean(map(work_of, sizes))
    now_s, numbers = 0.0, itertools.count()
    while now_s < BURSTS * (CALM_S + burst_s):
        now_s += rng.expovariate(burst_rate)
        is_burst = now_s % (CALM_S + burst_s) >= CALM_S
        if not is_burst and rng.random() > 1 / 20:
            continue
        (account,) = rng.choices(list(accounts), list(accounts.values()))
        spec = model.JobSpec(
            f"{next(numbers):016x}",
            rng.choice(QUEUES),
            POOL,
            account,
            "",
            make_steps(rng),
        )
        # Room for the variation of random arrivals.
        rate = 1.3 * burst_rate / sum(accounts.values())
        yield Arrival(now_s, spec, rate)


def mean(values):
    return statistics.fmean(values)


def work_of(steps):
    return sum(
        s.tasks * s.size.millicores * s.estimate_ms / 1000 for s in steps
    )


class PoolModel:
    """Runs tasks on the cores of a pool as one list, on a virtual clock."""

    def __init__(self, *, chooses, run_time_error=0.0):
        self._chooses = chooses
        self._rng = random.Random(SEED)
        self._run_time_error = run_time_error
        self._factors = {}
        self._waiting = waiting_jobs.WaitingJobs()
        self._backlog = backlog.Backlog()
        self._pools = overloaded_pools.OverloadedPools(self._backlog)
        self._rates = account_rates.AccountRates()
        self._running = []
        self._free = MILLICORES
        self.jobs = {}

    def play(self, arrivals):
        """Runs all jobs to their ends."""
        arrivals = collections.deque(arrivals)
        while arrivals or self._running:
            arrives_s = arrivals[0].at_s if arrivals else float("inf")
            if self._running and self._running[0][0] <= arrives_s:
                now_s, _, job, run = heapq.heappop(self._running)
                self._end(job, run, now_s)
            else:
                arrival = arrivals.popleft()
                job, now_s = self._accept(arrival), arrives_s
            self._put(job, now_s)
            self._place(now_s)

    def _accept(self, arrival):
        job = job_state.JobState(arrival.spec, accepted_s=arrival.at_s)
        if self._chooses:
            job.is_over_rate = not self._rates.take(
                arrival.spec.account, arrival.rate, arrival.at_s
            )
        self.jobs[arrival.spec.job_id] = job
        return job

    def _end(self, job, run, now_s):
        end = task_runs.RunEnd(run.key, task_runs.EndKind.DONE)
        job.apply_run_end(end, 1, now_s)
        job.remove_run(run)
        self._free += run.reserved.millicores

    def _put(self, job, now_s):
        order = int(job.spec.job_id, 16)
        for index in (self._waiting, self._backlog):
            index.put(job, terms_of(job), order=order, now_s=now_s)

    def _place(self, now_s):
        if self._chooses:
            self._waiting.set_standings(
                self._pools.refresh(POOL, MILLICORES, now_s)
            )
        started = []
        for job in self._waiting.batch(now_s, {}):
            need = self._waiting.least_need(POOL)
            if need.millicores > self._free:
                break
            for ready in readiness.ready_steps(job, now_s, 0.0):
                for task in ready.ready_tasks():
                    if task.step.size.millicores <= self._free:
                        started.append(job)
                        self._start(task, now_s)
        for job in started:
            self._put(job, now_s)

    def _start(self, ready, now_s):
        run = task_runs.Run(
            ready.job.spec.job_id,
            ready.task,
            1,
            "worker",
            reserved=ready.step.size,
            started_s=now_s,
        )
        ready.job.add_run(run)
        self._free -= ready.step.size.millicores
        # Tasks of one step have equal run times.
        factor = self._factors.setdefault(
            (ready.job, ready.task.step),
            self._rng.lognormvariate(0.0, self._run_time_error),
        )
        ends_s = now_s + factor * ready.step.estimate_ms / 1000
        entry = (ends_s, (ready.job.spec.job_id, ready.task), ready.job, run)
        heapq.heappush(self._running, entry)


def terms_of(job):
    return model.JobTerms(
        stretch=1.6, target_ms=600, queue_address=job.spec.queue
    )


def target_s(job):
    return ordering.completion_target_ms(job.spec, terms_of(job)) / 1000


def on_time(jobs):
    """Returns the share of jobs that completed in time."""
    jobs = list(jobs)
    return mean(j.finished_s <= j.accepted_s + target_s(j) for j in jobs)


def play(arrivals, **options):
    pool = PoolModel(**options)
    pool.play(arrivals)
    return pool.jobs


@behave.when(
    "bursts of {burst_s:g} s submit {times:g} times what a pool can do"
)
def step(context, burst_s, times):
    context.arrivals = list(
        make_arrivals(times, burst_s, {f"team-{n}": 1 for n in range(5)})
    )
    context.today = play(context.arrivals, chooses=False)
    context.jobs = play(context.arrivals, chooses=True)


@behave.when("run times differ from the estimates by a factor of 2 or more")
def step(context):
    arrivals = list(make_arrivals(2.5, 4.5, {"team-1": 1}))
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
        on_time(context.today.values()),
        on_time(context.jobs.values()),
    )
    assert found >= today + gain, (found, today)


@behave.then(
    "at least {least:g} of the late ones end within 3 times the target"
)
def step(context, least):
    late = [j for j in context.jobs.values() if not on_time([j])]
    ends = [j.finished_s <= j.accepted_s + 3 * target_s(j) for j in late]
    assert not late or mean(ends) >= least, mean(ends)


def shares(jobs, key):
    """Returns the share on time of each group of jobs."""
    groups = collections.defaultdict(list)
    for job in jobs:
        groups[key(job)].append(job)
    return {name: round(on_time(group), 3) for name, group in groups.items()}


@behave.then(
    "each size class is on time at least {least:g} times as often as all"
)
def step(context, least):
    jobs = list(context.jobs.values())
    works = sorted(work_of(job.spec.steps) for job in jobs)
    bounds = [works[int(part * len(works))] for part in (0.7, 0.9)]
    found = shares(
        jobs, lambda job: bisect.bisect(bounds, work_of(job.spec.steps))
    )
    assert min(found.values()) >= least * on_time(jobs), found


@behave.then("each queue and account at least {least:g} times as often as all")
def step(context, least):
    jobs = list(context.jobs.values())
    for key in ("queue", "account"):
        found = shares(jobs, lambda job, key=key: getattr(job.spec, key))
        assert min(found.values()) >= least * on_time(jobs), found


@behave.when("one of five accounts submits 6 times its rate to a busy pool")
def step(context):
    accounts = dict.fromkeys(("a", "b", "c", "d"), 1) | {GREEDY: FACTOR}
    arrivals = list(make_arrivals(3.0, 4.5, accounts))
    numbers = itertools.count()
    within = [
        arrival
        for arrival in arrivals
        if arrival.spec.account != GREEDY or next(numbers) % FACTOR == 0
    ]
    context.found = {}
    for name, submitted, chooses in (
        ("kept", within, True),
        ("today", arrivals, False),
        ("exceeded", arrivals, True),
    ):
        jobs = play(submitted, chooses=chooses)
        context.found[name] = on_time(
            job for job in jobs.values() if job.spec.account != GREEDY
        )


@behave.then("the share on time of the others falls by at most {most:g}")
def step(context, most):
    found = context.found
    assert found["exceeded"] >= found["kept"] - most, found


@behave.then("by least slack it would fall by at least {least:g}")
def step(context, least):
    found = context.found
    assert found["today"] <= found["kept"] - least, found
