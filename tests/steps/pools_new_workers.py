"""Steps of tests/pools/new_workers.feature."""

import asyncio

import behave

from chervillead.pools import pool_partitions
from stand_ins import platform_fleet
from stand_ins import platform_scenarios
from stand_ins import platform_store

PARTITION = pool_partitions.partition_of(
    platform_fleet.POOL, platform_store.PARTITIONS
)


@behave.when("the owner cordons all workers but the last, which is off")
def step(context):
    async def cordon(fleet):
        *others, last = fleet.workers.values()
        last.silent = True
        await asyncio.sleep(1)
        owner = fleet.hosts[fleet.owner_host()].ownership.owner_of(PARTITION)
        for worker in others:
            owner.drain.cordon(worker.worker_id, "test")

    platform_scenarios.add_action(context, cordon)


def recovered(fleet):
    return sum(
        line["message_type"] == "owner:recovered"
        and line["partition"] == PARTITION
        for line in fleet.logs
    )


@behave.when("all partitions move to the next host, which recovers")
def step(context):
    async def move(fleet):
        before = recovered(fleet)
        context.previous_owner = fleet.owner_host()
        # It learns of it when its membership runs out.
        fleet.store.hosts_without_joins.add(context.previous_owner)
        fleet.store.rebalance("pool-owners")
        await platform_scenarios.wait_until(
            lambda: recovered(fleet) > before, 0.001
        )

    platform_scenarios.add_action(context, move)


@behave.when(
    "only the previous owner reaches the last worker for {seconds:d} s"
)
def step(context, seconds):
    async def cut(fleet):
        others = set(fleet.hosts) - {context.previous_owner}
        fleet.network.cut([list(fleet.workers)[-1]], others)
        asyncio.get_running_loop().call_later(seconds, fleet.network.heal)

    platform_scenarios.add_action(context, cut)


@behave.when("the last worker registers")
def step(context):
    async def register(fleet):
        index, worker = len(fleet.workers) - 1, list(fleet.workers.values())[-1]
        worker.restart()
        worker.worker_id += "-back"
        worker.silent = False
        fleet.store.put(
            "keyed.servers",
            worker.worker_id,
            fleet._registration(index, worker),
        )

    platform_scenarios.add_action(context, register)


@behave.when("{seconds:g} s pass since then")
def step(context, seconds):
    async def wait(fleet):
        del fleet
        await asyncio.sleep(seconds)

    platform_scenarios.add_action(context, wait)


@behave.then("all tasks of the job have been started on the last worker")
def step(context):
    runs = platform_scenarios.run_once(context).runs
    assert len(runs) == 4, runs
    assert {run.worker_id for run in runs} == {"i-1-back"}, runs
