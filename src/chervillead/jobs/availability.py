"""Availability budgets: whether a long-running task may be stopped.

A step may allow only so many of its tasks to be unavailable at once. A task
whose state its owner can't be sure of counts as unavailable.
"""

from collections import abc
import typing

from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import task_runs

# Busy workers are polled once a second; one that has not answered for this long
# may have crashed.
CONTACT_TIMEOUT_S = 1.5

# Returns how long ago a worker answered last, in seconds; infinite if it never
# has.
ContactAge = abc.Callable[[str], float]


class Disruption(typing.NamedTuple):
    """What stopping a task would mean for its step.

    Attributes:
        unavailable: Other tasks of the step that count as unavailable.
        allowed: Maximum tasks that may be unavailable; None if the step has no
            availability budget.
        knowledge_age_s: Age of the oldest answer by which a task counts as
            available, in seconds.
    """

    unavailable: int
    allowed: int | None
    knowledge_age_s: float

    @property
    def is_allowed(self) -> bool:
        """Whether the task may be stopped."""
        return self.allowed is None or self.unavailable < self.allowed


def is_available(run: task_runs.Run) -> bool:
    """Returns whether a run of a long-running task is fully available.

    It is once it reports a progress of 100 percent and isn't paced. A run that
    a previous owner may have stopped is reported until its worker has ended it.
    """
    return (
        run.phase is task_runs.RunPhase.RUNNING
        and not run.stop_requested
        and run.reported_ms >= run.may_be_stopping_until_ms
        and run.progress_percent >= 100
        and run.pace_percent == 100
    )


def assess_disruption(
    job: job_state.JobState, task: model.TaskKey, contact_age_s: ContactAge
) -> Disruption:
    """Returns what stopping a long-running task would mean for its step.

    Args:
        job: The job.
        task: The task to stop.
        contact_age_s: Age of the last answer of a worker; one that hasn't
            answered recently may have crashed.
    """
    step = job.step(task)
    ages_s = [
        _availability_age_s(job, task._replace(number=number), contact_age_s)
        for number in range(step.tasks)
        if number != task.number
    ]
    known_ages_s = [age_s for age_s in ages_s if age_s is not None]
    return Disruption(
        len(ages_s) - len(known_ages_s),
        step.max_unavailable,
        max(known_ages_s, default=0.0),
    )


def _availability_age_s(
    job: job_state.JobState, task: model.TaskKey, contact_age_s: ContactAge
) -> float | None:
    """Returns the age of the answer by which a task counts as available.

    Returns:
        The age in seconds, or None if the task counts as unavailable.
    """
    return min(
        (
            age_s
            for run in job.runs.get(task, ())
            if is_available(run)
            for age_s in (contact_age_s(run.worker_id),)
            if age_s < CONTACT_TIMEOUT_S
        ),
        default=None,
    )
