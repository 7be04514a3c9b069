"""Order of waiting requests by share and target, and early refusal.

The decisions are plain functions; the classes hold what was measured.
"""

from collections import abc
import math
import typing

# Past use counts for about this long, so that a team which was served less for
# some seconds catches up.
USAGE_DECAY_S = 2.0

# Weight of past use against present use. Without it, the shares are only met
# at an instant and not over windows of some seconds.
PAST_USAGE_WEIGHT = 2.0

# Weight of the newest run time once enough were seen.
RUN_TIME_WEIGHT = 0.02
RUN_TIME_QUANTILE = 0.95

# The declared run time is used until this many runs were measured.
MIN_RUNS = 10

MIN_RETRY_WINDOW_S = 1.0
MAX_RETRY_WINDOW_S = 60.0

# Time in which the load of a zone grows to its full slots after its return.
SLOW_START_S = 5.0
SLOW_START_MIN_FRACTION = 0.1


class Usage(typing.NamedTuple):
    """Slots of a pool that a team uses: now and on average of late."""

    running: int = 0
    average: float = 0.0
    updated_s: float = 0.0


class UsageTable:
    """Use of each pool by each team."""

    def __init__(self) -> None:
        self._usages: dict[tuple[str, str], Usage] = {}

    def usage(self, pool: str, team: str, now_s: float) -> Usage:
        """Returns the use of `pool` by `team`."""
        return decay_usage(self._usages.get((pool, team), Usage()), now_s)

    def change(self, pool: str, team: str, change: int, now_s: float) -> None:
        """Notes that a team uses more or fewer slots of a pool."""
        running, average, _ = self.usage(pool, team, now_s)
        self._usages[(pool, team)] = Usage(running + change, average, now_s)


def decay_usage(use: Usage, now_s: float) -> Usage:
    """Returns `use` with its average as of `now_s`."""
    kept = math.exp(-max(0.0, now_s - use.updated_s) / USAGE_DECAY_S)
    return Usage(
        use.running, use.running + (use.average - use.running) * kept, now_s
    )


def normalized_usage(use: Usage, share: float) -> float:
    """Returns how much a team uses in relation to its share.

    The team with the lowest value is next; a team without a share comes last.
    """
    if share <= 0:
        return math.inf
    return (use.running + 1 + PAST_USAGE_WEIGHT * use.average) / share


class RunTimeEstimate(typing.NamedTuple):
    """Measured run time: decayed mean and high quantile."""

    runs: int = 0
    mean_s: float = 0.0
    quantile_s: float = 0.0


def update_run_time(known: RunTimeEstimate, run_s: float) -> RunTimeEstimate:
    """Returns what is known after one more run.

    The quantile moves by a step in proportion to the mean, up more often than
    down, until the wanted part of the runs lies below it.
    """
    runs = known.runs + 1
    weight = max(RUN_TIME_WEIGHT, 1 / runs)
    mean_s = known.mean_s + weight * (run_s - known.mean_s)
    if runs <= MIN_RUNS:
        return RunTimeEstimate(runs, mean_s, max(known.quantile_s, run_s))
    part = (
        RUN_TIME_QUANTILE if run_s > known.quantile_s else RUN_TIME_QUANTILE - 1
    )
    quantile_s = known.quantile_s + RUN_TIME_WEIGHT * mean_s * part * 5
    return RunTimeEstimate(runs, mean_s, max(mean_s, quantile_s))


class RunTimeTracker:
    """Measured run times by queue and team."""

    def __init__(self) -> None:
        self._estimates: dict[tuple[str, str | None], RunTimeEstimate] = {}

    def record(self, queue: str, team: str, run_s: float) -> None:
        """Notes one finished run."""
        for key in ((queue, team), (queue, None)):
            self._estimates[key] = update_run_time(
                self._estimates.get(key, RunTimeEstimate()), run_s
            )

    def for_queue(self, queue: str) -> RunTimeEstimate:
        """Returns what is known of all teams of a queue."""
        return self._estimates.get((queue, None), RunTimeEstimate())

    def estimate_s(self, queue: str, team: str, declared_s: float) -> float:
        """Returns the run time to expect of a request.

        A declared time counts only between the measured mean and the high
        quantile, because declared times are far off.
        """
        for key in ((queue, team), (queue, None)):
            known = self._estimates.get(key, RunTimeEstimate())
            if known.runs >= MIN_RUNS:
                return min(max(declared_s, known.mean_s), known.quantile_s)
        return declared_s


def expected_wait_s(
    waiting: abc.Mapping[str, int],
    team: str,
    shares: abc.Callable[[str], float],
    service_rate: float,
) -> float:
    """Returns how long one more request of `team` would wait.

    Args:
        waiting: Waiting requests of the pool by team.
        team: Team of the request.
        shares: Returns the share of a team.
        service_rate: Requests that the pool finishes in a second.
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
    """Returns a Retry-After with full jitter over a window.

    The window grows with the backlog, so that refused callers come back at the
    rate at which the backlog is worked off.
    """
    window_s = min(MAX_RETRY_WINDOW_S, MIN_RETRY_WINDOW_S + backlog_s)
    return max(1, int(uniform(0.0, window_s) * 1000))


def team_to_evict(
    counts: abc.Mapping[str, int],
    team: str,
    shares: abc.Callable[[str], float],
) -> str | None:
    """Returns the team that must make room on a full list, or None.

    One more request of `team` displaces the team with the most waiting requests
    for its share, if that team would still have at least as many for its share.
    """
    own = (counts.get(team, 0) + 1) / max(shares(team), 1e-9)
    heaviest = max(
        counts, key=lambda name: counts[name] / max(shares(name), 1e-9)
    )
    if heaviest == team:
        return None
    theirs = (counts[heaviest] - 1) / max(shares(heaviest), 1e-9)
    return heaviest if theirs >= own else None


def slow_start_slots(slots: int, since_return_s: float) -> int:
    """Returns how many of a host's slots are used after its zone's return."""
    if since_return_s >= SLOW_START_S:
        return slots
    part = max(SLOW_START_MIN_FRACTION, since_return_s / SLOW_START_S)
    return math.ceil(slots * part)
