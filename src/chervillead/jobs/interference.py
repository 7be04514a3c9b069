"""Learns which best-effort images interfere with which latency-sensitive ones.

Samples come from consecutive statuses of a worker between which its best-effort
tasks or their paces have changed. Levels are never compared across workers, so
that a slow worker isn't taken for an interfering neighbor.
"""

from collections import abc
import typing

from chervillead.jobs import latency_fit
from chervillead.jobs import model
from chervillead.jobs import placement
from chervillead.jobs import task_runs
from chervillead.jobs import worker_trace

# Values that are closer together are of the same half second.
REPORT_WINDOW_S = 0.5
# The load of a task changes too, so older values are not compared with.
MAX_REFERENCE_AGE_S = 5.0
# More samples of an image than this allows would not improve its estimates.
MIN_SAMPLE_INTERVAL_S = 0.05
# Most images in each role.
MAX_IMAGES = 64
# Placement reads estimates of this age; pairs are checked for confidence as
# often.
REFRESH_INTERVAL_S = 0.5
# Expected rises are rounded to this much, in percent of the target: smaller
# differences don't outweigh packing.
RISE_STEP_PERCENT = 5
# Workers without a status for this long are forgotten.
MAX_TRACE_AGE_S = 10.0
# Least time between two reports of pairs that became or ceased to be known.
REPORT_INTERVAL_S = 1.0


class AffectedRun(typing.NamedTuple):
    """A latency-sensitive run on a worker.

    Attributes:
        key: The run.
        image: Its image.
        latency_ratio: Its tail latency relative to its target; 0 if it has
            reported none.
    """

    key: task_runs.RunKey
    image: str
    latency_ratio: float


class PairChange(typing.NamedTuple):
    """A pair of images whose estimate became or ceased to be confident."""

    interfering: str
    affected: str
    is_confident: bool
    estimate: latency_fit.Estimate


