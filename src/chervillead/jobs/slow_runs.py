"""Runs that slow workers delay, and whether moving one is worth it.

A run that is behind may be one of the few tasks that take several times as long
as the others wherever they run. So the worker must be behind with different
steps, or have been slow with runs that have completed.
"""

from collections import abc
import math
import statistics
import typing

from chervillead.jobs import task_runs

# Runs that have been observed for less than this show nothing yet: their
# progress is reported in steps, and starting takes a part of it.
MIN_OBSERVED_S = 0.5
# A worker is slow if its progress is at most this share of what is expected.
# Run times that are off by a standard deviation don't reach it.
SLOW_SHARE = 1 / 3
# Longest times that a worker takes to stop a run, and to resume one from its
# checkpoint.
STOP_S = 0.4
RESTORE_S = 0.25


class Observation(typing.NamedTuple):
    """Progress of one run.

    Attributes:
        step: Job, occurrence and number of its step.
        share: Its progress divided by what is expected after its time.
    """

    step: tuple[str, int, int]
    share: float


def observe(run: task_runs.Run, expected_s: float) -> Observation | None:
    """Returns the progress of a run, or None if it can't be judged.

    Args:
        run: The run.
        expected_s: Expected run time of its task.
    """
    ran_s = _observed_s(run)
    if (
        ran_s < MIN_OBSERVED_S
        or run.phase is not task_runs.RunPhase.RUNNING
        or run.was_paced
        or run.resumed_from
        or run.is_found
    ):
        return None
    step = run.job_id, run.task.occurrence, run.task.step
    return Observation(step, run.progress_percent / 100 * expected_s / ran_s)


def is_slow(observations: abc.Sequence[Observation], *, was_slow: bool) -> bool:
    """Returns whether a worker is much slower than expected.

    Args:
        observations: Progress of the runs on it.
        was_slow: Whether runs that have completed on it were slow.
    """
    if not observations:
        return False
    steps = {observation.step for observation in observations}
    share = statistics.median(o.share for o in observations)
    return share <= SLOW_SHARE and (was_slow or len(steps) >= 2)


def is_sooner_elsewhere(
    run: task_runs.Run, expected_s: float, report_age_s: float
) -> bool:
    """Returns whether a run would complete sooner on a usual worker.

    Args:
        run: The run, which has a checkpoint.
        expected_s: Expected run time of its task.
        report_age_s: Age of the latest report of its progress.
    """
    done = run.progress_percent / 100
    here_s = (
        _observed_s(run) * (1 - done) / done - report_age_s
        if done
        else math.inf
    )
    left_s = (1 - run.checkpoint_percent / 100) * expected_s
    return STOP_S + RESTORE_S + left_s < here_s


def _observed_s(run: task_runs.Run) -> float:
    """Returns how long a run had run at its latest report."""
    if run.started_clock_ms is None:
        return 0.0
    return (run.reported_ms - run.started_clock_ms) / 1000
