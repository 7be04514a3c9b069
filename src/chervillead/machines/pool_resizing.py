"""Reports the loads of one owner's pools and releases hosts to other pools.

`jobs.autoscaling` computes how many hosts a pool needs; the owner of the hosts
partition weighs that against the needs of other pools and replies how many the
pool should release. Without a reply, a pool keeps what it has.
"""

import asyncio
from collections import abc

from chervillead.entries import host_messages
from chervillead.jobs import autoscaling
from chervillead.jobs import model
from chervillead.machines import fleet_allocator
from chervillead.machines import host_release
from chervillead.machines import hosts_owner_client
from chervillead.machines import pool_growth
from chervillead.machines import wave_controller
from chervillead.pools import partition_owner
from chervillead.pools import pool_load
from chervillead.pools import ports as ports_module

RESIZE_INTERVAL_S = 0.1
# Intervals of reports while the pool needs more or fewer hosts than it has, and
# otherwise.
REPORT_INTERVAL_S = 0.3
IDLE_REPORT_INTERVAL_S = 1.0
# A need that has grown by this factor since the last report is reported at
# once: a burst is found between two reports.
RISE_RATIO = 1.25
# Hosts are released by a reply for this long, and kept without a later one.
REPLY_TTL_S = 2.0
# A new owner reaches the workers of its pools within this time; a pool without
# hosts for longer has none.
EMPTY_POOL_DELAY_S = 2.0


class _Pool:
    """State of one pool.

    Attributes:
        autoscaler: Computes the size that the pool needs.
        arrival_deadlines_s: Per host that is expected to register, the time by
            which it does so or no longer counts.
        in_maintenance: Workers seen while they were drained for maintenance.
        known_workers: Workers that were ever seen in the pool.
        empty_from_s: Since when tasks wait while the pool has no host.
        reported_s: Time of the last report.
        reported_needed: Hosts needed according to it.
        term: Term of the last reply of the owner of the hosts partition.
        accounted: Number of the last host sent in that term.
        surplus: Number of hosts to release.
        wanted: How many of these another pool needs now.
        released: Number of hosts that were released so far.
        replied_s: Time of the last reply.
    """

    def __init__(self) -> None:
        self.autoscaler = autoscaling.PoolAutoscaler()
        self.arrival_deadlines_s: list[float] = []
        self.in_maintenance: set[str] = set()
        self.known_workers: set[str] = set()
        self.empty_from_s: float | None = None
        self.reported_s = float("-inf")
        self.reported_needed = 0
        self.term = 0
        self.accounted = 0
        self.surplus = 0
        self.wanted = 0
        self.released = 0
        self.replied_s = float("-inf")

    def apply(
        self, reply: host_messages.HostReply, released: int, now_s: float
    ) -> None:
        """Applies a reply to a report.

        Args:
            reply: The reply.
            released: Value of `released` when the report was made.
            now_s: Time of the owner's clock.
        """
        self.term, self.accounted = reply.term, reply.last_sent
        self.arrival_deadlines_s.extend(
            [now_s + fleet_allocator.REGISTRATION_TIMEOUT_S] * reply.arriving
        )
        self.surplus, self.wanted = reply.surplus, reply.wanted
        self.replied_s = now_s
        self._count_released(self.released - released)

    def arrivals_s(self, lead_time_s: float) -> list[float]:
        """Returns when hosts that are on their way should start tasks."""
        return [
            until_s - fleet_allocator.REGISTRATION_TIMEOUT_S + lead_time_s
            for until_s in self.arrival_deadlines_s
        ]

    def record_released(self) -> None:
        """Counts a host as released, which reduces the surplus."""
        self.released += 1
        self._count_released(1)

    def _count_released(self, hosts: int) -> None:
        self.surplus = max(0, self.surplus - hosts)
        self.wanted = max(0, self.wanted - hosts)


