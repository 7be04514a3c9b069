"""Requests that wait for a slot of one zone.

The heaps use lazy deletion: removed entries stay until they reach the top or
outnumber the live ones, so that each of many cancellations at once costs about
a dictionary removal.
"""

from collections import abc
import heapq
import itertools
import math
import typing

from chervillead import types
from chervillead.entries import messages

# Shorter heaps are not worth compacting.
MIN_COMPACTION_LENGTH = 64


class WaitingRequest(typing.NamedTuple):
    """A registered request that has no slot yet.

    Attributes:
        entry_host: Entry host that owns it.
        register: Its registration.
        pool: Pool whose slots serve it.
        due_s: Monotonic time at which its queue's target is missed.
        deadline_s: Monotonic time after which the caller no longer waits.
    """

    entry_host: str
    register: messages.Register
    pool: str
    due_s: float
    deadline_s: float


_HeapItem = tuple[float, int, str]


class _LazyDeletionHeap:
    """Request ids by time; removed ones are skipped.

    Attributes:
        live: Number of entries that were not removed.
    """

    def __init__(self) -> None:
        self._items: list[_HeapItem] = []
        self.live = 0

    def push(self, item: _HeapItem) -> None:
        heapq.heappush(self._items, item)
        self.live += 1

    def count_removal(self, is_live: abc.Callable[[_HeapItem], bool]) -> None:
        self.live -= 1
        if len(self._items) > max(MIN_COMPACTION_LENGTH, 2 * self.live):
            self._items = [item for item in self._items if is_live(item)]
            heapq.heapify(self._items)

    def first(
        self, is_live: abc.Callable[[_HeapItem], bool]
    ) -> _HeapItem | None:
        while self._items and not is_live(self._items[0]):
            heapq.heappop(self._items)
        return self._items[0] if self._items else None


class WaitingList:
    """Waiting requests by pool, team and size class, and by queue and team.

    Each pool, team and size class has one heap, ordered by target time.
    """

    def __init__(self) -> None:
        self._entries: dict[str, tuple[int, WaitingRequest]] = {}
        self._sequence_numbers = itertools.count()
        self._by_pool: dict[
            str, dict[str, dict[types.Size, _LazyDeletionHeap]]
        ] = {}
        self._by_deadline = _LazyDeletionHeap()
        self._by_queue: dict[str, dict[str, dict[str, None]]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._entries

    @property
    def entries(self) -> list[WaitingRequest]:
        """All waiting requests."""
        return [entry for _, entry in self._entries.values()]

    @property
    def pools(self) -> list[str]:
        """Pools that requests wait for."""
        return list(self._by_pool)

    def add(self, entry: WaitingRequest) -> None:
        """Adds a request; its id must not be on the list."""
        register = entry.register
        request_id = register.request_id
        sequence_number = next(self._sequence_numbers)
        self._entries[request_id] = (sequence_number, entry)
        self._heap(entry).push((entry.due_s, sequence_number, request_id))
        self._by_deadline.push((entry.deadline_s, sequence_number, request_id))
        teams = self._by_queue.setdefault(register.queue, {})
        teams.setdefault(register.team, {})[request_id] = None

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Removes a request; returns None if it isn't on the list."""
        listed = self._entries.pop(request_id, None)
        if listed is None:
            return None
        _, entry = listed
        register = entry.register
        heap = self._heap(entry)
        heap.count_removal(self._is_live)
        self._by_deadline.count_removal(self._is_live)
        if heap.live == 0:
            self._delete_heap(entry)
        teams = self._by_queue[register.queue]
        del teams[register.team][request_id]
        if not teams[register.team]:
            del teams[register.team]
        return entry

    def remove_expired(self, now_s: float) -> None:
        """Removes the requests whose deadlines have passed."""
        while True:
            first = self._by_deadline.first(self._is_live)
            if first is None or first[0] > now_s:
                return
            self.remove(first[2])

    def heads(self, pool: str) -> abc.Iterator[WaitingRequest]:
        """Yields the first request of each team and size class of `pool`."""
        for sizes in self._by_pool.get(pool, {}).values():
            for heap in sizes.values():
                first = heap.first(self._is_live)
                if first is not None:
                    yield self._entries[first[2]][1]

    def waiting_by_team(self, pool: str) -> dict[str, int]:
        """Returns how many requests wait for `pool`, by team."""
        return {
            team: sum(heap.live for heap in sizes.values())
            for team, sizes in self._by_pool.get(pool, {}).items()
        }

    def queue_counts(self, queue: str) -> dict[str, int]:
        """Returns how many requests wait in `queue`, by team."""
        teams = self._by_queue.get(queue, {})
        return {team: len(ids) for team, ids in teams.items()}

    def newest(self, queue: str, team: str) -> str:
        """Returns the id of the request that `team` registered last."""
        return next(reversed(self._by_queue[queue][team]))

    def _is_live(self, item: _HeapItem) -> bool:
        listed = self._entries.get(item[2])
        return listed is not None and listed[0] == item[1]

    def _heap(self, entry: WaitingRequest) -> _LazyDeletionHeap:
        teams = self._by_pool.setdefault(entry.pool, {})
        sizes = teams.setdefault(entry.register.team, {})
        return sizes.setdefault(
            size_class(entry.register.size), _LazyDeletionHeap()
        )

    def _delete_heap(self, entry: WaitingRequest) -> None:
        team = entry.register.team
        teams = self._by_pool[entry.pool]
        del teams[team][size_class(entry.register.size)]
        if not teams[team]:
            del teams[team]
        if not teams:
            del self._by_pool[entry.pool]


def size_class(size: types.Size) -> types.Size:
    """Returns `size` rounded up to powers of two.

    Requests of one class wait in one heap, so that the number of heaps is
    bounded and a large request at the head of one doesn't block small ones.
    """
    return types.Size(
        float(_power_of_two(size.cores)),
        _power_of_two(size.memory_mb),
        _power_of_two(size.accelerators),
    )


def _power_of_two(value: float) -> int:
    return 0 if value <= 0 else int(1 << max(0, math.ceil(math.log2(value))))
