"""Steps of tests/upstreams/retry_budget.feature."""

import behave

from chervillead.upstreams import retry_budget
from stand_ins import local_fleet
from stand_ins import memory_fleet
from stand_ins import virtual_time

QUEUE = local_fleet.QUEUES[0]


@behave.when("{count:d} first attempts are each retried as often as allowed")
def step(context, count):
    budget = retry_budget.RetryBudget()
    context.retries = 0
    for _ in range(count):
        budget.record_attempt()
        while budget.take_retry():
            context.retries += 1
            budget.record_attempt()


@behave.then("{count:d} retries were allowed")
def step(context, count):
    assert context.retries == count, context.retries


@behave.given("a fleet whose only upstream closes on every request")
def step(context):
    context.plan = local_fleet.FleetPlan(
        entry_hosts=1, upstreams_per_queue=1, zones=local_fleet.ZONES[:1]
    )


@behave.when("{count:d} idempotent requests are submitted one after the other")
def step(context, count):
    async def main():
        fleet = memory_fleet.MemoryFleet(context.plan, seed=context.seed)
        await fleet.start()
        state = fleet.upstreams[f"{QUEUE}-0"]
        state.failure = "unread"
        for _ in range(count):
            await fleet.submit(
                next(iter(fleet.hosts)),
                QUEUE,
                "nursery-north",
                b"x",
                idempotent=True,
                # Slots of lost requests stay in use until the leases expire.
                deadline_s=5.0,
            )
        await fleet.stop()
        context.received = state.received

    virtual_time.run_virtual(main(), context.seed)


@behave.then("the upstream received at most {count:d} requests")
def step(context, count):
    assert 200 <= len(context.received) <= count, len(context.received)
