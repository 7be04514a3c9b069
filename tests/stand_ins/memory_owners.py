"""Owners of partitions that run the production code on a store in memory.

They have no workers and no network: tests pass the calls between owners on
themselves, late, twice or not at all.
"""

import asyncio
from collections import abc
import typing

from chervillead import types
from chervillead.jobs import job_api
from chervillead.jobs import model
from chervillead.pools import owner_state
from chervillead.pools import partition_owner
from chervillead.pools import pool_partitions
from chervillead.pools import ports as ports_module
from chervillead.pools import takeover
from chervillead.store import group_commit
from stand_ins import memory_store
from stand_ins import virtual_time


class MemoryOwners:
    """The present owner of each partition.

    Attributes:
        owners: The owners that have loaded their partitions, by partition.
    """

    def __init__(
        self,
        store: memory_store.MemoryStore,
        configuration_of: abc.Callable[[int], model.FleetConfiguration],
        call_owner: job_api.CallOwner,
    ) -> None:
        """Makes no owner yet.

        Args:
            store: The store.
            configuration_of: Returns the configuration that the owner of a
                partition knows.
            call_owner: Passes on a call of one owner to another one.
        """
        self.owners: dict[int, partition_owner.PartitionOwner] = {}
        self._store = store
        self._configuration_of = configuration_of
        self._call_owner = call_owner
        self._running: dict[int, asyncio.Task[None]] = {}
        self._epoch = 0

    async def replace(
        self,
        partition: int,
        prepare: abc.Callable[
            [partition_owner.PartitionOwner], None
        ] = lambda owner: None,
    ) -> None:
        """Replaces a partition's owner, which isn't told.

        Args:
            partition: The partition.
            prepare: Called with the new owner once it has loaded.
        """
        self._epoch += 1
        ports = self._owner_ports(partition)
        writer = group_commit.PartitionWriter(
            ports.store, pool_partitions.JOBS_TOPIC, partition, self._epoch
        )
        owner = partition_owner.PartitionOwner(
            partition,
            self._epoch,
            writer,
            ports,
            owner_state.OwnershipStatus(lambda: True, lambda: False),
        )
        if not await takeover.load(owner, writer, ports):
            return
        prepare(owner)
        replaced = self._running.get(partition)
        self.owners[partition] = owner
        self._running[partition] = asyncio.create_task(owner.run())
        if replaced is not None:
            replaced.cancel()

    async def stop(self) -> None:
        """Ends all owners."""
        for task in self._running.values():
            task.cancel()
        outcomes = await asyncio.gather(
            *self._running.values(), return_exceptions=True
        )
        for outcome in outcomes:
            if isinstance(outcome, Exception):
                raise outcome

    def _owner_ports(self, partition: int) -> ports_module.OwnerPorts:
        return ports_module.OwnerPorts(
            store=self._store.store(),
            open_worker=typing.cast(typing.Any, None),
            clock=types.Clock(
                asyncio.get_running_loop().time, virtual_time.clock().wall
            ),
            limits=ports_module.Limits(),
            configuration=lambda: self._configuration_of(partition),
            zones_out=frozenset,
            is_current=lambda: True,
            log=lambda message_type, **fields: None,
            increment=lambda *labels: None,
            observe=lambda name, seconds: None,
            call_owner=self._call_owner,
        )
