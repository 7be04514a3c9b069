"""Distance from the max-min fair share of each team, over windows.

Six teams, a few of them large, share a full pool and burst in turn. The real
dispatcher and first come first served get the same arrivals.
"""

import collections
from collections import abc
import heapq
import itertools
import random
import typing

from benchmarks import figures
from chervillead import types
from chervillead.entries import messages
from stand_ins import dispatch_zones

SHARES = {"a": 6.0, "b": 5.0, "c": 2.0, "d": 1.0, "e": 1.0, "f": 1.0}
SLOTS = 64
MEAN_RUN_S = 0.5
END_S = 200.0
WINDOW_S = 5.0
DEADLINE_S = 8.0
SEED = 20261204

# Each team offers a tenth more than its share on average, in bursts of five
# times the mean and a twentieth of it between, one team after the other.
OVERLOAD = 1.1
BURST = 5.0
BETWEEN = 0.05
BURST_S = 4.0
PERIOD_S = BURST_S * (BURST - BETWEEN) / (1 - BETWEEN)

# No more than a third of the distance of first come first served.
MAX_RATIO = 0.33


class Job(typing.NamedTuple):
    """One request of the run."""

    at_s: float
    team: str
    run_s: float


class Usage:
    """Time integrals of what runs and waits, by window and team."""

    def __init__(self) -> None:
        self.running: dict[str, int] = collections.Counter()
        self.waiting: dict[str, int] = collections.Counter()
        self.used: dict[tuple[int, str], float] = collections.Counter()
        self.wanted: dict[tuple[int, str], float] = collections.Counter()
        self._until_s = 0.0

    def advance(self, now_s: float) -> None:
        """Adds the time up to `now_s` to the integrals."""
        while self._until_s < now_s:
            window = int(self._until_s / WINDOW_S)
            step_s = min(now_s, (window + 1) * WINDOW_S) - self._until_s
            for team in SHARES:
                running = self.running[team]
                self.used[window, team] += running * step_s
                self.wanted[window, team] += (
                    running + self.waiting[team]
                ) * step_s
            self._until_s += max(step_s, 1e-9)


def measure() -> abc.Iterator[figures.BenchmarkResult]:
    """Yields each team's mean distance, and the whole beside the baseline."""
    jobs = make_jobs(random.Random(SEED))
    product = distances(DispatcherRun(jobs).run())
    baseline = distances(run_first_come(jobs))
    for team in SHARES:
        yield figures.BenchmarkResult(
            f"fairness: distance of team {team}", product[team], "-", True
        )
        yield figures.BenchmarkResult(
            f"fairness: first come, team {team}", baseline[team], "-", True
        )
    ratio = sum(product.values()) / sum(baseline.values())
    yield figures.BenchmarkResult(
        "fairness: distance against first come",
        ratio,
        f"<= {MAX_RATIO}",
        ratio <= MAX_RATIO,
    )


def make_jobs(rng: random.Random) -> list[Job]:
    """Returns all arrivals in order."""
    jobs = []
    whole = sum(SHARES.values())
    for index, (team, share) in enumerate(SHARES.items()):
        mean = OVERLOAD * SLOTS / MEAN_RUN_S * share / whole
        now_s = 0.0
        while now_s < END_S:
            phase_s = (now_s + index * PERIOD_S / len(SHARES)) % PERIOD_S
            factor = BURST if phase_s < BURST_S else BETWEEN
            now_s += min(rng.expovariate(mean * factor), 1.0)
            jobs.append(Job(now_s, team, rng.expovariate(1 / MEAN_RUN_S)))
    return sorted(jobs)


def distances(usage: Usage) -> dict[str, float]:
    """Returns each team's mean distance, as a part of its fair share."""
    windows = range(1, int(END_S / WINDOW_S))
    total: dict[str, float] = collections.Counter()
    fair_total: dict[str, float] = collections.Counter()
    for window in windows:
        wanted = {team: usage.wanted[window, team] for team in SHARES}
        fair = max_min(wanted, SLOTS * WINDOW_S)
        for team in SHARES:
            total[team] += abs(usage.used[window, team] - fair[team])
            fair_total[team] += fair[team]
    return {team: total[team] / fair_total[team] for team in SHARES}


