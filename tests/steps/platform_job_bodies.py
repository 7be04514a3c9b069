"""Steps of tests/platform/job_bodies.feature."""

import tracemalloc

import behave
import msgspec
from returns import pipeline

from chervillead.jobs import validation
from stand_ins import hostile_jobs
from stand_ins import platform_fleet


def decode_measured(body):
    """Returns the outcome, and the largest memory while a body was decoded."""
    tracemalloc.start()
    try:
        outcome = platform_fleet.decode_job(body)
        return outcome, tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@behave.when("the body is decoded")
def step(context):
    pattern = context.active_outline["pattern"]
    body = hostile_jobs.REFUSED[pattern].data
    context.decoded, context.peak_bytes = decode_measured(body)


@behave.when(
    "a body of {count:d} steps is decoded that is malformed from step "
    "{number:d} on"
)
def step(context, count, number):
    steps = [platform_fleet.step(1)] * number
    steps += [{"Count": "x"}] * (count - number)
    context.decoded = platform_fleet.decode_job(
        msgspec.json.encode({"Phases": steps})
    )


@behave.then("it is refused")
def step(context):
    assert not pipeline.is_successful(context.decoded)


@behave.then("decoding took less memory than that of the largest valid job")
def step(context):
    steps = [platform_fleet.step(1)] * validation.MAX_STEPS
    valid, allowed = decode_measured(msgspec.json.encode({"Phases": steps}))
    assert pipeline.is_successful(valid)
    assert context.peak_bytes < allowed, (context.peak_bytes, allowed)


@behave.then("it is refused because of its number of steps")
def step(context):
    detail = context.decoded.failure().detail
    assert f"more than {validation.MAX_STEPS} steps" in detail, detail
