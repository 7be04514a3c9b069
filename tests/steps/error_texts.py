"""Steps of tests/error_texts.feature."""

import asyncio
import os
import tracemalloc

import behave
import msgspec
from returns import pipeline
from returns import result

from chervillead import bounded_logs
from chervillead import client
from chervillead import error_texts
from chervillead import http_exchange
from chervillead import verdicts
from chervillead.entries import codec
from chervillead.entries import job_messages
from chervillead.fleet import configuration
from chervillead.fleet import fold
from chervillead.fleet import log_client
from chervillead.fleet import records as fleet_records
from chervillead.jobs import job_api
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import partition_records
from chervillead.jobs import records
from chervillead.operators import burn_records
from chervillead.platform import advice_client
from chervillead.platform import fleet_configuration
from chervillead.platform import host_client
from chervillead.platform import registrations
from chervillead.platform import store_responses
from chervillead.platform import worker_responses
from chervillead.pools import job_refusals
from stand_ins import platform_fleet
from stand_ins import route_caller

LONG = "x" * 100_000
LONG_LIST = [0] * 50_000
JOB = model.JobSpec(
    "0" * 16,
    "queue-1",
    "billing",
    "team-1",
    "x",
    (model.Step(1, model.Resources()),),
)
WORKER = {
    "Service": "billing",
    "Address": "10.0.0.1:80",
    "Zone": "zone-a",
    "State": "ready",
    "Labels": [],
    "Capacity": {},
}


def variants(fields):
    """Yields encoded objects in which one field each has a long value."""
    for name in fields:
        for value in (LONG, LONG_LIST, {LONG: LONG}):
            yield msgspec.json.encode(fields | {name: value})
    yield msgspec.json.encode(LONG)
    yield msgspec.json.encode(LONG_LIST)


def failures(decode, bodies):
    """Yields the error texts of the bodies that a decoder refuses."""
    for body in bodies:
        outcome = decode(body)
        if not pipeline.is_successful(outcome):
            error = outcome.failure()
            yield error if isinstance(error, str) else error.detail


def raised(decode, bodies):
    """Yields the texts of the errors that a decoder raises."""
    for body in bodies:
        try:
            decode(body)
        except (records.MalformedRecordError, codec.MalformedFrameError) as e:
            yield str(e)


def job_errors():
    step = platform_fleet.step(1, Gang=True, Image="a", After=[])
    yield from failures(
        platform_fleet.decode_job, variants({"Spec": "x", "Phases": [step]})
    )
    for body in variants(step):
        yield from failures(
            platform_fleet.decode_job, [b'{"Phases":[' + body + b"]}"]
        )
    # What the numbers of steps and dependencies are isn't known beforehand.
    many = {"Phases": [step | {"After": list(range(20_000))}]}
    yield from failures(platform_fleet.decode_job, [msgspec.json.encode(many)])


def worker_status_errors():
    rows = (
        [LONG, 1, "", 0],
        ["0.0.0.0", LONG, "", 0],
        ["0.0.0.0", 1, 1, 0],
        ["0.0.0.0", 1, "", LONG],
        [f"0.{LONG}.0.0", 1, "", 0],
    )
    ends = ([1, "0.0.0.0", 1, LONG, ""], [LONG, "0.0.0.0", 1, "done", ""])
    bodies = [
        *(msgspec.json.encode({"ClockMs": 1, "Running": [r]}) for r in rows),
        *(msgspec.json.encode({"ClockMs": 1, "Ended": [r]}) for r in ends),
        *variants({"ClockMs": 1, "Running": [], "Ended": []}),
    ]
    yield from failures(worker_responses.decode_status, bodies)


def registration_errors():
    yield from failures(
        lambda body: registrations.decode_registration("i-1", body),
        variants(WORKER),
    )


