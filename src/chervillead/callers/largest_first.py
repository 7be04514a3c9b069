"""Amounts by key, with the key of the largest amount."""

import heapq
import itertools
import typing

KeyT = typing.TypeVar("KeyT", bound=typing.Hashable)

# Amounts within one step rank alike, so that a body that arrives byte by byte
# doesn't add an entry for each of them.
STEP = 4096
# The heap is rebuilt when most of its entries are out of date.
MAX_OUTDATED_FRACTION = 4
MIN_REBUILD_ENTRIES = 64


class LargestFirst(typing.Generic[KeyT]):
    """Amounts by key; the largest one is found in logarithmic time."""

    def __init__(self) -> None:
        self._amounts: dict[KeyT, int] = {}
        self._ranks: dict[KeyT, int] = {}
        self._heap: list[tuple[int, int, KeyT]] = []
        self._numbers = itertools.count()
        self._total = 0

    def __len__(self) -> int:
        return len(self._amounts)

    @property
    def total(self) -> int:
        """Sum of all amounts."""
        return self._total

    def set(self, key: KeyT, amount: int) -> None:
        """Sets the amount of a key."""
        self._total += amount - self._amounts.get(key, 0)
        self._amounts[key] = amount
        # Small numbers, such as those of connections, rank exactly.
        rank = amount if amount < STEP else amount // STEP * STEP
        if self._ranks.get(key) == rank:
            return
        self._ranks[key] = rank
        heapq.heappush(self._heap, (-rank, next(self._numbers), key))
        limit = MAX_OUTDATED_FRACTION * len(self._amounts)
        if len(self._heap) > max(limit, MIN_REBUILD_ENTRIES):
            self._rebuild()

    def remove(self, key: KeyT) -> None:
        """Removes a key, if it is there."""
        self._total -= self._amounts.pop(key, 0)
        self._ranks.pop(key, None)

    def largest(self) -> KeyT | None:
        """Returns the key of the largest amount, or None if there is none."""
        while self._heap:
            rank, _, key = self._heap[0]
            if self._ranks.get(key) == -rank:
                return key
            heapq.heappop(self._heap)
        return None

    def _rebuild(self) -> None:
        self._heap = [
            (-rank, next(self._numbers), key)
            for key, rank in self._ranks.items()
        ]
        heapq.heapify(self._heap)
