"""Steps of tests/jobs/availability.feature."""

import behave

from chervillead.jobs import availability
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import task_runs


def long_running_run(number, progress):
    run = task_runs.Run(
        "0" * 16,
        model.TaskKey(0, 0, number),
        1,
        f"i-{number}",
        reserved=model.Resources(),
        started_s=0.0,
        phase=task_runs.RunPhase.RUNNING,
    )
    run.progress_percent = progress
    return run


@behave.given(
    "a long-running step of {tasks:d} tasks with at most {budget} unavailable"
)
def step(context, tasks, budget):
    found = model.Step(
        tasks,
        model.Resources(1000),
        long_running=True,
        max_unavailable=None if budget == "none" else int(budget),
    )
    spec = model.JobSpec("0" * 16, "queue", "pool", "", "", (found,))
    context.job = job_state.JobState(spec, accepted_s=0.0)
    context.silent = set()
    for number in range(tasks):
        context.job.add_run(long_running_run(number, 100))


@behave.given("task 1 is {state}")
def step(context, state):
    (run,) = context.job.runs[model.TaskKey(0, 0, 1)]
    if state == "not running":
        context.job.remove_run(run)
    if state == "starting":
        run.progress_percent = 0
    if state == "found by a new owner":
        run.may_be_stopping_until_ms = run.reported_ms + 1
    if state == "on a silent worker":
        context.silent.add(run.worker_id)


@behave.when("task 0 is to be stopped for maintenance")
def step(context):
    context.disruption = availability.assess_disruption(
        context.job,
        model.TaskKey(0, 0, 0),
        lambda worker_id: 9.0 if worker_id in context.silent else 0.1,
    )


@behave.then("stopping it is {verdict}")
def step(context, verdict):
    assert context.disruption.is_allowed == (verdict == "allowed"), (
        context.disruption
    )
