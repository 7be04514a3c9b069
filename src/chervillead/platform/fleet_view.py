"""What operators and workers wrote to the store, kept up to date."""

from collections import abc
import typing

import msgspec
import xxhash

from chervillead.entries import job_messages
from chervillead.jobs import model
from chervillead.machines import interface
from chervillead.platform import fleet_configuration
from chervillead.platform import registrations
from chervillead.store import keyed_follower
from chervillead.workers import interface as worker_interface

# The longest lease on the slowest clock, and the time in which an owner that
# was replaced may still extend it.
DEPARTED_KEPT_S = 14.0
# Callers repeat a submission within their deadline, a few seconds.
FORMER_POOL_S = 30.0


class _Departed(typing.NamedTuple):
    registration: worker_interface.Registration
    at_s: float


class FleetView:
    """The newest configuration, zones out, waves and workers."""

    def __init__(
        self,
        boot_time: abc.Callable[[], float],
        monotonic: abc.Callable[[], float],
        log: abc.Callable[..., None],
    ) -> None:
        self._boot_time = boot_time
        self._monotonic = monotonic
        self._log = log
        self._configuration: model.FleetConfiguration | None = None
        self._zones_out: frozenset[str] = frozenset()
        self._records: dict[str, bytes] = {}
        self._waves: dict[int, interface.Wave] = {}
        self._workers: dict[str, worker_interface.Registration] = {}
        self._departed: dict[str, _Departed] = {}
        # Pools that queues had, with the time at which they lost them.
        self._former_pools: dict[str, dict[str, float]] = {}
        self._confirmed_s = float("-inf")
        self._on_change: abc.Callable[[], None] = lambda: None

    @property
    def configuration(self) -> model.FleetConfiguration | None:
        """The newest configuration, or None before the first."""
        return self._configuration

    @property
    def zones_out(self) -> frozenset[str]:
        """Availability zones that operators took out."""
        return self._zones_out

    @property
    def waves(self) -> abc.Mapping[int, interface.Wave]:
        """Waves of upkeep by number."""
        return self._waves

    @property
    def workers(self) -> abc.Mapping[str, worker_interface.Registration]:
        """Registered workers by id."""
        return self._workers

    def recently_removed(self) -> list[worker_interface.Registration]:
        """Returns workers that were dropped lately without having drained.

        They may be cut off from the store and still run tasks.
        """
        now_s = self._boot_time()
        return [
            found.registration
            for found in self._departed.values()
            if now_s - found.at_s < DEPARTED_KEPT_S
        ]

    def former_pools(self, queue: str) -> list[str]:
        """Returns the pools that a queue had a short time ago."""
        now_s = self._boot_time()
        return [
            pool
            for pool, until_s in self._former_pools.get(queue, {}).items()
            if now_s - until_s < FORMER_POOL_S
        ]

    def _note_former_pools(
        self, former: model.FleetConfiguration, found: model.FleetConfiguration
    ) -> None:
        for name, queue in former.queues.items():
            successor = found.queues.get(name)
            if successor is None or successor.pool != queue.pool:
                pools = self._former_pools.setdefault(name, {})
                pools[queue.pool] = self._boot_time()

    def on_change(self, action: abc.Callable[[], None]) -> None:
        """Calls `action` after each change."""
        self._on_change = action

    def age_s(self) -> float:
        """Returns for how long the configuration has been unconfirmed."""
        return self._boot_time() - self._confirmed_s

    def digest(self) -> int:
        """Returns a digest of what operators wrote."""
        hasher = xxhash.xxh64()
        for key, value in sorted(self._records.items()):
            hasher.update(f"{key}/{len(value)}/".encode())
            hasher.update(value)
        return hasher.intdigest() >> 1

    def records_for_peer(
        self, asked: job_messages.AskOperatorRecords
    ) -> job_messages.OperatorRecords:
        """Returns what operators wrote, for a host without the store."""
        digest = self.digest()
        age_s = self.age_s()
        return job_messages.OperatorRecords(
            digest,
            int(1000 * age_s) if age_s < float("inf") else -1,
            () if asked.digest == digest else tuple(self._records.items()),
        )

    def apply_peer_records(
        self, lent: job_messages.OperatorRecords, asked_s: float
    ) -> None:
        """Applies what another host knows, if it knows it to be newer.

        Args:
            lent: Its answer.
            asked_s: When it was asked, before which its age counts.
        """
        as_of_s = asked_s - lent.age_ms / 1000
        if lent.age_ms < 0 or as_of_s <= self._confirmed_s:
            return
        if lent.records:
            dropped = self._records.keys() - {key for key, _ in lent.records}
            self.apply_operator(
                [keyed_follower.Change(*record) for record in lent.records]
                + [keyed_follower.Change(key, None) for key in sorted(dropped)]
            )
        self.confirm(as_of_s)

    def confirm(self, as_of_s: float) -> None:
        """Notes that the store confirmed what operators wrote."""
        self._confirmed_s = max(self._confirmed_s, as_of_s)

    def apply_operator(self, changes: list[keyed_follower.Change]) -> None:
        """Applies changes of what operators wrote."""
        for change in changes:
            if change.value is None:
                self._records.pop(change.key, None)
            else:
                self._records[change.key] = change.value
            try:
                self._apply_operator_change(change)
            except (msgspec.DecodeError, KeyError, TypeError) as error:
                self._log(
                    "record:unreadable", key=change.key, error=repr(error)
                )
        self._on_change()

    def _apply_operator_change(self, change: keyed_follower.Change) -> None:
        key, value = change
        if key == fleet_configuration.CONFIGURATION_KEY and value:
            self._apply_configuration(
                fleet_configuration.decode_configuration(value)
            )
        elif key.startswith(fleet_configuration.EVACUATE_PREFIX):
            zone = key.removeprefix(fleet_configuration.EVACUATE_PREFIX)
            out = self._zones_out - {zone}
            self._zones_out = out if value is None else out | {zone}
            self._log("zone:out" if value else "zone:back", zone=zone)
        elif key.startswith(fleet_configuration.WAVE_PREFIX) and value:
            wave = fleet_configuration.decode_wave(value, self._monotonic())
            if wave.number in self._waves:
                return
            self._waves[wave.number] = wave
            self._log(
                "wave:published",
                wave=wave.number,
                machines=len(wave.machines),
                duration_s=wave.duration_s,
                cap=wave.cap,
            )

    def _apply_configuration(self, found: model.FleetConfiguration) -> None:
        current = self._configuration
        if current is not None and found.version <= current.version:
            return
        if current is not None:
            self._note_former_pools(current, found)
        self._configuration = found
        self._log(
            "configuration:applied",
            version=found.version,
            queues=len(found.queues),
            accounts=len(found.accounts),
            keys=len(found.account_of_key),
        )

    def apply_worker_history(
        self, changes: list[keyed_follower.Change]
    ) -> None:
        """Finds workers that were dropped before this process started."""
        for key, value in changes:
            found = value and registrations.decode_registration(key, value)
            if not found or key in self._workers:
                continue
            if found.is_draining:
                self._departed.pop(key, None)
            else:
                self._departed[key] = _Departed(found, self._boot_time())
        self._on_change()

    def apply_workers(self, changes: list[keyed_follower.Change]) -> None:
        """Applies changes of what workers wrote."""
        changed = False
        for change in changes:
            found = change.value and registrations.decode_registration(
                change.key, change.value
            )
            if found == self._workers.get(change.key):
                continue
            changed = True
            if found:
                self._workers[change.key] = found
                self._departed.pop(change.key, None)
                continue
            former = self._workers.pop(change.key, None)
            if former is not None and not former.is_draining:
                self._departed[change.key] = _Departed(
                    former, self._boot_time()
                )
            if former is not None:
                self._log("worker:unlisted", worker=change.key)
        if changed:
            self._on_change()
