"""Steps of tests/pools/isolation.feature."""

import asyncio

import behave

from stand_ins import platform_fleet
from stand_ins import platform_scenarios

FIRST_LIKE_IT = 200
FIRST_AFTERWARDS = 300


@behave.given("a job of {tasks:d} tasks that run for {seconds:g} s")
def step(context, tasks, seconds):
    context.expected, context.work_s = tasks, seconds
    platform_scenarios.add_action(
        context, platform_scenarios.submit, steps=[platform_fleet.step(tasks)]
    )


@behave.given("{count:d} more jobs of 1 task like it")
def step(context, count):
    context.expected += count

    async def submit(fleet):
        for number in range(count):
            job_id = platform_fleet.job_id(FIRST_LIKE_IT + number)
            await fleet.submit(job_id, [platform_fleet.step(1)])

    platform_scenarios.add_action(context, submit)


def running(fleet):
    """Returns the number of running tasks."""
    return sum(len(worker.running()) for worker in fleet.workers.values())


@behave.when(
    "the workers with most tasks crash {times:d} times, {count:d} at once and "
    "{age:g} s after all tasks began"
)
def step(context, times, count, age):
    async def crash(fleet):
        for _ in range(times):
            await platform_scenarios.wait_until(
                lambda: running(fleet) >= context.expected
            )
            await asyncio.sleep(age)
            for worker in sorted(
                fleet.workers.values(), key=lambda w: -len(w.running())
            )[:count]:
                worker.crash()
            await asyncio.sleep(0.1)
        context.last_crash_s = asyncio.get_running_loop().time()

    platform_scenarios.add_action(context, crash)


@behave.when(
    "{count:d} other jobs are submitted while all tasks of the first one wait "
    "or run"
)
def step(context, count):
    context.submitted_s = {}

    async def submit(fleet):
        # The crashed workers are back, and counted as crashed.
        await asyncio.sleep(6)
        for number in range(FIRST_AFTERWARDS, FIRST_AFTERWARDS + count):
            job_id = platform_fleet.job_id(number)
            await fleet.submit(job_id, [platform_fleet.step(1)])
            now_s = asyncio.get_running_loop().time()
            context.submitted_s[job_id] = now_s

    platform_scenarios.add_action(context, submit)


@behave.then("each of the other jobs began within {seconds:g} s")
def step(context, seconds):
    fleet = platform_scenarios.run_once(context).fleet
    for job_id, submitted_s in context.submitted_s.items():
        runs = fleet.runs(job_id)
        assert runs, f"{job_id} never began"
        assert runs[0].began_s - submitted_s <= seconds, (job_id, runs[0])


@behave.then(
    "at least {count:d} tasks of the first job ran within {seconds:g} s of the "
    "last crash"
)
def step(context, count, seconds):
    at_s = context.last_crash_s + seconds
    running_then = {
        run.task
        for run in platform_scenarios.run_once(context).runs
        if run.began_s <= at_s < run.ended_s
    }
    assert len(running_then) >= count, sorted(running_then)


@behave.then("the log tells how many workers were kept")
def step(context):
    fleet = platform_scenarios.run_once(context).fleet
    lines = [
        line
        for line in fleet.logs
        if line["message_type"] == "run:suspect-started"
    ]
    assert lines
    for line in lines:
        assert line["kept"] <= line["limit"], line
        assert line["crashes"] >= 1, line
