"""Steps of tests/fleet/pool_moves.feature."""

import asyncio

import behave

from chervillead.fleet import records
from stand_ins import borrowing_run
from stand_ins import maintenance_run

QUEUE, SPARE = maintenance_run.QUEUE, maintenance_run.SPARE


def _race_moves(run, name, *pools):
    """Publishes moves of a host to several pools, based on one version."""
    version = run.state().versions.get((records.MOVE, name), -1)
    for pool in pools:
        fields = {"to_pool": pool, "state": "leaving"}
        record_id = f"race-{name}-{pool}"
        run.fleet.publish(
            records.Record(record_id, records.MOVE, name, version, fields)
        )


@behave.when("operators race to move hosts between pools under {faults}")
def step(context, faults):
    kinds = [k for k in faults.split(",") if k in maintenance_run.FAULTS]

    async def race(run):
        other = maintenance_run.local_fleet.QUEUES[1]
        await asyncio.sleep(5.0)
        _race_moves(run, f"{SPARE}-0", QUEUE, other)
        _race_moves(run, f"{SPARE}-1", other, QUEUE)
        _race_moves(run, f"{QUEUE}-2", SPARE, other)
        for kind in kinds * 2:
            await maintenance_run.FAULTS[kind](run)
            await asyncio.sleep(3.0)

    context.expected = {
        f"{SPARE}-0": QUEUE,
        f"{SPARE}-1": maintenance_run.local_fleet.QUEUES[1],
        f"{QUEUE}-2": SPARE,
    }
    context.results = [
        borrowing_run.start_run(seed, lambda at_s: 0.4, 70.0, race)
        for seed in (1, 2)
    ]


@behave.then("each host ends in the pool of the first accepted move")
def step(context):
    for run, _ in context.results:
        hosts = run.state().hosts
        pools = {name: hosts[name].pool for name in context.expected}
        assert pools == context.expected, pools


@behave.then("the records of the moves show no violation")
def step(context):
    for run, violations in context.results:
        assert not violations, violations
        assert run.fleet.executions(), "nothing ran"


@behave.when("a host fails while it is leaving its pool")
def step(context):
    async def fail_while_leaving(run):
        await asyncio.sleep(5.0)
        _race_moves(run, f"{QUEUE}-2", SPARE)
        await run.fail_hosts([f"{QUEUE}-2"])

    context.run, context.violations = borrowing_run.start_run(
        1, lambda at_s: 0.4, 40.0, fail_while_leaving
    )


@behave.then("it joins its next pool and is recorded as failed there")
def step(context):
    assert not context.violations, context.violations
    state = context.run.state()
    assert state.hosts[f"{QUEUE}-2"].pool == SPARE
    assert state.drains[f"{QUEUE}-2"].state.value == "failed"
