"""Work of unfinished jobs, and what the cores of a pool can do in a time."""

import typing

from chervillead.jobs import job_state
from chervillead.jobs import ordering


class StepWork(typing.NamedTuple):
    """Tasks of one step that wait, or that other steps block.

    Attributes:
        latest_start_s: Latest time to start them in order to meet the target.
        work: Their work, in millicore-seconds.
    """

    latest_start_s: float
    work: float


class Work(typing.NamedTuple):
    """Work of a job, in millicore-seconds, and when it must go on.

    Attributes:
        latest_start_s: Latest time to go on in order to meet the target.
        total: Work of all its tasks.
        pending: Work of all tasks that wait, or that other steps block.
        steps: The same for each step.
        running: What is left of its running tasks, half of them on average.
        running_millicores: What these use.
    """

    latest_start_s: float
    total: float
    pending: float
    steps: tuple[StepWork, ...]
    running: float
    running_millicores: int


class Group(typing.NamedTuple):
    """Jobs that go before those of all greater groups."""

    priority: int
    is_over_rate: bool


class Candidate(typing.NamedTuple):
    """An unfinished job; those with the least slack come first.

    Attributes:
        latest_start_s: Latest time to go on in order to meet the target.
        order: Number of the job in the order in which jobs became known.
        job: The job.
        queue: Address of its queue.
        group: Its group.
        work: Its work.
        target_s: Its completion target, from acceptance; 0 if it has none.
    """

    latest_start_s: float
    order: int
    job: job_state.JobState
    queue: str
    group: Group
    work: Work
    target_s: float

    @property
    def is_begun(self) -> bool:
        """Whether at least half of its work is done or running.

        Keeping a job in the set from its first task on takes the room of
        jobs with more worth for their work.
        """
        return self.work.pending <= self.work.total / 2


class Load(typing.NamedTuple):
    """What a pool's cores are busy with.

    Attributes:
        millicores: Millicores of the hosts that tasks fill, without those of
            long-running tasks.
        running: Work left of the running tasks, in millicore-seconds.
        running_millicores: Millicores that these use.
    """

    millicores: float
    running: float
    running_millicores: float

    def available(self, seconds: float) -> float:
        """Returns the work that can be done within a time from now.

        The running tasks free their cores evenly until all have ended.
        """
        if seconds <= 0:
            return 0.0
        ends_s = 2 * self.running / max(1.0, self.running_millicores)
        if seconds >= ends_s:
            return self.millicores * seconds - self.running
        free = max(0.0, self.millicores - self.running_millicores)
        freed = self.running_millicores * seconds / ends_s
        return (free + freed / 2) * seconds


def work_of(job: job_state.JobState, target_s: float) -> Work:
    """Returns the work of a job; tasks that aren't due yet have none.

    Args:
        job: The job.
        target_s: Its completion target, from acceptance.
    """
    ends_s = job.accepted_s + target_s
    starts_s = [ends_s - tail_s for tail_s in _tails_s(job)]
    latest_start_s = ends_s
    total = running = 0.0
    running_millicores = 0
    steps = []
    for (occurrence, number), waiting in job.pending_tasks.items():
        step = job.spec.steps[number]
        of_task = step.reserved.millicores * ordering.step_time_s(job, number)
        done = len(job.done.get((occurrence, number), ()))
        active = max(0, step.tasks - done - len(waiting))
        total += step.tasks * of_task
        running += active * of_task / 2
        running_millicores += active * step.reserved.millicores
        if done < step.tasks:
            latest_start_s = min(latest_start_s, starts_s[number])
        if waiting and not job.spec.schedule.repeats:
            steps.append(StepWork(starts_s[number], len(waiting) * of_task))
    pending = sum(step.work for step in steps)
    return Work(
        latest_start_s,
        total,
        pending,
        tuple(steps),
        running,
        running_millicores,
    )


def _tails_s(job: job_state.JobState) -> list[float]:
    """Returns the time from the start of each step to the end of the job."""
    numbers = range(len(job.spec.steps))
    after_s = [0.0] * len(numbers)
    for number in reversed(numbers):
        after_s[number] += ordering.step_time_s(job, number)
        for earlier in job.spec.steps[number].depends_on:
            after_s[earlier] = max(after_s[earlier], after_s[number])
    return after_s
