"""Runs the host controllers of the partitions that this entry host owns."""

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
    """Host maintenance, pool resizing and host commands of one entry host."""

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
        self._hosts_owner = hosts_owner_client.connect_hosts_owner(
            call_hosts_owner
        )
        self._host_controller: host_controller.HostController | None = None

    async def serve(
        self, call: host_messages.HostCall
    ) -> host_messages.HostReply:
        """Answers a call about hosts.

        Only the entry host that owns the hosts partition serves such calls; the
        others reply `NOT_OWNER`.
        """
        if self._host_controller is None:
            return host_messages.HostReply(NOT_OWNER)
        return await self._host_controller.serve(call)

    async def run(
        self,
        owner: partition_owner.PartitionOwner,
        hosts_service: interface.HostServiceClient,
    ) -> None:
        """Maintains and resizes an owner's pools until cancelled."""
        partition = owner.state.partition
        controls_hosts = partition == pool_partitions.HOSTS_PARTITION

        def owns_pool(pool: str) -> bool:
            return self._partition_of(pool) == partition

        wave_runner = wave_controller.WaveController(
            owner,
            owns_pool,
            wave_controller.WavePorts(
                hosts_service.list_hosts,
                self._hosts_owner,
                self._ports.store,
                self._view.waves.values,
                self._report_wave,
            ),
            self._ports,
            reports_waves=controls_hosts,
        )
        resizer = pool_resizing.PoolResizer(
            owner, owns_pool, self._hosts_owner, self._ports, wave_runner.is_due
        )
        controller = host_controller.HostController(
            owner.state,
            hosts_service,
            host_controller.FleetPorts(
                lambda: self._view.waves,
                self._spare_pools,
                lambda: self._view.zones_out,
            ),
            self._ports,
        )
        if controls_hosts:
            self._host_controller = controller
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(wave_runner.run())
                group.create_task(resizer.run())
                if controls_hosts:
                    group.create_task(controller.run())
        finally:
            if self._host_controller is controller:
                self._host_controller = None

    def _spare_pools(self) -> list[str]:
        configuration = self._view.configuration
        pools = configuration.pools.values() if configuration else ()
        return [pool.name for pool in pools if pool.is_spare]

    async def _report_wave(self, number: int, is_completed: bool) -> bool:
        """Writes the status of a wave; returns whether the store took it."""
        record = store_interface.KeyedRecord(
            f"{fleet_configuration.WAVE_PREFIX}{number}",
            fleet_configuration.encode_wave_status(is_completed=is_completed),
        )
        outcome = await self._ports.store.append(
            fleet_configuration.STATUS_TOPIC, 0, (record,), None
        )
        return pipeline.is_successful(outcome)
