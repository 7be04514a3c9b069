"""Which pools are overloaded, and the standings of their jobs."""

from collections import abc
import typing

from chervillead.jobs import backlog
from chervillead.jobs import overload
from chervillead.jobs import workload

# Least time between two choices for a pool. A task runs for 0.3 s or more.
MIN_INTERVAL_S = 0.05
# A choice takes about 10 us for each job, so choices take a twentieth of the
# processor at most.
INTERVAL_PER_JOB_S = 0.0002


class Overload(typing.NamedTuple):
    """State of an overloaded pool.

    Attributes:
        begun_s: When overload began, by the owner's clock.
        chosen_s: When the last choice was made.
        load: What the pool's cores are busy with.
        choice: The last choice.
    """

    begun_s: float
    chosen_s: float
    load: workload.Load
    choice: overload.Choice


class OverloadedPools:
    """Chooses what is run in time while a pool is overloaded."""

    def __init__(self, unfinished: backlog.Backlog) -> None:
        self._backlog = unfinished
        self._due_s: dict[str, float] = {}
        self._overloads: dict[str, Overload] = {}

    def get(self, pool: str) -> Overload | None:
        """Returns the state of a pool, or None if it isn't overloaded."""
        return self._overloads.get(pool)

    def refresh(
        self, pool: str, millicores: float, now_s: float
    ) -> abc.Mapping[str, overload.Standing]:
        """Chooses again if that is due; returns the standings of jobs.

        Args:
            pool: The pool.
            millicores: Millicores of its schedulable hosts.
            now_s: Time of the owner's clock.
        """
        # What a pool without hosts can do isn't known: they may be out of
        # contact for a moment, or on their way. No choice for longer than
        # `admission.MAX_CHOICE_AGE_S` also ends refusals for its backlog.
        if not millicores or now_s < self._due_s.get(pool, 0.0):
            return {}
        load = self._backlog.load(pool, millicores)
        least = overload.LEAST_BACKLOG_S * load.millicores
        is_busy = self._backlog.pending(pool) > least
        before = self._overloads.get(pool)
        if not is_busy and before is None:
            return {}
        candidates = self._backlog.candidates(pool)
        self._due_s[pool] = now_s + max(
            MIN_INTERVAL_S, INTERVAL_PER_JOB_S * len(candidates)
        )
        choice = overload.choose(
            candidates, load, self._backlog.statistics, now_s
        )
        if is_busy and (choice.moved_out or before is not None):
            begun_s = now_s if before is None else before.begun_s
            self._overloads[pool] = Overload(begun_s, now_s, load, choice)
            return choice.standings
        if before is None:
            return {}
        del self._overloads[pool]
        return {
            candidate.job.spec.job_id: overload.Standing.CURRENT
            for candidate in candidates
        }
