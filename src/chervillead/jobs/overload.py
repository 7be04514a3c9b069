"""Which waiting jobs of an overloaded pool are run in time.

In order of the least slack, all jobs of such a pool become late together.
Those with the least worth for their work are moved out instead, so that the
others stay on time, and run when there is room.
"""

from collections import abc
import enum
import heapq
import typing

from chervillead.jobs import queue_statistics
from chervillead.jobs import workload

# Worth of a job, in terms of the mean work of its queue: a constant part and
# one that grows with its work.
WORTH_CONSTANT = 0.3
WORTH_OF_MEAN_WORK = 0.7
# A late job is worth something until this many times its target.
EXPIRY_FACTOR = 3.0
# Size classes are served at least this often, compared with their whole queue.
LEAST_SERVED = 0.5
# Expired jobs go first within their group for a tenth of the time.
TURN_PERIOD_S = 2.0
TURN_S = 0.2
# Quantile of the worth for their work of the jobs moved out, below which a
# further job is taken to be moved out as well. Above it, that depends on when
# it comes.
MOVED_OUT_QUANTILE = 0.5
# Jobs of a pool that one choice considers at most.
MAX_JOBS = 2000
# Overload begins with more work than this, and ends with less of it, in seconds
# of the pool's cores. Less than half the least slack of a new job.
LEAST_BACKLOG_S = 0.25


class Standing(enum.IntEnum):
    """When a waiting job is run, in order.

    `CURRENT` has the order by latest start.
    """

    CURRENT = 0
    WHEN_ROOM = 1
    EXPIRED = 2


class GroupLoad(typing.NamedTuple):
    """What a further job of a group would wait for.

    Attributes:
        ahead: Work of jobs that aren't expired, up to this group.
        worth: Worth for its work below which further jobs are surely moved out;
            0 if no job was.
    """

    ahead: float
    worth: float


class Choice(typing.NamedTuple):
    """What is run in time in one pool.

    Attributes:
        standings: Standing of each job that was considered, by job id.
        moved_out: How many jobs were moved out of the set.
        in_set: How many jobs are in it.
        groups: What further jobs would wait for.
        served: How many jobs of each size class are on time, of those that
            completed recently, wait or run.
    """

    standings: dict[str, Standing]
    moved_out: int
    in_set: int
    groups: dict[workload.Group, GroupLoad]
    served: abc.Mapping[queue_statistics.ClassKey, queue_statistics.Served]


def is_turn_of_expired(now_s: float) -> bool:
    """Returns whether expired jobs go before the others of their group."""
    return now_s % TURN_PERIOD_S < TURN_S


def worth_for_work(
    work: workload.Work,
    queue: str,
    statistics: queue_statistics.QueueStatistics,
) -> float:
    """Returns the worth of a job divided by the work that it still needs."""
    relative = statistics.relative_work(queue, work.total)
    worth = WORTH_CONSTANT + WORTH_OF_MEAN_WORK * relative
    return worth / max(1.0, work.pending)


def choose(
    candidates: abc.Iterable[workload.Candidate],
    load: workload.Load,
    statistics: queue_statistics.QueueStatistics,
    now_s: float,
) -> Choice:
    """Chooses the jobs of a pool that are run in time.

    Args:
        candidates: Its unfinished jobs.
        load: What its cores are busy with.
        statistics: Recent jobs of its queues.
        now_s: Time of the owner's clock.
    """
    considered, others = _considered(candidates, now_s)
    classes = _Classes(considered, statistics, now_s)
    choice = Choice({}, 0, 0, {}, classes.served)
    for candidate in others:
        # Otherwise a job moved out would never count as expired, and wait for
        # as long as there are enough jobs on time.
        if candidate.latest_start_s < now_s:
            standing = _standing(candidate, now_s, is_out=False)
            choice.standings[candidate.job.spec.job_id] = standing
    ahead = 0.0
    for group in sorted({c.group for c in considered}):
        of_group = [c for c in considered if c.group == group]
        on_time = [
            c for c in of_group if c.target_s and c.latest_start_s >= now_s
        ]
        moved, worth = _move_out(on_time, load, ahead, classes, now_s)
        for candidate in of_group:
            is_out = candidate.order in moved
            standing = _standing(candidate, now_s, is_out=is_out)
            choice.standings[candidate.job.spec.job_id] = standing
            if standing is not Standing.EXPIRED:
                ahead += candidate.work.pending
        choice.groups[group] = GroupLoad(ahead, worth)
        choice = choice._replace(
            moved_out=choice.moved_out + len(moved),
            in_set=choice.in_set + len(on_time) - len(moved),
        )
    return choice


def _considered(
    candidates: abc.Iterable[workload.Candidate], now_s: float
) -> tuple[list[workload.Candidate], list[workload.Candidate]]:
    """Returns the jobs that are considered, and the others.

    Of too many jobs, those on time with the least slack are considered first.
    """
    found = list(candidates)
    if len(found) <= MAX_JOBS:
        return found, []
    considered = heapq.nsmallest(
        MAX_JOBS, found, key=lambda c: (c.latest_start_s < now_s, c)
    )
    orders = {candidate.order for candidate in considered}
    return considered, [c for c in found if c.order not in orders]


