"""Tasks of a job that are ready to be placed on a worker."""

from collections import abc
import typing

from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import task_numbers


class ReadyTask(typing.NamedTuple):
    """A task that may be started: its step is due and its dependencies met."""

    job: job_state.JobState
    task: model.TaskKey
    step: model.Step


class ReadyStep(typing.NamedTuple):
    """A step that is due and whose dependencies are met.

    Attributes:
        job: The job.
        occurrence: Number of the occurrence, from 0.
        number: Number of the step, from 0.
        step: The step.
        tasks: Numbers of its tasks that may be started.
    """

    job: job_state.JobState
    occurrence: int
    number: int
    step: model.Step
    tasks: task_numbers.TaskNumbers

    def ready_tasks(self) -> abc.Iterator[ReadyTask]:
        """Yields the tasks that may be started."""
        for index in self.tasks:
            task = model.TaskKey(self.occurrence, self.number, index)
            yield ReadyTask(self.job, task, self.step)


def ready_steps(
    job: job_state.JobState, now_s: float, now_unix_ms: float
) -> abc.Iterator[ReadyStep]:
    """Yields the steps of a job with tasks that may be started, in order.

    Args:
        job: The job.
        now_s: Time of the owner's clock.
        now_unix_ms: Wall-clock time, for schedules.
    """
    if job.is_finished or now_s < job.recovering_until_s:
        return
    for occurrence, number, tasks in job.unblocked_tasks():
        if not is_due(job.spec, occurrence, now_unix_ms):
            continue
        if job.retry_at_s:
            tasks = tasks.copy()
            tasks -= _held_back(job, occurrence, number, now_s)
        if tasks:
            step = job.spec.steps[number]
            yield ReadyStep(job, occurrence, number, step, tasks)


def unblocked_steps(job: job_state.JobState) -> abc.Iterator[model.Step]:
    """Yields the steps with pending tasks whose dependencies are met.

    They may still have to wait for their time.
    """
    for unblocked in job.unblocked_tasks():
        yield job.spec.steps[unblocked.number]


def _held_back(
    job: job_state.JobState, occurrence: int, number: int, now_s: float
) -> task_numbers.TaskNumbers:
    """Returns the tasks of a step that failed and have to wait."""
    return task_numbers.TaskNumbers(
        task.number
        for task, retry_at_s in job.retry_at_s.items()
        if (task.occurrence, task.step) == (occurrence, number)
        and retry_at_s > now_s
    )


def is_due(spec: model.JobSpec, occurrence: int, now_unix_ms: float) -> bool:
    """Returns whether an occurrence of a job may start; always if unscheduled.

    Args:
        spec: The job.
        occurrence: Number of the occurrence, from 0.
        now_unix_ms: Wall-clock time.
    """
    schedule = spec.schedule
    if not schedule.repeats:
        return True
    due_ms = schedule.start_unix_ms + occurrence * schedule.interval_ms
    return now_unix_ms >= due_ms
