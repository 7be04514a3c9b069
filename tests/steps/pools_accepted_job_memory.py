"""Steps of tests/pools/accepted_job_memory.feature."""

import asyncio
import functools

import behave
from returns import pipeline

from chervillead import verdicts
from chervillead.jobs import held_jobs
from stand_ins import platform_fleet
from stand_ins import virtual_time

KEYS = {1: platform_fleet.KEY, 2: "key-2"}
PATHS = {1: platform_fleet.QUEUE_PATH, 2: "/other/"}
MUCH = 2**40
# A limit of one byte is reached by the first job.
LIMITS = {
    "an account": held_jobs.Limits(MUCH, 1, MUCH),
    "a pool": held_jobs.Limits(1, MUCH, MUCH),
    "an owner": held_jobs.Limits(MUCH, MUCH, 1),
}
# Longer than the 120 s, and the margin, for which an owner shows ended jobs.
RETENTION_S = 200.0


def operator_fields():
    tenants = [
        {
            "Name": f"team-{number}",
            "ApiKeys": [key],
            "Weight": 1,
            "Cap": {"Cpu": 0, "MemMb": 0, "Gpu": 0},
        }
        for number, key in KEYS.items()
    ]
    route = {
        "Name": "queue-2",
        "PathPrefix": PATHS[2],
        "Service": platform_fleet.OTHER_POOL,
    }
    return platform_fleet.configuration(2, more_routes=[route], Tenants=tenants)


async def submit(context, fleet, account, job, pool):
    """Submits a job of one task, with repetitions while no owner is ready."""
    for _ in range(40):
        outcome = await fleet.submit(
            platform_fleet.job_id(job),
            [platform_fleet.step(1)],
            host=next(iter(fleet.hosts)),
            key=KEYS[account],
            path=PATHS[pool],
        )
        if pipeline.is_successful(outcome) or outcome.failure().status == 429:
            break
        await asyncio.sleep(0.5)
    context.outcomes[job] = outcome


async def run(context):
    hosts = 1 if context.holder == "an owner" else 2
    fleet = platform_fleet.PlatformFleet(
        hosts=hosts, seed=context.seed, accepted_jobs=LIMITS[context.holder]
    )
    fleet.other_pool_workers = {"i-2"}
    await fleet.start()
    fleet.store.put("keyed.op", "config", operator_fields())
    await asyncio.sleep(1.0)
    for action in context.actions:
        await action(fleet)
    await asyncio.sleep(5.0)
    context.runs = {job: fleet.runs(platform_fleet.job_id(job)) for job in KEYS}
    await fleet.stop()


def run_once(context):
    """Runs the actions so far; a later step of the scenario runs them anew."""
    if context.ran_actions != len(context.actions):
        context.ran_actions = len(context.actions)
        context.outcomes = {}
        virtual_time.run_virtual(run(context), context.seed)


@behave.given("a fleet in which one job uses up the memory of {holder}")
def step(context, holder):
    context.holder = holder
    context.actions = []
    context.ran_actions = -1


@behave.when("account {account:d} submits job {job:d} to pool {pool:d}")
def step(context, account, job, pool):
    context.actions.append(
        functools.partial(submit, context, account=account, job=job, pool=pool)
    )


@behave.when(
    "the store goes down for {seconds:d} s and account {account:d} submits job "
    "{job:d} to pool {pool:d}"
)
def step(context, seconds, account, job, pool):
    async def act(fleet):
        fleet.store.is_down = True
        await fleet.submit(
            platform_fleet.job_id(job),
            [platform_fleet.step(1)],
            host=next(iter(fleet.hosts)),
            key=KEYS[account],
            path=PATHS[pool],
        )
        await asyncio.sleep(seconds)
        fleet.store.is_down = False
        await asyncio.sleep(2.0)

    context.actions.append(act)


@behave.when("the time passes for which ended jobs are shown")
def step(context):
    async def wait(fleet):
        del fleet
        await asyncio.sleep(RETENTION_S)

    context.actions.append(wait)


@behave.when("the owner of pool 1 is killed")
def step(context):
    async def kill(fleet):
        await fleet.kill_host(fleet.owner_host())

    context.actions.append(kill)


@behave.then("job {job:d} is accepted")
def step(context, job):
    run_once(context)
    assert pipeline.is_successful(context.outcomes[job]), context.outcomes[job]


@behave.then(
    "job {job:d} is refused with {status:d} as not run, with a time to return"
)
def step(context, job, status):
    run_once(context)
    refusal = context.outcomes[job].failure()
    assert refusal.status == status, refusal
    assert refusal.verdict is verdicts.Verdict.NOT_RUN, refusal
    assert refusal.retry_after_s >= 1, refusal


@behave.then("job {job:d} ran once")
def step(context, job):
    run_once(context)
    assert len(context.runs[job]) == 1, context.runs[job]


@behave.then("job {job:d} has not run")
def step(context, job):
    run_once(context)
    assert not context.runs[job], context.runs[job]
