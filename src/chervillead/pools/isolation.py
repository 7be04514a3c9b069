"""How many workers of a pool are kept for tasks that may crash them.

A suspected task that has a worker to itself shows by its next crash that it is
the cause. A crash suspects all tasks of a worker though at most one has caused
it, so there may be more of them than workers, and the pool's other work has to
go on: few workers are kept at once, for those that lost most workers first. The
other suspects start beside other tasks, apart from each other, so that the next
crash tells few of them from the rest.
"""

import collections
from collections import abc
import typing

from chervillead.jobs import crash_evidence
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import readiness
from chervillead.pools import owner_state

# At most one of this many workers is kept for a short time, or a single one,
WORKERS_PER_KEPT_ONE = 2
# and one of this many until its task ends.
WORKERS_PER_ONE_KEPT_TO_END = 4
# The only worker of a pool takes other work in between.
SINGLE_WORKER_INTERVAL_S = 2 * crash_evidence.MAX_CRASH_DELAY_S


class KeptWorkers(typing.NamedTuple):
    """The workers of a pool that are kept for suspected tasks.

    Attributes:
        workers: Workers of the pool that may run tasks.
        kept: How many of them are kept now.
        kept_to_end: How many of these are kept until their tasks end.
        last_kept_s: Since when one was kept last, by the owner's clock.
        suspects: Suspected tasks that aren't done, by their crashes.
        waiting: Those of them that may start, by their crashes.
    """

    workers: int
    kept: int
    kept_to_end: int
    last_kept_s: float
    suspects: collections.Counter[int]
    waiting: collections.Counter[int]

    @property
    def limit(self) -> int:
        """Most workers that may be kept at once."""
        return max(1, self.workers // WORKERS_PER_KEPT_ONE)

    @property
    def limit_to_end(self) -> int:
        """Most workers that may be kept until their tasks end.

        The only worker of a pool is kept for a short time only.
        """
        if self.workers <= 1:
            return 0
        return max(1, self.workers // WORKERS_PER_ONE_KEPT_TO_END)

    def may_keep(self, crashes: int, now_s: float) -> bool:
        """Returns whether one more worker may be kept.

        Args:
            crashes: Crashes of the task that it would be kept for.
            now_s: Time of the owner's clock.
        """
        pause_ends_s = self.last_kept_s + SINGLE_WORKER_INTERVAL_S
        if self.workers == 1 and now_s < pause_ends_s:
            return False
        preferred = sum(
            tasks for number, tasks in self.waiting.items() if number > crashes
        )
        return self.kept + preferred < self.limit

    def may_keep_to_end(self, crashes: int) -> bool:
        """Returns whether a task may keep its worker until the task ends.

        While more tasks have lost as many workers, each has one for a short
        time in turn.
        """
        equals = sum(
            tasks
            for number, tasks in self.suspects.items()
            if number >= crashes
        )
        return max(equals, self.kept_to_end + 1) <= self.limit_to_end


class Isolation:
    """The kept workers of all pools of an owner, during one placement pass."""

    def __init__(self, state: owner_state.OwnerState, now_s: float) -> None:
        self._state = state
        self._now_s = now_s
        self._pools: dict[str, KeptWorkers] = {}

    def in_pool(self, pool: str) -> KeptWorkers:
        """Returns the kept workers of a pool."""
        if pool not in self._pools:
            self._pools[pool] = self._count(pool)
        return self._pools[pool]

    def may_keep(self, ready: readiness.ReadyTask) -> bool:
        """Returns whether a worker may be kept for a suspected task."""
        kept = self.in_pool(ready.job.spec.pool)
        return kept.may_keep(_crashes(ready.job, ready.task), self._now_s)

    def keep(self, ready: readiness.ReadyTask) -> float:
        """Keeps a worker for a suspected task that starts, if one may be.

        Returns:
            Until when the worker is kept, by the owner's clock; -inf if the
            task starts beside others.
        """
        pool = ready.job.spec.pool
        kept = self.in_pool(pool)
        crashes = _crashes(ready.job, ready.task)
        may_keep = kept.may_keep(crashes, self._now_s)
        kept.waiting[crashes] -= 1
        if not may_keep:
            return float("-inf")
        until_s = crash_evidence.isolation_ends_s(
            ready.job,
            ready.task,
            self._now_s,
            to_end=kept.may_keep_to_end(crashes),
        )
        self._pools[pool] = kept._replace(
            kept=kept.kept + 1,
            kept_to_end=kept.kept_to_end + (until_s == float("inf")),
            last_kept_s=self._now_s,
        )
        return until_s

    def _count(self, pool: str) -> KeptWorkers:
        state = self._state
        zones_out = state.ports.zones_out()
        views = [
            watch.view
            for watch in state.watches.values()
            if watch.view.registration.pool == pool
            and watch.view.may_start(zones_out)
        ]
        jobs = [
            job
            for job in state.jobs.unfinished()
            if job.suspected_s and job.spec.pool == pool
        ]
        return KeptWorkers(
            workers=len(views),
            kept=sum(view.is_isolated(self._now_s) for view in views),
            kept_to_end=sum(view.is_isolated_to_end for view in views),
            last_kept_s=max(
                (view.last_isolated_s for view in views), default=float("-inf")
            ),
            suspects=collections.Counter(
                _crashes(job, task)
                for job in jobs
                for task in crash_evidence.suspects(job)
            ),
            waiting=collections.Counter(
                _crashes(job, task)
                for job in jobs
                for task in _waiting_suspects(job, self._now_s)
            ),
        )


def _waiting_suspects(
    job: job_state.JobState, now_s: float
) -> abc.Iterator[model.TaskKey]:
    """Yields the suspected tasks of a job that may start."""
    return (
        task
        for task in crash_evidence.suspects(job)
        if task not in job.runs and job.retry_at_s.get(task, now_s) <= now_s
    )


def _crashes(job: job_state.JobState, task: model.TaskKey) -> int:
    return len(job.crashed_runs.get(task, ()))
