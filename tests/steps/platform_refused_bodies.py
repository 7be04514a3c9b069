"""Steps of tests/platform/refused_bodies.feature."""

import asyncio

import behave
from returns import result

from chervillead import verdicts
from chervillead.entries import job_messages
from chervillead.pools import job_refusals
from stand_ins import platform_fleet
from stand_ins import route_caller

JOB = platform_fleet.job_id(1)
ANSWERS = {
    "knows the job": result.Success(
        job_messages.JobReply("ran", phase="queued", account="team-1")
    ),
    "doesn't know the job": result.Failure(job_refusals.unknown_job(JOB)),
    "is storing the job": result.Failure(job_refusals.being_stored(JOB)),
    "gives no answer": result.Failure(
        verdicts.may_have_run("owner-silent", 504)
    ),
}


@behave.given("the owner of the queue {answer}")
def step(context, answer):
    context.answer = ANSWERS[answer]


@behave.when("the body of a submission is refused with {status:d}")
def step(context, status):
    refusal = verdicts.not_run("refused", status, retry_after_s=1.0)
    context.status = asyncio.run(
        route_caller.call_unread(context.answer, refusal=refusal)
    ).status


@behave.then("the response has the status {status:d}")
def step(context, status):
    assert context.status == status, context.status
