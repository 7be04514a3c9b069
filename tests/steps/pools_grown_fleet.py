"""Steps of tests/pools/grown_fleet.feature."""

import asyncio

import behave
from returns import pipeline

from chervillead import verdicts
from stand_ins import platform_fleet
from stand_ins import platform_scenarios

# Numbers of the first of these jobs, apart from the scenario's own one.
FIRST_JOB = 100


async def submit_all(context, fleet, numbers, steps, pause_s=0.0):
    """Submits jobs, and keeps the outcome of each by its id."""

    async def submit(job_id):
        context.outcome_of_job[job_id] = await fleet.submit(job_id, steps)

    context.outcome_of_job = {}
    async with asyncio.TaskGroup() as group:
        for number in numbers:
            group.create_task(submit(platform_fleet.job_id(number)))
            await asyncio.sleep(pause_s)


async def read_phases(context, fleet):
    """Keeps the phase of each accepted job at the end of the scenario."""
    context.phase_of_job = {
        job_id: await fleet.phase(job_id)
        for job_id, outcome in context.outcome_of_job.items()
        if pipeline.is_successful(outcome)
    }


@behave.when(
    "the first {count:d} workers answer nothing for {down:g} s, {times:d} "
    "times, {up:g} s apart"
)
def step(context, count, down, times, up):
    async def fall_silent(worker):
        for _ in range(times):
            await asyncio.sleep(up)
            worker.silent = True
            await asyncio.sleep(down)
            worker.silent = False

    async def begin(fleet):
        workers = list(fleet.workers.values())[:count]
        context.silences = [
            asyncio.create_task(fall_silent(w)) for w in workers
        ]

    platform_scenarios.add_action(context, begin)


@behave.when("{count:d} configurations are published {seconds:g} s apart")
def step(context, count, seconds):
    async def publish_in_turn(fleet):
        for version in range(2, 2 + count):
            fleet.store.put(
                "keyed.op", "config", platform_fleet.configuration(version)
            )
            await asyncio.sleep(seconds)

    async def begin(fleet):
        context.publication = asyncio.create_task(publish_in_turn(fleet))

    context.last_version = 1 + count
    platform_scenarios.add_action(context, begin)


@behave.when("{count:d} jobs are submitted while they are")
def step(context, count):
    async def submit_meanwhile(fleet):
        numbers = range(FIRST_JOB, FIRST_JOB + count)
        await submit_all(
            context, fleet, numbers, [platform_fleet.step(1)], pause_s=0.1
        )
        await context.publication
        published_s = asyncio.get_running_loop().time()
        while any(
            host.fleet_view.configuration.version < context.last_version
            for host in fleet.hosts.values()
        ):
            await asyncio.sleep(0.01)
        context.spread_s = asyncio.get_running_loop().time() - published_s
        await asyncio.sleep(5)
        await read_phases(context, fleet)

    platform_scenarios.add_action(context, submit_meanwhile)


@behave.when(
    "{count:d} jobs of {tasks:d} tasks with data in rack {rack} are submitted "
    "at once"
)
def step(context, count, tasks, rack):
    begin_burst(context, count, platform_fleet.step(tasks, Affinity=rack))


@behave.when(
    "{count:d} jobs of {tasks:d} tasks that require label {label} are "
    "submitted at once"
)
def step(context, count, tasks, label):
    begin_burst(context, count, platform_fleet.step(tasks, Requirements=label))


@behave.when("{count:d} jobs of {tasks:d} tasks are submitted at once")
def step(context, count, tasks):
    begin_burst(context, count, platform_fleet.step(tasks))


def begin_burst(context, count, fields):
    """Submits jobs of one step, whose phases are read at the end."""

    async def submit_burst(fleet):
        numbers = range(FIRST_JOB, FIRST_JOB + count)
        await submit_all(context, fleet, numbers, [fields])

    async def read(fleet):
        await read_phases(context, fleet)

    platform_scenarios.add_action(context, submit_burst)
    context.last_action = read


@behave.then("each host had the last configuration within {seconds:g} s")
def step(context, seconds):
    platform_scenarios.run_once(context)
    assert context.spread_s <= seconds, context.spread_s


@behave.then("every job was accepted and completed")
def step(context):
    platform_scenarios.run_once(context)
    refused = [
        outcome.failure()
        for outcome in context.outcome_of_job.values()
        if not pipeline.is_successful(outcome)
    ]
    assert not refused, refused
    phases = context.phase_of_job
    assert set(phases.values()) == {"completed"}, phases


@behave.then("every job was completed, or refused as not run")
def step(context):
    platform_scenarios.run_once(context)
    for outcome in context.outcome_of_job.values():
        if not pipeline.is_successful(outcome):
            refusal = outcome.failure()
            assert refusal.verdict is verdicts.Verdict.NOT_RUN, refusal
    phases = context.phase_of_job
    assert set(phases.values()) == {"completed"}, phases


@behave.when(
    "all open connections {are_lost}, {times:d} times, {seconds:g} s apart"
)
def step(context, are_lost, times, seconds):
    async def lose_in_turn(fleet):
        network = fleet.network
        lose = {
            "are reset": network.reset_place,
            "fall silent": network.silence_place,
        }[are_lost]
        for _ in range(times):
            await asyncio.sleep(seconds)
            for place in fleet.hosts:
                lose(place)

    async def begin(fleet):
        context.losses = asyncio.create_task(lose_in_turn(fleet))

    platform_scenarios.add_action(context, begin)


@behave.when(
    "the owner and another host can't reach each other for {seconds:d} s"
)
def step(context, seconds):
    async def cut(fleet):
        await asyncio.sleep(0.5)
        fleet.network.cut([fleet.owner_host()], [fleet.other_host()])
        await asyncio.sleep(seconds)
        fleet.network.heal()

    platform_scenarios.add_action(context, cut)


@behave.when("a worker leaves")
def step(context):
    async def leave(fleet):
        name, worker = next(iter(fleet.workers.items()))
        fleet.unlisted.add(worker.worker_id)
        worker.silent = True
        context.departed = name
        await asyncio.sleep(6)
        # Another process may listen at the address from now on.
        worker.silent = False

    platform_scenarios.add_action(context, leave)


@behave.then("the worker that left got no command")
def step(context):
    runs = platform_scenarios.run_once(context).runs
    departed = context.departed
    assert runs
    assert not [run for run in runs if run.worker_id.startswith(departed)], runs
