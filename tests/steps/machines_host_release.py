"""Steps of tests/machines/host_release.feature."""

import asyncio

import behave

from chervillead.jobs import model
from chervillead.machines import host_release
from stand_ins import memory_partition

CAPACITY = model.Resources(32_000, 65_536)
CONFIGURATION = model.FleetConfiguration(
    version=1,
    queues={},
    pools={memory_partition.POOL: model.Pool(memory_partition.POOL)},
    accounts={},
    account_of_key={},
    max_body_bytes=0,
)


@behave.given(
    "a pool of {hosts:d} idle hosts of which {due:d} are due for maintenance"
)
def step(context, hosts, due):
    context.workers = [
        memory_partition.make_worker(f"i-{number}", CAPACITY)
        for number in range(hosts)
    ]
    context.due = {worker.worker_id for worker in context.workers[:due]}


@behave.when("it should release {surplus:d} hosts")
def step(context, surplus):
    async def release():
        partition = memory_partition.MemoryPartition(
            CONFIGURATION, context.workers, []
        )
        released = host_release.HostRelease(
            partition.owner,
            None,
            partition.state.ports,
            lambda worker_id: worker_id in context.due,
            lambda pool: None,
        )
        released.adjust(memory_partition.POOL, surplus=surplus, wanted=0)
        await partition.close()
        return {
            worker_id
            for worker_id, watch in partition.state.watches.items()
            if watch.view.cordoned_for == host_release.CORDON_REASON
        }

    context.drained = asyncio.run(release())


@behave.then(
    "{count:d} hosts are drained, {others:d} of which are not due for "
    "maintenance"
)
def step(context, count, others):
    found = len(context.drained), len(context.drained - context.due)
    assert found == (count, others), context.drained
