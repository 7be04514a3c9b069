"""The task that watches the demand of each pool and borrows hosts.

It runs on the entry host that runs maintenance, which also completes the moves
that are proposed here.
"""

import asyncio
from collections import abc
import typing

import eliot

from chervillead import types
from chervillead.fleet import buffer
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import demand as demand_module
from chervillead.fleet import log_client
from chervillead.fleet import log_reader
from chervillead.fleet import publisher
from chervillead.fleet import records

SAMPLE_S = 1.0
CONFIRMED_S = 1.0


class QueueSample(typing.NamedTuple):
    """Load of a queue, summed over all zones."""

    waiting: float
    running: int
    run_s: float


class BufferPorts(typing.NamedTuple):
    """Functions that the controller needs from the rest of an entry host.

    Attributes:
        is_runner: Whether this host holds the fleet's lowest live duty seat.
        queue_samples: Returns the load by queue.
        running: Asks a host's upstream how many tasks run there; None when it
            does not answer.
    """

    is_runner: abc.Callable[[], bool]
    queue_samples: abc.Callable[[], abc.Mapping[str, QueueSample]]
    running: abc.Callable[[str], abc.Awaitable[int | None]]


async def run_buffer(
    reader: log_reader.LogReader,
    platform: log_client.PlatformClient,
    clock: types.Clock,
    ports: BufferPorts,
) -> None:
    """Samples each second and proposes moves, until cancelled."""
    demands: dict[str, demand_module.PoolDemand] = {}
    while True:
        await asyncio.sleep(SAMPLE_S)
        if not ports.is_runner() or reader.unconfirmed_s >= CONFIRMED_S:
            # What was seen before a pause says nothing of now.
            demands = {}
            continue
        loads = pool_loads(reader.configuration, ports.queue_samples())
        demands = {
            pool: demand_module.note_load(demands.get(pool), load, SAMPLE_S)
            for pool, load in loads.items()
        }
        running = await _ask_running(reader.configuration, ports)
        for move in buffer.choose_moves(reader.configuration, demands, running):
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
        known = loads.get(
            queue.pool,
            demand_module.PoolLoad(
                slots.get(queue.pool, 0), 0, 0, 0.0, queue.target_s
            ),
        )
        loads[queue.pool] = demand_module.PoolLoad(
            known.slots,
            known.running + sample.running,
            known.waiting + sample.waiting,
            max(known.run_s, sample.run_s),
            min(known.target_s, queue.target_s),
        )
    return loads


async def _ask_running(
    configuration: configuration_module.Configuration, ports: BufferPorts
) -> dict[str, int]:
    """Asks the upstreams of spare and borrowed hosts what runs there."""
    spares = {n for n, pool in configuration.pools.items() if pool.spare}
    names = [
        name
        for name, host in configuration.hosts.items()
        if host.pool in spares or name in configuration.moves
    ]
    counts = await asyncio.gather(*(ports.running(name) for name in names))
    return {
        name: count
        for name, count in zip(names, counts, strict=True)
        if count is not None
    }


async def _propose(
    move: buffer.Borrowing,
    reader: log_reader.LogReader,
    platform: log_client.PlatformClient,
    clock: types.Clock,
) -> None:
    state = configuration_module.MoveState.LEAVING.value
    fields = {"to_pool": move.to_pool, "state": state}
    record = publisher.propose(reader, records.MOVE, move.host, fields)
    published = await publisher.publish(record, reader, platform, clock)
    eliot.log_message(
        "buffer:move-proposed",
        host=move.host,
        to_pool=move.to_pool,
        publication=published.publication.value,
        detail=published.detail,
    )
