"""Work of jobs: amounts of resources times run times, in milliseconds."""

import collections
from collections import abc
import statistics
import typing

from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import ordering
from chervillead.jobs import readiness

# Tasks of different sizes leave a part of the resources of hosts unused.
PACKING_FACTOR = 1.15
# Expected time of tasks that their caller gave no estimate for.
DEFAULT_TASK_S = 1.0
# A task that has run for longer than expected is expected to run for this part
# of its time further. Estimates are off by up to nine tenths, so without it a
# pool would not grow for a long step with a short estimate.
OVERDUE_PART = 0.25
# A task that has run for this many times as long as expected may run for any
# time, so hosts that its pool has are not counted on to become free.
ENDLESS_FACTOR = 2.0
# Bounds of the time to work off a backlog. Late work is worth less, so it may
# take the longest.
MIN_DRAIN_S = 0.5
MAX_DRAIN_S = 3.0

# Step of one occurrence of a job: id, occurrence, number of the step.
StepKey = tuple[str, int, int]


class JobWork(typing.NamedTuple):
    """Work of a job.

    Attributes:
        work: Sum over its tasks of reserved resources times run time.
        in_flight: Sum of that work times the mean time for which it remains
            while nothing delays the job; divided by 1 s.
        size: Resources that all of its tasks reserve.
    """

    work: model.Resources
    in_flight: model.Resources
    size: model.Resources


class Backlog(typing.NamedTuple):
    """Work of the tasks of a pool that haven't started.

    Attributes:
        on_time: Work of jobs that may still be on time.
        untimed: The same for jobs without a completion target.
        late: The same for jobs that will be late.
        drain_s: Time in which `on_time` should be worked off.
    """

    on_time: model.Resources
    untimed: model.Resources
    late: model.Resources
    drain_s: float


class RunningTask(typing.NamedTuple):
    """A run of a task.

    Attributes:
        job: Its job; None if it is unknown.
        task: The task.
        reserved: Resources that it reserves.
        elapsed_s: How long it has been running.
    """

    job: job_state.JobState | None
    task: model.TaskKey
    reserved: model.Resources
    elapsed_s: float


class Running(typing.NamedTuple):
    """Work that running tasks have left.

    Attributes:
        work: The work.
        kept: Resources of tasks whose end can't be foreseen.
        elapsed_s: How long the tasks of each step have been running, on
            average.
    """

    work: model.Resources
    kept: model.Resources
    elapsed_s: dict[StepKey, float]


class WaitingJob(typing.NamedTuple):
    """A job with pending tasks.

    Attributes:
        account: Its client account.
        slack_s: Time until it must go on in order to be on time; negative if
            it will be late, None without a completion target.
        work: Work of its pending tasks.
    """

    account: str
    slack_s: float | None
    work: model.Resources


def scaled(amounts: model.Resources, factor: float) -> model.Resources:
    """Returns amounts times a factor, rounded."""
    return model.Resources(*(round(amount * factor) for amount in amounts))


def task_s(
    job: job_state.JobState, number: int, elapsed_s: float = 0.0
) -> float:
    """Returns the expected time of a task of a step, which is never 0.

    Args:
        job: The job.
        number: Number of the step.
        elapsed_s: How long the task, or others of its step, have been running.
    """
    expected_s = ordering.step_time_s(job, number) or DEFAULT_TASK_S
    return max(expected_s, (1 + OVERDUE_PART) * elapsed_s)


def job_work(job: job_state.JobState) -> JobWork:
    """Returns the work of one occurrence of a job that has just come."""
    work = in_flight = size = model.Resources()
    ends_s: list[float] = []
    for number, step in enumerate(job.spec.steps):
        time_s = task_s(job, number)
        start_s = max((ends_s[n] for n in step.depends_on), default=0.0)
        ends_s.append(start_s + time_s)
        step_size = step.reserved.times(step.tasks)
        step_work = scaled(step_size, 1000 * time_s)
        size = size.plus(step_size)
        work = work.plus(step_work)
        in_flight = in_flight.plus(scaled(step_work, start_s + time_s / 2))
    return JobWork(work, in_flight, size)


