"""Unfinished batch jobs of a partition and their work, by pool."""

import collections
from collections import abc

from chervillead.jobs import expected_work
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import ordering
from chervillead.jobs import queue_statistics
from chervillead.jobs import workload


class _Pool:
    """Unfinished jobs of one pool, and sums over them."""

    def __init__(self) -> None:
        self.candidates: dict[str, workload.Candidate] = {}
        self.pending = 0.0
        self.running = 0.0
        self.running_millicores = 0
        # When jobs completed, over the window of the statistics.
        self.completed_s: collections.deque[float] = collections.deque()

    def add(self, work: workload.Work, sign: int) -> None:
        """Adds the work of a job to the sums, or takes it off."""
        self.pending += sign * work.pending
        self.running += sign * work.running
        self.running_millicores += sign * work.running_millicores


class Backlog:
    """Work of unfinished jobs; updated as jobs change, not by scans."""

    def __init__(self) -> None:
        self._pools: dict[str, _Pool] = {}
        # Millicores of long-running jobs, by pool and job id.
        self._long_running: dict[str, dict[str, int]] = {}
        self._statistics = queue_statistics.QueueStatistics()

    @property
    def statistics(self) -> queue_statistics.QueueStatistics:
        """Recent jobs of the queues."""
        return self._statistics

    @property
    def pools(self) -> list[str]:
        """Pools that have had batch jobs."""
        return list(self._pools)

    def candidates(self, pool: str) -> abc.Collection[workload.Candidate]:
        """Returns the unfinished batch jobs of a pool."""
        return self._pools[pool].candidates.values()

    def pending(self, pool: str) -> float:
        """Returns the work that waits for a pool, in millicore-seconds."""
        return self._pools[pool].pending if pool in self._pools else 0.0

    def load(self, pool: str, millicores: float) -> workload.Load:
        """Returns what the cores of a pool are busy with."""
        of_pool = self._pools.get(pool, _Pool())
        reserved = sum(self._long_running.get(pool, {}).values())
        return workload.Load(
            max(1.0, (millicores - reserved) / expected_work.PACKING_FACTOR),
            of_pool.running,
            of_pool.running_millicores,
        )

    def completed_per_s(self, pool: str, now_s: float) -> float:
        """Returns the mean rate at which jobs of a pool complete."""
        if pool not in self._pools:
            return 0.0
        times = self._pools[pool].completed_s
        while times and times[0] < now_s - queue_statistics.WINDOW_S:
            times.popleft()
        return len(times) / queue_statistics.WINDOW_S

    def put(
        self,
        job: job_state.JobState,
        terms: model.JobTerms,
        *,
        order: int,
        now_s: float,
    ) -> None:
        """Adds a job, updates it, or drops one that has finished.

        Args:
            job: The job.
            terms: What it is owed.
            order: Number of the job in the order in which jobs became known.
            now_s: Time of the owner's clock.
        """
        known = self._remove(job)
        if job.is_finished:
            if known is not None and job.is_completed:
                self._record_outcome(known)
            return
        if job.recovering_until_s > now_s:
            return
        spec = job.spec
        if ordering.is_long_running(spec):
            self._long_running.setdefault(spec.pool, {})[spec.job_id] = sum(
                step.tasks * step.reserved.millicores for step in spec.steps
            )
            return
        candidate = candidate_of(job, terms, order)
        if known is None:
            self._count_accepted(candidate, now_s)
        pool = self._pools.setdefault(spec.pool, _Pool())
        pool.candidates[spec.job_id] = candidate
        pool.add(candidate.work, 1)

    def discard(self, job_id: str) -> None:
        """Drops a job, if it is there."""
        for pool in self._pools.values():
            candidate = pool.candidates.pop(job_id, None)
            if candidate is not None:
                pool.add(candidate.work, -1)
            if not pool.candidates:
                # Ends the rounding errors of the sums.
                pool.pending = pool.running = 0.0
        for amounts in self._long_running.values():
            amounts.pop(job_id, None)

    def _remove(self, job: job_state.JobState) -> workload.Candidate | None:
        pool = self._pools.get(job.spec.pool)
        known = pool and pool.candidates.get(job.spec.job_id)
        self.discard(job.spec.job_id)
        return known or None

    def _count_accepted(
        self, candidate: workload.Candidate, now_s: float
    ) -> None:
        """Counts the size of a job unless it was accepted long ago."""
        age_s = now_s - candidate.job.accepted_s
        if candidate.target_s and age_s < queue_statistics.WINDOW_S:
            self._statistics.add_job(
                candidate.queue, candidate.work.total, now_s
            )

    def _record_outcome(self, candidate: workload.Candidate) -> None:
        job = candidate.job
        if candidate.target_s and job.finished_s is not None:
            # Bounds what is kept of a pool that refuses nothing.
            self.completed_per_s(job.spec.pool, job.finished_s)
            self._pools[job.spec.pool].completed_s.append(job.finished_s)
            self._statistics.add_outcome(
                candidate.queue,
                candidate.work.total,
                job.finished_s,
                is_on_time=job.finished_s
                <= job.accepted_s + candidate.target_s,
            )


def has_target(spec: model.JobSpec, terms: model.JobTerms) -> bool:
    """Returns whether a job has a completion target to be served by."""
    return (
        (terms.target_ms > 0 or terms.stretch > 1)
        and not spec.schedule.repeats
        and not ordering.is_long_running(spec)
    )


def candidate_of(
    job: job_state.JobState, terms: model.JobTerms, order: int
) -> workload.Candidate:
    """Returns what a choice considers of a job.

    Args:
        job: The job.
        terms: What it is owed.
        order: Number of the job in the order in which jobs became known.
    """
    target_s = 0.0
    if has_target(job.spec, terms):
        target_s = ordering.completion_target_ms(job, terms) / 1000
    work = workload.work_of(job, target_s)
    return workload.Candidate(
        work.latest_start_s,
        order,
        job,
        terms.queue_address,
        workload.Group(terms.priority, job.is_over_rate),
        work,
        target_s,
    )
