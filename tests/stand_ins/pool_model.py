"""A pool that runs tasks as one list, on a virtual clock, without workers.

Jobs are drawn as docs/hard-load.md describes them, in bursts that exceed what
the pool can do.
"""

import collections
from collections import abc
import heapq
import itertools
import random
import statistics
import typing

from chervillead.jobs import account_rates
from chervillead.jobs import admission
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


def make_steps(rng: random.Random) -> tuple[model.Step, ...]:
    """Returns the sequential steps of a job, as docs/hard-load.md has them."""
    steps = []
    for number in range(rng.randint(1, 5)):
        tasks = min(32, 1 + int(rng.expovariate(1 / 6)))
        size = model.Resources(1000 * rng.randint(3, 13))
        depends_on = (number - 1,) if number else ()
        run_ms = int(rng.triangular(300, 4000, 500))
        steps.append(model.Step(tasks, size, run_ms, depends_on))
    return tuple(steps)


def make_arrivals(
    times_capacity: float, burst_s: float, accounts: abc.Mapping[str, float]
) -> abc.Iterator[Arrival]:
    """Yields jobs in order.

    Args:
        times_capacity: Their work in bursts, in terms of what the pool can do.
        burst_s: Duration of a burst.
        accounts: Rates of the accounts, relative to each other; the agreed rate
            of each is that of 1.
    """
    rng = random.Random(SEED)
    sizes = [make_steps(rng) for _ in range(500)]
    mean_work = statistics.fmean(map(work_of, sizes))
    burst_rate = times_capacity * MILLICORES / mean_work
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


def work_of(steps: abc.Iterable[model.Step]) -> float:
    """Returns the millicore-seconds that some steps need."""
    return sum(
        s.tasks * s.size.millicores * s.estimate_ms / 1000 for s in steps
    )


class PoolModel:
    """Runs tasks on the cores of a pool as one list, on a virtual clock."""

    def __init__(
        self,
        *,
        chooses: bool,
        admits: bool = False,
        run_time_error: float = 0.0,
    ) -> None:
        """Makes an idle pool.

        Args:
            chooses: Whether it chooses jobs, or runs all by least slack.
            admits: Whether it refuses jobs for load.
            run_time_error: Standard deviation of the logarithm of run times
                divided by estimates.
        """
        self._chooses = chooses
        self._admits = admits
        self._rng = random.Random(SEED)
        self._run_time_error = run_time_error
        self._factors: dict[tuple[str, int], float] = {}
        self._waiting = waiting_jobs.WaitingJobs()
        self._backlog = backlog.Backlog()
        self._pools = overloaded_pools.OverloadedPools(self._backlog)
        self._rates = account_rates.AccountRates()
        self._running: list[
            tuple[float, int, job_state.JobState, task_runs.Run]
        ] = []
        self._run_numbers = itertools.count()
        self._free = MILLICORES
        self.jobs: dict[str, job_state.JobState] = {}
        self.refused: set[str] = set()

    def play(self, arrivals: abc.Iterable[Arrival]) -> None:
        """Runs all jobs to their ends."""
        left = collections.deque(arrivals)
        while left or self._running:
            arrives_s = left[0].at_s if left else float("inf")
            if self._running and self._running[0][0] <= arrives_s:
                now_s, _, job, run = heapq.heappop(self._running)
                self._end(job, run, now_s)
            else:
                now_s, job = arrives_s, self._make_job(left.popleft())
                if self._admits and self._is_refused(job):
                    self.refused.add(job.spec.job_id)
                    continue
                self.jobs[job.spec.job_id] = job
            self._put(job, now_s)
            self._place(now_s)

    def _make_job(self, arrival: Arrival) -> job_state.JobState:
        job = job_state.JobState(arrival.spec, accepted_s=arrival.at_s)
        if self._chooses:
            job.is_over_rate = not self._rates.take(
                arrival.spec.account, arrival.rate, arrival.at_s
            )
        return job

    def _is_refused(self, job: job_state.JobState) -> bool:
        refusal = admission.check_backlog(
            backlog.candidate_of(job, terms_of(job), 0),
            self._pools.get(POOL),
            self._backlog.statistics,
            job.accepted_s,
            settle_s=0.0,
        )
        return refusal is not None

    def _end(
        self, job: job_state.JobState, run: task_runs.Run, now_s: float
    ) -> None:
        end = task_runs.RunEnd(run.key, task_runs.EndKind.DONE)
        job.apply_run_end(end, 1, now_s)
        job.remove_run(run)
        self._free += run.reserved.millicores

    def _put(self, job: job_state.JobState, now_s: float) -> None:
        order = int(job.spec.job_id, 16)
        for put in (self._waiting.put, self._backlog.put):
            put(job, terms_of(job), order=order, now_s=now_s)

    def _place(self, now_s: float) -> None:
        if self._chooses:
            self._waiting.set_standings(
                self._pools.refresh(POOL, MILLICORES, now_s)
            )
        started = []
        for job in self._waiting.batch(now_s, {}):
            need = self._waiting.least_need(POOL)
            if need is None or need.millicores > self._free:
                break
            for ready in readiness.ready_steps(job, now_s, 0.0):
                for task in ready.ready_tasks():
                    if task.step.size.millicores <= self._free:
                        started.append(job)
                        self._start(task, now_s)
        for job in started:
            self._put(job, now_s)

    def _start(self, ready: readiness.ReadyTask, now_s: float) -> None:
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
            (ready.job.spec.job_id, ready.task.step),
            self._rng.lognormvariate(0.0, self._run_time_error),
        )
        ends_s = now_s + factor * ready.step.estimate_ms / 1000
        entry = (ends_s, next(self._run_numbers), ready.job, run)
        heapq.heappush(self._running, entry)


def terms_of(job: job_state.JobState) -> model.JobTerms:
    """Returns what a job is owed."""
    return model.JobTerms(
        stretch=1.6, target_ms=600, queue_address=job.spec.queue
    )


def target_s(job: job_state.JobState) -> float:
    """Returns the completion target of a job."""
    return ordering.completion_target_ms(job, terms_of(job)) / 1000


def on_time(jobs: abc.Iterable[job_state.JobState]) -> float:
    """Returns the share of jobs that completed in time."""
    return ended_within(1, jobs)


def ended_within(
    factor: float, jobs: abc.Iterable[job_state.JobState]
) -> float:
    """Returns the share of jobs that ended within some times their target."""
    ends = [
        job.finished_s is not None
        and job.finished_s <= job.accepted_s + factor * target_s(job)
        for job in jobs
    ]
    return statistics.fmean(ends) if ends else 1.0
