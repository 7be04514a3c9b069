"""Drains the hosts of one owner's pools and takes them through waves."""

import asyncio
import collections
from collections import abc
import typing

from returns import pipeline

from chervillead.entries import host_messages
from chervillead.jobs import host_maintenance
from chervillead.machines import hosts_owner_client
from chervillead.machines import interface
from chervillead.machines import wave_downtime
from chervillead.machines import wave_hosts
from chervillead.pools import partition_owner
from chervillead.pools import ports as ports_module
from chervillead.store import interface as store_interface

INTERVAL_S = 0.25
IDLE_INTERVAL_S = 0.5
# How long batch tasks may take to end on a host that is being drained.
BATCH_GRACE_PERIOD_S = 4.0
REJECTION_BACKOFF_S = 0.5
CORDON_REASON = "maintenance"


class WavePorts(typing.NamedTuple):
    """What the wave controller needs from the rest of the process.

    Attributes:
        list_hosts: Returns all hosts.
        hosts_owner: Client of the owner of the hosts partition.
        store: Store of the record of maintenance that has begun.
        waves: Returns the waves that operators published.
        report: Publishes the status of a wave: its number and whether it is
            completed. Returns whether the status was stored.
    """

    list_hosts: interface.ListHosts
    hosts_owner: hosts_owner_client.HostsOwnerClient
    store: store_interface.Store
    waves: abc.Callable[[], abc.Iterable[interface.Wave]]
    report: abc.Callable[[int, bool], abc.Awaitable[bool]]


class _DrainingHost(typing.NamedTuple):
    """A cordoned host whose maintenance begins once it runs nothing."""

    name: str
    worker_id: str
    wave: int
    since_s: float


