"""Hosts of maintenance waves, and whose maintenance has begun."""

from collections import abc

from returns import pipeline

from chervillead.machines import interface
from chervillead.store import interface as store_interface

MAINTENANCE_TOPIC = "keyed.upkeep"
# Interval at which the list of hosts is read while a wave is in progress.
HOST_LIST_INTERVAL_S = 1.0


def record_key(wave: int, host: str) -> str:
    """Returns the key of the record that a host's maintenance has begun."""
    return f"{wave}/{host}"


class WaveHosts:
    """The list of hosts and the stored record of begun maintenance."""

    def __init__(
        self,
        list_hosts: interface.ListHosts,
        store: store_interface.Store,
        monotonic: abc.Callable[[], float],
    ) -> None:
        self._list_hosts = list_hosts
        self._store = store
        self._monotonic = monotonic
        self._by_name: dict[str, interface.Host] = {}
        # Asked for each worker several times a second.
        self._name_of_worker: dict[str, str] = {}
        self._listed_s = float("-inf")
        self._begun: set[tuple[int, str]] = set()

    @property
    def by_name(self) -> abc.Mapping[str, interface.Host]:
        """Hosts of the last list, by name; empty before the first one."""
        return self._by_name

    def name_of(self, worker_id: str) -> str | None:
        """Returns the name of a worker's host, or None if it isn't listed."""
        return self._name_of_worker.get(worker_id)

    def of_wave(self, wave: interface.Wave) -> abc.Iterator[interface.Host]:
        """Yields the listed hosts of a wave."""
        return (
            self._by_name[name] for name in wave.hosts if name in self._by_name
        )

    def has_begun(self, wave: int, host: str) -> bool:
        """Returns whether the maintenance of a host is known to have begun."""
        return (wave, host) in self._begun

    def mark_begun(self, wave: int, host: str) -> None:
        """Counts the maintenance of a host as begun."""
        self._begun.add((wave, host))

    async def record_begun(
        self, wave: int, host: str
    ) -> store_interface.StoreFailure | None:
        """Stores that the maintenance of a host has begun.

        Returns:
            Why that may not be stored, or None if it is.
        """
        record = store_interface.KeyedRecord(record_key(wave, host), b"begun")
        stored = await self._store.append(MAINTENANCE_TOPIC, 0, (record,), None)
        return None if pipeline.is_successful(stored) else stored.failure()

    async def refresh(self) -> None:
        """Reads the list of hosts and the records unless that was just done."""
        now_s = self._monotonic()
        if now_s - self._listed_s < HOST_LIST_INTERVAL_S:
            return
        listed = await self._list_hosts()
        begun = await self._store.read_latest(MAINTENANCE_TOPIC, 0)
        if pipeline.is_successful(listed) and pipeline.is_successful(begun):
            self._by_name = {host.name: host for host in listed.unwrap()}
            self._name_of_worker = {
                host.worker_id: host.name for host in listed.unwrap()
            }
            self._listed_s = now_s
            for record in begun.unwrap().records:
                wave, _, name = record.key.partition("/")
                self._begun.add((int(wave), name))