def configuration_errors():
    fields = msgspec.json.decode(platform_fleet.configuration())
    route = fields["Routes"][0]
    bodies = [
        *variants(fields),
        *(
            msgspec.json.encode(fields | {"Routes": [msgspec.json.decode(r)]})
            for r in variants(route)
        ),
    ]
    yield from failures(fleet_configuration.decode_configuration, bodies)


def operator_record_errors():
    """Yields what the fold of an operators' log says of long values."""
    encoded = [
        fleet_records.encode_record(record)
        for record in (
            fleet_records.Record(LONG, LONG, LONG, 0, {}),
            fleet_records.Record("r", "pool", LONG, 7, {}),
            *(
                fleet_records.Record("r", kind, LONG, -1, fields)
                for kind in sorted(fleet_records.KINDS)
                for fields in ({LONG: 1}, {"pool": LONG, "zone": LONG})
            ),
        )
    ]
    malformed = [msgspec.msgpack.encode({"record_id": LONG, "kind": [LONG]})]
    yield from failures(fleet_records.decode_record, malformed)
    for data in encoded:
        record = fleet_records.decode_record(data).unwrap()
        yield fold.check_record(configuration.EMPTY, record).detail


def store_failures():
    for status in (400, 409, 410, 500):
        for reason in (LONG, "fenced"):
            body = msgspec.json.encode({"Reason": reason, "Detail": LONG})
            response = http_exchange.HttpResponse(status, {}, body, True)
            yield store_responses.decode_failure("/log-append", response).detail


def spec_errors():
    # An enumeration, or a length, isn't part of a spec; its types are.
    fields = msgspec.msgpack.decode(records.encode_spec(JOB))
    bodies = [
        msgspec.msgpack.encode([*fields[:n], value, *fields[n + 1 :]])
        for n in range(len(fields))
        for value in (LONG, LONG_LIST)
    ]
    yield from raised(records.decode_spec, bodies)


def progress_errors():
    job = job_state.JobState(JOB, accepted_s=0.0)
    progress = records.Progress(
        (records.StepProgress(0, 7, LONG.encode()),), (), False, False
    )
    task = records.TaskProgress(model.TaskKey(0, 7, 0), (), 1, LONG)
    bodies = [
        msgspec.msgpack.encode(progress),
        msgspec.msgpack.encode(progress._replace(steps=(), tasks=(task,))),
        msgspec.msgpack.encode(LONG),
    ]
    yield from raised(
        lambda body: records.apply_progress(job, body, 0.0), bodies
    )


def frame_errors():
    bodies = [
        msgspec.msgpack.encode(value)
        for value in (LONG, (1, 1, LONG, {}), (1, LONG, "x", {}))
    ]
    yield from raised(codec.decode_payload, bodies)


def peer_refusals():
    async def call_owner(call, timeout_s):
        del call, timeout_s
        return result.Success(
            job_messages.JobReply(
                status=503, verdict="not-run", reason="full", detail=LONG
            )
        )

    ports = route_caller.job_ports(call_owner)
    outcome = asyncio.run(job_api.submit(ports, JOB, 1.0))
    yield outcome.failure().detail


def problems():
    fields = {"verdict": "not-run", "reason": "full", "detail": LONG}
    for changed in ({}, {"verdict": LONG}, {"reason": LONG_LIST}):
        body = msgspec.json.encode(fields | changed)
        response = http_exchange.HttpResponse(503, {}, body, True)
        yield client._read_problem(response).detail


def log_service_errors():
    long_state = msgspec.json.encode({"state": LONG})
    yield from failures(log_client._decode_reboot, [long_state])
    yield from failures(log_client._decode_append, variants({"offset": 0}))
    yield from failures(log_client._decode_hosts, variants({"name": 0}))
    yield from failures(log_client._decode_page, [msgspec.msgpack.encode(LONG)])


