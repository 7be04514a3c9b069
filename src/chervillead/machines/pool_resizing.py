"""Reports the loads of one owner's pools and empties hosts for other pools.

`jobs.autoscaling` computes how many hosts a pool needs; the owner of the hosts
partition weighs that against the needs of other pools and replies how many the
pool should release. Without a reply, a pool keeps what it has.
"""

import asyncio
from collections import abc

from returns import pipeline

from chervillead.entries import host_messages
from chervillead.jobs import autoscaling
from chervillead.jobs import model
from chervillead.machines import fleet_allocator
from chervillead.machines import host_controller
from chervillead.machines import hosts_owner_client
from chervillead.machines import wave_controller
from chervillead.pools import partition_owner
from chervillead.pools import pool_load
from chervillead.pools import ports as ports_module
from chervillead.workers import view as view_module
from chervillead.workers import watch as watch_module

RESIZE_INTERVAL_S = 0.1
CORDON_REASON = "turning-off"
# Intervals of reports while the pool needs more or fewer hosts than it has, and
# otherwise.
REPORT_INTERVAL_S = 0.3
IDLE_REPORT_INTERVAL_S = 1.0
# Hosts are released by a reply for this long, and kept without a later one.
REPLY_TTL_S = 2.0
# A host whose turn-off was rejected stays in use for at least this time.
REJECTION_BACKOFF_S = 2.0
# A new worker is not turned off before this age: the commands that move its
# host in and out must not follow each other closely.
MIN_WORKER_AGE_S = 4.0
# A new owner reaches the workers of its pools within this time; a pool without
# hosts for longer has none.
EMPTY_POOL_DELAY_S = 2.0
# Workers that a pool keeps per set of labels, for steps that require a label.
MIN_WORKERS_PER_LABEL_SET = 2


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
        self._is_maintenance_due = is_maintenance_due
        self._owner = owner
        self._owns_pool = owns_pool
        self._client = client
        self._ports = ports
        self._pools: dict[str, _Pool] = {}
        # Workers whose hosts are being turned off.
        self._turning_off: set[str] = set()
        # Workers whose hosts an unanswered command may still move.
        self._unanswered_until_s: dict[str, float] = {}
        self._paused_until_s: dict[str, float] = {}

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
                        self._turn_off_drained(name, group)
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
        self._drain_zones_out(name)
        if now_s - pool.replied_s > REPLY_TTL_S:
            pool.surplus = pool.wanted = 0
        load = pool_load.measure(self._owner.state, name)
        if load is None or not self._is_conclusive(pool, load, now_s):
            return
        pool.autoscaler.record(load, now_s)
        self._adjust_draining(name, pool, load)
        report = self._measure_report(name, pool, load)
        is_settled = report.needed <= report.hosts <= report.retained
        interval_s = IDLE_REPORT_INTERVAL_S if is_settled else REPORT_INTERVAL_S
        if now_s - pool.reported_s >= interval_s:
            pool.reported_s = now_s
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
        if reply is None:
            return
        pool.apply(reply, released, self._now_s())
        if reply.arriving:
            self._owner.state.log(
                "pool:growing",
                pool=report.pool,
                hosts=load.hosts,
                needed=report.needed,
                arriving=reply.arriving,
                used_millicores=load.used.millicores,
                pending_millicores=load.pending.millicores,
            )

    def _measure_report(
        self, name: str, pool: _Pool, load: autoscaling.PoolLoad
    ) -> host_messages.ReportLoad:
        now_s = self._now_s()
        hosts = (
            load.hosts
            + len(pool.arrival_deadlines_s)
            + len(pool.in_maintenance)
        )
        releasing = len(self._draining(name))
        # Hosts that are down for maintenance or on their way can't be released.
        min_hosts = max(
            autoscaling.MIN_HOSTS,
            load.min_hosts,
            hosts - self._releasable(name),
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
        """Returns whether the load tells how many hosts the pool needs.

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
        found = {watch.view.worker_id for watch in self._watches(name)}
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
            for watch in self._watches(name)
            if watch.view.cordoned_for == wave_controller.CORDON_REASON
        )
        waiting = [
            until_s for until_s in pool.arrival_deadlines_s if until_s > now_s
        ]
        pool.arrival_deadlines_s[:] = waiting[arrived:]

    def _drain_zones_out(self, name: str) -> None:
        """Drains idle hosts in zones that are out of service."""
        zones_out = self._ports.zones_out()
        for watch in self._releasable_workers(name):
            zone = watch.view.registration.zone
            if (
                zone in zones_out
                and not watch.view.runs
                and self._owner.drain.cordon(
                    watch.view.worker_id, CORDON_REASON
                )
            ):
                self._owner.state.log(
                    "pool:shrinking",
                    pool=name,
                    worker=watch.view.worker_id,
                    zone_out=zone,
                )

    def _adjust_draining(
        self, name: str, pool: _Pool, load: autoscaling.PoolLoad
    ) -> None:
        """Cordons as many hosts as the pool should release.

        Hosts that are idle go first. Busy ones are emptied only for another
        pool that waits for hosts.
        """
        zones_out = self._ports.zones_out()
        draining = [
            watch
            for watch in self._draining(name)
            if watch.view.registration.zone not in zones_out
        ]
        for watch in self._by_load(draining)[pool.surplus :]:
            worker_id = watch.view.worker_id
            if worker_id not in self._turning_off and not self._may_still_move(
                worker_id
            ):
                self._owner.drain.uncordon(worker_id)
        missing = pool.surplus - len(draining)
        candidates = self._by_load(self._releasable_workers(name))
        for number, watch in enumerate(candidates[: max(0, missing)]):
            if watch.view.runs and len(draining) + number >= pool.wanted:
                break
            worker_id = watch.view.worker_id
            if not self._owner.drain.cordon(worker_id, CORDON_REASON):
                continue
            self._owner.state.log(
                "pool:shrinking",
                pool=name,
                worker=worker_id,
                hosts=load.hosts,
                surplus=pool.surplus,
                wanted=pool.wanted,
                runs=len(watch.view.runs),
                used_millicores=load.used.millicores,
            )

    def _by_load(
        self, watches: abc.Iterable[watch_module.WorkerWatch]
    ) -> list[watch_module.WorkerWatch]:
        return sorted(
            watches,
            key=lambda watch: (
                watch.view.reserved().millicores,
                len(watch.view.runs),
            ),
        )

    def _releasable(self, name: str) -> int:
        """Returns how many hosts of a pool could be released."""
        return sum(1 for _ in self._releasable_workers(name))

    def _releasable_workers(
        self, name: str
    ) -> abc.Iterator[watch_module.WorkerWatch]:
        """Yields workers that the pool can release, once they are idle.

        Hosts with long-running tasks are kept: moving a task would cost more of
        its time than releasing the host saves.
        """
        now_s = self._now_s()
        counts: dict[frozenset[str], int] = {}
        watches = self._watches(name)
        for watch in watches:
            if not watch.view.cordoned_for:
                label_set = _label_set(watch)
                counts[label_set] = counts.get(label_set, 0) + 1
        for watch in self._by_load(watches):
            view = watch.view
            if (
                view.cordoned_for
                or view.has_long_running
                or not view.has_answered
                or view.registration.is_draining
                or self._is_maintenance_due(view.worker_id)
                or self._age_s(view) < MIN_WORKER_AGE_S
                or self._paused_until_s.get(view.worker_id, 0.0) > now_s
                or counts[_label_set(watch)] <= MIN_WORKERS_PER_LABEL_SET
            ):
                continue
            counts[_label_set(watch)] -= 1
            yield watch

    def _age_s(self, view: view_module.WorkerView) -> float:
        """Returns how long a worker has certainly been in its pool.

        Its start tells that even to an owner that has just taken over.
        """
        started_s = view.registration.incarnation / 1000
        return max(
            self._now_s() - view.discovered_s,
            self._ports.clock.wall() - started_s,
        )

    def _watches(self, name: str) -> list[watch_module.WorkerWatch]:
        return pool_load.watches_of(self._owner.state, name)

    def _draining(self, name: str) -> list[watch_module.WorkerWatch]:
        return [
            watch
            for watch in self._watches(name)
            if watch.view.cordoned_for == CORDON_REASON
        ]

    def _turn_off_drained(self, name: str, group: asyncio.TaskGroup) -> None:
        """Turns off drained hosts once the ends of their runs are recorded."""
        for watch in self._draining(name):
            worker_id = watch.view.worker_id
            if (
                worker_id in self._turning_off
                or watch.view.runs
                or self._owner.drain.has_unrecorded_ends(worker_id)
            ):
                continue
            self._turning_off.add(worker_id)
            group.create_task(self._turn_off(name, worker_id))

    async def _turn_off(self, name: str, worker_id: str) -> None:
        outcome = await self._client.turn_off(
            host_messages.TurnOffHost(worker_id, name, self._owner.state.token)
        )
        self._turning_off.discard(worker_id)
        if pipeline.is_successful(outcome):
            self._pools[name].record_released()
            self._owner.drain.mark_host_down(
                worker_id, "its host is turned off"
            )
            return
        failure = outcome.failure()
        self._owner.state.log(
            "pool:turn-off-failed",
            worker=worker_id,
            rejection=failure.rejection and failure.rejection.value,
            error=failure.detail,
        )
        now_s = self._now_s()
        if failure.rejection is None:
            until_s = now_s + host_controller.LATE_COMMAND_S
            self._unanswered_until_s[worker_id] = until_s
        elif not self._may_still_move(worker_id):
            self._paused_until_s[worker_id] = now_s + REJECTION_BACKOFF_S
            self._owner.drain.uncordon(worker_id)

    def _may_still_move(self, worker_id: str) -> bool:
        """Returns whether an unanswered command may still move the host."""
        return self._now_s() < self._unanswered_until_s.get(worker_id, 0.0)


def _label_set(watch: watch_module.WorkerWatch) -> frozenset[str]:
    registration = watch.view.registration
    return registration.labels - {registration.rack}
