"""Divides the stored progress of a job into parts of bounded size.

The tasks of a job, over all its occurrences and steps, are numbered in order. A
part holds the progress of a fixed number of consecutive ones, so neither the
size of a record nor the cost of storing one end grows with the job. A small job
has a single part.
"""

import bisect
from collections import abc
import typing

from chervillead.jobs import job_state
from chervillead.jobs import model

# Tasks of one part; with short checkpoints their progress has about 4 KB.
TASKS_PER_PART = 128


class Section(typing.NamedTuple):
    """The tasks of one step that belong to one part.

    Attributes:
        occurrence: Number of the occurrence, from 0.
        step: Number of the step, from 0.
        tasks: Numbers of the tasks.
    """

    occurrence: int
    step: int
    tasks: range


def part_of(job: job_state.JobState, task: model.TaskKey) -> int:
    """Returns the number of the part that a task belongs to."""
    index = (
        task.occurrence * job.tasks_per_occurrence
        + job.first_tasks[task.step]
        + task.number
    )
    return index // TASKS_PER_PART


def parts_of(
    job: job_state.JobState, tasks: abc.Iterable[model.TaskKey]
) -> set[int]:
    """Returns the numbers of the parts that a change of tasks concerns.

    The members of a gang end together.
    """
    parts: set[int] = set()
    for task in tasks:
        step = job.step(task)
        if step.gang:
            first = part_of(job, task._replace(number=0))
            last = part_of(job, task._replace(number=step.tasks - 1))
            parts.update(range(first, last + 1))
        else:
            parts.add(part_of(job, task))
    return parts


def begun_parts(job: job_state.JobState) -> set[int]:
    """Returns the numbers of the parts in which any task has had a run."""
    begun = {part_of(job, task) for task in job.highest_run}
    for (occurrence, step), numbers in job.done.items():
        for tasks in numbers.ranges:
            first = model.TaskKey(occurrence, step, tasks.start)
            last = model.TaskKey(occurrence, step, tasks.stop - 1)
            begun.update(range(part_of(job, first), part_of(job, last) + 1))
    return begun


def sections(job: job_state.JobState, part: int) -> abc.Iterator[Section]:
    """Yields the tasks of a part by step, in order."""
    total = job.spec.occurrences * job.tasks_per_occurrence
    index = part * TASKS_PER_PART
    end = min(total, index + TASKS_PER_PART)
    while index < end:
        occurrence, rest = divmod(index, job.tasks_per_occurrence)
        step = bisect.bisect_right(job.first_tasks, rest) - 1
        first = rest - job.first_tasks[step]
        count = min(job.spec.steps[step].tasks - first, end - index)
        yield Section(occurrence, step, range(first, first + count))
        index += count


def first_task(
    job: job_state.JobState, part: int, occurrence: int, step: int
) -> int:
    """Returns the number of the first task of a step that a part may hold.

    Only the first step of a part may have begun in the part before.
    """
    section = next(sections(job, part), None)
    if section is None or (section.occurrence, section.step) != (
        occurrence,
        step,
    ):
        return 0
    return section.tasks.start
