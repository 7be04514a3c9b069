"""One burst against the decision functions of autoscaling.

Plays it on a virtual clock. Tasks are placed by least slack on the cores of all
hosts together, of which packing leaves a part unused.
"""

from collections import abc
import heapq
import itertools
import random
import typing

from chervillead.jobs import autoscaling
from chervillead.jobs import expected_work
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import offered_load
from chervillead.jobs import ordering
from chervillead.jobs import required_capacity

HOST = model.Resources(64_000, 256_000)
TICK_S = 0.1
LEAD_TIME_S = 2.0
BURST_S = 4.5
QUIET_S = 4.0
PACKING = 0.87
EARLY_S = 4.0
END_S = 12.0
# Mean and standard deviation of the logarithm of estimate over run time: after
# run times have been learned, and as measured for one queue.
ERRORS = {"learned": (0.0, 0.4), "caller": (-0.385, 1.0)}
TERMS = model.JobTerms(stretch=1.6, target_ms=600)


class Outcome(typing.NamedTuple):
    """Outcome of a play; works are in core-milliseconds."""

    in_time: int
    offered: int
    early_in_time: int
    early_offered: int
    host_seconds: float
    requested: int


class Job:
    """A job, the true times of its steps, and what is left of it."""

    def __init__(
        self,
        number: int,
        at_s: float,
        draw: random.Random,
        error: tuple[float, float],
    ) -> None:
        steps = []
        self.times_s = []
        for depth in range(draw.choices((1, 2, 3, 4, 5), (8, 4, 2, 1, 1))[0]):
            time_s = min(max(draw.lognormvariate(0.35, 0.5), 0.3), 4.0)
            cores = min(13, 3 + round(draw.expovariate(0.4)))
            width = min(max(round(draw.lognormvariate(1.9, 0.6)), 1), 32)
            self.times_s.append(time_s)
            steps.append(
                model.Step(
                    width,
                    model.Resources(1000 * cores, 2000 * cores),
                    max(1, round(1000 * time_s * draw.lognormvariate(*error))),
                    (depth - 1,) if depth else (),
                )
            )
        self.step = 0
        self.done = [0] * len(steps)
        self.started = 0
        spec = model.JobSpec(f"{number:016x}", "q", "p", "", "", tuple(steps))
        self.state = job_state.JobState(spec, accepted_s=at_s, terms=TERMS)
        self.work = sum(
            step.tasks * step.size.millicores * time_s
            for step, time_s in zip(steps, self.times_s, strict=True)
        )
        path_s = sum(self.times_s)
        self.target_s = at_s + TERMS.stretch * path_s + TERMS.target_ms / 1000

    @property
    def spec(self) -> model.Step:
        """Returns the current step."""
        return self.state.spec.steps[self.step]

    @property
    def waiting(self) -> int:
        """Returns how many tasks of it haven't started."""
        return self.spec.tasks - self.started


