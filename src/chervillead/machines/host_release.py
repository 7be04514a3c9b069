"""Releases the hosts of one owner's pools: cordons them and turns them off.

A host is released once it is idle and the ends of its runs are recorded, so
that none is lost with its worker.
"""

import asyncio
from collections import abc
import itertools

from returns import pipeline

from chervillead.entries import host_messages
from chervillead.machines import hosts_owner_client
from chervillead.machines import wave_downtime
from chervillead.pools import partition_owner
from chervillead.pools import pool_load
from chervillead.pools import ports as ports_module
from chervillead.workers import view as view_module
from chervillead.workers import watch as watch_module

CORDON_REASON = "turning-off"
# A host whose turn-off was rejected stays in use for at least this time.
REJECTION_BACKOFF_S = 2.0
# A new worker is not turned off before this age: the commands that move its
# host in and out must not follow each other closely.
MIN_WORKER_AGE_S = 4.0
# Workers that a pool keeps per set of labels, for steps that require a label.
MIN_WORKERS_PER_LABEL_SET = 2


class HostRelease:
    """Hosts that are being drained or turned off."""

    def __init__(
        self,
        owner: partition_owner.PartitionOwner,
        client: hosts_owner_client.HostsOwnerClient,
        ports: ports_module.OwnerPorts,
        is_maintenance_due: abc.Callable[[str], bool],
        record_released: abc.Callable[[str], None],
    ) -> None:
        """Starts without hosts.

        Args:
            owner: Owner of the pools' partition.
            client: Client of the owner of the hosts partition.
            ports: Dependencies on the rest of the process.
            is_maintenance_due: Whether the host of a worker is due in a wave.
            record_released: Called with the pool's name for each host that was
                turned off.
        """
        self._owner = owner
        self._client = client
        self._ports = ports
        self._is_maintenance_due = is_maintenance_due
        self._record_released = record_released
        # Workers whose hosts are being turned off.
        self._turning_off: set[str] = set()
        # Workers whose hosts an unanswered command may still move.
        self._unanswered_until_s: dict[str, float] = {}
        self._paused_until_s: dict[str, float] = {}

    def count_draining(self, pool: str) -> int:
        """Returns how many hosts of a pool are being drained."""
        return len(self._draining(pool))

    def count_releasable(self, pool: str) -> int:
        """Returns how many other hosts of a pool could be released."""
        return sum(1 for _ in self._releasable_workers(pool))

    def drain_zones_out(self, pool: str) -> None:
        """Drains idle hosts in zones that are out of service."""
        zones_out = self._ports.zones_out()
        if not zones_out:
            return
        for watch in self._releasable_workers(pool):
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
                    pool=pool,
                    worker=watch.view.worker_id,
                    zone_out=zone,
                )

    def adjust(self, pool: str, *, surplus: int, wanted: int) -> None:
        """Drains as many hosts as a pool should release.

        Hosts that are idle go first. Busy ones are drained only for another
        pool that waits for hosts.

        Args:
            pool: Name of the pool.
            surplus: Number of hosts to release.
            wanted: How many of these another pool waits for.
        """
        zones_out = self._ports.zones_out()
        draining = [
            watch
            for watch in self._draining(pool)
            if watch.view.registration.zone not in zones_out
        ]
        for watch in _by_load(draining)[surplus:]:
            worker_id = watch.view.worker_id
            if worker_id not in self._turning_off and not self._may_still_move(
                worker_id
            ):
                self._owner.drain.uncordon(worker_id)
        missing = max(0, surplus - len(draining))
        candidates = list(
            itertools.islice(self._releasable_workers(pool), missing)
        )
        for number, watch in enumerate(candidates, len(draining)):
            if watch.view.runs and number >= wanted:
                break
            worker_id = watch.view.worker_id
            if not self._owner.drain.cordon(worker_id, CORDON_REASON):
                continue
            self._owner.state.log(
                "pool:shrinking",
                pool=pool,
                worker=worker_id,
                surplus=surplus,
                wanted=wanted,
                runs=len(watch.view.runs),
            )

    def _releasable_workers(
        self, pool: str
    ) -> abc.Iterator[watch_module.WorkerWatch]:
        """Yields workers that the pool can release, the least loaded first.

        Those that are due for maintenance come last: it costs nothing in the
        spare pool, but may keep another pool waiting for the host.

        Hosts with long-running tasks are kept: moving a task would cost more of
        its time than releasing the host saves.
        """
        now_s = self._ports.clock.monotonic()
        counts: dict[frozenset[str], int] = {}
        watches = self._watches(pool)
        for watch in watches:
            if not watch.view.cordoned_for:
                label_set = _label_set(watch)
                counts[label_set] = counts.get(label_set, 0) + 1
        for watch in sorted(
            _by_load(watches),
            key=lambda w: self._is_maintenance_due(w.view.worker_id),
        ):
            view = watch.view
            if (
                view.cordoned_for
                or view.has_long_running
                or not view.has_answered
                or view.registration.is_draining
                or self._age_s(view) < MIN_WORKER_AGE_S
                or self._paused_until_s.get(view.worker_id, 0.0) > now_s
                or counts[_label_set(watch)] <= MIN_WORKERS_PER_LABEL_SET
            ):
                continue
            counts[_label_set(watch)] -= 1
            yield watch

    def _age_s(self, view: view_module.WorkerView) -> float:
        """Returns how long a worker has certainly been in its pool.

        Even an owner that has just taken over knows when it started.
        """
        started_s = view.registration.incarnation / 1000
        return max(
            self._ports.clock.monotonic() - view.discovered_s,
            self._ports.clock.wall() - started_s,
        )

    def _watches(self, pool: str) -> list[watch_module.WorkerWatch]:
        return pool_load.watches_of(self._owner.state, pool)

    def _draining(self, pool: str) -> list[watch_module.WorkerWatch]:
        return [
            watch
            for watch in self._watches(pool)
            if watch.view.cordoned_for == CORDON_REASON
        ]

    def turn_off_drained(self, pool: str, group: asyncio.TaskGroup) -> None:
        """Turns off drained hosts once the ends of their runs are recorded."""
        for watch in self._draining(pool):
            worker_id = watch.view.worker_id
            if (
                worker_id in self._turning_off
                or watch.view.runs
                or self._owner.drain.has_unrecorded_ends(worker_id)
            ):
                continue
            self._turning_off.add(worker_id)
            group.create_task(self._turn_off(pool, worker_id))

    async def _turn_off(self, pool: str, worker_id: str) -> None:
        outcome = await self._client.turn_off(
            host_messages.TurnOffHost(worker_id, pool, self._owner.state.token)
        )
        self._turning_off.discard(worker_id)
        if pipeline.is_successful(outcome):
            self._record_released(pool)
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
        now_s = self._ports.clock.monotonic()
        if failure.rejection is None:
            until_s = now_s + wave_downtime.LATE_COMMAND_S
            self._unanswered_until_s[worker_id] = until_s
        elif not self._may_still_move(worker_id):
            self._paused_until_s[worker_id] = now_s + REJECTION_BACKOFF_S
            self._owner.drain.uncordon(worker_id)

    def _may_still_move(self, worker_id: str) -> bool:
        """Returns whether an unanswered command may still move the host."""
        return self._ports.clock.monotonic() < self._unanswered_until_s.get(
            worker_id, 0.0
        )


def _by_load(
    watches: abc.Iterable[watch_module.WorkerWatch],
) -> list[watch_module.WorkerWatch]:
    return sorted(
        watches,
        key=lambda watch: (
            watch.view.reserved().millicores,
            len(watch.view.runs),
        ),
    )


def _label_set(watch: watch_module.WorkerWatch) -> frozenset[str]:
    registration = watch.view.registration
    return registration.labels - {registration.rack}