class Interference:
    """Estimates of one owner, and the values that they are learned from."""

    def __init__(self) -> None:
        self._traces: dict[str, worker_trace.WorkerTrace] = {}
        # Both in the order of their last use.
        self._fits: dict[str, latency_fit.LatencyFit] = {}
        self._interfering: dict[str, None] = {}
        self._sampled_s: dict[str, float] = {}
        # Confident pairs (interfering, affected) with the expected rise in
        # percent, and the mean of these.
        self._rises: dict[tuple[str, str], int] = {}
        self._mean_rise = 1.0
        self._refreshed_s = float("-inf")
        self._reported_s = float("-inf")
        self._reported: set[tuple[str, str]] = set()

    @property
    def known_pairs(self) -> int:
        """Number of pairs whose estimate is confident."""
        return len(self._rises)

    def record_paces(
        self,
        worker_id: str,
        runs: abc.Iterable[worker_trace.BestEffortRun],
        now_s: float,
    ) -> None:
        """Records the best-effort runs of a worker and their paces."""
        trace = self._traces.get(worker_id)
        if trace is None:
            trace = self._traces[worker_id] = worker_trace.WorkerTrace(now_s)
        trace.record_paces(runs, now_s)

    def record_status(
        self, worker_id: str, runs: abc.Iterable[AffectedRun], now_s: float
    ) -> None:
        """Records the tail latencies in a status, after `record_paces`."""
        trace = self._traces[worker_id]
        trace.seen_s = now_s
        if not trace.is_settled(now_s):
            return
        trace.references = {
            run.key: self._learn(trace, run, now_s)
            for run in runs
            if run.latency_ratio > 0
        }

    def forget_worker(self, worker_id: str) -> None:
        """Forgets the last statuses of a worker."""
        self._traces.pop(worker_id, None)

    def is_settled(self, worker_id: str, now_s: float) -> bool:
        """Returns whether a status shows the effect of the last change."""
        trace = self._traces.get(worker_id)
        return trace is not None and trace.is_settled(now_s)

    def time_over_limit_s(
        self, worker_id: str, *, is_over: bool, now_s: float
    ) -> float:
        """Records whether a worker's tail latency is over its limit.

        Returns:
            For how long it has been without interruption.
        """
        return self._traces[worker_id].time_over_limit_s(
            is_over=is_over, now_s=now_s
        )

    def estimate(
        self, interfering: str, affected: str, now_s: float
    ) -> latency_fit.Estimate:
        """Returns the estimated effect of one image on another."""
        fit = self._fits.get(affected)
        if fit is None:
            return latency_fit.UNKNOWN
        return fit.estimate(interfering, now_s)

    def rise_beside(
        self, step: model.Step, image: str
    ) -> placement.NeighborRise:
        """Returns the rise to expect on a worker if a task is placed there.

        It is the sum over all neighbors that the task would interfere with or
        be affected by. An unknown pair counts as the mean of all known ones.

        Args:
            step: The step of the task.
            image: Its image.
        """

        def rise(worker: placement.WorkerSnapshot) -> float:
            total = 0.0
            if step.fills:
                for other, count in worker.latency_sensitive_images:
                    total += count * self._expected_rise(image, other)
            if step.latency_target_ms:
                for other, count in worker.best_effort_images:
                    total += count * self._expected_rise(other, image)
            return total

        return rise

    def refresh(self, now_s: float) -> PairChange | None:
        """Renews what placement reads.

        Returns:
            A pair to report, or None if there is none or the last report is too
            recent.
        """
        if now_s - self._refreshed_s < REFRESH_INTERVAL_S:
            return None
        self._refreshed_s = now_s
        for worker_id, trace in list(self._traces.items()):
            if now_s - trace.seen_s > MAX_TRACE_AGE_S:
                del self._traces[worker_id]
        self._rises = {
            (interfering, affected): _rounded_percent(estimate)
            for affected, fit in self._fits.items()
            for interfering in fit.images
            for estimate in (fit.estimate(interfering, now_s),)
            if estimate.is_confident
        }
        mean = sum(self._rises.values()) / max(1, len(self._rises))
        # Beside harmless images only, the number of unknown ones still counts.
        self._mean_rise = max(1.0, mean)
        return self._next_report(now_s)

    def _next_report(self, now_s: float) -> PairChange | None:
        changed = self._reported ^ self._rises.keys()
        if not changed or now_s - self._reported_s < REPORT_INTERVAL_S:
            return None
        pair = min(changed)
        self._reported_s = now_s
        self._reported ^= {pair}
        return PairChange(
            *pair, pair in self._rises, self.estimate(*pair, now_s)
        )

    def _expected_rise(self, interfering: str, affected: str) -> float:
        return self._rises.get((interfering, affected), self._mean_rise)

    def _learn(
        self, trace: worker_trace.WorkerTrace, run: AffectedRun, now_s: float
    ) -> worker_trace.Reference:
        """Takes a sample if there is one; returns the next reference."""
        last = trace.references.get(run.key)
        current = worker_trace.Reference(trace.paces, run.latency_ratio, now_s)
        if last is None or now_s - last.at_s > MAX_REFERENCE_AGE_S:
            return current
        difference = run.latency_ratio - last.latency_ratio
        if last.paces == trace.paces:
            if now_s - last.at_s < REPORT_WINDOW_S:
                return last
            self._fit(run.image, now_s).record_noise(difference)
            # One value may be off by chance, often the one that led to the
            # next change.
            return current._replace(
                latency_ratio=last.latency_ratio + difference / 2
            )
        if now_s - self._sampled_s.get(run.image, -1e9) > MIN_SAMPLE_INTERVAL_S:
            self._sampled_s[run.image] = now_s
            changes = _changes(last.paces, trace.paces)
            self._touch_interfering(changes)
            self._fit(run.image, now_s).record(changes, difference, now_s)
        return current

    def _fit(self, affected: str, now_s: float) -> latency_fit.LatencyFit:
        """Returns the estimates for an image, evicting the oldest others."""
        fit = self._fits.pop(affected, None) or latency_fit.LatencyFit(now_s)
        self._fits[affected] = fit
        if len(self._fits) > MAX_IMAGES:
            oldest = next(iter(self._fits))
            del self._fits[oldest]
            self._sampled_s.pop(oldest, None)
        return fit

    def _touch_interfering(self, images: abc.Iterable[str]) -> None:
        """Makes images the last ones to be evicted, and evicts the oldest."""
        for image in images:
            self._interfering.pop(image, None)
            self._interfering[image] = None
        while len(self._interfering) > MAX_IMAGES:
            oldest = next(iter(self._interfering))
            del self._interfering[oldest]
            for fit in self._fits.values():
                fit.forget(oldest)


def image_of(step: model.Step, queue_address: str) -> str:
    """Returns the image of a step, or the address of its queue without one."""
    return step.image or queue_address


def _changes(
    before: abc.Mapping[str, float], after: abc.Mapping[str, float]
) -> dict[str, float]:
    """Returns the changes of the sums of paces, without those of 0."""
    changes = {
        image: after.get(image, 0.0) - before.get(image, 0.0)
        for image in sorted({*before, *after})
    }
    return {image: change for image, change in changes.items() if change}


def _rounded_percent(estimate: latency_fit.Estimate) -> int:
    """Returns the rise to reckon with in placement, in percent."""
    if estimate.is_harmless:
        return 0
    steps = round(100 * max(0.0, estimate.rise) / RISE_STEP_PERCENT)
    return RISE_STEP_PERCENT * steps
