"""Fair-share ordering of waiting requests, and load shedding.

Policies are pure functions; the classes only keep measurements.
"""

from collections import abc
import math
import typing

# Time constant of the exponential decay of past usage. A team that was
# underserved for some seconds catches up within about this time.
USAGE_DECAY_S = 2.0

# Weight of past usage relative to current usage. Without it, shares hold only
# at each instant and not over windows of several seconds.
PAST_USAGE_WEIGHT = 2.0

# Weight of the newest run time in the moving averages.
RUN_TIME_WEIGHT = 0.02
RUN_TIME_QUANTILE = 0.95

# Declared run times are used until this many runs have been measured.
MIN_RUNS = 10

MIN_RETRY_WINDOW_S = 1.0
MAX_RETRY_WINDOW_S = 60.0

# Slow start: time over which the usable slots of a zone grow from the minimum
# fraction to all of them after the zone returns to service.
SLOW_START_S = 5.0
SLOW_START_MIN_FRACTION = 0.1


class Usage(typing.NamedTuple):
    """Slots of a pool that a team uses.

    Attributes:
        running: Slots in use now.
        average: Exponentially decayed average of the slots in use.
        updated_s: Monotonic time for which `average` holds.
    """

    running: int = 0
    average: float = 0.0
    updated_s: float = 0.0


class UsageTable:
    """Usage by pool and team."""

    def __init__(self) -> None:
        self._usages: dict[tuple[str, str], Usage] = {}

    def usage(self, pool: str, team: str, now_s: float) -> Usage:
        """Returns the usage of `pool` by `team` as of `now_s`."""
        return decay_usage(self._usages.get((pool, team), Usage()), now_s)

    def change(self, pool: str, team: str, change: int, now_s: float) -> None:
        """Adds `change` slots, which may be negative, to a team's usage."""
        running, average, _ = self.usage(pool, team, now_s)
        self._usages[(pool, team)] = Usage(running + change, average, now_s)


def decay_usage(usage: Usage, now_s: float) -> Usage:
    """Returns `usage` with its average decayed to `now_s`."""
    decay = math.exp(-max(0.0, now_s - usage.updated_s) / USAGE_DECAY_S)
    return Usage(
        usage.running,
        usage.running + (usage.average - usage.running) * decay,
        now_s,
    )


def normalized_usage(usage: Usage, share: float) -> float:
    """Returns a team's usage divided by its share, with one more request.

    The team with the lowest value is served next; a team without a share comes
    last.
    """
    if share <= 0:
        return math.inf
    return (usage.running + 1 + PAST_USAGE_WEIGHT * usage.average) / share


class RunTimeStats(typing.NamedTuple):
    """Measured run time.

    Attributes:
        runs: Number of measured runs.
        mean_s: Moving average.
        p95_s: Estimate of the `RUN_TIME_QUANTILE` quantile.
    """

    runs: int = 0
    mean_s: float = 0.0
    p95_s: float = 0.0


def update_run_time(stats: RunTimeStats, run_s: float) -> RunTimeStats:
    """Returns the statistics after one more measured run.

    The quantile is estimated by stochastic approximation: a run above the
    estimate raises it and a run below lowers it, by steps proportional to the
    mean that balance once `RUN_TIME_QUANTILE` of the runs lie below it.
    """
    runs = stats.runs + 1
    weight = max(RUN_TIME_WEIGHT, 1 / runs)
    mean_s = stats.mean_s + weight * (run_s - stats.mean_s)
    if runs <= MIN_RUNS:
        return RunTimeStats(runs, mean_s, max(stats.p95_s, run_s))
    fraction = (
        RUN_TIME_QUANTILE if run_s > stats.p95_s else RUN_TIME_QUANTILE - 1
    )
    p95_s = stats.p95_s + RUN_TIME_WEIGHT * mean_s * fraction * 5
    return RunTimeStats(runs, mean_s, max(mean_s, p95_s))


class RunTimeTracker:
    """Measured run times by queue and team."""

    def __init__(self) -> None:
        self._stats: dict[tuple[str, str | None], RunTimeStats] = {}

    def record(self, queue: str, team: str, run_s: float) -> None:
        """Adds one finished run to the statistics of the queue and its team."""
        for key in ((queue, team), (queue, None)):
            self._stats[key] = update_run_time(
                self._stats.get(key, RunTimeStats()), run_s
            )

    def for_queue(self, queue: str) -> RunTimeStats:
        """Returns the run time over all teams of a queue."""
        return self._stats.get((queue, None), RunTimeStats())

    def estimate_s(self, queue: str, team: str, declared_s: float) -> float:
        """Returns the expected run time of a request.

        The declared time is clamped to the range from the measured mean to the
        measured quantile, because declared times are often far off.
        """
        for key in ((queue, team), (queue, None)):
            stats = self._stats.get(key, RunTimeStats())
            if stats.runs >= MIN_RUNS:
                return min(max(declared_s, stats.mean_s), stats.p95_s)
        return declared_s


def expected_wait_s(
    waiting: abc.Mapping[str, int],
    team: str,
    shares: abc.Callable[[str], float],
    service_rate: float,
) -> float:
    """Returns how long one more request of `team` would wait, in seconds.

    Args:
        waiting: Waiting requests of the pool by team.
        team: Team of the request.
        shares: Returns the share of a team.
        service_rate: Requests that the pool finishes per second.
    """
    if not waiting:
        return 0.0
    if service_rate <= 0:
        return math.inf
    own = waiting.get(team, 0) + 1
    share = shares(team)
    others = sum(
        min(count, own * shares(name) / share if share > 0 else count)
        for name, count in waiting.items()
        if name != team
    )
    return (own + others) / service_rate


def retry_after_ms(
    backlog_s: float, uniform: abc.Callable[[float, float], float]
) -> int:
    """Returns a Retry-After with full jitter, in milliseconds.

    The jitter window grows with the backlog, so that refused callers retry at
    about the rate at which the backlog drains.
    """
    window_s = min(MAX_RETRY_WINDOW_S, MIN_RETRY_WINDOW_S + backlog_s)
    return max(1, int(uniform(0.0, window_s) * 1000))


def team_to_evict(
    counts: abc.Mapping[str, int],
    team: str,
    shares: abc.Callable[[str], float],
) -> str | None:
    """Returns the team whose newest request a full list evicts, or None.

    One more request of `team` evicts one of the team with the most waiting
    requests per share, if that team still has at least as many per share
    afterwards.
    """
    own = (counts.get(team, 0) + 1) / max(shares(team), 1e-9)
    largest = max(
        counts, key=lambda name: counts[name] / max(shares(name), 1e-9)
    )
    if largest == team:
        return None
    remaining = (counts[largest] - 1) / max(shares(largest), 1e-9)
    return largest if remaining >= own else None


def slow_start_slots(slots: int, since_return_s: float) -> int:
    """Returns the slots of a host that may be used during slow start.

    Args:
        slots: Usable slots of the host.
        since_return_s: Time since its zone returned to service.
    """
    if since_return_s >= SLOW_START_S:
        return slots
    fraction = max(SLOW_START_MIN_FRACTION, since_return_s / SLOW_START_S)
    return math.ceil(slots * fraction)
