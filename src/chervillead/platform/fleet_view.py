"""Current view of the operator and worker records in the store."""

from collections import abc
import typing

from returns import pipeline
from returns import result

from chervillead.entries import job_messages
from chervillead.entries import packed_records
from chervillead.jobs import model
from chervillead.machines import interface as machines_interface
from chervillead.platform import fleet_configuration
from chervillead.platform import registrations
from chervillead.platform import wire
from chervillead.store import interface
from chervillead.store import keyed_state
from chervillead.workers import interface as worker_interface

# The longest lease on the slowest clock, plus the time in which a replaced
# owner may still extend it.
REMOVED_WORKER_RETENTION_S = 14.0


_Value = typing.TypeVar("_Value")


class _RemovedWorker(typing.NamedTuple):
    registration: worker_interface.Registration
    removed_s: float


class FleetView:
    """The newest configuration, zones taken out, waves and workers."""

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
        self._operator_state = keyed_state.KeyedState()
        self._packed = packed_records.pack(())
        self._packed_offsets: tuple[int, ...] = ()
        self._waves: dict[int, machines_interface.Wave] = {}
        self._workers: dict[str, worker_interface.Registration] = {}
        self._removed: dict[str, _RemovedWorker] = {}
        self._confirmed_s = float("-inf")
        self._is_configuration_readable = True
        self._on_change: abc.Callable[[], None] = lambda: None

    @property
    def configuration(self) -> model.FleetConfiguration | None:
        """The newest configuration, or None if none was read yet."""
        return self._configuration

    @property
    def zones_out(self) -> frozenset[str]:
        """Availability zones that operators took out of service."""
        return self._zones_out

    @property
    def waves(self) -> abc.Mapping[int, machines_interface.Wave]:
        """Maintenance waves by number."""
        return self._waves

    @property
    def workers(self) -> abc.Mapping[str, worker_interface.Registration]:
        """Registered workers by id."""
        return self._workers

    @property
    def operator_state(self) -> keyed_state.KeyedState:
        """Records of operators, from the store and from peers."""
        return self._operator_state

    def recently_removed(self) -> list[worker_interface.Registration]:
        """Returns workers removed a short time ago that were not draining.

        Such a worker may be partitioned from the store and still run tasks.
        """
        now_s = self._boot_time()
        return [
            removed.registration
            for removed in self._removed.values()
            if now_s - removed.removed_s < REMOVED_WORKER_RETENTION_S
        ]

    def on_change(self, callback: abc.Callable[[], None]) -> None:
        """Sets the function to call after each change."""
        self._on_change = callback

    def age_s(self) -> float:
        """Returns the time since the store last confirmed the records.

        Infinite while the newest configuration can't be decoded.
        """
        if not self._is_configuration_readable:
            return float("inf")
        return self._boot_time() - self._confirmed_s

    def records_for_peer(
        self, request: job_messages.AskOperatorRecords
    ) -> job_messages.OperatorRecords:
        """Returns the operator records that a peer lacks.

        Records before the position that the peer names are left out, and all of
        them if they are longer than the peer allows.
        """
        age_s = self.age_s()
        packed = self._pack(
            self._operator_state.records_since(request.position)
        )
        return job_messages.OperatorRecords(
            self._operator_state.position,
            int(1000 * age_s) if age_s < float("inf") else -1,
            tuple(sorted(self._operator_state.keys)),
            packed if len(packed) <= request.max_bytes else None,
            len(packed),
        )

    def _pack(self, records: tuple[interface.KeyedRecord, ...]) -> bytes:
        """Packs records once for all peers that lack the same ones."""
        offsets = tuple(record.offset for record in records)
        if offsets != self._packed_offsets:
            self._packed = packed_records.pack(records)
            self._packed_offsets = offsets
        return self._packed

    def apply_peer_records(
        self,
        reply: job_messages.OperatorRecords,
        records: abc.Iterable[interface.KeyedRecord],
        requested_s: float,
    ) -> None:
        """Merges a peer's operator records.

        Args:
            reply: The peer's reply.
            records: The records that were packed in it.
            requested_s: Boot time at which the request was sent. The age in the
                reply is counted back from it, which never overstates freshness.
        """
        if reply.age_ms < 0:
            return
        changes = self._operator_state.merge_snapshot(
            records, reply.keys, reply.position
        )
        if changes:
            self.apply_operator(changes)
        self.confirm(requested_s - reply.age_ms / 1000)

    def confirm(self, as_of_s: float) -> None:
        """Records that the operator records were current at `as_of_s`."""
        self._confirmed_s = max(self._confirmed_s, as_of_s)

    def apply_operator(self, changes: list[keyed_state.Change]) -> None:
        """Applies changes of operator records; logs those it can't decode."""
        for change in changes:
            self._apply_operator_change(change)
        self._on_change()

    def _apply_operator_change(self, change: keyed_state.Change) -> None:
        key, value = change
        if key == fleet_configuration.CONFIGURATION_KEY and value:
            # The version in force is unknown until a later one can be decoded.
            self._is_configuration_readable = self._apply_or_log(
                key,
                fleet_configuration.decode_configuration(value),
                self._apply_configuration,
            )
        elif key.startswith(fleet_configuration.EVACUATE_PREFIX):
            zone = key.removeprefix(fleet_configuration.EVACUATE_PREFIX)
            others = self._zones_out - {zone}
            self._zones_out = others if value is None else others | {zone}
            self._log("zone:out" if value else "zone:back", zone=zone)
        elif key.startswith(fleet_configuration.WAVE_PREFIX) and value:
            self._apply_or_log(
                key,
                fleet_configuration.decode_wave(value, self._monotonic()),
                self._apply_wave,
            )

    def _apply_or_log(
        self,
        key: str,
        decoded: result.Result[_Value, wire.Malformed],
        apply: abc.Callable[[_Value], None],
    ) -> bool:
        """Applies a decoded record, or logs that it can't be decoded."""
        if pipeline.is_successful(decoded):
            apply(decoded.unwrap())
            return True
        self._log("record:unreadable", key=key, error=decoded.failure().detail)
        return False

    def _apply_wave(self, wave: machines_interface.Wave) -> None:
        if wave.number in self._waves:
            return
        self._waves[wave.number] = wave
        self._log(
            "wave:published",
            wave=wave.number,
            machines=len(wave.hosts),
            duration_s=wave.duration_s,
            cap=wave.cap,
        )

    def _apply_configuration(self, successor: model.FleetConfiguration) -> None:
        current = self._configuration
        if current is not None and successor.version <= current.version:
            return
        self._configuration = successor
        self._log(
            "configuration:applied",
            version=successor.version,
            queues=len(successor.queues),
            accounts=len(successor.accounts),
            keys=len(successor.account_of_key),
        )

    def apply_worker_history(self, changes: list[keyed_state.Change]) -> None:
        """Finds workers that were removed before this process started."""
        for change in changes:
            key = change.key
            registration = _registration_of(change).value_or(None)
            if registration is None or key in self._workers:
                continue
            if registration.is_draining:
                self._removed.pop(key, None)
            else:
                self._removed[key] = _RemovedWorker(
                    registration, self._boot_time()
                )
        self._on_change()

    def apply_workers(self, changes: list[keyed_state.Change]) -> None:
        """Applies changes of worker registrations."""
        changed = False
        unlisted: list[str] = []
        for change in changes:
            decoded = _registration_of(change)
            if change.value is not None and not pipeline.is_successful(decoded):
                self._log(
                    "record:unreadable",
                    key=change.key,
                    error=decoded.failure().detail,
                )
            registration = decoded.value_or(None)
            if registration == self._workers.get(change.key):
                continue
            changed = True
            if registration:
                self._workers[change.key] = registration
                self._removed.pop(change.key, None)
                continue
            previous = self._workers.pop(change.key, None)
            if previous is not None and not previous.is_draining:
                self._removed[change.key] = _RemovedWorker(
                    previous, self._boot_time()
                )
            if previous is not None:
                unlisted.append(change.key)
        if unlisted:
            # Workers leave the list together, and a line for each on every
            # host would crowd out other lines.
            self._log("worker:unlisted", workers=unlisted)
        if changed:
            self._on_change()


def _registration_of(
    change: keyed_state.Change,
) -> result.Result[worker_interface.Registration, wire.Malformed]:
    """Returns the registration in a change, or why there is none."""
    if change.value is None:
        return result.Failure(wire.Malformed("the record was deleted"))
    return registrations.decode_registration(change.key, change.value)