class PoolResizer:
    """Reports the loads of one owner's pools and releases their hosts."""

    def __init__(
        self,
        owner: partition_owner.PartitionOwner,
        owns_pool: abc.Callable[[str], bool],
        client: hosts_owner_client.HostsOwnerClient,
        ports: ports_module.OwnerPorts,
        is_maintenance_due: abc.Callable[[str], bool],
    ) -> None:
        self._owner = owner
        self._owns_pool = owns_pool
        self._client = client
        self._ports = ports
        self._pools: dict[str, _Pool] = {}
        self._release = host_release.HostRelease(
            owner,
            client,
            ports,
            is_maintenance_due,
            lambda pool: self._pools[pool].record_released(),
        )

    async def run(self) -> None:
        """Resizes pools until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                configuration = self._ports.configuration()
                if (
                    configuration is not None
                    and self._owner.state.has_authority()
                ):
                    pools = self._resizable_pools(configuration)
                    await asyncio.gather(*map(self._resize, pools))
                    for name in pools:
                        self._release.turn_off_drained(name, group)
                await asyncio.sleep(RESIZE_INTERVAL_S)

    def _resizable_pools(
        self, configuration: model.FleetConfiguration
    ) -> list[str]:
        if not any(pool.is_spare for pool in configuration.pools.values()):
            return []
        return [
            pool.name
            for pool in configuration.pools.values()
            if not pool.is_spare and self._owns_pool(pool.name)
        ]

    async def _resize(self, name: str) -> None:
        now_s = self._now_s()
        pool = self._pools.setdefault(name, _Pool())
        self._update_arrivals(name, pool, now_s)
        self._release.drain_zones_out(name)
        if now_s - pool.replied_s > REPLY_TTL_S:
            pool.surplus = pool.wanted = 0
        lead_s = self._ports.limits.host_lead_time_s
        load = pool_load.measure(
            self._owner.state, name, pool.arrivals_s(lead_s)
        )
        if load is None or not self._is_conclusive(pool, load, now_s):
            return
        pool.autoscaler.record(load, now_s)
        self._release.adjust(name, surplus=pool.surplus, wanted=pool.wanted)
        report = self._measure_report(name, pool, load)
        is_settled = report.needed <= report.hosts <= report.retained
        interval_s = IDLE_REPORT_INTERVAL_S if is_settled else REPORT_INTERVAL_S
        if report.needed > RISE_RATIO * pool.reported_needed:
            interval_s = RESIZE_INTERVAL_S
        if now_s - pool.reported_s >= interval_s:
            pool.reported_s = now_s
            pool.reported_needed = report.needed
            await self._report(pool, load, report)

    async def _report(
        self,
        pool: _Pool,
        load: autoscaling.PoolLoad,
        report: host_messages.ReportLoad,
    ) -> None:
        """Reports the load of a pool and applies the reply."""
        released = pool.released
        reply = await self._client.report_load(report)
        if reply is not None and reply.reason == host_messages.REPLACED:
            # The store gave the partition to another host and back meanwhile;
            # that one has used a higher token.
            self._owner.state.mark_fenced()
        if reply is None or reply.reason:
            return
        pool.apply(reply, released, self._now_s())
        if reply.arriving:
            pool_growth.record(self._owner.state, load, report, reply.arriving)

    def _measure_report(
        self, name: str, pool: _Pool, load: autoscaling.PoolLoad
    ) -> host_messages.ReportLoad:
        now_s = self._now_s()
        hosts = (
            load.hosts
            + len(pool.arrival_deadlines_s)
            + len(pool.in_maintenance)
        )
        releasing = self._release.count_draining(name)
        # Hosts that are down for maintenance or on their way can't be released.
        min_hosts = max(
            autoscaling.MIN_HOSTS,
            load.min_hosts,
            hosts - self._release.count_releasable(name),
        )
        needed = max(min_hosts, pool.autoscaler.min_size(now_s))
        if load.min_hosts:
            # Tasks with a limit per worker can't use a cordoned host.
            needed = max(needed, load.min_hosts + len(pool.in_maintenance))
        retained = pool.autoscaler.max_size(now_s)
        return host_messages.ReportLoad(
            pool=name,
            token=self._owner.state.token,
            hosts=hosts,
            releasing=releasing,
            min_hosts=min_hosts,
            urgent=max(min_hosts, pool.autoscaler.urgent_size(now_s)),
            needed=needed,
            retained=max(
                needed, hosts + releasing if retained is None else retained
            ),
            term=pool.term,
            accounted=pool.accounted,
        )

    def _is_conclusive(
        self, pool: _Pool, load: autoscaling.PoolLoad, now_s: float
    ) -> bool:
        """Returns whether the load shows how many hosts the pool needs.

        A pool without hosts needs some once tasks have waited for a while.
        """
        if load.hosts or not any(load.pending):
            pool.empty_from_s = None
            return load.hosts > 0
        if pool.empty_from_s is None:
            pool.empty_from_s = now_s
        return now_s - pool.empty_from_s >= EMPTY_POOL_DELAY_S

    def _now_s(self) -> float:
        return self._ports.clock.monotonic()

    def _update_arrivals(self, name: str, pool: _Pool, now_s: float) -> None:
        """Counts new workers against the hosts expected to register."""
        watches = pool_load.watches_of(self._owner.state, name)
        found = {watch.view.worker_id for watch in watches}
        arrived = len(found - pool.known_workers)
        pool.known_workers |= found
        # Hosts that went down for maintenance return without a request.
        went_down = pool.in_maintenance - found
        pool.arrival_deadlines_s.extend(
            [now_s + fleet_allocator.REGISTRATION_TIMEOUT_S] * len(went_down)
        )
        pool.in_maintenance.clear()
        pool.in_maintenance.update(
            watch.view.worker_id
            for watch in watches
            if watch.view.cordoned_for == wave_controller.CORDON_REASON
        )
        waiting = [
            until_s for until_s in pool.arrival_deadlines_s if until_s > now_s
        ]
        pool.arrival_deadlines_s[:] = waiting[arrived:]
