"""Steps of tests/jobs/worker_health.feature."""

import behave

from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import worker_health


@behave.given("a worker on which tasks of 2 jobs have just failed")
def step(context):
    context.health = worker_health.WorkerHealth()
    context.health.record_failure(0.0)
    context.health.record_failure(0.0)


@behave.then("the worker is not schedulable")
def step(context):
    assert not context.health.is_schedulable(0.1, is_busy=False)


@behave.then("after 2 s the worker is schedulable only while it is idle")
def step(context):
    assert context.health.is_schedulable(2.0, is_busy=False)
    assert not context.health.is_schedulable(2.0, is_busy=True)


@behave.when("a task on it completes")
def step(context):
    context.health.record_success(None)


@behave.then("the worker is schedulable")
def step(context):
    assert context.health.is_schedulable(0.1, is_busy=True)


@behave.given("a job whose tasks fail on every worker")
def step(context):
    spec = model.JobSpec(
        "0" * 16, "queue", "pool", "", "", (model.Step(1, model.Resources()),)
    )
    job = job_state.JobState(spec, accepted_s=0.0)
    task = model.TaskKey(0, 0, 0)
    context.counted = [
        job.add_failed_worker(task, f"i-{number}") for number in range(3)
    ]


@behave.then("the failure counts only against the first worker")
def step(context):
    assert context.counted == [True, False, False]


@behave.given("a worker whose tasks take {factor:g} times the usual duration")
def step(context, factor):
    context.health = worker_health.WorkerHealth()
    for _ in range(3):
        context.health.record_success(factor)


@behave.then("its penalty is {penalty}")
def step(context, penalty):
    assert (context.health.penalty > 0) == (penalty == "positive")


@behave.when("the progress of a run last changed {seconds:g} s ago")
def step(context, seconds):
    context.stalled = worker_health.is_stalled(0, int(1000 * seconds))


@behave.then("the run is considered {state}")
def step(context, state):
    assert context.stalled == (state == "stalled")
