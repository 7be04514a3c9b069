"""Brings the hosts of one owner's pools through waves of upkeep."""

import asyncio
import collections
from collections import abc
import typing

from returns import pipeline

from chervillead.jobs import host_maintenance
from chervillead.machines import host_controller
from chervillead.machines import hosts_owner_client
from chervillead.machines import interface
from chervillead.pools import partition_owner
from chervillead.pools import ports as ports_module
from chervillead.store import interface as store_interface

MAINTENANCE_TOPIC = "keyed.upkeep"
PERIOD_S = 0.25
IDLE_PERIOD_S = 0.5
# The list of hosts is read this often while hosts are due.
LIST_PERIOD_S = 1.0
# Tasks that end by themselves are waited for this long when upkeep presses.
BATCH_PATIENCE_S = 4.0
REFUSED_PAUSE_S = 0.5
CORDON_REASON = "upkeep"


class WavePorts(typing.NamedTuple):
    """What upkeep needs.

    Attributes:
        list_hosts: Returns all hosts.
        hosts: Orders for hosts.
        store: The store, which keeps what has been done.
        waves: Returns the waves that operators published.
        report: Writes how far a wave is: its number and whether it is done.
    """

    list_hosts: interface.ListHosts
    hosts: hosts_owner_client.HostsOwnerClient
    store: store_interface.Store
    waves: abc.Callable[[], abc.Iterable[interface.Wave]]
    report: abc.Callable[[int, bool], abc.Awaitable[bool]]


class _Emptying(typing.NamedTuple):
    """A host that gets no new work and is about to go down."""

    machine: str
    worker_id: str
    wave: int
    since_s: float


