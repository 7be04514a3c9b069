"""Steps of tests/callers/submission.feature."""

import asyncio
import collections

import behave
from returns import pipeline

from chervillead.callers import request_ids
from stand_ins import local_fleet
from stand_ins import memory_fleet
from stand_ins import virtual_time


@behave.given("a fleet in memory with {count:d} entry hosts")
def step(context, count):
    context.plan = local_fleet.FleetPlan(entry_hosts=count)


@behave.when(
    "{count:d} non-idempotent requests are submitted through all entry hosts"
)
def step(context, count):
    async def main():
        fleet = memory_fleet.MemoryFleet(context.plan, seed=context.seed)
        await fleet.start()
        hosts = list(fleet.hosts)
        teams = list(local_fleet.TEAM_KEYS)
        outcomes = await asyncio.gather(
            *(
                fleet.submit(
                    hosts[number % len(hosts)],
                    local_fleet.QUEUES[number % len(local_fleet.QUEUES)],
                    teams[number % len(teams)],
                    f"request {number}".encode(),
                )
                for number in range(count)
            )
        )
        await fleet.stop()
        return outcomes, fleet.executions()

    context.outcomes, context.executions = virtual_time.run_virtual(
        main(), context.seed
    )


@behave.when(
    "the same non-idempotent request is submitted through two entry hosts"
)
def step(context):
    async def main():
        fleet = memory_fleet.MemoryFleet(context.plan, seed=context.seed)
        await fleet.start()
        request_id = request_ids.new_request_id(virtual_time.clock().wall())
        outcomes = []
        for host in list(fleet.hosts)[:2]:
            outcomes.append(
                await fleet.submit(
                    host,
                    local_fleet.QUEUES[0],
                    "nursery-north",
                    b"once",
                    request_id=request_id,
                )
            )
            # The report of the outcome must reach the claim holder.
            await asyncio.sleep(0.1)
        await fleet.stop()
        return outcomes, fleet.executions()

    context.outcomes, context.executions = virtual_time.run_virtual(
        main(), context.seed
    )


@behave.then("every request has its own answer")
def step(context):
    bodies = [
        outcome.unwrap().body if pipeline.is_successful(outcome) else outcome
        for outcome in context.outcomes
    ]
    expected = [f"done:request {n}".encode() for n in range(len(bodies))]
    assert bodies == expected, bodies


@behave.then("both submissions have the same answer")
def step(context):
    first, second = context.outcomes
    assert pipeline.is_successful(second), second
    assert first.unwrap() == second.unwrap(), context.outcomes


@behave.then("every request ran once")
def step(context):
    runs = collections.Counter(e.request_id for e in context.executions)
    assert runs, "nothing ran"
    assert set(runs.values()) == {1}, runs.most_common(3)
