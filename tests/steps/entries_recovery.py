"""Steps of tests/entries/recovery.feature."""

import asyncio

import behave
from returns import pipeline

from chervillead.callers import request_ids
from chervillead.entries import messages
from stand_ins import local_fleet
from stand_ins import memory_fleet
from stand_ins import virtual_time

PLAN = local_fleet.FleetPlan(upstreams_per_queue=4, slots=2)
TEAM = next(iter(local_fleet.TEAM_KEYS))
QUEUE = local_fleet.QUEUES[0]


def run_fleet(context, script):
    async def main():
        fleet = memory_fleet.MemoryFleet(PLAN, seed=context.seed)
        await fleet.start()
        (leader,) = fleet.active_hosts("a")
        others = [n for n in fleet.hosts if n[-2] == "a" and n != leader]
        await script(fleet, leader, others)
        await fleet.stop()

    virtual_time.run_virtual(main(), context.seed)


def submit(fleet, host, body, **options):
    return asyncio.ensure_future(
        fleet.submit(host, QUEUE, TEAM, body, deadline_s=20.0, **options)
    )


def held(fleet, leader):
    return len(fleet.hosts[leader].entry.dispatcher.slots.held)


@behave.when(
    "the leader of zone {zone} is killed while all its slots are in use"
)
def step(context, zone):
    async def script(fleet, leader, others):
        bodies = [b"run=9", b"run=9", b"run=0.1", b"run=0.1"]
        tasks = []
        for body in bodies:
            tasks.append(submit(fleet, others[0], body))
            await asyncio.sleep(0.1)
        context.running_counts = []
        await fleet.kill_host(leader)
        for _ in range(70):
            await asyncio.sleep(0.1)
            context.running_counts += [
                len(u.running) for u in fleet.upstreams.values()
            ]
        (successor,) = fleet.active_hosts(zone)
        context.held = held(fleet, successor)
        context.outcomes = await asyncio.gather(*tasks)

    run_fleet(context, script)


@behave.then(
    "its successor restored the grant of each running request of live hosts"
)
def step(context):
    assert context.held == 2, context.held


@behave.then("no upstream ran more requests than it has slots")
def step(context):
    assert max(context.running_counts) == PLAN.slots, max(
        context.running_counts
    )


@behave.then("every waiting request of a live host was answered")
def step(context):
    assert all(map(pipeline.is_successful, context.outcomes)), context.outcomes


@behave.when("an entry host of zone a that holds grants is killed")
def step(context):
    async def script(fleet, leader, others):
        submit(fleet, others[0], b"run=9")
        await asyncio.sleep(0.2)
        context.held = [held(fleet, leader)]
        await fleet.kill_host(others[0])
        for wait_s in (2.9, 0.6):
            await asyncio.sleep(wait_s)
            context.held.append(held(fleet, leader))

    run_fleet(context, script)


@behave.then("its grants were held for 3 s and then freed")
def step(context):
    assert context.held == [1, 1, 0], context.held


@behave.when("the owner of a running request is killed")
def step(context):
    async def script(fleet, leader, others):
        wall_s = virtual_time.clock().wall()
        lookups = []
        for owner in others:
            # An id with claim byte 0 is claimed in zone a.
            request_id = request_ids.new_request_id(wall_s, 0)
            submit(fleet, owner, b"run=9", request_id=request_id)
            lookups.append(messages.Lookup(request_id))
        await asyncio.sleep(0.2)
        await fleet.kill_host(others[0])
        claims = fleet.hosts[leader].entry.leader_role.claims
        context.states = []
        for wait_s in (2.9, 0.8):
            await asyncio.sleep(wait_s)
            context.states.append([claims.lookup(m).state for m in lookups])

    run_fleet(context, script)


@behave.then("the claim is running for 3 s and then lost")
def step(context):
    running, lost = messages.CLAIM_RUNNING, messages.CLAIM_LOST
    assert context.states == [[running, running], [lost, running]], (
        context.states
    )
