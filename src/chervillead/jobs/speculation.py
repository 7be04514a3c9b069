"""Copies of tasks that take much longer than the others of their step.

Answers the pattern of workers that are slow or stand still while their answers
are sound: for steps that allow copies, the first copy to finish counts.
"""

from collections import abc
import statistics

from chervillead.jobs import job_state
from chervillead.jobs import readiness
from chervillead.jobs import task_runs

# A task that takes this many times the median of its step is a straggler.
STRAGGLER_FACTOR = 2.0
# Tasks of a step that must be done before its median says anything.
MIN_DURATION_SAMPLES = 3


def stragglers(
    job: job_state.JobState, now_s: float
) -> abc.Iterator[readiness.ReadyTask]:
    """Yields tasks of a job that deserve a second run."""
    for number, step in enumerate(job.spec.steps):
        if not step.speculative or step.gang or step.long_running:
            continue
        for occurrence in range(job.spec.occurrences):
            limit_s = _limit_s(job, occurrence, number)
            if limit_s is None:
                continue
            for task, runs in list(job.runs.items()):
                in_step = (task.occurrence, task.step) == (occurrence, number)
                if in_step and _is_straggling(runs, limit_s, now_s):
                    yield readiness.ReadyTask(job, task, step)


def _limit_s(
    job: job_state.JobState, occurrence: int, number: int
) -> float | None:
    durations = job.durations_s.get((occurrence, number), [])
    if len(durations) < MIN_DURATION_SAMPLES:
        return None
    return STRAGGLER_FACTOR * statistics.median(durations)


def _is_straggling(
    runs: list[task_runs.Run], limit_s: float, now_s: float
) -> bool:
    return (
        len(runs) == 1
        and runs[0].phase is task_runs.RunPhase.RUNNING
        and not runs[0].stop_requested
        and now_s - runs[0].started_s > limit_s
    )
