"""Sets of task numbers that are kept as ranges.

A step may have 100,000 tasks, of which those that wait, or have completed, are
mostly consecutive. A set of them would hold 8 MB; a range holds two numbers.
"""

import bisect
from collections import abc
import itertools


class TaskNumbers(abc.MutableSet[int]):
    """Numbers of tasks of one step, in order.

    The memory grows with the number of gaps, not with that of the tasks.

    Attributes:
        ranges: The numbers as ranges that neither overlap nor touch.

    Example:
        >>> waiting = TaskNumbers(range(5))
        >>> waiting.discard(2)
        >>> waiting.ranges
        [range(0, 2), range(3, 5)]
    """

    __slots__ = ("_count", "ranges")

    def __init__(self, numbers: abc.Iterable[int] = ()) -> None:
        self.ranges: list[range] = []
        self._count = 0
        if isinstance(numbers, range) and numbers.step == 1:
            self._append(numbers)
        else:
            for first, last in _consecutive(sorted(set(numbers))):
                self._append(range(first, last + 1))

    def _append(self, numbers: range) -> None:
        if numbers:
            self.ranges.append(numbers)
            self._count += len(numbers)

    def __contains__(self, number: object) -> bool:
        if not isinstance(number, int):
            return False
        index = self._index(number)
        return index >= 0 and number < self.ranges[index].stop

    def __iter__(self) -> abc.Iterator[int]:
        return itertools.chain.from_iterable(self.ranges)

    def __len__(self) -> int:
        return self._count

    def __repr__(self) -> str:
        return f"TaskNumbers({self.ranges})"

    def _index(self, number: int) -> int:
        """Returns the index of the last range that begins by a number."""
        return bisect.bisect_right(self.ranges, number, key=_start) - 1

    def copy(self) -> "TaskNumbers":
        """Returns the same numbers as a set of its own."""
        same = TaskNumbers()
        same.ranges = self.ranges.copy()
        same._count = self._count
        return same

    def first(self, count: int) -> "TaskNumbers":
        """Returns the lowest numbers, at most `count` of them."""
        found = TaskNumbers()
        for numbers in self.ranges:
            found._append(numbers[: count - len(found)])
            if len(found) >= count:
                break
        return found

    def add(self, number: int) -> None:
        """Adds a number unless it is there."""
        if number in self:
            return
        index = self._index(number)
        start, stop = number, number + 1
        after = index + 1
        if after < len(self.ranges) and self.ranges[after].start == stop:
            stop = self.ranges.pop(after).stop
        if index >= 0 and self.ranges[index].stop == start:
            start = self.ranges.pop(index).start
            after = index
        self.ranges.insert(after, range(start, stop))
        self._count += 1

    def discard(self, number: int) -> None:
        """Removes a number if it is there."""
        if number not in self:
            return
        index = self._index(number)
        numbers = self.ranges[index]
        self.ranges[index : index + 1] = [
            part
            for part in (
                range(numbers.start, number),
                range(number + 1, numbers.stop),
            )
            if part
        ]
        self._count -= 1

    def clear(self) -> None:
        """Removes all numbers."""
        self.ranges.clear()
        self._count = 0


def _start(numbers: range) -> int:
    return numbers.start


def _consecutive(numbers: abc.Iterable[int]) -> abc.Iterator[tuple[int, int]]:
    """Yields the first and last of each run of consecutive numbers."""
    runs = itertools.groupby(
        enumerate(numbers), key=lambda item: item[1] - item[0]
    )
    for _, run in runs:
        members = [number for _, number in run]
        yield members[0], members[-1]
