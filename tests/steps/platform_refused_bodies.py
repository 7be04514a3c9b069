"""Steps of tests/platform/refused_bodies.feature."""

import asyncio

import behave
from returns import result

from chervillead import types
from chervillead import verdicts
from chervillead.callers import request_limiter
from chervillead.entries import job_messages
from chervillead.jobs import job_api
from chervillead.platform import caller_routes
from chervillead.platform import fleet_configuration
from chervillead.pools import job_refusals
from stand_ins import platform_fleet

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
    context.status = asyncio.run(submit(context.answer, status))


async def submit(answer, status):
    """Returns the status of the response to a call with a refused body."""
    version = fleet_configuration.decode_configuration(
        platform_fleet.configuration()
    ).unwrap()

    async def call_owner(call, timeout_s):
        assert isinstance(call, job_messages.FindJob), call
        return answer

    routes = caller_routes.RoutePorts(
        jobs=job_api.JobPorts(
            configuration=lambda: version,
            is_current=lambda: True,
            configuration_age_s=lambda: 0.0,
            partitions=1,
            partition_of=lambda pool: 0,
            call_owner=call_owner,
            log=lambda message_type, **fields: None,
        ),
        clock=types.Clock(lambda: 0.0, lambda: 0.0),
        is_ready=lambda: True,
        is_stopping=lambda: False,
        observe=lambda name, seconds: None,
        increment=lambda name, *labels: None,
    )
    application = caller_routes.build_application(routes)
    await application.start()
    reservation = request_limiter.Reservation(
        request_limiter.unlimited(), "127.0.0.1", lambda refusal: None
    )
    reservation.refuse(verdicts.not_run("refused", status, retry_after_s=1.0))
    statuses = []

    async def send(message):
        if message["type"] == "http.response.start":
            statuses.append(message["status"])

    async def receive():
        return {"type": "http.request", "body": b"", "more_body": True}

    path = platform_fleet.QUEUE_PATH + JOB
    scope = {
        "type": "http",
        "http_version": "1.1",
        "method": "POST",
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"",
        "headers": [
            (b"host", platform_fleet.QUEUE_HOST.encode()),
            (b"key", platform_fleet.KEY.encode()),
        ],
        "server": ("127.0.0.1", 80),
        "client": ("127.0.0.1", 1),
        "scheme": "http",
        "state": {"chervillead.reservation": reservation},
    }
    await application(scope, receive, send)
    return statuses[0]


@behave.then("the response has the status {status:d}")
def step(context, status):
    assert context.status == status, context.status
