"""Whether a submission to an overloaded pool is refused, and until when.

A refused caller loses at least a second, so only what can't be served usefully
is refused.
"""

import typing

from chervillead.jobs import overload
from chervillead.jobs import overloaded_pools
from chervillead.jobs import queue_statistics
from chervillead.jobs import workload

# Most jobs that wait in a partition. Jobs beyond the rate of their account are
# refused at half of it, so that they don't take the place of others.
MAX_WAITING = 5000
MAX_WAITING_OVER_RATE = 2500
# An owner that makes no choice for this long doesn't know what waits.
MAX_CHOICE_AGE_S = 1.0
# A caller that returns is almost always too late. So a job of which others like
# it are on time more often than this rather waits.
MIN_CHANCE = 0.1
MIN_RETURN_S = 1.0
MAX_RETURN_S = 10.0

BACKLOG = "backlog"
TOO_MANY = "too-many-waiting"


class Refusal(typing.NamedTuple):
    """Why a submission is refused.

    Attributes:
        reason: `BACKLOG` or `TOO_MANY`.
        backlog_s: Time until the work ahead of the job is done.
    """

    reason: str
    backlog_s: float


def check_waiting(
    candidate: workload.Candidate,
    waiting: int,
    state: overloaded_pools.Overload | None,
) -> Refusal | None:
    """Returns a refusal if too many jobs wait, or None.

    Args:
        candidate: The submitted job.
        waiting: Number of jobs that wait in the partition, without those with
            a schedule.
        state: State of the job's pool; None if it isn't overloaded.
    """
    limit = (
        MAX_WAITING_OVER_RATE if candidate.group.is_over_rate else MAX_WAITING
    )
    if not candidate.target_s or waiting <= limit:
        return None
    ahead_s = 0.0 if state is None else backlog_s(candidate, state)
    return Refusal(TOO_MANY, ahead_s)


def check_backlog(
    candidate: workload.Candidate,
    state: overloaded_pools.Overload | None,
    statistics: queue_statistics.QueueStatistics,
    now_s: float,
    *,
    settle_s: float,
) -> Refusal | None:
    """Returns a refusal if a job can't be served usefully, or None.

    Args:
        candidate: The submitted job.
        state: State of its pool; None if it isn't overloaded.
        statistics: Recent jobs of its queue.
        now_s: Time of the owner's clock.
        settle_s: How long after the begin of overload hosts still arrive.
    """
    if (
        not candidate.target_s
        or state is None
        or now_s - state.chosen_s > MAX_CHOICE_AGE_S
        or now_s - state.begun_s < settle_s
    ):
        return None
    ahead_s = backlog_s(candidate, state)
    if ahead_s <= overload.EXPIRY_FACTOR * candidate.target_s:
        return None
    if _may_be_on_time(candidate, state, statistics):
        return None
    return Refusal(BACKLOG, ahead_s)


def backlog_s(
    candidate: workload.Candidate, state: overloaded_pools.Overload
) -> float:
    """Returns the time until the work ahead of a further job is done."""
    return _ahead_s(candidate.group, state, is_own_included=True)


def _ahead_s(
    group: workload.Group,
    state: overloaded_pools.Overload,
    *,
    is_own_included: bool,
) -> float:
    """Returns the time that running tasks and groups that go first take."""
    ahead = max(
        (
            load.ahead
            for other, load in state.choice.groups.items()
            if other < group or (is_own_included and other == group)
        ),
        default=0.0,
    )
    return (ahead + state.load.running) / state.load.millicores


def _may_be_on_time(
    candidate: workload.Candidate,
    state: overloaded_pools.Overload,
    statistics: queue_statistics.QueueStatistics,
) -> bool:
    """Returns whether a further job has a chance to be on time."""
    before_s = _ahead_s(candidate.group, state, is_own_included=False)
    if before_s > candidate.target_s:
        return False
    key = statistics.class_of(candidate.queue, candidate.work.total)
    served = state.choice.served.get(key, queue_statistics.Served())
    if served.on_time >= MIN_CHANCE * served.total:
        return True
    load = state.choice.groups.get(candidate.group)
    worth = overload.worth_for_work(candidate.work, candidate.queue, statistics)
    return load is None or worth > load.worth


class ReturnTimes:
    """When refused callers return: those refused first return first."""

    def __init__(self) -> None:
        self._last_s: dict[tuple[str, workload.Group], float] = {}

    def next_delay_s(
        self,
        pool: str,
        group: workload.Group,
        now_s: float,
        *,
        ahead_s: float,
        jobs_per_s: float,
    ) -> float:
        """Returns how long the next refused caller should wait.

        Args:
            pool: Pool of the refused job.
            group: Its group.
            now_s: Time of the owner's clock.
            ahead_s: Time until the work ahead of it is done.
            jobs_per_s: Rate at which the pool completes jobs; 0 if unknown.
        """
        longest_s = min(MAX_RETURN_S, max(MIN_RETURN_S, ahead_s))
        interval_s = 1 / jobs_per_s if jobs_per_s else 0.0
        last_s = self._last_s.get((pool, group), now_s)
        returns_s = max(now_s + MIN_RETURN_S, last_s + interval_s)
        returns_s = min(returns_s, now_s + longest_s)
        self._last_s[pool, group] = returns_s
        # The rounding error of the sum would make 11 s of 10 s in Retry-After.
        return max(MIN_RETURN_S, min(longest_s, returns_s - now_s))