def running_work(tasks: abc.Iterable[RunningTask]) -> Running:
    """Returns the work that running tasks have left.

    The tasks of a step are taken together, as there are far more tasks than
    steps.
    """
    kept = model.Resources()
    runs: dict[StepKey, list[RunningTask]] = {}
    for run in tasks:
        if run.job is None or not run.job.has_task(run.task):
            kept = kept.plus(run.reserved)
            continue
        key = run.job.spec.job_id, run.task.occurrence, run.task.step
        runs.setdefault(key, []).append(run)
    work = model.Resources()
    elapsed: dict[StepKey, float] = {}
    for key, same in runs.items():
        job, task, reserved, _ = same[0]
        if job is None:
            continue
        elapsed_s = sum(run.elapsed_s for run in same) / len(same)
        elapsed[key] = elapsed_s
        expected_s = task_s(job, task.step)
        if (
            job.step(task).long_running
            or elapsed_s > ENDLESS_FACTOR * expected_s
        ):
            kept = kept.plus(reserved.times(len(same)))
        else:
            left_s = task_s(job, task.step, elapsed_s) - elapsed_s
            work = work.plus(reserved.times(round(1000 * left_s * len(same))))
    return Running(work, kept, elapsed)


def pending_work(
    job: job_state.JobState,
    elapsed_s: abc.Mapping[StepKey, float],
    now_unix_ms: float,
) -> model.Resources:
    """Returns the work of the tasks of a job that are pending and due.

    Long-running tasks have no work, as they don't end.

    Args:
        job: The job.
        elapsed_s: How long the running tasks of a step have been running, on
            average; only for steps that have some. Empty if the job has none.
        now_unix_ms: Wall-clock time, for schedules.
    """
    if elapsed_s or job.spec.schedule.repeats:
        return _pending_work(job, elapsed_s, now_unix_ms)
    key = job.revision, job.step_times_s
    if job.pending_work is None or job.pending_work[0] != key:
        job.pending_work = key, _pending_work(job, elapsed_s, now_unix_ms)
    return job.pending_work[1]


def _pending_work(
    job: job_state.JobState,
    elapsed_s: abc.Mapping[StepKey, float],
    now_unix_ms: float,
) -> model.Resources:
    work = model.Resources()
    for (occurrence, number), indexes in job.pending_tasks.items():
        step = job.spec.steps[number]
        if (
            indexes
            and not step.long_running
            and readiness.is_due(job.spec, occurrence, now_unix_ms)
        ):
            key = job.spec.job_id, occurrence, number
            time_s = task_s(job, number, elapsed_s.get(key, 0.0))
            task_ms = round(1000 * len(indexes) * time_s)
            work = work.plus(step.reserved.times(task_ms))
    return work


def backlog(
    jobs: abc.Iterable[WaitingJob],
    limits: abc.Mapping[str, model.Resources],
) -> Backlog:
    """Returns the work of waiting jobs that their quotas allow.

    Args:
        jobs: The jobs.
        limits: Resources that the tasks of an account may use at once, by
            account, for those with a quota; an amount of 0 means no limit.
    """
    slacks_s: list[float] = []
    untimed: dict[str, model.Resources] = collections.defaultdict(
        model.Resources
    )
    on_time, late = untimed.copy(), untimed.copy()
    for job in jobs:
        works = late
        if job.slack_s is None:
            works = untimed
        elif job.slack_s >= 0:
            works = on_time
            slacks_s.append(job.slack_s)
        works[job.account] = works[job.account].plus(job.work)
    median_s = statistics.median(slacks_s) if slacks_s else MAX_DRAIN_S
    drain_s = min(max(median_s, MIN_DRAIN_S), MAX_DRAIN_S)
    return Backlog(
        _within_limits(on_time, limits, drain_s),
        _within_limits(untimed, limits, MIN_DRAIN_S),
        _within_limits(late, limits, MAX_DRAIN_S),
        drain_s,
    )


def _within_limits(
    works: abc.Mapping[str, model.Resources],
    limits: abc.Mapping[str, model.Resources],
    time_s: float,
) -> model.Resources:
    """Returns the work that quotas allow in a time."""
    total = model.Resources()
    for account, work in works.items():
        part = allowed_part(scaled(work, 0.001 / time_s), limits.get(account))
        total = total.plus(scaled(work, part))
    return total


def allowed_part(
    wanted: model.Resources, limit: model.Resources | None
) -> float:
    """Returns the part of some resources that a limit allows to use at once."""
    if limit is None:
        return 1.0
    return min(
        (
            allowed / amount
            for amount, allowed in zip(wanted, limit, strict=True)
            if allowed and amount > allowed
        ),
        default=1.0,
    )
