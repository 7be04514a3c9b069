"""Steps of tests/jobs/account_rates.feature."""

import itertools

import behave

from chervillead.jobs import account_rates
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import waiting_jobs

ACCOUNT = "team-1"
TERMS = model.JobTerms(stretch=1.5, target_ms=1000)


@behave.given(
    "an account with an agreed rate of {rate:g} submissions per second"
)
def step(context, rate):
    context.rate, context.now_s = rate, 100.0
    context.rates = account_rates.AccountRates()


def submit(context, times):
    context.within = 0
    for now_s in times:
        context.now_s = now_s
        has_token = context.rates.has_token(ACCOUNT, context.rate, now_s)
        assert context.rates.take(ACCOUNT, context.rate, now_s) == has_token
        context.within += has_token


@behave.when("it submits {sent:d} jobs per second for 20 s")
def step(context, sent):
    start_s = context.now_s
    submit(context, [start_s + n / sent for n in range(20 * sent)])


@behave.when("it submits {count:d} jobs at once")
def step(context, count):
    submit(context, [context.now_s] * count)


@behave.when("it submits {count:d} jobs at once 1 s later")
def step(context, count):
    submit(context, [context.now_s + 1.0] * count)


@behave.when("a new owner takes over")
def step(context):
    context.rates = account_rates.AccountRates()


@behave.then("{least:d} to {most:d} of them are within its rate")
def step(context, least, most):
    assert least <= context.within <= most, context.within


@behave.given(
    "jobs of one priority that are within the rate or beyond it, late or not"
)
def step(context):
    context.jobs = []
    # Those beyond the rate were accepted first and have the least slack.
    for is_over_rate, age_s in itertools.product((True, False), (9.0, 0.0)):
        spec = model.JobSpec(
            f"{len(context.jobs):016x}",
            "queue",
            "pool",
            ACCOUNT,
            "",
            (model.Step(1, model.Resources(1000), 1000 - 500 * is_over_rate),),
        )
        job = job_state.JobState(spec, accepted_s=100.0 - age_s)
        job.is_over_rate = is_over_rate
        context.jobs.append(job)


@behave.when("they are put into the index of waiting jobs")
def step(context):
    index = waiting_jobs.WaitingJobs()
    for order, job in enumerate(context.jobs):
        index.put(job, TERMS, order=order, now_s=100.0)
    context.placed = list(index.batch(100.0, {}))


@behave.then("all within the rate come before all beyond it")
def step(context):
    found = [job.is_over_rate for job in context.placed]
    assert found == [False, False, True, True], found


@behave.then("within each of the two, jobs that aren't late come first")
def step(context):
    found = [job.accepted_s for job in context.placed]
    assert found == [100.0, 91.0, 100.0, 91.0], found
