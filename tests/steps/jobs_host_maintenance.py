"""Steps of tests/jobs/host_maintenance.feature."""

import behave

from chervillead.jobs import host_maintenance

POOLS = "abcdefgh"


@behave.when("a wave with a cap of {cap:d} has due hosts in pools {due}")
def step(context, cap, due):
    context.due = dict(zip(POOLS, map(int, due.split(",")), strict=False))
    context.parts = host_maintenance.split_cap(cap, context.due)


@behave.when(
    "a wave with a cap of {cap:d} has hosts in pools {due} and pools "
    "{finished} have finished"
)
def step(context, cap, due, finished):
    context.due = dict(zip(POOLS, map(int, due.split(",")), strict=False))
    context.parts = host_maintenance.split_cap(cap, context.due, set(finished))


@behave.then("the parts are {parts}")
def step(context, parts):
    found = [context.parts.get(pool, 0) for pool in context.due]
    assert found == list(map(int, parts.split(","))), found


@behave.given(
    "hosts that are due for maintenance with {batch} batch tasks each"
)
def step(context, batch):
    context.candidates = [
        host_maintenance.Candidate(f"m-{place}", int(tasks), 0)
        for place, tasks in enumerate(batch.split(","))
    ]


@behave.when("{pending:d} tasks are pending and maintenance {urgency} urgent")
def step(context, pending, urgency):
    context.chosen = host_maintenance.select_hosts(
        context.candidates,
        slots=2,
        urgent=urgency == "is",
        pending_tasks=pending,
    )


@behave.then("{count:d} hosts are selected for 2 slots")
def step(context, count):
    assert len(context.chosen) == count, context.chosen
