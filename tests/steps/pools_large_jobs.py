"""Steps of tests/pools/large_jobs.feature."""

import asyncio

import behave
from returns import pipeline

from chervillead.pools import pool_partitions
from stand_ins import platform_fleet
from stand_ins import platform_scenarios

OTHER_JOB = platform_fleet.job_id(60)


@behave.when("a job of {tasks:d} tiny tasks is submitted")
def step(context, tasks):
    context.tasks = tasks
    platform_scenarios.add_action(
        context,
        platform_scenarios.submit,
        steps=[platform_fleet.step(tasks, Cpu=10, MemMb=1)],
    )


@behave.when(
    "a job of {tasks:d} tiny tasks, of which the last {last:d} run for "
    "{seconds:g} s, is submitted"
)
def step(context, tasks, last, seconds):
    context.tasks = tasks

    async def submit(fleet):
        for worker in fleet.workers.values():
            worker.work_s_by_step["1"] = seconds
        steps = [
            platform_fleet.step(count, Cpu=10, MemMb=1)
            for count in (tasks - last, last)
        ]
        return await platform_scenarios.submit(fleet, steps)

    platform_scenarios.add_action(context, submit)


@behave.when("another job is submitted and cancelled {seconds:g} s later")
def step(context, seconds):
    async def submit_and_cancel(fleet):
        await fleet.submit(OTHER_JOB, [platform_fleet.step(1)])
        await asyncio.sleep(seconds)
        began_s = asyncio.get_running_loop().time()
        context.cancelled = await fleet.cancel(OTHER_JOB)
        context.cancel_s = asyncio.get_running_loop().time() - began_s

    platform_scenarios.add_action(context, submit_and_cancel)


@behave.then("the cancel was confirmed within {seconds:g} s")
def step(context, seconds):
    platform_scenarios.run_once(context)
    assert pipeline.is_successful(context.cancelled), context.cancelled
    assert context.cancel_s <= seconds, context.cancel_s


@behave.then("the store has no record of the job")
def step(context):
    fleet = platform_scenarios.run_once(context).fleet
    keys = {
        key
        for key in fleet.store.keys(pool_partitions.JOBS_TOPIC)
        if platform_scenarios.JOB in key
    }
    assert not keys, keys


@behave.when("a job of {tasks:d} minute tasks is submitted")
def step(context, tasks):
    context.tasks = tasks
    platform_scenarios.add_action(
        context,
        platform_scenarios.submit,
        steps=[platform_fleet.step(tasks, Cpu=1, MemMb=1)],
    )


@behave.when("another job is submitted")
def step(context):
    async def submit(fleet):
        context.submitted_s = asyncio.get_running_loop().time()
        await fleet.submit(OTHER_JOB, [platform_fleet.step(1)])

    platform_scenarios.add_action(context, submit)


@behave.then("the other job began within {seconds:g} s")
def step(context, seconds):
    runs = platform_scenarios.run_once(context).fleet.runs(OTHER_JOB)
    assert runs, "it never began"
    waited_s = runs[0].began_s - context.submitted_s
    assert waited_s <= seconds, waited_s
