"""Resizes the pools of one owner to match their load.

Intended for queues whose bursts alternate; `jobs.autoscaling` computes how many
hosts a pool should have. Hosts come from the spare pool and return to it when
they are idle, so that hosts which one pool does not need serve another.
"""

import asyncio
from collections import abc
import itertools
import typing

from returns import pipeline

from chervillead.jobs import autoscaling
from chervillead.jobs import model
from chervillead.machines import host_controller
from chervillead.machines import hosts_owner_client
from chervillead.machines import wave_controller
from chervillead.pools import partition_owner
from chervillead.pools import pool_load
from chervillead.pools import ports as ports_module
from chervillead.workers import watch as watch_module

RESIZE_INTERVAL_S = 0.1
CORDON_REASON = "turning-off"
# A host that was moved to a pool registers within this time, or not at all.
REGISTRATION_TIMEOUT_S = 4.0
# Minimum time between two requests of a pool to borrow hosts.
BORROW_INTERVAL_S = 0.5
# Retry interval while the hosts partition has no available owner.
BORROW_RETRY_INTERVAL_S = 0.2
# Interval at which idle hosts are offered to pools that lack hosts.
OFFER_INTERVAL_S = 0.3
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


class _Pool(typing.NamedTuple):
    """State of one pool.

    Attributes:
        autoscaler: Computes the size that the pool should have.
        arrival_deadlines_s: Per host that is expected to register, the time by
            which it does so or no longer counts.
        in_maintenance: Workers seen while they were drained for maintenance.
    """

    autoscaler: autoscaling.PoolAutoscaler
    arrival_deadlines_s: list[float]
    in_maintenance: set[str]


