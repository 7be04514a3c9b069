"""Steps of tests/callers/in_progress.feature."""

import asyncio

import behave

from chervillead.callers import request_ids
from chervillead.entries import messages
from stand_ins import local_fleet
from stand_ins import memory_fleet
from stand_ins import virtual_time

QUEUE = local_fleet.QUEUES[0]


def held_grants(fleet):
    """Returns the ids of the grants that any dispatcher counts as in use."""
    return [
        grant_id
        for parts in fleet.hosts.values()
        for grant_id in parts.entry.dispatcher.slots.held
    ]


async def cancel_one_of_two(context, cancelled):
    """Submits two requests for one slot and cancels one of them."""
    plan = local_fleet.FleetPlan(slots=1, upstreams_per_queue=1)
    fleet = memory_fleet.MemoryFleet(plan, seed=context.seed)
    await fleet.start()
    clock = virtual_time.clock()
    # The claim is in zone b, so neither the processing host nor the host that
    # cancels holds it.
    ids = [request_ids.new_request_id(clock.wall(), 1) for _ in range(2)]
    submitted = []
    for request_id in ids:
        submitted.append(
            asyncio.ensure_future(
                fleet.submit(
                    "entry-a0",
                    QUEUE,
                    "nursery-north",
                    b"run=2",
                    request_id=request_id,
                )
            )
        )
        await asyncio.sleep(0.1)
    context.cancelled_id = ids[cancelled]
    context.grants_before = held_grants(fleet)
    fleet.network.cut(["entry-a0"], [f"{QUEUE}-0"])
    cancelling = fleet.hosts["entry-c0"].entry
    holder = cancelling.claim_holder(ids[cancelled])
    cancelling.post(holder, messages.Cancel(ids[cancelled]))
    await asyncio.sleep(0.05)
    context.ended_at_once = submitted[cancelled].done()
    await asyncio.sleep(0.25)
    context.grants_during_partition = held_grants(fleet)
    fleet.network.heal()
    context.outcome = await submitted[cancelled]
    await submitted[1 - cancelled]
    await fleet.stop()
    return fleet.executions()


@behave.when("a caller cancels a request that waits for a slot")
def step(context):
    context.executions = virtual_time.run_virtual(
        cancel_one_of_two(context, 1), context.seed
    )


@behave.when("a caller cancels a request that runs")
def step(context):
    context.executions = virtual_time.run_virtual(
        cancel_one_of_two(context, 0), context.seed
    )


@behave.then('the cancelled request gets "not-run" at once and never starts')
def step(context):
    assert context.outcome.failure().verdict.value == "not-run"
    assert context.ended_at_once
    started = [record.request_id for record in context.executions]
    assert len(started) == 1, started
    assert context.cancelled_id not in started


@behave.then(
    'the cancelled request gets "ran" and the next one starts after it'
)
def step(context):
    assert context.outcome.failure().verdict.value == "ran", context.outcome
    assert len(context.grants_before) == 1, context.grants_before
    assert context.grants_during_partition == context.grants_before
    first, second = context.executions
    assert first.request_id == context.cancelled_id
    assert first.ending == "stopped", first
    assert first.ended_s - first.started_s < 1.0, first
    assert second.started_s >= first.ended_s, (first, second)
