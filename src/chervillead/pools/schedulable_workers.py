"""The workers on which an owner may place runs now, indexed by their room.

Only workers that changed are looked at again before a placement pass, so that
its cost doesn't grow with the number of workers.
"""

from chervillead.jobs import room_index
from chervillead.pools import owner_state
from chervillead.workers import view as view_module


class SchedulableWorkers:
    """An index of room for each pool of one owner."""

    def __init__(self, state: owner_state.OwnerState) -> None:
        self._state = state
        self._indexes: dict[str, room_index.RoomIndex] = {}
        self._pools: dict[str, str] = {}
        # Millicores of the workers in the indexes, by worker and by pool.
        self._of_worker: dict[str, int] = {}
        self._of_pool: dict[str, int] = {}
        # Workers that become schedulable by the passing of time.
        self._waiting: set[str] = set()
        self._zones_out: frozenset[str] = frozenset()

    def in_pool(self, pool: str) -> room_index.RoomIndex:
        """Returns the schedulable workers of a pool."""
        return self._indexes.setdefault(pool, room_index.RoomIndex())

    def millicores(self, pool: str) -> int:
        """Returns the cores of the schedulable workers of a pool."""
        return self._of_pool.get(pool, 0)

    def refresh(self) -> None:
        """Applies what changed since the last call."""
        changed = self._state.changed_workers
        zones_out = self._state.ports.zones_out()
        if zones_out != self._zones_out:
            self.refresh_all()
            return
        for worker_id in changed | self._waiting:
            self._refresh_worker(worker_id)
        changed.clear()

    def refresh_all(self) -> None:
        """Looks at all workers again, whether they changed or not."""
        self._zones_out = self._state.ports.zones_out()
        for worker_id in [*self._state.watches, *self._pools]:
            self._refresh_worker(worker_id)
        self._state.changed_workers.clear()

    def update(self, view: view_module.WorkerView) -> None:
        """Updates the room of a schedulable worker after a start."""
        if view.is_isolated(self._state.now_s()) or view.has_many_unsent_starts:
            self._discard(view.worker_id)
            self._waiting.add(view.worker_id)
            return
        pool = view.registration.pool
        self._pools[view.worker_id] = pool
        self._count(view.worker_id, pool, view.registration.capacity.millicores)
        self.in_pool(pool).put(view.as_snapshot(), view.order)

    def _refresh_worker(self, worker_id: str) -> None:
        watch = self._state.watches.get(worker_id)
        pool = self._pools.get(worker_id)
        if watch is None or pool != watch.view.registration.pool:
            self._discard(worker_id)
        if watch is None:
            return
        view = watch.view
        self._waiting.discard(worker_id)
        if view.is_schedulable(self._state.now_s(), self._zones_out):
            self.update(view)
            return
        self._discard(worker_id)
        if view.may_start(self._zones_out):
            self._waiting.add(worker_id)

    def _discard(self, worker_id: str) -> None:
        self._waiting.discard(worker_id)
        pool = self._pools.pop(worker_id, None)
        if pool is not None:
            self._count(worker_id, pool, 0)
            self._indexes[pool].discard(worker_id)

    def _count(self, worker_id: str, pool: str, millicores: int) -> None:
        before = self._of_worker.pop(worker_id, 0)
        if millicores:
            self._of_worker[worker_id] = millicores
        self._of_pool[pool] = self._of_pool.get(pool, 0) + millicores - before