class WaveController:
    """Upkeep of the hosts of one partition's pools."""

    def __init__(
        self,
        owner: partition_owner.PartitionOwner,
        owns_pool: abc.Callable[[str], bool],
        ports: WavePorts,
        owner_ports: ports_module.OwnerPorts,
        *,
        reports_waves: bool,
    ) -> None:
        self._owner = owner
        self._owns_pool = owns_pool
        self._ports = ports
        self._clock = owner_ports.clock
        self._log = owner_ports.log
        self._limits = owner_ports.limits
        self._configuration = owner_ports.configuration
        self._reports_waves = reports_waves
        self._machines: dict[str, interface.Host] = {}
        self._listed_s = float("-inf")
        self._done: set[tuple[int, str]] = set()
        self._down_until_s: dict[str, float] = {}
        self._emptying: dict[str, _Emptying] = {}
        self._paused_until_s: dict[str, float] = {}
        self._reported: dict[int, bool] = {}
        # When all hosts of a pool were first known to have begun a wave.
        self._finished_s: dict[tuple[int, str], float] = {}

    async def run(self) -> None:
        """Works through waves until cancelled.

        Hosts that a former owner has just taken down are up again before the
        first order.
        """
        orders_from_s = self._clock.monotonic() + self._back_s
        while True:
            if self._owner.workers.has_uncontacted_workers():
                await self._look_at_hosts()
            waves = [w for w in self._ports.waves() if not self._is_over(w)]
            is_early = self._clock.monotonic() < orders_from_s
            if waves and not is_early and self._is_concerned():
                await self._refresh()
                for wave in waves:
                    await self._advance(wave)
            await asyncio.sleep(PERIOD_S if waves else IDLE_PERIOD_S)

    def _is_concerned(self) -> bool:
        """Returns whether the partition has pools or reports on waves."""
        configuration = self._configuration()
        return self._reports_waves or (
            configuration is not None
            and any(self._owns_pool(pool) for pool in configuration.pools)
        )

    def is_due(self, worker_id: str) -> bool:
        """Returns whether a wave still waits for the host of a worker."""
        now_s = self._clock.monotonic()
        names = [
            machine.name
            for machine in self._machines.values()
            if machine.worker_id == worker_id
        ]
        return any(
            name in wave.hosts and (wave.number, name) not in self._done
            for wave in self._ports.waves()
            if now_s < wave.first_seen_s + wave.duration_s
            for name in names
        )

    async def _look_at_hosts(self) -> None:
        """Looks which workers may live beside those that are known.

        A host that is up and names a worker may be cut off; one that is down,
        or names another worker, runs nothing of it any more.
        """
        listed = await self._ports.list_hosts()
        if pipeline.is_successful(listed):
            self._owner.workers.apply_host_list(
                {
                    machine.worker_id
                    for machine in listed.unwrap()
                    if machine.state is interface.HostState.UP
                    and machine.worker_id
                    and self._owns_pool(machine.pool)
                }
            )

    @property
    def _back_s(self) -> float:
        """Time after which a host that went down counts as up."""
        return self._limits.maintenance_s + host_controller.RECOVERY_MARGIN_S

    def _is_over(self, wave: interface.Wave) -> bool:
        return self._reported.get(wave.number) is True

    async def _refresh(self) -> None:
        """Reads the list of hosts and what has been done."""
        now_s = self._clock.monotonic()
        if now_s - self._listed_s < LIST_PERIOD_S:
            return
        listed = await self._ports.list_hosts()
        done = await self._ports.store.read_latest(MAINTENANCE_TOPIC, 0)
        if pipeline.is_successful(listed) and pipeline.is_successful(done):
            self._machines = {m.name: m for m in listed.unwrap()}
            self._listed_s = now_s
            for record in done.unwrap().records:
                wave, _, machine = record.key.partition("/")
                self._done.add((int(wave), machine))

    async def _advance(self, wave: interface.Wave) -> None:
        if not self._machines:
            return
        if self._reports_waves:
            await self._report(wave)
        due = [
            self._machines[name]
            for name in wave.hosts
            if name in self._machines and (wave.number, name) not in self._done
        ]
        mine = [m for m in due if self._owns_pool(m.pool)]
        slots = self._slots(wave, due)
        self._choose(wave, mine, slots)
        for entry in list(self._emptying.values()):
            if entry.wave == wave.number:
                await self._empty(entry, wave)

    def _slots(
        self, wave: interface.Wave, due: list[interface.Host]
    ) -> dict[str, int]:
        """Returns how many more hosts of each pool may be chosen."""
        now_s = self._clock.monotonic()
        counts = collections.Counter(
            self._machines[name].pool
            for name in wave.hosts
            if name in self._machines
        )
        due_pools = {machine.pool for machine in due}
        for pool in counts:
            if pool not in due_pools:
                self._finished_s.setdefault((wave.number, pool), now_s)
        finished = {
            pool
            for (number, pool), since_s in self._finished_s.items()
            if number == wave.number and now_s - since_s > self._back_s
        }
        parts = host_maintenance.split_cap(wave.cap, counts, finished)
        for name, until_s in self._down_until_s.items():
            if now_s < until_s and name in self._machines:
                pool = self._machines[name].pool
                parts[pool] = parts.get(pool, 0) - 1
        for machine in self._emptying.values():
            pool = self._machines[machine.machine].pool
            parts[pool] = parts.get(pool, 0) - 1
        return parts

    def _choose(
        self,
        wave: interface.Wave,
        mine: list[interface.Host],
        slots: abc.Mapping[str, int],
    ) -> None:
        now_s = self._clock.monotonic()
        by_pool: dict[str, list[interface.Host]] = {}
        for machine in mine:
            if machine.name not in self._emptying:
                by_pool.setdefault(machine.pool, []).append(machine)
        for pool, machines in by_pool.items():
            pressing = host_maintenance.is_urgent(
                due=len(machines),
                slots=max(1, slots.get(pool, 0)),
                time_left_s=wave.first_seen_s + wave.duration_s - now_s,
                cycle_s=self._limits.maintenance_s + BATCH_PATIENCE_S,
            )
            candidates = (
                self._candidate(machine)
                for machine in machines
                if machine.state is interface.HostState.UP
                and self._paused_until_s.get(machine.name, 0.0) <= now_s
            )
            chosen = host_maintenance.select_hosts(
                candidates,
                slots=slots.get(pool, 0),
                urgent=pressing,
                pending_tasks=self._owner.drain.count_pending_tasks(pool),
            )
            for name in chosen:
                worker_id = self._machines[name].worker_id
                if not self._owner.drain.cordon(worker_id, CORDON_REASON):
                    continue
                self._emptying[name] = _Emptying(
                    name, worker_id, wave.number, now_s
                )
                self._log(
                    "upkeep:chosen",
                    machine=name,
                    worker=worker_id,
                    wave=wave.number,
                    pressing=pressing,
                )

    def _candidate(self, machine: interface.Host) -> host_maintenance.Candidate:
        batch, lasting = self._owner.drain.task_counts(machine.worker_id)
        return host_maintenance.Candidate(machine.name, batch, lasting)

    async def _empty(self, entry: _Emptying, wave: interface.Wave) -> None:
        """Stops what may be stopped; orders the upkeep of an empty host."""
        self._owner.drain.stop_long_running(entry.worker_id, "upkeep")
        batch, lasting = self._owner.drain.task_counts(entry.worker_id)
        now_s = self._clock.monotonic()
        is_unclear = batch or not self._owner.drain.are_runs_known(
            entry.worker_id
        )
        is_patient = now_s - entry.since_s < BATCH_PATIENCE_S
        if lasting or (is_unclear and is_patient):
            return
        if self._owner.drain.has_unrecorded_ends(entry.worker_id):
            return
        if not self._owner.state.has_authority():
            return
        outcome = await self._ports.hosts.begin_maintenance(
            entry.machine, wave.number
        )
        if pipeline.is_successful(outcome):
            await self._note_begun(entry, wave)
            return
        failure = outcome.failure()
        self._log(
            "upkeep:failed",
            machine=entry.machine,
            wave=wave.number,
            refused=failure.rejection and failure.rejection.value,
            error=failure.detail,
        )
        if failure.rejection in (
            interface.RejectionReason.NOT_IN_WAVE,
            interface.RejectionReason.UNKNOWN,
        ):
            self._done.add((wave.number, entry.machine))
        if failure.rejection is not None:
            self._release(entry, now_s + REFUSED_PAUSE_S)

    async def _note_begun(self, entry: _Emptying, wave: interface.Wave) -> None:
        now_s = self._clock.monotonic()
        self._done.add((wave.number, entry.machine))
        self._down_until_s[entry.machine] = now_s + self._back_s
        self._emptying.pop(entry.machine, None)
        if await self._is_down(entry):
            self._owner.drain.mark_host_down(entry.worker_id, CORDON_REASON)
        else:
            self._owner.drain.uncordon(entry.worker_id)
        self._log(
            "upkeep:begun",
            machine=entry.machine,
            worker=entry.worker_id,
            wave=wave.number,
            token=self._owner.state.token,
        )
        key = f"{wave.number}/{entry.machine}"
        record = store_interface.KeyedRecord(key, b"begun")
        stored = await self._ports.store.append(
            MAINTENANCE_TOPIC, 0, (record,), None
        )
        if not pipeline.is_successful(stored):
            # A later owner orders it once more, which changes nothing.
            self._log(
                "upkeep:unrecorded", key=key, error=stored.failure().detail
            )

    async def _is_down(self, entry: _Emptying) -> bool:
        """Returns whether a host surely doesn't run its worker any more.

        The order is answered with success also if the upkeep was done long ago;
        then the worker is a later one and runs on.
        """
        listed = await self._ports.list_hosts()
        if not pipeline.is_successful(listed):
            return False
        return not any(
            machine.state is interface.HostState.UP
            and machine.worker_id == entry.worker_id
            for machine in listed.unwrap()
        )

    def _release(self, entry: _Emptying, until_s: float) -> None:
        self._emptying.pop(entry.machine, None)
        self._paused_until_s[entry.machine] = until_s
        self._owner.drain.uncordon(entry.worker_id)

    async def _report(self, wave: interface.Wave) -> None:
        """Tells operators how far a wave is."""
        is_done = all(
            (wave.number, name) in self._done
            for name in wave.hosts
            if name in self._machines
        )
        if self._reported.get(wave.number) == is_done:
            return
        if await self._ports.report(wave.number, is_done):
            self._reported[wave.number] = is_done
            self._log("wave:reported", wave=wave.number, completed=is_done)
