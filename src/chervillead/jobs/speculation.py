"""Speculative execution of straggling tasks.

Meant for workers that are slow or stalled although their results are correct.
For steps that allow it, a straggler gets a second run on another worker, and
the first run to complete counts.
"""

from collections import abc
import statistics

from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import ordering
from chervillead.jobs import readiness
from chervillead.jobs import task_runs

# A run that exceeds the median duration of its step, or the run time that other
# jobs let expect, by this factor straggles.
STRAGGLER_FACTOR = 2.0
# Completed runs of a step needed before their median duration is used.
MIN_DURATION_SAMPLES = 3


def stragglers(
    job: job_state.JobState, now_s: float
) -> abc.Iterator[readiness.ReadyTask]:
    """Yields the straggling tasks of a job, which should get a second run."""
    running: dict[tuple[int, int], list[model.TaskKey]] = {}
    for task in job.runs:
        step = job.step(task)
        if step.speculative and not step.gang and not step.long_running:
            running.setdefault((task.step, task.occurrence), []).append(task)
    for (number, occurrence), tasks in sorted(running.items()):
        limit_s = _limit_s(job, occurrence, number)
        if limit_s is None:
            continue
        for task in tasks:
            if _is_straggling(job.runs.get(task, []), limit_s, now_s):
                yield readiness.ReadyTask(job, task, job.step(task))


def _limit_s(
    job: job_state.JobState, occurrence: int, number: int
) -> float | None:
    durations = job.durations_s.get((occurrence, number), ())
    if len(durations) >= MIN_DURATION_SAMPLES:
        return STRAGGLER_FACTOR * statistics.median(durations)
    if number in job.learned_steps:
        return STRAGGLER_FACTOR * ordering.step_time_s(job, number)
    # A caller's estimate that is too low would start a copy of every task.
    return None


def _is_straggling(
    runs: list[task_runs.Run], limit_s: float, now_s: float
) -> bool:
    return (
        len(runs) == 1
        and runs[0].phase is task_runs.RunPhase.RUNNING
        and not runs[0].stop_requested
        and now_s - runs[0].started_s > limit_s
    )
