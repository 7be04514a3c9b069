"""Steps of tests/platform/processes.feature."""

import asyncio
import pathlib
import tempfile

import behave

from stand_ins import local_platform


@behave.when("three entry hosts on the platform run a job of two steps")
def step(context):
    with tempfile.TemporaryDirectory() as folder:
        context.outcome = asyncio.run(
            local_platform.run_once(pathlib.Path(folder))
        )


@behave.then("the job is completed in {runs:d} runs")
def step(context, runs):
    assert context.outcome.phase == "completed", context.outcome
    assert context.outcome.runs == runs, context.outcome


@behave.then(
    "each host used less than {seconds:d} s of CPU time and {memory:d} MB "
    "to start"
)
def step(context, seconds, memory):
    for usage in context.outcome.start_usages:
        assert usage.cpu_s < seconds, usage
        assert usage.memory_mb < memory, usage


@behave.then("every process exited with status {status:d}")
def step(context, status):
    assert set(context.outcome.exit_codes) == {status}, context.outcome