class Play:
    """One burst, served by the hosts that the autoscaler asks for."""

    def __init__(
        self,
        seed: int,
        *,
        former: bool,
        error: tuple[float, float],
        rate: float = 28.0,
    ) -> None:
        self.draw = random.Random(seed)
        self.former = former
        self.error = error
        self.rate = rate
        self.autoscaler = autoscaling.PoolAutoscaler()
        self.load = offered_load.OfferedLoad(-QUIET_S)
        self.hosts = 12
        self.arrivals_s: list[float] = []
        self.jobs: list[Job] = []
        self.all_jobs: list[Job] = []
        self.running: list[tuple[float, int, Job, int, float]] = []
        self.finished_s: dict[Job, float] = {}
        self.requested = 0
        self.host_seconds = 0.0
        self.order = itertools.count()

    def run(self) -> Outcome:
        """Plays the burst and returns its outcome."""
        arrivals = self.submission_times()
        for tick in range(round((QUIET_S + END_S) / TICK_S)):
            now_s = tick * TICK_S - QUIET_S
            while arrivals and arrivals[0] <= now_s:
                self.submit(arrivals.pop(0))
            while self.arrivals_s and self.arrivals_s[0] <= now_s:
                self.arrivals_s.pop(0)
                self.hosts += 1
            for part in range(5):
                self.serve(now_s + part * TICK_S / 5)
            self.resize(now_s)
            if now_s >= 0:
                self.host_seconds += TICK_S * self.hosts
        return self.outcome()

    def submission_times(self) -> list[float]:
        """Returns the times at which jobs come."""
        times = []
        for begin_s, end_s, rate in (
            (-QUIET_S, 0.0, 1.4),
            (0.0, BURST_S, self.rate),
            (BURST_S, END_S, 1.4),
        ):
            at_s = begin_s + self.draw.expovariate(rate)
            while at_s < end_s:
                times.append(at_s)
                at_s += self.draw.expovariate(rate)
        return times

    def submit(self, at_s: float) -> None:
        """Accepts a job."""
        job = Job(len(self.all_jobs), at_s, self.draw, self.error)
        self.jobs.append(job)
        self.all_jobs.append(job)
        self.load.record(expected_work.job_work(job.state), "", at_s)

    def serve(self, now_s: float) -> None:
        """Ends the tasks that are done and starts others."""
        while self.running and self.running[0][0] <= now_s:
            end_s, _, job, step, _ = heapq.heappop(self.running)
            job.done[step] += 1
            if job.done[step] == job.state.spec.steps[step].tasks:
                job.state.done[0, step] = set(range(job.done[step]))
                job.state.revision += 1
                job.step, job.started = job.step + 1, 0
                if job.step == len(job.done):
                    self.jobs.remove(job)
                    self.finished_s[job] = end_s
        free = round(PACKING * self.hosts * HOST.millicores) - self.used()
        waiting = [job for job in self.jobs if job.waiting]
        for job in sorted(
            waiting,
            key=lambda job: ordering.sort_key(
                job.state, TERMS, now_s=now_s, share_usage=0
            ),
        ):
            count = min(job.waiting, free // job.spec.size.millicores)
            free -= count * job.spec.size.millicores
            for _ in range(count):
                end_s = now_s + job.times_s[job.step]
                run = (end_s, next(self.order), job, job.step, now_s)
                heapq.heappush(self.running, run)
            pending = job.state.pending_tasks[0, job.step]
            pending -= set(range(job.started, job.started + count))
            job.state.revision += 1
            job.started += count

    def used(self) -> int:
        """Returns the cores in use."""
        return sum(
            job.state.spec.steps[step].size.millicores
            for _, _, job, step, _ in self.running
        )

    def measure(self, now_s: float) -> autoscaling.PoolLoad:
        """Returns the load of the pool."""
        used = sum_of(
            job.state.spec.steps[step].size
            for _, _, job, step, _ in self.running
        )
        pending = sum_of(job.spec.size.times(job.waiting) for job in self.jobs)
        load = autoscaling.PoolLoad(self.hosts, HOST, used, pending)
        rates = self.load.rates(now_s, {})
        if self.former or rates is None:
            return load
        running = expected_work.running_work(
            expected_work.RunningTask(
                job.state,
                model.TaskKey(0, step, 0),
                job.state.spec.steps[step].size,
                now_s - from_s,
            )
            for _, _, job, step, from_s in self.running
        )
        waiting = [
            expected_work.WaitingJob(
                "",
                ordering.latest_start_s(job.state, TERMS) - now_s,
                expected_work.pending_work(job.state, running.elapsed_s, 0),
            )
            for job in self.jobs
            if job.state.has_pending
        ]
        demand = required_capacity.Demand(
            rates=rates,
            backlog=expected_work.backlog(waiting, {}),
            running=running.work,
            kept=running.kept,
            arriving_s=sum(now_s + LEAD_TIME_S - n for n in self.arrivals_s),
            lead_time_s=LEAD_TIME_S,
        )
        return load._replace(offered=demand)

    def resize(self, now_s: float) -> None:
        """Requests and releases hosts."""
        self.autoscaler.record(self.measure(now_s), now_s)
        on = self.hosts + len(self.arrivals_s)
        missing = max(0, self.autoscaler.min_size(now_s) - on)
        self.arrivals_s.extend([now_s + LEAD_TIME_S] * missing)
        self.requested += missing
        largest = self.autoscaler.max_size(now_s)
        if largest is not None and now_s >= 0:
            idle = self.hosts - -(-self.used() // (PACKING * HOST.millicores))
            idle = int(idle)
            self.hosts -= min(max(0, on - max(3, largest)), max(0, idle))

    def outcome(self) -> Outcome:
        """Returns the outcome of the jobs of the burst."""
        burst = [
            job for job in self.all_jobs if 0 <= job.state.accepted_s < BURST_S
        ]
        in_time = [
            job
            for job in burst
            if self.finished_s.get(job, END_S) <= job.target_s
        ]
        return Outcome(
            sum(job.work for job in in_time),
            sum(job.work for job in burst),
            sum(n.work for n in in_time if n.state.accepted_s < EARLY_S),
            sum(n.work for n in burst if n.state.accepted_s < EARLY_S),
            self.host_seconds,
            self.requested,
        )


def sum_of(amounts: abc.Iterable[model.Resources]) -> model.Resources:
    """Returns the sum of some resources."""
    total = model.Resources()
    for amount in amounts:
        total = total.plus(amount)
    return total