def _standing(
    candidate: workload.Candidate, now_s: float, *, is_out: bool
) -> Standing:
    """Returns the standing of a job in an overloaded pool."""
    if not candidate.target_s:
        return Standing.CURRENT
    extra_s = (EXPIRY_FACTOR - 1) * candidate.target_s
    if candidate.latest_start_s + extra_s < now_s:
        return Standing.EXPIRED
    is_late = candidate.latest_start_s < now_s
    return Standing.WHEN_ROOM if is_out or is_late else Standing.CURRENT


def _move_out(
    on_time: list[workload.Candidate],
    load: workload.Load,
    ahead: float,
    classes: "_Classes",
    now_s: float,
) -> tuple[set[int], float]:
    """Moves jobs out until all others can start in time.

    Returns:
        Orders of the jobs that were moved out, and a worth for its work below
        which further jobs are surely moved out.
    """
    moved: set[int] = set()
    worths = []
    counted: dict[int, float] = {}
    for latest_s, _, work, candidate in _steps_by_latest_start(on_time):
        if candidate.order in moved:
            continue
        if candidate.order not in counted:
            counted[candidate.order] = 0.0
            classes.add(candidate)
        available = load.available(latest_s - now_s)
        while ahead > available and candidate.order not in moved:
            least = classes.take_least_worth()
            if least is None:
                break
            worth, out = least
            worths.append(worth)
            moved.add(out.order)
            ahead -= counted[out.order]
        if candidate.order not in moved:
            counted[candidate.order] += work
            ahead += work
    classes.clear()
    if not worths:
        return moved, 0.0
    worths.sort()
    return moved, worths[int(MOVED_OUT_QUANTILE * len(worths))]


def _steps_by_latest_start(
    candidates: list[workload.Candidate],
) -> list[tuple[float, int, float, workload.Candidate]]:
    """Returns the steps of jobs, by latest start.

    Later steps of a job don't delay what must start before them.
    """
    return sorted(
        (step.latest_start_s, candidate.order, step.work, candidate)
        for candidate in candidates
        for step in candidate.work.steps
    )


class _Classes:
    """Jobs that may be moved out, and how often each size class is served."""

    def __init__(
        self,
        considered: list[workload.Candidate],
        statistics: queue_statistics.QueueStatistics,
        now_s: float,
    ) -> None:
        self._statistics = statistics
        self._heaps: dict[
            queue_statistics.ClassKey,
            list[tuple[float, int, workload.Candidate]],
        ] = {}
        self._served = statistics.served(now_s)
        self._keys = {
            c.order: statistics.class_of(c.queue, c.work.total)
            for c in considered
        }
        for candidate in considered:
            if candidate.target_s:
                is_on_time = candidate.latest_start_s >= now_s
                self._count(self._keys[candidate.order], int(is_on_time), 1)

    @property
    def served(
        self,
    ) -> abc.Mapping[queue_statistics.ClassKey, queue_statistics.Served]:
        """How many jobs of each class are on time, of all."""
        return self._served

    def add(self, candidate: workload.Candidate) -> None:
        """Adds a job unless too much of it is done."""
        if not candidate.is_begun and candidate.work.pending:
            worth = worth_for_work(
                candidate.work, candidate.queue, self._statistics
            )
            heap = self._heaps.setdefault(self._keys[candidate.order], [])
            heapq.heappush(heap, (worth, candidate.order, candidate))

    def clear(self) -> None:
        """Forgets all jobs that may be moved out."""
        self._heaps.clear()

    def take_least_worth(self) -> tuple[float, workload.Candidate] | None:
        """Takes the job with the least worth for its work, if there is any."""
        allowed = [
            key
            for key, heap in self._heaps.items()
            if heap and is_served_enough(self._served, key)
        ]
        if not allowed:
            return None
        key = min(allowed, key=lambda key: self._heaps[key][0])
        worth, _, candidate = heapq.heappop(self._heaps[key])
        self._count(key, -1, 0)
        return worth, candidate

    def _count(
        self, key: queue_statistics.ClassKey, on_time: int, total: int
    ) -> None:
        served = self._served.get(key, queue_statistics.Served())
        self._served[key] = queue_statistics.Served(
            served.on_time + on_time, served.total + total
        )


def is_served_enough(
    served: abc.Mapping[queue_statistics.ClassKey, queue_statistics.Served],
    key: queue_statistics.ClassKey,
) -> bool:
    """Returns whether more jobs of a size class may be moved out."""
    if key.size_class is queue_statistics.SizeClass.USUAL:
        return True
    of_queue = [s for other, s in served.items() if other.queue == key.queue]
    on_time = sum(s.on_time for s in of_queue)
    total = sum(s.total for s in of_queue)
    of_class = served.get(key, queue_statistics.Served())
    return of_class.on_time * total >= LEAST_SERVED * on_time * of_class.total
