"""Sizes of the jobs of a queue, and how often jobs of each size are on time.

Kept over the last 10 s, so that a change of load shows within a burst or two.
"""

import bisect
import collections
import enum
import typing

WINDOW_S = 10.0
# Bounds the samples of one queue; 30 jobs per second in bursts need 300.
MAX_SAMPLES = 500
# Fewer sizes don't tell which of them are large.
MIN_SIZES = 10
# Parts of the recent jobs of a queue that the two classes of large jobs exceed.
LARGE_ABOVE = 0.7
LARGEST_ABOVE = 0.9


class SizeClass(enum.IntEnum):
    """Class of a job by its work, compared with recent jobs of its queue."""

    USUAL = 0
    LARGE = 1
    LARGEST = 2


class ClassKey(typing.NamedTuple):
    """Jobs of one size class of a queue, by the queue's address."""

    queue: str
    size_class: SizeClass


class Served(typing.NamedTuple):
    """How many of some jobs are or were on time."""

    on_time: int = 0
    total: int = 0


class _Queue:
    """Samples of one queue, with times in order."""

    def __init__(self) -> None:
        self.works: collections.deque[tuple[float, float]] = collections.deque()
        self.sorted_works: list[float] = []
        self.sum = 0.0


class QueueStatistics:
    """Recent jobs of all queues of a partition."""

    def __init__(self) -> None:
        self._queues: dict[str, _Queue] = {}
        self._outcomes: collections.deque[tuple[float, ClassKey, bool]] = (
            collections.deque()
        )

    def add_job(self, queue: str, work: float, now_s: float) -> None:
        """Counts the work of a job that was accepted now."""
        samples = self._queues.setdefault(queue, _Queue())
        samples.works.append((now_s, work))
        bisect.insort(samples.sorted_works, work)
        samples.sum += work
        while (
            len(samples.works) > MAX_SAMPLES
            or samples.works[0][0] < now_s - WINDOW_S
        ):
            _, old = samples.works.popleft()
            del samples.sorted_works[
                bisect.bisect_left(samples.sorted_works, old)
            ]
            samples.sum -= old

    def add_outcome(
        self, queue: str, work: float, now_s: float, *, is_on_time: bool
    ) -> None:
        """Counts a job that completed, or was refused."""
        key = self.class_of(queue, work)
        self._outcomes.append((now_s, key, is_on_time))
        self._expire_outcomes(now_s)

    def relative_work(self, queue: str, work: float) -> float:
        """Returns work divided by the mean of the queue's recent jobs."""
        samples = self._queues.get(queue)
        if samples is None or not samples.works or samples.sum <= 0:
            return 1.0
        return work * len(samples.works) / samples.sum

    def class_of(self, queue: str, work: float) -> ClassKey:
        """Returns the size class of a job."""
        samples = self._queues.get(queue)
        works = [] if samples is None else samples.sorted_works
        size_class = SizeClass.USUAL
        if len(works) >= MIN_SIZES:
            below = bisect.bisect_left(works, work) / len(works)
            size_class = SizeClass(
                (below >= LARGE_ABOVE) + (below >= LARGEST_ABOVE)
            )
        return ClassKey(queue, size_class)

    def served(self, now_s: float) -> dict[ClassKey, Served]:
        """Returns how many of the recently completed jobs were on time."""
        self._expire_outcomes(now_s)
        found: dict[ClassKey, Served] = {}
        for _, key, is_on_time in self._outcomes:
            on_time, total = found.get(key, Served())
            found[key] = Served(on_time + is_on_time, total + 1)
        return found

    def _expire_outcomes(self, now_s: float) -> None:
        outcomes = self._outcomes
        while outcomes and outcomes[0][0] < now_s - WINDOW_S:
            outcomes.popleft()