def max_min(wanted: dict[str, float], capacity: float) -> dict[str, float]:
    """Returns the max-min fair parts of a capacity by share."""
    fair: dict[str, float] = {}
    open_teams = dict(wanted)
    while open_teams:
        whole = sum(SHARES[team] for team in open_teams)
        team = min(open_teams, key=lambda t: open_teams[t] / SHARES[t])
        fair[team] = min(open_teams.pop(team), capacity * SHARES[team] / whole)
        capacity -= fair[team]
    return fair


class DispatcherRun:
    """The real dispatcher under the jobs, on a clock set by hand."""

    def __init__(self, jobs: list[Job]) -> None:
        teams = {team: (share, 10**6) for team, share in SHARES.items()}
        self._now_s = 0.0
        self._zones = dispatch_zones.MemoryZones(
            dispatch_zones.make_configuration(
                hosts=8, slots=8, teams=teams, max_waiting=10**5
            ),
            clock=types.Clock(lambda: self._now_s, lambda: self._now_s),
        )
        self._part = self._zones.dispatchers["entry-z0"]
        self._jobs = {f"r{number}": job for number, job in enumerate(jobs)}
        self._ends: list[tuple[float, str, Job]] = []
        self.usage = Usage()

    def run(self) -> Usage:
        """Returns the usage after all jobs have arrived."""
        for name, job in self._jobs.items():
            while self._ends and self._ends[0][0] <= job.at_s:
                at_s, grant_id, ended = heapq.heappop(self._ends)
                self._advance(at_s)
                self._end(grant_id, ended)
            self._advance(job.at_s)
            self._register(name, job)
        return self.usage

    def _advance(self, at_s: float) -> None:
        self.usage.advance(at_s)
        self._now_s = at_s

    def _register(self, name: str, job: Job) -> None:
        register = dispatch_zones.register(
            name, job.team, time_left_ms=int(DEADLINE_S * 1000)
        )
        reply = self._part.register("entry-x", register)
        self._note([reply])

    def _end(self, grant_id: str, job: Job) -> None:
        self.usage.running[job.team] -= 1
        self._part.release(
            messages.Release(grant_id, True, False, int(job.run_s * 1000))
        )
        self._note(self._zones.notices["entry-x"])
        self._zones.notices["entry-x"].clear()

    def _note(self, decisions: abc.Iterable[messages.Message]) -> None:
        """Starts what was granted and counts what waits."""
        for granted in decisions:
            if isinstance(granted, messages.Granted):
                job = self._jobs[granted.request_id]
                self.usage.running[job.team] += 1
                end_s = self._now_s + job.run_s
                heapq.heappush(self._ends, (end_s, granted.grant_id, job))
        self.usage.waiting = collections.Counter(
            self._part.waiting.queue_counts(dispatch_zones.QUEUE)
        )


def run_first_come(jobs: list[Job]) -> Usage:
    """Returns the usage when all teams wait in one line."""
    usage = Usage()
    ends: list[tuple[float, int, str]] = []
    line: collections.deque[Job] = collections.deque()
    numbers = itertools.count()
    position = 0
    while position < len(jobs):
        at_s = jobs[position].at_s
        if ends and ends[0][0] <= at_s:
            at_s, _, team = heapq.heappop(ends)
            usage.advance(at_s)
            usage.running[team] -= 1
        else:
            usage.advance(at_s)
            line.append(jobs[position])
            usage.waiting[jobs[position].team] += 1
            position += 1
        while line and (len(ends) < SLOTS or line[0].at_s + DEADLINE_S <= at_s):
            job = line.popleft()
            usage.waiting[job.team] -= 1
            if job.at_s + DEADLINE_S > at_s:
                usage.running[job.team] += 1
                heapq.heappush(
                    ends, (at_s + job.run_s, next(numbers), job.team)
                )
    return usage