class PoolResizer:
    """Grows and shrinks the pools of one owner."""

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
        self._known_workers: set[str] = set()
        self._borrow_from_s: dict[str, float] = {}
        self._offer_from_s: dict[str, float] = {}
        # Workers whose hosts an unanswered command may still move.
        self._unanswered_until_s: dict[str, float] = {}
        self._paused_until_s: dict[str, float] = {}
        # Since when tasks wait in each pool that has no host.
        self._empty_from_s: dict[str, float] = {}

    async def run(self) -> None:
        """Resizes pools until cancelled."""
        while True:
            configuration = self._ports.configuration()
            if configuration is not None and self._owner.state.has_authority():
                for pool in self._resizable_pools(configuration):
                    await self._resize(pool)
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
        pool = self._pools.setdefault(
            name, _Pool(autoscaling.PoolAutoscaler(), [], set())
        )
        self._update_arrivals(name, pool, now_s)
        self._drain_zones_out(name)
        await self._turn_off_drained(name)
        load = pool_load.measure(self._owner.state, name)
        if load is None or not self._is_conclusive(name, load, now_s):
            return
        pool.autoscaler.record(load, now_s)
        hosts = (
            load.hosts
            + len(pool.arrival_deadlines_s)
            + len(pool.in_maintenance)
        )
        missing = pool.autoscaler.min_size(now_s) - hosts
        if missing > 0:
            await self._grow(name, pool, missing, load)
            return
        max_size = pool.autoscaler.max_size(now_s)
        if max_size is not None:
            self._drain_surplus(name, load.hosts - max_size, load)
        await self._offer(
            name, load.hosts - pool.autoscaler.current_size(), load
        )

    def _is_conclusive(
        self, name: str, load: autoscaling.PoolLoad, now_s: float
    ) -> bool:
        """Returns whether the load tells how many hosts the pool needs.

        A pool without hosts needs some once tasks have waited for a while.
        """
        if load.hosts or not any(load.pending):
            self._empty_from_s.pop(name, None)
            return load.hosts > 0
        empty_from_s = self._empty_from_s.setdefault(name, now_s)
        return now_s - empty_from_s >= EMPTY_POOL_DELAY_S

    def _now_s(self) -> float:
        return self._ports.clock.monotonic()

    def _update_arrivals(self, name: str, pool: _Pool, now_s: float) -> None:
        """Counts new workers against the hosts expected to register."""
        found = {
            watch.view.worker_id
            for watch in pool_load.watches_of(self._owner.state, name)
        }
        arrived = len(found - self._known_workers)
        self._known_workers |= found
        # Hosts that went down for maintenance return without a request.
        went_down = pool.in_maintenance - found
        pool.arrival_deadlines_s.extend(
            [now_s + REGISTRATION_TIMEOUT_S] * len(went_down)
        )
        pool.in_maintenance.clear()
        pool.in_maintenance.update(
            watch.view.worker_id
            for watch in pool_load.watches_of(self._owner.state, name)
            if watch.view.cordoned_for == wave_controller.CORDON_REASON
        )
        waiting = [
            until_s for until_s in pool.arrival_deadlines_s if until_s > now_s
        ]
        pool.arrival_deadlines_s[:] = waiting[arrived:]

    async def _grow(
        self,
        name: str,
        pool: _Pool,
        missing: int,
        load: autoscaling.PoolLoad,
    ) -> None:
        """Uncordons hosts that are being drained, and borrows the rest."""
        now_s = self._now_s()
        for watch in self._draining(name)[:missing]:
            if not self._may_still_move(watch.view.worker_id):
                self._owner.drain.uncordon(watch.view.worker_id)
                missing -= 1
        if missing <= 0 or now_s < self._borrow_from_s.get(name, 0.0):
            return
        arriving = await self._client.borrow(name, missing)
        if arriving is None:
            self._borrow_from_s[name] = self._now_s() + BORROW_RETRY_INTERVAL_S
            return
        self._borrow_from_s[name] = self._now_s() + BORROW_INTERVAL_S
        pool.arrival_deadlines_s.extend(
            [self._now_s() + REGISTRATION_TIMEOUT_S] * arriving
        )
        self._owner.state.log(
            "pool:growing",
            pool=name,
            hosts=load.hosts,
            missing=missing,
            arriving=arriving,
            used_millicores=load.used.millicores,
            pending_millicores=load.pending.millicores,
        )

    def _drain_zones_out(self, name: str) -> None:
        """Drains idle hosts in zones that are out of service."""
        zones_out = self._ports.zones_out()
        for watch in list(self._idle_workers(name)):
            zone = watch.view.registration.zone
            if zone in zones_out and self._owner.drain.cordon(
                watch.view.worker_id, CORDON_REASON
            ):
                self._owner.state.log(
                    "pool:shrinking",
                    pool=name,
                    worker=watch.view.worker_id,
                    zone_out=zone,
                )

    async def _offer(
        self, name: str, surplus: int, load: autoscaling.PoolLoad
    ) -> None:
        """Offers hosts that became idle to pools that lack hosts."""
        now_s = self._now_s()
        surplus -= len(self._draining(name))
        idle = min(surplus, len(list(self._idle_workers(name))))
        if idle <= 0 or now_s < self._offer_from_s.get(name, 0.0):
            return
        self._offer_from_s[name] = now_s + OFFER_INTERVAL_S
        wanted = await self._client.offer(name, idle)
        if wanted:
            self._drain_surplus(name, wanted + len(self._draining(name)), load)

    def _drain_surplus(
        self, name: str, surplus: int, load: autoscaling.PoolLoad
    ) -> None:
        """Cordons idle hosts that the pool does not need."""
        surplus -= len(self._draining(name))
        idle = self._idle_workers(name)
        for watch in itertools.islice(idle, max(0, surplus)):
            worker_id = watch.view.worker_id
            if not self._owner.drain.cordon(worker_id, CORDON_REASON):
                continue
            self._owner.state.log(
                "pool:shrinking",
                pool=name,
                worker=worker_id,
                hosts=load.hosts,
                surplus=surplus,
                used_millicores=load.used.millicores,
            )

    def _idle_workers(
        self, name: str
    ) -> abc.Iterator[watch_module.WorkerWatch]:
        """Yields idle workers that the pool can release.

        Hosts with long-running tasks are kept: moving a task would cost more of
        its time than releasing the host saves.
        """
        now_s = self._now_s()
        counts: dict[frozenset[str], int] = {}
        watches = pool_load.watches_of(self._owner.state, name)
        for watch in watches:
            if not watch.view.cordoned_for:
                label_set = _label_set(watch)
                counts[label_set] = counts.get(label_set, 0) + 1
        for watch in watches:
            view = watch.view
            if (
                view.cordoned_for
                or view.runs
                or not view.has_answered
                or view.registration.is_draining
                or self._is_maintenance_due(view.worker_id)
                or now_s - view.discovered_s < MIN_WORKER_AGE_S
                or self._paused_until_s.get(view.worker_id, 0.0) > now_s
                or counts[_label_set(watch)] <= MIN_WORKERS_PER_LABEL_SET
            ):
                continue
            counts[_label_set(watch)] -= 1
            yield watch

    def _draining(self, name: str) -> list[watch_module.WorkerWatch]:
        return [
            watch
            for watch in pool_load.watches_of(self._owner.state, name)
            if watch.view.cordoned_for == CORDON_REASON
        ]

    async def _turn_off_drained(self, name: str) -> None:
        """Turns off drained hosts once the ends of their runs are recorded."""
        drained = []
        for watch in self._draining(name):
            worker_id = watch.view.worker_id
            if not watch.view.runs and not (
                self._owner.drain.has_unrecorded_ends(worker_id)
            ):
                drained.append(worker_id)
        await asyncio.gather(*(self._turn_off(each) for each in drained))

    async def _turn_off(self, worker_id: str) -> None:
        outcome = await self._client.turn_off(worker_id)
        if pipeline.is_successful(outcome):
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