SOURCES = {
    "a caller with a job": job_errors,
    "a worker with its status": worker_status_errors,
    "a worker with its reply": lambda: failures(
        worker_responses.decode_reply, variants({"ClockMs": 1, "Reason": "x"})
    ),
    "a worker with its registration": registration_errors,
    "an operator with a configuration": configuration_errors,
    "an operator with a wave": lambda: failures(
        lambda body: fleet_configuration.decode_wave(body, 0.0),
        variants({"Wave": 1, "Machines": [], "DurationS": 1, "Cap": 1}),
    ),
    "an operator with a record": operator_record_errors,
    "an operator with a burn record": lambda: failures(
        burn_records.decode_period,
        [fleet_records.Record(LONG, "burn", "x", 0, {"zone": LONG_LIST})],
    ),
    "the advisory service": lambda: failures(
        advice_client.decode_advice, variants({"Good": [], "ValidMs": 1})
    ),
    "the hosts service": lambda: failures(
        host_client.decode_page, variants({"Machines": []})
    ),
    "the store with a page of records": lambda: failures(
        store_responses.decode_latest,
        [
            *variants({"items": [], "HasMore": False, "End": 0}),
            msgspec.json.encode(
                {
                    "items": [{"Key": "a", "Offset": 0, "Value": LONG + "!"}],
                    "HasMore": False,
                    "End": 0,
                }
            ),
        ],
    ),
    "the store with a membership": lambda: failures(
        store_responses.decode_membership,
        variants({"Generation": 1, "parts": []}),
    ),
    "the store with a failure": store_failures,
    "the store with a job's spec": spec_errors,
    "the store with a job's progress": progress_errors,
    "the store with a job's terms": lambda: raised(
        records.decode_terms,
        [msgspec.msgpack.encode(value) for value in (LONG, [LONG])],
    ),
    "the store with a partition record": lambda: raised(
        lambda body: partition_records.decode(
            partition_records.QuotaShare, body
        ),
        [msgspec.msgpack.encode(value) for value in (LONG, [LONG, LONG])],
    ),
    "another host with a frame": frame_errors,
    "another host with a refusal": peer_refusals,
    "an entry host with a problem": problems,
    "the log service with its replies": log_service_errors,
}


@behave.when("{source} sends long values where others are expected")
def step(context, source):
    context.errors = list(SOURCES[source]())


@behave.then("each error is a text of at most {count:d} characters")
def step(context, count):
    assert context.errors
    for error in context.errors:
        assert len(error) <= count, (len(error), error[:200])


@behave.when("a caller sends a path of {count:d} characters")
def step(context, count):
    unknown = result.Failure(job_refusals.unknown_job("1"))
    context.texts = []
    for path, host in (
        ("/jobs/" + "x" * count, platform_fleet.QUEUE_HOST),
        ("/unknown/" + "x" * count, "unknown.example"),
    ):
        response = asyncio.run(
            route_caller.call_unread(unknown, path=path, host=host)
        )
        context.texts += [response.body, *map(str, response.lines)]


@behave.then("the response and each log line have at most {count:d} characters")
def step(context, count):
    assert len(context.texts) == 4, context.texts
    for text in context.texts:
        assert 0 < len(text) <= count, len(text)


@behave.when("a line with a field of {count:d} characters is logged")
def step(context, count):
    reading, writing = os.pipe()
    # The line is lost, not waited for, if it exceeds what the pipe takes.
    os.set_blocking(writing, False)
    log = bounded_logs.BoundedLog(writing)
    log({"message_type": "test", "detail": "x" * count, "items": ["y" * count]})
    os.close(writing)
    with os.fdopen(reading, "rb") as written:
        context.line = written.read()


@behave.then("the line has at most {count:d} characters")
def step(context, count):
    assert context.line.endswith(b"\n")
    assert len(context.line) <= count, len(context.line)


@behave.when("the error text of a list of {count:d} numbers is made")
def step(context, count):
    numbers = [0] * count
    tracemalloc.start()
    verdicts.not_run("test", 400, error_texts.shorten(numbers))
    context.built = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()


@behave.then("less than {count:d} bytes were built")
def step(context, count):
    assert context.built < count, context.built
