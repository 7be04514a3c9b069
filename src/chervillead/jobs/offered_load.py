"""Offered load of a pool: the work of the jobs that are accepted per second.

Meant for queues that burst at up to 30 jobs per second for a few seconds. The
number of cores that all waiting tasks would use at once grows with the backlog
and is highest when the burst is over. The offered load is known within 0.3 s of
the start of a burst and doesn't depend on the backlog.
"""

import collections
from collections import abc
import itertools
import math
import typing

from chervillead.jobs import expected_work
from chervillead.jobs import model

# A window must have seen this many jobs to count.
MIN_JOBS = 3
# The rate is taken over the long window, which restarts when the rate
# changes. A burst has ended when the short window shows it.
LONG_WINDOW_S = 2.0
SHORT_WINDOW_S = 0.5
# A rise counts once it has lasted for this long.
MIN_RISE_S = 0.3
# A rise is this many standard deviations of the number of jobs: in a steady
# load, less than one tick in a thousand shows one by chance.
RISE_DEVIATIONS = 3.5
# A rate that falls below this part counts as the end of a burst.
FALL_RATIO = 0.2
# Jobs that a fall must have kept away. With 5 jobs, falls were seen in the
# middle of bursts of 12 jobs per second.
FALL_JOBS = 10
# Jobs over which the mean work of a job is averaged. The work of single jobs
# differs so much that the work seen in a short window says little.
MEAN_WORK_JOBS = 64
# Jobs accepted within this time are counted together, which bounds the number
# of samples.
SAMPLE_S = 0.02

_KINDS = len(model.Resources())
_AMOUNTS = _KINDS * len(expected_work.JobWork._fields)


class Rates(typing.NamedTuple):
    """Offered load of a pool.

    Attributes:
        jobs: Jobs per second.
        used: Resources in use on average if no job is delayed; the same as the
            offered work per second.
        in_flight: Work of the jobs that are under way if no job is delayed.
        sizes: Resources that all tasks of the jobs of a second reserve.
        changed_s: When the rate changed last.
    """

    jobs: float
    used: model.Resources
    in_flight: model.Resources
    sizes: model.Resources
    changed_s: float


class _Sample(typing.NamedTuple):
    at_s: float
    jobs: int


class OfferedLoad:
    """Measures the load that is offered to one pool."""

    def __init__(self, now_s: float) -> None:
        self._started_s = now_s
        # When the rate changed last, as far as it is known.
        self._changed_s = now_s
        self._samples: collections.deque[_Sample] = collections.deque()
        self._jobs = 0
        # Part of each account in the mean of the amounts of `JobWork`, in their
        # order.
        self._means: dict[str, list[float]] = {}

    def record(
        self, work: expected_work.JobWork, account: str, now_s: float
    ) -> None:
        """Counts a job that was accepted."""
        jobs = 1
        at_s = now_s
        if self._samples and now_s - self._samples[-1].at_s < SAMPLE_S:
            at_s, earlier = self._samples.pop()
            jobs += earlier
        self._samples.append(_Sample(at_s, jobs))
        self._drop_old(now_s)
        self._jobs += 1
        self._add_to_means(work, account, 1 / min(self._jobs, MEAN_WORK_JOBS))

    def _add_to_means(
        self, work: expected_work.JobWork, account: str, weight: float
    ) -> None:
        self._means = {
            name: [(1 - weight) * amount for amount in amounts]
            for name, amounts in self._means.items()
            # An account that no longer submits is forgotten.
            if max(amounts) >= 1
        }
        means = self._means.get(account, [0.0] * _AMOUNTS)
        self._means[account] = [
            mean + weight * amount
            for mean, amount in zip(
                means, itertools.chain.from_iterable(work), strict=True
            )
        ]

    def rates(
        self, now_s: float, limits: abc.Mapping[str, model.Resources]
    ) -> Rates | None:
        """Returns the offered load, or None before a window is complete.

        Args:
            now_s: Time of the owner's clock.
            limits: Resources that the tasks of an account may use at once, by
                account, for those with a quota; an amount of 0 means no limit.
        """
        if now_s - self._started_s < SHORT_WINDOW_S:
            return None
        self._drop_old(now_s)
        self._find_rise(now_s)
        self._find_fall(now_s)
        rate = self._rate(now_s)
        totals = self._totals(rate, limits)
        used, in_flight, sizes = (
            model.Resources(*map(round, totals[start : start + _KINDS]))
            for start in range(0, _AMOUNTS, _KINDS)
        )
        return Rates(
            rate,
            expected_work.scaled(used, 0.001),
            in_flight,
            sizes,
            self._changed_s,
        )

    def _totals(
        self, rate: float, limits: abc.Mapping[str, model.Resources]
    ) -> list[float]:
        """Returns the amounts of `JobWork` per second that quotas allow."""
        totals = [0.0] * _AMOUNTS
        for account, means in self._means.items():
            limit = limits.get(account)
            part = rate
            if limit is not None:
                wanted = model.Resources(
                    *(round(rate * n / 1000) for n in means[:_KINDS])
                )
                part *= expected_work.allowed_part(wanted, limit)
            totals = [
                total + part * mean
                for total, mean in zip(totals, means, strict=True)
            ]
        return totals

    def _drop_old(self, now_s: float) -> None:
        while self._samples and self._samples[0].at_s < now_s - LONG_WINDOW_S:
            self._samples.popleft()

    def _count(self, since_s: float) -> int:
        return sum(n.jobs for n in self._samples if n.at_s > since_s)

    def _rate(self, now_s: float) -> float:
        """Returns the jobs per second since the rate changed."""
        # A window that starts with a job doesn't count that job: the time
        # before it isn't part of the window.
        since_s = max(self._changed_s, now_s - LONG_WINDOW_S)
        jobs = self._count(since_s)
        return jobs / (now_s - since_s) if jobs >= MIN_JOBS else 0.0

    def _find_rise(self, now_s: float) -> None:
        """Starts the window at the first job of a burst, if one began."""
        rate, changed_s = self._rate(now_s), self._changed_s
        best = 0.0
        jobs = 0
        for sample in reversed(self._samples):
            if sample.at_s <= changed_s:
                # Jobs of an earlier burst.
                break
            age_s = now_s - sample.at_s
            expected = max(rate * age_s, 0.1)
            excess = jobs - expected
            if (
                age_s >= MIN_RISE_S
                and jobs >= MIN_JOBS
                and excess > RISE_DEVIATIONS * max(1, expected) ** 0.5
            ):
                # Logarithm of how much more likely the jobs are at their own
                # rate than at the former one.
                gain = jobs * math.log(jobs / expected) - excess
                if gain > best:
                    best, self._changed_s = gain, sample.at_s
            jobs += sample.jobs

    def _find_fall(self, now_s: float) -> None:
        """Restarts the window if a burst has ended."""
        rate = self._rate(now_s)
        if rate < FALL_JOBS / LONG_WINDOW_S:
            return
        window_s = max(SHORT_WINDOW_S, FALL_JOBS / rate)
        recent_s = now_s - window_s
        if self._count(recent_s) < FALL_RATIO * rate * window_s:
            self._changed_s = recent_s
