"""Workers of one pool in the order in which placement prefers them.

A full pool has many workers and few with room. The index finds the best worker
for a task without a look at those whose free share is too small.
"""

import bisect
from collections import abc
import math
import typing

from chervillead.jobs import model
from chervillead.jobs import placement


class _Entry(typing.NamedTuple):
    """Position of a worker; the order breaks ties as it was added."""

    free_share: float
    order: int
    worker_id: str


class RoomIndex:
    """Schedulable workers of one pool, by their free share of CPU."""

    def __init__(self) -> None:
        self._workers: dict[str, placement.WorkerSnapshot] = {}
        self._orders: dict[str, int] = {}
        self._healthy: list[_Entry] = []
        self._penalized: dict[str, int] = {}
        # Only grows; a bound that is too high costs time, not exactness.
        self._max_millicores = 1

    def __len__(self) -> int:
        return len(self._workers)

    @property
    def workers(self) -> list[placement.WorkerSnapshot]:
        """All workers, in their order."""
        ordered = sorted(self._workers, key=self._orders.__getitem__)
        return [self._workers[worker_id] for worker_id in ordered]

    def put(self, worker: placement.WorkerSnapshot, order: int) -> None:
        """Adds a worker or replaces what is known of it."""
        if self._workers.get(worker.worker_id) == worker:
            return
        self.discard(worker.worker_id)
        self._workers[worker.worker_id] = worker
        self._orders[worker.worker_id] = order
        self._max_millicores = max(
            self._max_millicores, worker.capacity.millicores
        )
        if worker.penalty:
            self._penalized[worker.worker_id] = order
        else:
            bisect.insort(self._healthy, self._entry(worker))

    def discard(self, worker_id: str) -> None:
        """Removes a worker, if it is there."""
        worker = self._workers.pop(worker_id, None)
        if worker is None:
            return
        if worker.penalty:
            del self._penalized[worker_id]
        else:
            position = bisect.bisect_left(self._healthy, self._entry(worker))
            del self._healthy[position]
        del self._orders[worker_id]

    def select(
        self,
        step: model.Step,
        step_key: tuple[str, int, int],
        *,
        preferred_rack: str = "",
        rise: placement.NeighborRise | None = None,
    ) -> placement.WorkerSnapshot | None:
        """Returns what `placement.select_worker` returns for all workers."""
        best = placement.select_best_ranked(
            self._by_free_share(step.reserved),
            step,
            step_key,
            preferred_rack=preferred_rack,
            rise=rise,
        )
        if best is not None or not self._penalized:
            return best
        ordered = sorted(self._penalized, key=self._penalized.__getitem__)
        return placement.select_worker(
            (self._workers[worker_id] for worker_id in ordered),
            step,
            step_key,
            preferred_rack=preferred_rack,
            rise=rise,
        )

    def has_room(self, need: model.Resources) -> bool:
        """Returns whether any worker has that much free."""
        return any(
            worker.free.covers(need) for worker in self._by_free_share(need)
        ) or any(
            self._workers[worker_id].free.covers(need)
            for worker_id in self._penalized
        )

    def _by_free_share(
        self, need: model.Resources
    ) -> abc.Iterator[placement.WorkerSnapshot]:
        """Yields the healthy workers that may have room, fullest first."""
        # A best-effort task fits on workers with no CPU left, or less.
        least = need.millicores / self._max_millicores
        start = 0
        if least > 0:
            first = _Entry(math.nextafter(least, 0.0), -1, "")
            start = bisect.bisect_left(self._healthy, first)
        for position in range(start, len(self._healthy)):
            yield self._workers[self._healthy[position].worker_id]

    def _entry(self, worker: placement.WorkerSnapshot) -> _Entry:
        return _Entry(
            placement.free_share(worker),
            self._orders[worker.worker_id],
            worker.worker_id,
        )
