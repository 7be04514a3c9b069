"""Steps of tests/jobs/slow_runs.feature."""

import behave

from chervillead.jobs import model
from chervillead.jobs import slow_runs
from chervillead.jobs import task_runs


@behave.given("tasks that are expected to take {seconds:g} s")
def step(context, seconds):
    context.expected_s = seconds


def make_run(step_number, progress, seconds):
    run = task_runs.Run(
        "0" * 16,
        model.TaskKey(0, step_number, 0),
        1,
        "i-1",
        reserved=model.Resources(),
        started_s=0.0,
        phase=task_runs.RunPhase.RUNNING,
    )
    run.started_clock_ms = 500
    run.reported_ms = 500 + int(1000 * seconds)
    run.progress_percent = progress
    return run


@behave.when(
    "runs of {steps} have made {progress:d} percent of progress in "
    "{seconds:g} s"
)
def step(context, steps, progress, seconds):
    numbers = (0, 1) if steps == "two steps" else (0, 0)
    observed = [
        slow_runs.observe(
            make_run(number, progress, seconds), context.expected_s
        )
        for number in numbers
    ]
    context.observations = [one for one in observed if one is not None]


@behave.when("completed runs on their worker were {before}")
def step(context, before):
    context.found = slow_runs.is_slow(
        context.observations, was_slow=before == "slow"
    )


@behave.then("the worker is slow")
def step(context):
    assert context.found


@behave.then("the worker is usual")
def step(context):
    assert not context.found


@behave.when(
    "a run has made {progress:d} percent of progress in {seconds:g} s, its "
    "checkpoint is at {checkpoint:d} percent, and {age:g} s have passed"
)
def step(context, progress, seconds, checkpoint, age):
    run = make_run(0, progress, seconds)
    run.checkpoint_percent = checkpoint
    context.found = slow_runs.is_sooner_elsewhere(run, context.expected_s, age)


@behave.then("it completes sooner {where}")
def step(context, where):
    assert context.found == (where == "elsewhere")
