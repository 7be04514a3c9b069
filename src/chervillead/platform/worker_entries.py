"""Passes the workers of the store's list to the owners of their pools.

Others write to the list as well. An entry whose pool no configuration names is
no worker: it must not be polled, and an owner must not wait for its answer.
"""

from collections import abc

from chervillead import error_texts
from chervillead.platform import fleet_view
from chervillead.pools import owner_state
from chervillead.pools import partition_owner
from chervillead.workers import interface

# Others may add any number of entries; one line of the log names this many.
MAX_LOGGED_ENTRIES = 20


class WorkerEntries:
    """The entries of the list, divided among owners."""

    def __init__(
        self,
        view: fleet_view.FleetView,
        partition_of: abc.Callable[[str], int],
        log: abc.Callable[..., None],
    ) -> None:
        self._view = view
        self._partition_of = partition_of
        self._log = log
        self._ignored: frozenset[str] = frozenset()

    @property
    def ignored(self) -> frozenset[str]:
        """Ids of the listed entries that name no configured pool."""
        return self._ignored

    def pass_on(
        self, owners: abc.Mapping[int, partition_owner.PartitionOwner]
    ) -> None:
        """Passes each loaded owner the workers of its pools.

        Nothing is passed before a configuration has been read, as until then
        the entries of others can't be told from workers.
        """
        if self._view.configuration is None:
            return
        self._note_ignored()
        for partition, owner in owners.items():
            if not owner.state.is_loaded:
                continue
            try:
                self._update_owner(partition, owner)
            except Exception as error:
                # The other owners must still learn of their workers.
                self._log(
                    "owner:update-failed",
                    partition=partition,
                    error=owner_state.describe_error(error),
                )
                owner.state.fail(error)

    def _update_owner(
        self, partition: int, owner: partition_owner.PartitionOwner
    ) -> None:
        workers = self._workers_of(
            partition, owner, self._view.workers.values()
        )
        departed = self._workers_of(
            partition, owner, self._view.recently_removed()
        )
        owner.workers.update(
            {worker.worker_id: worker for worker in workers}, list(departed)
        )

    def _workers_of(
        self,
        partition: int,
        owner: partition_owner.PartitionOwner,
        entries: abc.Iterable[interface.Registration],
    ) -> abc.Iterator[interface.Registration]:
        """Yields the entries that are workers of a partition's pools."""
        return (
            entry
            for entry in entries
            if self._partition_of(entry.pool) == partition
            and (
                self._is_configured(entry.pool)
                or _has_unfinished_jobs(owner, entry.pool)
            )
        )

    def _is_configured(self, pool: str) -> bool:
        configuration = self._view.configuration
        return configuration is not None and pool in configuration.pools

    def _note_ignored(self) -> None:
        """Logs the entries that have become ignored, in one line."""
        ignored = frozenset(
            worker_id
            for worker_id, entry in self._view.workers.items()
            if not self._is_configured(entry.pool)
        )
        added = sorted(ignored - self._ignored)
        self._ignored = ignored
        if added:
            self._log(
                "worker:ignored",
                workers=added[:MAX_LOGGED_ENTRIES],
                count=len(added),
                pool=error_texts.shorten(self._view.workers[added[0]].pool),
                reason="no configuration names the pool",
            )


def _has_unfinished_jobs(
    owner: partition_owner.PartitionOwner, pool: str
) -> bool:
    """Returns whether tasks of a pool may run that is configured no more."""
    return any(job.spec.pool == pool for job in owner.state.jobs.unfinished())