class WaveController:
    """Carries out maintenance waves on the hosts of a partition's pools."""

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
        self._recovery_s = wave_downtime.recovery_s(
            owner_ports.limits.maintenance_s
        )
        self._configuration = owner_ports.configuration
        self._reports_waves = reports_waves
        self._hosts = wave_hosts.WaveHosts(
            ports.list_hosts, ports.store, owner_ports.clock.monotonic
        )
        self._down_until_s: dict[str, float] = {}
        self._draining: dict[str, _DrainingHost] = {}
        self._paused_until_s: dict[str, float] = {}
        self._reported: dict[int, bool] = {}
        # When all hosts of a pool in a wave were first known to have begun.
        self._pool_begun_s: dict[tuple[int, str], float] = {}

    async def run(self) -> None:
        """Processes waves until cancelled.

        The owner of the hosts partition enforces the cap, also for hosts that a
        previous owner may just have taken down.
        """
        while True:
            if self._owner.recovery.has_uncontacted_workers():
                await self._apply_host_list()
            waves = [
                w for w in self._ports.waves() if not self._is_completed(w)
            ]
            if waves and self._is_responsible():
                await self._hosts.refresh()
                for wave in waves:
                    await self._advance(wave)
            await asyncio.sleep(INTERVAL_S if waves else IDLE_INTERVAL_S)

    def _is_responsible(self) -> bool:
        """Returns whether this owner has pools or reports on waves."""
        configuration = self._configuration()
        return self._reports_waves or (
            configuration is not None
            and any(self._owns_pool(pool) for pool in configuration.pools)
        )

    def is_due(self, worker_id: str) -> bool:
        """Returns whether the host of a worker is due in a current wave.

        A host that isn't in the list yet may be due.
        """
        now_s = self._clock.monotonic()
        waves = [
            wave
            for wave in self._ports.waves()
            if now_s < wave.first_seen_s + wave.duration_s
        ]
        if not waves:
            return False
        name = self._hosts.name_of(worker_id)
        return name is None or any(
            name in wave.hosts and not self._hosts.has_begun(wave.number, name)
            for wave in waves
        )

    async def _apply_host_list(self) -> None:
        """Updates the workers that may be running according to the host list.

        A worker whose host is up may merely be unreachable. If its host is down
        or lists another worker, the worker has ended.
        """
        listed = await self._ports.list_hosts()
        if pipeline.is_successful(listed):
            self._owner.workers.apply_host_list(
                {
                    host.worker_id
                    for host in listed.unwrap()
                    if host.state is interface.HostState.UP
                    and host.worker_id
                    and self._owns_pool(host.pool)
                }
            )

    def _is_completed(self, wave: interface.Wave) -> bool:
        return self._reported.get(wave.number) is True

    async def _advance(self, wave: interface.Wave) -> None:
        if not self._hosts.by_name:
            return
        if self._reports_waves:
            await self._report(wave)
        due = [
            host
            for host in self._hosts.of_wave(wave)
            if not self._hosts.has_begun(wave.number, host.name)
        ]
        owned = [host for host in due if self._owns_pool(host.pool)]
        slots = self._free_slots(wave, due)
        self._start_draining(wave, owned, slots)
        for draining in list(self._draining.values()):
            if draining.wave == wave.number:
                await self._continue_draining(draining, wave)

    def _free_slots(
        self, wave: interface.Wave, due: list[interface.Host]
    ) -> dict[str, int]:
        """Returns how many more hosts of each pool may be drained.

        A pool with due hosts may always drain one, so that it doesn't wait for
        a host of another pool that stays away.
        """
        now_s = self._clock.monotonic()
        hosts = self._hosts.by_name
        counts = collections.Counter(
            host.pool for host in self._hosts.of_wave(wave)
        )
        due_pools = {host.pool for host in due}
        for pool in counts:
            if pool not in due_pools:
                self._pool_begun_s.setdefault((wave.number, pool), now_s)
        finished = {
            pool
            for (number, pool), since_s in self._pool_begun_s.items()
            if number == wave.number and now_s - since_s > self._recovery_s
        }
        parts = host_maintenance.split_cap(wave.cap, counts, finished)
        free_slots = {pool: max(1, parts.get(pool, 0)) for pool in due_pools}
        down = {
            name
            for name, until_s in self._down_until_s.items()
            if now_s < until_s
        } | {
            host.name
            for host in self._hosts.of_wave(wave)
            if host.state is interface.HostState.MAINTENANCE
        }
        for name in down & hosts.keys():
            pool = hosts[name].pool
            free_slots[pool] = free_slots.get(pool, 0) - 1
        for draining in self._draining.values():
            pool = hosts[draining.name].pool
            free_slots[pool] = free_slots.get(pool, 0) - 1
        return free_slots

    def _start_draining(
        self,
        wave: interface.Wave,
        owned: list[interface.Host],
        slots: abc.Mapping[str, int],
    ) -> None:
        now_s = self._clock.monotonic()
        by_pool: dict[str, list[interface.Host]] = {}
        for host in owned:
            if host.name not in self._draining:
                by_pool.setdefault(host.pool, []).append(host)
        for pool, hosts in by_pool.items():
            urgent = host_maintenance.is_urgent(
                due=len(hosts),
                slots=max(1, slots.get(pool, 0)),
                time_left_s=wave.first_seen_s + wave.duration_s - now_s,
                cycle_s=self._limits.maintenance_s + BATCH_GRACE_PERIOD_S,
            )
            candidates = (
                self._candidate(host)
                for host in hosts
                if host.state is interface.HostState.UP
                and self._owner.drain.are_runs_known(host.worker_id)
                and self._paused_until_s.get(host.name, 0.0) <= now_s
            )
            chosen = host_maintenance.select_hosts(
                candidates,
                slots=slots.get(pool, 0),
                urgent=urgent,
                pending_tasks=self._owner.drain.count_pending_tasks(pool),
            )
            for name in chosen:
                worker_id = self._hosts.by_name[name].worker_id
                if not self._owner.drain.cordon(worker_id, CORDON_REASON):
                    continue
                self._draining[name] = _DrainingHost(
                    name, worker_id, wave.number, now_s
                )
                self._log(
                    "maintenance:draining",
                    worker_host=name,
                    worker=worker_id,
                    wave=wave.number,
                    urgent=urgent,
                )

    def _candidate(self, host: interface.Host) -> host_maintenance.Candidate:
        batch, long_running = self._owner.drain.task_counts(host.worker_id)
        return host_maintenance.Candidate(host.name, batch, long_running)

    async def _continue_draining(
        self, draining: _DrainingHost, wave: interface.Wave
    ) -> None:
        """Stops long-running tasks within budget; then begins maintenance."""
        drain = self._owner.drain
        now_s = self._clock.monotonic()
        host = self._hosts.by_name[draining.name]
        # The worker may have been found, or replaced, since it was chosen.
        if host.runs_other_worker(draining.worker_id) or not drain.cordon(
            draining.worker_id, CORDON_REASON
        ):
            self._cancel_draining(draining, now_s + REJECTION_BACKOFF_S)
            return
        if not drain.are_runs_known(draining.worker_id):
            return
        drain.stop_long_running(draining.worker_id, CORDON_REASON)
        batch, long_running = drain.task_counts(draining.worker_id)
        is_in_grace_period = now_s - draining.since_s < BATCH_GRACE_PERIOD_S
        if long_running or (batch and is_in_grace_period):
            return
        if drain.has_unrecorded_ends(draining.worker_id):
            return
        if not self._owner.state.has_authority():
            return
        outcome = await self._ports.hosts_owner.begin_maintenance(
            host_messages.BeginMaintenance(
                draining.name,
                wave.number,
                draining.worker_id,
                host.pool,
                self._owner.state.token,
            )
        )
        if pipeline.is_successful(outcome):
            await self._record_begun(draining, wave)
            return
        failure = outcome.failure()
        self._log(
            "maintenance:begin-failed",
            worker_host=draining.name,
            wave=wave.number,
            rejection=failure.rejection and failure.rejection.value,
            error=failure.detail,
        )
        if failure.rejection in (
            interface.RejectionReason.NOT_IN_WAVE,
            interface.RejectionReason.UNKNOWN,
        ):
            self._hosts.mark_begun(wave.number, draining.name)
        if failure.rejection is not None:
            self._cancel_draining(draining, now_s + REJECTION_BACKOFF_S)

    async def _record_begun(
        self, draining: _DrainingHost, wave: interface.Wave
    ) -> None:
        now_s = self._clock.monotonic()
        self._hosts.mark_begun(wave.number, draining.name)
        self._down_until_s[draining.name] = now_s + self._recovery_s
        self._draining.pop(draining.name, None)
        if await self._is_down(draining):
            self._owner.drain.mark_host_down(draining.worker_id, CORDON_REASON)
        else:
            self._owner.drain.uncordon(draining.worker_id)
        self._log(
            "maintenance:begun",
            worker_host=draining.name,
            worker=draining.worker_id,
            wave=wave.number,
            token=self._owner.state.token,
        )
        failure = await self._hosts.record_begun(wave.number, draining.name)
        if failure is not None:
            # A later owner repeats the command, which has no effect.
            self._log(
                "maintenance:unrecorded",
                key=wave_hosts.record_key(wave.number, draining.name),
                error=failure.detail,
            )

    async def _is_down(self, draining: _DrainingHost) -> bool:
        """Returns whether a host certainly no longer runs the worker.

        The command also succeeds if the maintenance was done long ago; then the
        worker was started afterwards and keeps running.
        """
        listed = await self._ports.list_hosts()
        if not pipeline.is_successful(listed):
            return False
        return not any(
            host.state is interface.HostState.UP
            and host.worker_id == draining.worker_id
            for host in listed.unwrap()
        )

    def _cancel_draining(self, draining: _DrainingHost, until_s: float) -> None:
        self._draining.pop(draining.name, None)
        self._paused_until_s[draining.name] = until_s
        self._owner.drain.uncordon(draining.worker_id)

    async def _report(self, wave: interface.Wave) -> None:
        """Publishes the status of a wave for operators when it changes."""
        is_done = all(
            self._hosts.has_begun(wave.number, host.name)
            for host in self._hosts.of_wave(wave)
        )
        if self._reported.get(wave.number) == is_done:
            return
        if await self._ports.report(wave.number, is_done):
            self._reported[wave.number] = is_done
            self._log("wave:reported", wave=wave.number, completed=is_done)
