"""Which job goes first when a pool can't run all that is ready.

Answers the pattern of a queue that asks five times its mean for some seconds:
first come, first served would finish every job of the burst too late. Jobs that
can still meet their target go first, the one with the least time left before
the others; jobs that can't any more use what is left.
"""

from chervillead.jobs import job_state
from chervillead.jobs import model


def critical_path_ms(spec: model.JobSpec) -> int:
    """Returns the longest chain of estimated run times of a job's steps."""
    ends: list[int] = []
    for step in spec.steps:
        begin = max((ends[number] for number in step.depends_on), default=0)
        ends.append(begin + step.estimate_ms)
    return max(ends, default=0)


def remaining_critical_path_ms(job: job_state.JobState) -> int:
    """Returns the longest chain of the steps that aren't done."""
    ends: list[int] = []
    for number, step in enumerate(job.spec.steps):
        begin = max((ends[earlier] for earlier in step.depends_on), default=0)
        done = job.step_is_done(0, number)
        ends.append(begin + (0 if done else step.estimate_ms))
    return max(ends, default=0)


def completion_target_ms(
    spec: model.JobSpec, queue: model.Queue | None
) -> float:
    """Returns the time in which a job should be done."""
    if queue is None:
        return float(critical_path_ms(spec))
    return queue.stretch * critical_path_ms(spec) + queue.target_ms


def sort_key(
    job: job_state.JobState,
    queue: model.Queue | None,
    *,
    now_s: float,
    share_usage: float,
) -> tuple[float, ...]:
    """Returns the place of a job in the order of starts, lowest first.

    Args:
        job: The job.
        queue: Its queue, if the configuration still has it.
        now_s: Time of the owner's clock.
        share_usage: What the job's account has running beyond its share, as
            a factor of the share.
    """
    priority = queue.priority if queue is not None else 0
    long_running = any(step.long_running for step in job.spec.steps)
    if long_running:
        # Lasting tasks are few, and their users notice each second without.
        return (-1.0, priority, 0.0, 0.0, job.accepted_s)
    waited_ms = 1000 * (now_s - job.accepted_s)
    left_ms = completion_target_ms(job.spec, queue) - waited_ms
    slack_ms = left_ms - remaining_critical_path_ms(job)
    is_late = slack_ms < 0
    over_share = max(0.0, share_usage - 1.0)
    return (priority, float(is_late), over_share, slack_ms)
