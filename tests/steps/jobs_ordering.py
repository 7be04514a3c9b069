"""Steps of tests/jobs/ordering.feature."""

import behave

from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import ordering

TERMS = model.JobTerms(stretch=1.5, target_ms=1000)
SIZE = model.Resources(1000, 100)


def spec_of(*steps):
    return model.JobSpec("0" * 16, "queue-1", "billing", "team-1", "x", steps)


@behave.given("a job of two steps of 1 s with a stretch of 1.5 and 1 s more")
def step(context):
    first = model.Step(2, SIZE, estimate_ms=1000)
    context.spec = spec_of(first, first._replace(depends_on=(0,)))


@behave.given("a long-running job")
def step(context):
    context.spec = spec_of(model.Step(2, SIZE, 1000, long_running=True))


@behave.when("it was accepted {age:g} s ago and {done:d} of its steps are done")
def step(context, age, done):
    context.age_s = age
    context.job = job_state.JobState(context.spec, accepted_s=100.0)
    for number in range(done):
        tasks = context.spec.steps[number].tasks
        context.job.done[0, number] = set(range(tasks))


@behave.then("a task that {state} {expected} meet the target")
def step(context, state, expected):
    found = ordering.may_meet_target(
        context.job,
        TERMS,
        100.0 + context.age_s,
        is_running=state == "runs",
    )
    assert found == (expected == "may"), (state, found)
