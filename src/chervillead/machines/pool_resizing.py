"""Keeps the pools of one owner as large as their load asks.

Answers the pattern of queues that burst in turn; `jobs.autoscaling` decides how
many hosts a pool should have. Hosts come from the spare pool and go back there,
once they are idle, so that what one pool doesn't need serves the next.
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

PERIOD_S = 0.1
CORDON_REASON = "turning-off"
# A host that was ordered registers within this time, or not at all.
ARRIVAL_S = 4.0
# A spare pool that had too few hosts is asked again after this time.
BORROW_PAUSE_S = 0.5
# While no host orders hosts, it is tried again after this time.
RETRY_PAUSE_S = 0.2
# Idle hosts are offered this often to pools that lack some.
OFFER_PAUSE_S = 0.3
# A host that couldn't be turned off is left alone for this time.
REFUSED_PAUSE_S = 2.0
# A worker that has just come isn't turned off: the order that brought it and
# the one that takes it away must not follow each other closely.
SETTLED_S = 4.0
# Workers of each kind that a pool keeps, for steps that ask for their label.
MIN_OF_KIND = 2


class _Pool(typing.NamedTuple):
    """What a keeper knows of one pool.

    Attributes:
        size: Size that the pool should have.
        arriving: Times until which ordered hosts are waited for.
        in_upkeep: Workers that were seen being emptied for upkeep.
    """

    size: autoscaling.PoolAutoscaler
    arriving: list[float]
    in_maintenance: set[str]


class PoolResizer:
    """The sizes of one owner's pools."""

    def __init__(
        self,
        owner: partition_owner.PartitionOwner,
        owns_pool: abc.Callable[[str], bool],
        calls: hosts_owner_client.HostsOwnerClient,
        ports: ports_module.OwnerPorts,
        is_due: abc.Callable[[str], bool],
    ) -> None:
        self._is_due = is_due
        self._owner = owner
        self._owns_pool = owns_pool
        self._calls = calls
        self._ports = ports
        self._pools: dict[str, _Pool] = {}
        self._known: set[str] = set()
        self._borrow_from_s: dict[str, float] = {}
        self._offer_from_s: dict[str, float] = {}
        # Workers whose hosts may still be moved by an order without an answer.
        self._unanswered_until_s: dict[str, float] = {}
        self._paused_until_s: dict[str, float] = {}

    async def run(self) -> None:
        """Resizes pools until cancelled."""
        while True:
            configuration = self._ports.configuration()
            if configuration is not None and self._owner.state.has_authority():
                for pool in self._sized_pools(configuration):
                    await self._resize(pool)
            await asyncio.sleep(PERIOD_S)

    def _sized_pools(
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
        self._note_arrivals(name, pool, now_s)
        self._give_up_zones_out(name)
        await self._turn_off_emptied(name)
        load = pool_load.measure(self._owner.state, name)
        if load is None:
            return
        pool.size.record(load, now_s)
        hosts = load.hosts + len(pool.arriving) + len(pool.in_maintenance)
        missing = pool.size.min_size(now_s) - hosts
        if missing > 0:
            await self._grow(name, pool, missing, load)
            return
        most = pool.size.max_size(now_s)
        if most is not None:
            self._choose(name, load.hosts - most, load)
        await self._offer(name, load.hosts - pool.size.current_size(), load)

    def _now_s(self) -> float:
        return self._ports.clock.monotonic()

    def _note_arrivals(self, name: str, pool: _Pool, now_s: float) -> None:
        """Counts new workers against the hosts that were ordered."""
        found = {
            watch.view.worker_id
            for watch in pool_load.watches_of(self._owner.state, name)
        }
        arrived = len(found - self._known)
        self._known |= found
        # Hosts in upkeep come back by themselves.
        gone = pool.in_maintenance - found
        pool.arriving.extend([now_s + ARRIVAL_S] * len(gone))
        pool.in_maintenance.clear()
        pool.in_maintenance.update(
            watch.view.worker_id
            for watch in pool_load.watches_of(self._owner.state, name)
            if watch.view.cordoned_for == wave_controller.CORDON_REASON
        )
        waiting = [until_s for until_s in pool.arriving if until_s > now_s]
        pool.arriving[:] = waiting[arrived:]

    async def _grow(
        self,
        name: str,
        pool: _Pool,
        missing: int,
        load: autoscaling.PoolLoad,
    ) -> None:
        """Takes hosts back that are being emptied, and borrows the rest."""
        now_s = self._now_s()
        for watch in self._emptied(name)[:missing]:
            if not self._may_still_move(watch.view.worker_id):
                self._owner.drain.uncordon(watch.view.worker_id)
                missing -= 1
        if missing <= 0 or now_s < self._borrow_from_s.get(name, 0.0):
            return
        coming = await self._calls.borrow(name, missing)
        if coming is None:
            self._borrow_from_s[name] = self._now_s() + RETRY_PAUSE_S
            return
        self._borrow_from_s[name] = self._now_s() + BORROW_PAUSE_S
        pool.arriving.extend([self._now_s() + ARRIVAL_S] * coming)
        self._owner.state.log(
            "pool:growing",
            pool=name,
            hosts=load.hosts,
            missing=missing,
            coming=coming,
            used_millicores=load.used.millicores,
            waiting_millicores=load.pending.millicores,
        )

    def _give_up_zones_out(self, name: str) -> None:
        """Turns idle hosts off in zones where nothing may start."""
        zones_out = self._ports.zones_out()
        for watch in list(self._candidates(name)):
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
        """Gives hosts that are idle only now to pools that lack some."""
        now_s = self._now_s()
        surplus -= len(self._emptied(name))
        idle = min(surplus, len(list(self._candidates(name))))
        if idle <= 0 or now_s < self._offer_from_s.get(name, 0.0):
            return
        self._offer_from_s[name] = now_s + OFFER_PAUSE_S
        wanted = await self._calls.offer(name, idle)
        if wanted:
            self._choose(name, wanted + len(self._emptied(name)), load)

    def _choose(
        self, name: str, surplus: int, load: autoscaling.PoolLoad
    ) -> None:
        """Keeps new work from idle hosts that the pool doesn't need."""
        surplus -= len(self._emptied(name))
        idle = self._candidates(name)
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

    def _candidates(self, name: str) -> abc.Iterator[watch_module.WorkerWatch]:
        """Yields idle workers that the pool can do without.

        Lasting tasks stay where they are: moving them costs more of their time
        than the host's.
        """
        now_s = self._now_s()
        kinds: dict[frozenset[str], int] = {}
        watches = pool_load.watches_of(self._owner.state, name)
        for watch in watches:
            if not watch.view.cordoned_for:
                kind = _kind(watch)
                kinds[kind] = kinds.get(kind, 0) + 1
        for watch in watches:
            view = watch.view
            if (
                view.cordoned_for
                or view.runs
                or not view.has_answered
                or view.registration.is_draining
                or self._is_due(view.worker_id)
                or now_s - view.discovered_s < SETTLED_S
                or self._paused_until_s.get(view.worker_id, 0.0) > now_s
                or kinds[_kind(watch)] <= MIN_OF_KIND
            ):
                continue
            kinds[_kind(watch)] -= 1
            yield watch

    def _emptied(self, name: str) -> list[watch_module.WorkerWatch]:
        return [
            watch
            for watch in pool_load.watches_of(self._owner.state, name)
            if watch.view.cordoned_for == CORDON_REASON
        ]

    async def _turn_off_emptied(self, name: str) -> None:
        """Turns hosts off that run nothing and whose ends are recorded."""
        empty = []
        for watch in self._emptied(name):
            worker_id = watch.view.worker_id
            if not watch.view.runs and not (
                self._owner.drain.has_unrecorded_ends(worker_id)
            ):
                empty.append(worker_id)
        await asyncio.gather(*(self._turn_off(each) for each in empty))

    async def _turn_off(self, worker_id: str) -> None:
        outcome = await self._calls.turn_off(worker_id)
        if pipeline.is_successful(outcome):
            self._owner.drain.mark_host_down(
                worker_id, "its host is turned off"
            )
            return
        failure = outcome.failure()
        self._owner.state.log(
            "pool:turn-off-failed",
            worker=worker_id,
            refused=failure.rejection and failure.rejection.value,
            error=failure.detail,
        )
        now_s = self._now_s()
        if failure.rejection is None:
            until_s = now_s + host_controller.LATE_COMMAND_S
            self._unanswered_until_s[worker_id] = until_s
        elif not self._may_still_move(worker_id):
            self._paused_until_s[worker_id] = now_s + REFUSED_PAUSE_S
            self._owner.drain.uncordon(worker_id)

    def _may_still_move(self, worker_id: str) -> bool:
        """Returns whether an order without an answer may be carried out."""
        return self._now_s() < self._unanswered_until_s.get(worker_id, 0.0)


def _kind(watch: watch_module.WorkerWatch) -> frozenset[str]:
    registration = watch.view.registration
    return registration.labels - {registration.rack}
