"""Connects maintenance and host borrowing to entry hosts and upstreams."""

import asyncio

from chervillead import types
from chervillead.entries import host as host_module
from chervillead.entries import membership
from chervillead.fleet import borrowing_controller
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import host_list
from chervillead.fleet import log_client
from chervillead.fleet import log_reader
from chervillead.fleet import maintenance
from chervillead.upstreams import pool
from chervillead.upstreams import usage

# A waiting request is registered with two zones, its own and the one with the
# most free slots, so that both report it as waiting.
ZONES_PER_WAITING_REQUEST = 2


def maintenance_ports(
    host: str,
    reader: log_reader.LogReader,
    members: membership.Membership,
    pools: pool.UpstreamPools,
) -> maintenance.MaintenancePorts:
    """Returns the functions that maintenance needs.

    Args:
        host: Name of this entry host.
        reader: Holder of the folded configuration.
        members: Membership of the entry hosts.
        pools: Connections to upstreams. Running tasks are read from each
            upstream, since the grants of one dispatcher don't show all of them.
    """

    def host_upstream(name: str) -> types.Upstream | None:
        return configuration_module.host_upstream(reader.configuration, name)

    async def running_tasks(name: str) -> int | None:
        upstream = host_upstream(name)
        if upstream is None:
            return None
        reported = await usage.read_usage(pools, upstream)
        return None if reported is None else reported.running

    async def checkpoint(name: str) -> bool:
        upstream = host_upstream(name)
        return upstream is not None and (
            await usage.checkpoint_all(pools, upstream)
        )

    def is_folded_everywhere(offset: int) -> bool:
        heartbeats = map(members.heartbeat_of, members.live)
        return all(h is None or h.offset >= offset for h in heartbeats)

    return maintenance.MaintenancePorts(
        is_fleet_leader=lambda: maintenance.is_fleet_leader(
            reader.configuration, host, members.live
        ),
        is_folded_everywhere=is_folded_everywhere,
        running_tasks=running_tasks,
        checkpoint=checkpoint,
    )


def borrowing_ports(
    entry: host_module.EntryHost, ports: maintenance.MaintenancePorts
) -> borrowing_controller.BorrowingPorts:
    """Returns the functions that the borrowing controller needs."""
    members = entry.membership

    def queue_samples() -> dict[str, borrowing_controller.QueueSample]:
        heartbeats = [entry.current_heartbeat()]
        heartbeats += filter(None, map(members.heartbeat_of, members.live))
        samples: dict[str, borrowing_controller.QueueSample] = {}
        for heartbeat in heartbeats:
            for queue, load in heartbeat.queue_loads.items():
                total = samples.get(
                    queue, borrowing_controller.QueueSample(0, 0, 0.0)
                )
                samples[queue] = borrowing_controller.QueueSample(
                    total.waiting + load.waiting / ZONES_PER_WAITING_REQUEST,
                    total.running + load.running,
                    max(total.run_s, load.run_ms / 1000),
                )
        return samples

    return borrowing_controller.BorrowingPorts(
        ports.is_fleet_leader, queue_samples, ports.running_tasks
    )


async def run_maintenance_tasks(
    host: str,
    entry: host_module.EntryHost,
    reader: log_reader.LogReader,
    platform: log_client.PlatformClient,
    hosts: host_list.HostListCache,
    clock: types.Clock,
    pools: pool.UpstreamPools,
) -> None:
    """Runs the maintenance and borrowing controllers until cancelled."""
    ports = maintenance_ports(host, reader, entry.membership, pools)
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(
            maintenance.run_maintenance(reader, platform, hosts, clock, ports)
        )
        tasks.create_task(
            borrowing_controller.run_borrowing_controller(
                reader, platform, clock, borrowing_ports(entry, ports)
            )
        )
