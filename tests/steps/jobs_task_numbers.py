"""Steps of tests/jobs/task_numbers.feature."""

import random
import tracemalloc

import behave

from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import progress_parts
from chervillead.jobs import records
from chervillead.jobs import task_numbers
from chervillead.jobs import task_runs

SEED = 20261207
SIZE = model.Resources(1000, 100)


@behave.when(
    "{count:d} random additions and removals change {tasks:d} task numbers"
)
def step(context, count, tasks):
    draw = random.Random(SEED)
    context.expected = set(range(tasks))
    context.numbers = task_numbers.TaskNumbers(range(tasks))
    context.mismatches = []
    for _ in range(count):
        number = draw.randrange(tasks + 5)
        change = draw.choice(("add", "discard"))
        getattr(context.expected, change)(number)
        getattr(context.numbers, change)(number)
        found = list(context.numbers), len(context.numbers)
        if found != (sorted(context.expected), len(context.expected)):
            context.mismatches.append(found)
        if (number in context.numbers) != (number in context.expected):
            context.mismatches.append(number)
        first = list(context.numbers.first(7))
        if first != sorted(context.expected)[:7]:
            context.mismatches.append(first)


@behave.then("the numbers are those of a set with the same changes")
def step(context):
    assert not context.mismatches, context.mismatches[0]
    again = task_numbers.TaskNumbers(context.expected)
    assert again.ranges == context.numbers.ranges, context.numbers
    assert all(
        before.stop < after.start
        for before, after in zip(again.ranges, again.ranges[1:], strict=False)
    ), again


def accepted(steps, tasks=1, occurrences=0):
    """Returns the state of a job that was just accepted."""
    spec = model.JobSpec(
        "0" * 16,
        "queue-1",
        "billing",
        "team-1",
        "x",
        tuple(
            model.Step(tasks, SIZE, depends_on=(number - 1,) if number else ())
            for number in range(steps)
        ),
        model.Schedule(occurrences, 0, 1000),
    )
    job = job_state.JobState(spec, accepted_s=0.0)
    job.unblocked_tasks()
    return job


def held_bytes(*arguments):
    """Returns the memory of an accepted job."""
    tracemalloc.start()
    try:
        job = accepted(*arguments)
        return tracemalloc.get_traced_memory()[0], job
    finally:
        tracemalloc.stop()


@behave.when(
    "a job of {tasks:d} tasks and {occurrences:d} occurrences is accepted"
)
def step(context, tasks, occurrences):
    context.held_bytes, _ = held_bytes(
        1, tasks, occurrences if occurrences > 1 else 0
    )


@behave.then("it holds at most as much as {steps:d} steps of one task")
def step(context, steps):
    allowed, _ = held_bytes(steps, 1, 0)
    assert context.held_bytes <= allowed, (context.held_bytes, allowed)


@behave.given(
    "an accepted job of {steps:d} steps with {occurrences:d} occurrences"
)
def step(context, steps, occurrences):
    context.job = accepted(steps, 1, occurrences)
    context.completed = 0


def complete(context, limit):
    """Completes ready tasks, at most `limit` of them."""
    job = context.job
    while limit and not job.is_completed:
        unblocked = job.unblocked_tasks()[0]
        task = model.TaskKey(
            unblocked.occurrence, unblocked.number, next(iter(unblocked.tasks))
        )
        run = task_runs.Run(
            job.spec.job_id, task, 1, "i-1", reserved=SIZE, started_s=0.0
        )
        job.add_run(run)
        end = task_runs.RunEnd(run.key, task_runs.EndKind.DONE)
        assert job.apply_run_end(end, 1, 0.0), task
        job.remove_run(run)
        context.completed += 1
        limit -= 1


@behave.when("its tasks complete as they become ready")
def step(context):
    complete(context, 100_000)


@behave.when("{count:d} of its tasks complete as they become ready")
def step(context, count):
    complete(context, count)


@behave.when("a new owner restores it from its records")
def step(context):
    values = {
        part: records.encode_progress(context.job, part)
        for part in progress_parts.begun_parts(context.job)
    }
    context.job = job_state.JobState(context.job.spec, accepted_s=0.0)
    parts = {
        part: records.decode_progress(context.job, value)
        for part, value in values.items()
    }
    records.apply_parts(context.job, parts, 0.0)


@behave.then("it is completed after {tasks:d} tasks")
def step(context, tasks):
    assert context.job.is_completed
    assert context.completed == tasks, context.completed
    assert not context.job.highest_run


@behave.when("all open tasks but one complete and the job is cancelled")
def step(context):
    job = context.job
    *others, context.last = [
        model.TaskKey(*key, 0) for key in job.pending_tasks
    ]
    for task in others:
        end_done(job, task)
    job.cancel(0.0)


@behave.when("the last one completes")
def step(context):
    end_done(context.job, context.last)


def end_done(job, task):
    """Applies the end of a run of a task that has completed."""
    key = task_runs.RunKey(job.spec.job_id, task, 1)
    job.apply_run_end(task_runs.RunEnd(key, task_runs.EndKind.DONE), 1, 0.0)


@behave.then("none of its tasks is pending")
def step(context):
    assert not context.job.has_pending, context.job.pending_tasks
