"""Controller that borrows hosts for pools whose demand exceeds their capacity.

It is active on the fleet leader, whose maintenance controller also completes
the moves that are proposed here.
"""

import asyncio
from collections import abc
import typing

import eliot

from chervillead import types
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import demand as demand_module
from chervillead.fleet import host_borrowing
from chervillead.fleet import log_client
from chervillead.fleet import log_reader
from chervillead.fleet import publisher
from chervillead.fleet import records

SAMPLE_INTERVAL_S = 1.0
# No moves are proposed on an older confirmation of the log.
MAX_UNCONFIRMED_S = 1.0


class QueueSample(typing.NamedTuple):
    """Load of a queue, summed over all zones.

    Attributes:
        waiting: Number of waiting requests.
        running: Slots in use.
        run_s: Mean run time of a request.
    """

    waiting: float
    running: int
    run_s: float


class BorrowingPorts(typing.NamedTuple):
    """Functions that the controller needs from the rest of an entry host.

    Attributes:
        is_fleet_leader: Returns whether this entry host is the fleet leader.
        queue_samples: Returns the load by queue.
        running_tasks: Asks a host's upstream for the number of its running
            tasks; None if it does not answer.
    """

    is_fleet_leader: abc.Callable[[], bool]
    queue_samples: abc.Callable[[], abc.Mapping[str, QueueSample]]
    running_tasks: abc.Callable[[str], abc.Awaitable[int | None]]


async def run_borrowing_controller(
    reader: log_reader.LogReader,
    platform: log_client.PlatformClient,
    clock: types.Clock,
    ports: BorrowingPorts,
) -> None:
    """Samples the load each second and proposes moves, until cancelled."""
    demands: dict[str, demand_module.PoolDemand] = {}
    while True:
        await asyncio.sleep(SAMPLE_INTERVAL_S)
        if (
            not ports.is_fleet_leader()
            or reader.unconfirmed_s >= MAX_UNCONFIRMED_S
        ):
            # Samples from before a pause don't reflect the current demand.
            demands = {}
            continue
        loads = pool_loads(reader.configuration, ports.queue_samples())
        demands = {
            pool: demand_module.update_demand(
                demands.get(pool), load, SAMPLE_INTERVAL_S
            )
            for pool, load in loads.items()
        }
        running = await _read_running_tasks(reader.configuration, ports)
        for move in host_borrowing.choose_moves(
            reader.configuration, demands, running
        ):
            await _propose(move, reader, platform, clock)


def pool_loads(
    configuration: configuration_module.Configuration,
    samples: abc.Mapping[str, QueueSample],
) -> dict[str, demand_module.PoolLoad]:
    """Returns the load of each pool that serves a queue."""
    slots: dict[str, int] = {}
    for name, host in configuration.hosts.items():
        if configuration_module.is_host_schedulable(configuration, name):
            slots[host.pool] = slots.get(host.pool, 0) + host.slots
    loads: dict[str, demand_module.PoolLoad] = {}
    for name, queue in sorted(configuration.queues.items()):
        sample = samples.get(name, QueueSample(0, 0, 0.0))
        total = loads.get(
            queue.pool,
            demand_module.PoolLoad(
                slots.get(queue.pool, 0), 0, 0, 0.0, queue.target_s
            ),
        )
        loads[queue.pool] = demand_module.PoolLoad(
            total.slots,
            total.running + sample.running,
            total.waiting + sample.waiting,
            max(total.run_s, sample.run_s),
            min(total.target_s, queue.target_s),
        )
    return loads


async def _read_running_tasks(
    configuration: configuration_module.Configuration, ports: BorrowingPorts
) -> dict[str, int]:
    """Reads the number of running tasks of spare and moved hosts.

    Hosts that do not answer have no entry.
    """
    spares = {n for n, pool in configuration.pools.items() if pool.spare}
    names = [
        name
        for name, host in configuration.hosts.items()
        if host.pool in spares or name in configuration.moves
    ]
    counts = await asyncio.gather(
        *(ports.running_tasks(name) for name in names)
    )
    return {
        name: count
        for name, count in zip(names, counts, strict=True)
        if count is not None
    }


async def _propose(
    move: host_borrowing.ProposedMove,
    reader: log_reader.LogReader,
    platform: log_client.PlatformClient,
    clock: types.Clock,
) -> None:
    state = configuration_module.MoveState.LEAVING.value
    fields = {"to_pool": move.to_pool, "state": state}
    record = publisher.propose(reader, records.MOVE, move.host, fields)
    published = await publisher.publish(record, reader, platform, clock)
    eliot.log_message(
        "borrowing:move-proposed",
        host=move.host,
        to_pool=move.to_pool,
        publication=published.publication.value,
        detail=published.detail,
    )
