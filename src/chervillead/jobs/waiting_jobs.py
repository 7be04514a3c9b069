"""Jobs with pending tasks, kept in the order of `jobs.ordering`.

A burst leaves thousands of jobs waiting for a full pool, and each end of a run
makes room for one or two tasks. The order is kept as jobs change, so that
finding the next job doesn't sort all that wait.

The slack of all jobs shrinks alike, so their order by the latest time at which
they can start stays the same; the time only moves the border between jobs that
can still meet their target and those that can't.

Jobs of an overloaded pool that are moved out of the set of `jobs.overload` are
kept apart, in the order in which they were accepted.
"""

import bisect
from collections import abc
import heapq
import itertools
import typing

from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import ordering
from chervillead.jobs import overload
from chervillead.jobs import readiness


class _Entry(typing.NamedTuple):
    """Position of a job; the order breaks ties as the jobs were accepted.

    The time is the latest start of a batch job whose standing is current, and
    otherwise that of the job's acceptance.
    """

    time_s: float
    order: int
    job: job_state.JobState


class _Position(typing.NamedTuple):
    """Where a job is found, its terms, and its need."""

    bucket: "_Bucket"
    entry: _Entry
    terms: model.JobTerms
    need: model.Resources


class _Bucket(typing.NamedTuple):
    """Jobs whose order depends on their times alone."""

    is_long_running: bool
    priority: int
    is_over_rate: bool
    standing: overload.Standing
    account: str


class WaitingJobs:
    """Unfinished jobs with pending tasks that no other step blocks."""

    def __init__(self) -> None:
        self._positions: dict[str, _Position] = {}
        self._scheduled = 0
        self._buckets: dict[_Bucket, list[_Entry]] = {}
        # Standings of the jobs of overloaded pools, unless they are current.
        self._standings: dict[str, overload.Standing] = {}
        # Sorted amounts that batch jobs need at least, by pool and kind.
        self._needs: dict[str, tuple[list[int], ...]] = {}

    def __len__(self) -> int:
        return len(self._positions)

    @property
    def unscheduled(self) -> int:
        """Number of jobs without a schedule, which mostly waits for a time."""
        return len(self._positions) - self._scheduled

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
        self._remove(job.spec.job_id)
        steps = list(readiness.unblocked_steps(job))
        if job.is_finished:
            self._standings.pop(job.spec.job_id, None)
        if job.is_finished or not steps or job.recovering_until_s > now_s:
            return
        need = _least_need(steps)
        self._scheduled += job.spec.schedule.repeats > 0
        self._insert(job, terms, order, need)
        if not ordering.is_long_running(job.spec):
            amounts = self._needs.setdefault(job.spec.pool, ([], [], []))
            for sorted_, amount in zip(amounts, need, strict=True):
                bisect.insort(sorted_, amount)

    def set_standings(
        self, standings: abc.Mapping[str, overload.Standing]
    ) -> None:
        """Changes when jobs are run; they needn't be in the index.

        Args:
            standings: Standings by job id.
        """
        current = overload.Standing.CURRENT
        for job_id, standing in standings.items():
            if self._standings.get(job_id, current) is standing:
                continue
            if standing is current:
                del self._standings[job_id]
            else:
                self._standings[job_id] = standing
            position = self._positions.get(job_id)
            if position is not None:
                self._remove_entry(position)
                self._insert(
                    position.entry.job,
                    position.terms,
                    position.entry.order,
                    position.need,
                )

    def discard(self, job_id: str) -> None:
        """Drops a job, if it is there."""
        self._remove(job_id)
        self._standings.pop(job_id, None)

    def _insert(
        self,
        job: job_state.JobState,
        terms: model.JobTerms,
        order: int,
        need: model.Resources,
    ) -> None:
        """Adds a job at the position of its standing."""
        standing = self._standings.get(
            job.spec.job_id, overload.Standing.CURRENT
        )
        time_s, account = job.accepted_s, ""
        is_long_running = ordering.is_long_running(job.spec)
        if not is_long_running and standing is overload.Standing.CURRENT:
            time_s = ordering.latest_start_s(job, terms)
            account = job.spec.account
        bucket = _Bucket(
            is_long_running,
            terms.priority,
            job.is_over_rate and not is_long_running,
            standing,
            account,
        )
        entry = _Entry(time_s, order, job)
        bisect.insort(self._buckets.setdefault(bucket, []), entry)
        self._positions[job.spec.job_id] = _Position(bucket, entry, terms, need)

    def _remove(self, job_id: str) -> None:
        position = self._positions.pop(job_id, None)
        if position is None:
            return
        self._scheduled -= position.entry.job.spec.schedule.repeats > 0
        self._remove_entry(position)
        if not position.bucket.is_long_running:
            pool = position.entry.job.spec.pool
            for amounts, amount in zip(
                self._needs[pool], position.need, strict=True
            ):
                del amounts[bisect.bisect_left(amounts, amount)]

    def _remove_entry(self, position: _Position) -> None:
        entries = self._buckets[position.bucket]
        del entries[bisect.bisect_left(entries, position.entry)]
        if not entries:
            del self._buckets[position.bucket]

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
            is_turn = overload.is_turn_of_expired(now_s)
            if is_turn:
                yield from self._of_standing(
                    of_group, overload.Standing.EXPIRED
                )
            current = [
                bucket
                for bucket in of_group
                if bucket.standing is overload.Standing.CURRENT
            ]
            for is_late in (False, True):
                yield from self._by_share(
                    current, now_s, usage_by_account, is_late=is_late
                )
            yield from self._of_standing(of_group, overload.Standing.WHEN_ROOM)
            if not is_turn:
                yield from self._of_standing(
                    of_group, overload.Standing.EXPIRED
                )

    def _of_standing(
        self, buckets: list[_Bucket], standing: overload.Standing
    ) -> abc.Iterator[job_state.JobState]:
        """Yields the jobs of one group that have a standing."""
        for bucket in buckets:
            if bucket.standing is standing:
                yield from (entry.job for entry in self._buckets[bucket])

    def least_need(self, pool: str) -> model.Resources | None:
        """Returns amounts that no waiting batch task of a pool goes below.

        None if no batch job of the pool waits.
        """
        amounts = self._needs.get(pool)
        if not amounts or not amounts[0]:
            return None
        return model.Resources(*(sorted_[0] for sorted_ in amounts))

    def need_of(self, job_id: str) -> model.Resources:
        """Returns amounts that no waiting task of a job goes below."""
        return self._positions[job_id].need

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
    border = bisect.bisect_left(entries, now_s, key=lambda e: e.time_s)
    numbers = range(border) if is_late else range(border, len(entries))
    return (entries[number] for number in numbers)


def _least_need(steps: abc.Iterable[model.Step]) -> model.Resources:
    """Returns the least amounts that a task of any of some steps reserves."""
    needs = [step.reserved for step in steps]
    return model.Resources(*map(min, zip(*needs, strict=True)))
