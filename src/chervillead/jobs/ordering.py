"""Order in which jobs get workers when a pool can't run all ready tasks.

Meant for bursts in which a queue submits five times its mean load for a few
seconds: in first-come, first-served order every job of such a burst would miss
its target. Jobs that can still meet their completion target go first, the one
with the least slack before the others; jobs that will miss it get what is left.
Jobs beyond the agreed rate of their account come after all others of their
priority.
"""

from chervillead.jobs import job_state
from chervillead.jobs import model


def step_time_s(job: job_state.JobState, number: int) -> float:
    """Returns how long a task of a step is expected to take, in seconds.

    Args:
        job: The job.
        number: Number of the step.
    """
    return job.step_times_s[number]


def critical_path_ms(job: job_state.JobState) -> float:
    """Returns the expected run time of the critical path of a job's steps."""
    ends: list[float] = []
    for number, step in enumerate(job.spec.steps):
        start = max((ends[earlier] for earlier in step.depends_on), default=0)
        ends.append(start + 1000 * step_time_s(job, number))
    return max(ends, default=0)


def remaining_critical_path_ms(job: job_state.JobState) -> float:
    """Returns the critical path of the steps that haven't completed.

    Only the first occurrence of the steps is considered.
    """
    ends: list[float] = []
    for number, step in enumerate(job.spec.steps):
        start = max((ends[earlier] for earlier in step.depends_on), default=0)
        done = job.step_is_done(0, number)
        ends.append(start + (0 if done else 1000 * step_time_s(job, number)))
    return max(ends, default=0)


def completion_target_ms(
    job: job_state.JobState, terms: model.JobTerms
) -> float:
    """Returns the time from acceptance in which a job should complete."""
    return terms.stretch * critical_path_ms(job) + terms.target_ms


def is_long_running(spec: model.JobSpec) -> bool:
    """Returns whether any step of a job has long-running tasks."""
    return any(step.long_running for step in spec.steps)


def latest_start_s(job: job_state.JobState, terms: model.JobTerms) -> float:
    """Returns the latest time to go on in order to meet the target.

    By the owner's clock. It changes only with the expected run times and the
    completed steps of the job.
    """
    key = job.revision, job.step_times_s, terms
    if job.latest_start is None or job.latest_start[0] != key:
        left_ms = completion_target_ms(job, terms)
        left_ms -= remaining_critical_path_ms(job)
        job.latest_start = key, job.accepted_s + left_ms / 1000
    return job.latest_start[1]


def may_meet_target(
    job: job_state.JobState,
    terms: model.JobTerms,
    now_s: float,
    *,
    is_running: bool,
) -> bool:
    """Returns whether a task of a job still serves its completion target.

    Args:
        job: The job.
        terms: What it is owed.
        now_s: Time of the owner's clock.
        is_running: Whether the task runs. One that waits must start early
            enough for the critical path.
    """
    if is_long_running(job.spec):
        return True
    if is_running:
        target_s = completion_target_ms(job, terms) / 1000
        return now_s <= job.accepted_s + target_s
    return now_s <= latest_start_s(job, terms)


def over_share(share_usage: float) -> float:
    """Returns by how much an account exceeds its fair share."""
    return max(0.0, share_usage - 1.0)


def sort_key(
    job: job_state.JobState,
    terms: model.JobTerms,
    *,
    now_s: float,
    share_usage: float,
) -> tuple[float, ...]:
    """Returns the sort key of a job; jobs with lower keys are placed first.

    Args:
        job: The job.
        terms: What it is owed.
        now_s: Time of the owner's clock.
        share_usage: Usage of the job's client account divided by its fair
            share.
    """
    priority = terms.priority
    if is_long_running(job.spec):
        # Long-running tasks are few, and their users notice every second of
        # an outage.
        return (-1.0, priority, 0.0, 0.0, 0.0, job.accepted_s)
    slack_s = latest_start_s(job, terms) - now_s
    is_late = slack_s < 0
    return (
        priority,
        float(job.is_over_rate),
        float(is_late),
        over_share(share_usage),
        slack_s,
    )
