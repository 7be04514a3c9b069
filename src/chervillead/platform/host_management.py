"""Wires the tasks that look after hosts beside the owners of partitions."""

import asyncio
from collections import abc

from returns import pipeline

from chervillead.entries import host_messages
from chervillead.machines import host_controller
from chervillead.machines import hosts_owner_client
from chervillead.machines import interface
from chervillead.machines import pool_resizing
from chervillead.machines import wave_controller
from chervillead.platform import fleet_configuration
from chervillead.platform import fleet_view
from chervillead.pools import partition_owner
from chervillead.pools import pool_partitions
from chervillead.pools import ports as ports_module
from chervillead.store import interface as store_interface

NOT_OWNER = "not-owner"


class HostManager:
    """Upkeep, pool sizes and the orders for hosts of one entry host."""

    def __init__(
        self,
        view: fleet_view.FleetView,
        ports: ports_module.OwnerPorts,
        partition_of: abc.Callable[[str], int],
        call_hosts_owner: hosts_owner_client.CallHostsOwner,
    ) -> None:
        self._view = view
        self._ports = ports
        self._partition_of = partition_of
        self._calls = hosts_owner_client.connect_hosts_owner(call_hosts_owner)
        self._orders: host_controller.HostController | None = None

    async def serve(
        self, call: host_messages.HostCall
    ) -> host_messages.HostReply:
        """Answers a call about hosts where this host orders them."""
        if self._orders is None:
            return host_messages.HostReply(NOT_OWNER)
        return await self._orders.serve(call)

    async def run(
        self,
        owner: partition_owner.PartitionOwner,
        calls: interface.HostServiceClient,
    ) -> None:
        """Looks after the hosts of an owner's pools until cancelled."""
        partition = owner.state.partition
        orders_hosts = partition == pool_partitions.HOSTS_PARTITION

        def owns_pool(pool: str) -> bool:
            return self._partition_of(pool) == partition

        keeper = wave_controller.WaveController(
            owner,
            owns_pool,
            wave_controller.WavePorts(
                calls.list_hosts,
                self._calls,
                self._ports.store,
                self._view.waves.values,
                self._report_wave,
            ),
            self._ports,
            reports_waves=orders_hosts,
        )
        resizer = pool_resizing.PoolResizer(
            owner, owns_pool, self._calls, self._ports, keeper.is_due
        )
        orders = host_controller.HostController(
            owner.state,
            calls,
            host_controller.FleetPorts(
                lambda: self._view.waves,
                self._spare_pools,
                lambda: self._view.zones_out,
            ),
            self._ports,
        )
        if orders_hosts:
            self._orders = orders
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(keeper.run())
                group.create_task(resizer.run())
        finally:
            if self._orders is orders:
                self._orders = None

    def _spare_pools(self) -> list[str]:
        configuration = self._view.configuration
        pools = configuration.pools.values() if configuration else ()
        return [pool.name for pool in pools if pool.is_spare]

    async def _report_wave(self, number: int, is_completed: bool) -> bool:
        """Tells operators how far a wave is."""
        record = store_interface.KeyedRecord(
            f"{fleet_configuration.WAVE_PREFIX}{number}",
            fleet_configuration.encode_wave_status(is_completed=is_completed),
        )
        outcome = await self._ports.store.append(
            fleet_configuration.STATUS_TOPIC, 0, (record,), None
        )
        return pipeline.is_successful(outcome)
