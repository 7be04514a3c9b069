"""Jobs with pending tasks, kept in the order of `jobs.ordering`.

A burst leaves thousands of jobs waiting for a full pool, and each end of a run
makes room for one or two tasks. The order is kept as jobs change, so that
finding the next job doesn't sort all that wait.

The slack of all jobs shrinks alike, so their order by the latest time at which
they can start stays the same; the time only moves the border between jobs that
can still meet their target and those that can't.
"""

import bisect
from collections import abc
import heapq
import itertools
import typing

from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import ordering
from chervillead.jobs import readiness


class _Entry(typing.NamedTuple):
    """Position of a job; the order breaks ties as the jobs were accepted."""

    start_s: float
    order: int
    job: job_state.JobState


class _Position(typing.NamedTuple):
    """Where a job is found: its bucket, its entry there and its need."""

    bucket: "_Bucket"
    entry: _Entry
    need: model.Resources


class _Bucket(typing.NamedTuple):
    """Jobs whose order depends on their times alone."""

    is_long_running: bool
    priority: int
    is_over_rate: bool
    account: str


class WaitingJobs:
    """Unfinished jobs with pending tasks that no other step blocks."""

    def __init__(self) -> None:
        self._positions: dict[str, _Position] = {}
        self._buckets: dict[_Bucket, list[_Entry]] = {}
        # Sorted amounts that batch jobs need at least, by pool and kind.
        self._needs: dict[str, tuple[list[int], ...]] = {}

    def __len__(self) -> int:
        return len(self._positions)

    def put(
        self,
        job: job_state.JobState,
        terms: model.JobTerms,
        *,
        order: int,
        now_s: float,
    ) -> None:
        """Adds a job, moves it to its new place, or drops one that is done.

        Args:
            job: The job.
            terms: What it is owed.
            order: Number of the job in the order in which jobs became known.
            now_s: Time of the owner's clock.
        """
        self.discard(job.spec.job_id)
        steps = list(readiness.unblocked_steps(job))
        if job.is_finished or not steps or job.recovering_until_s > now_s:
            return
        priority = terms.priority
        if ordering.is_long_running(job.spec):
            bucket = _Bucket(True, priority, False, "")
            entry = _Entry(job.accepted_s, order, job)
        else:
            bucket = _Bucket(
                False, priority, job.is_over_rate, job.spec.account
            )
            start_s = ordering.latest_start_s(job, terms)
            entry = _Entry(start_s, order, job)
        bisect.insort(self._buckets.setdefault(bucket, []), entry)
        need = _least_need(steps)
        self._positions[job.spec.job_id] = _Position(bucket, entry, need)
        if not bucket.is_long_running:
            amounts = self._needs.setdefault(job.spec.pool, ([], [], []))
            for sorted_, amount in zip(amounts, need, strict=True):
                bisect.insort(sorted_, amount)

    def discard(self, job_id: str) -> None:
        """Drops a job, if it is there."""
        position = self._positions.pop(job_id, None)
        if position is None:
            return
        entries = self._buckets[position.bucket]
        del entries[bisect.bisect_left(entries, position.entry)]
        if not entries:
            del self._buckets[position.bucket]
        if not position.bucket.is_long_running:
            pool = position.entry.job.spec.pool
            for amounts, amount in zip(
                self._needs[pool], position.need, strict=True
            ):
                del amounts[bisect.bisect_left(amounts, amount)]

    @property
    def pools(self) -> frozenset[str]:
        """Pools for which batch jobs wait."""
        return frozenset(
            pool for pool, amounts in self._needs.items() if amounts[0]
        )

    def long_running(self) -> abc.Iterator[job_state.JobState]:
        """Yields the jobs with long-running tasks, which go first."""
        for bucket in sorted(self._buckets):
            if bucket.is_long_running:
                yield from (entry.job for entry in self._buckets[bucket])

    def batch(
        self, now_s: float, usage_by_account: abc.Mapping[str, float]
    ) -> abc.Iterator[job_state.JobState]:
        """Yields the other jobs in the order in which they are placed.

        The index must not change while the jobs are consumed.

        Args:
            now_s: Time of the owner's clock.
            usage_by_account: Usage of accounts divided by their fair share.
        """
        buckets = (b for b in sorted(self._buckets) if not b.is_long_running)
        for _, group in itertools.groupby(
            buckets, key=lambda b: (b.priority, b.is_over_rate)
        ):
            of_group = list(group)
            for is_late in (False, True):
                yield from self._by_share(
                    of_group, now_s, usage_by_account, is_late=is_late
                )

    def least_need(self, pool: str) -> model.Resources | None:
        """Returns amounts that no waiting batch task of a pool goes below.

        None if no batch job of the pool waits.
        """
        amounts = self._needs.get(pool)
        if not amounts or not amounts[0]:
            return None
        return model.Resources(*(sorted_[0] for sorted_ in amounts))

    def _by_share(
        self,
        buckets: list[_Bucket],
        now_s: float,
        usage_by_account: abc.Mapping[str, float],
        *,
        is_late: bool,
    ) -> abc.Iterator[job_state.JobState]:
        """Yields jobs of one group by what their accounts use too much."""

        def excess(bucket: _Bucket) -> float:
            return ordering.over_share(
                usage_by_account.get(bucket.account, 0.0)
            )

        for _, group in itertools.groupby(
            sorted(buckets, key=excess), key=excess
        ):
            parts = [
                _part(self._buckets[bucket], now_s, is_late=is_late)
                for bucket in group
            ]
            for entry in heapq.merge(*parts):
                yield entry.job


def _part(
    entries: list[_Entry], now_s: float, *, is_late: bool
) -> abc.Iterator[_Entry]:
    """Yields the entries whose latest start has passed, or the others."""
    border = bisect.bisect_left(entries, now_s, key=lambda e: e.start_s)
    numbers = range(border) if is_late else range(border, len(entries))
    return (entries[number] for number in numbers)


def _least_need(steps: abc.Iterable[model.Step]) -> model.Resources:
    """Returns the least amounts that a task of any of some steps reserves."""
    needs = [step.reserved for step in steps]
    return model.Resources(*map(min, zip(*needs, strict=True)))
