"""Health of workers, judged by the runs that end on them.

Guards against the black-hole effect: a worker that fails every task at once
always has room, so it would attract all tasks of a burst. To tell a faulty
worker from a faulty job, a failure counts against a worker only while the job
has not failed on another worker.
"""

import collections

# A worker is suspect with this many failures among its last `WINDOW_RUNS`.
WINDOW_RUNS = 6
SUSPECT_FAILURES = 2
# A suspect worker gets one probe task at a time, no earlier than this after its
# last failure.
PROBE_DELAY_S = 1.5
# A worker whose runs take this many times the usual duration is used last.
SLOW_FACTOR = 1.8
# Weight of the newest duration in the moving average of a worker's slowness.
SLOWNESS_SMOOTHING = 0.4
# Slowness of a worker whose running tasks make a third of the usual progress.
# Two usual runs make up for it.
OBSERVED_SLOWNESS = 3.0
# A run without progress for this long is considered stalled.
STALL_TIMEOUT_S = 2.2


class WorkerHealth:
    """Health of one worker.

    A completed run clears the failures of a suspect worker.
    """

    def __init__(self) -> None:
        self._failures: collections.deque[bool] = collections.deque(
            maxlen=WINDOW_RUNS
        )
        self._last_failure_s = float("-inf")
        self._slowness = 1.0

    @property
    def is_suspect(self) -> bool:
        """Whether too many of the worker's last runs failed."""
        return sum(self._failures) >= SUSPECT_FAILURES

    @property
    def penalty(self) -> float:
        """Placement penalty: 0 for a healthy worker; workers with more go last.

        It is the slowness factor of a slow worker and 100 for a suspect one.
        """
        if self.is_suspect:
            return 100.0
        return self._slowness if self._slowness >= SLOW_FACTOR else 0.0

    def record_success(self, relative_duration: float | None) -> None:
        """Records a completed run.

        Args:
            relative_duration: Its duration divided by the usual one; None if
                that isn't known.
        """
        if self.is_suspect:
            self._failures.clear()
        self._failures.append(False)
        if relative_duration is not None:
            self._slowness += SLOWNESS_SMOOTHING * (
                relative_duration - self._slowness
            )

    def record_slow_progress(self) -> None:
        """Records that its runs make far less progress than usual ones."""
        self._slowness = max(self._slowness, OBSERVED_SLOWNESS)

    def record_failure(self, now_s: float) -> None:
        """Records a run that failed or stalled through the worker's fault."""
        self._failures.append(True)
        self._last_failure_s = now_s

    def is_schedulable(self, now_s: float, *, is_busy: bool) -> bool:
        """Returns whether a task may be placed on the worker.

        Args:
            now_s: Time of the owner's clock.
            is_busy: Whether the worker has an active run of a task that ends.
        """
        if not self.is_suspect:
            return True
        return not is_busy and now_s - self._last_failure_s >= PROBE_DELAY_S


def is_stalled(progress_since_ms: int | None, reported_ms: int) -> bool:
    """Returns whether a run has stopped making progress.

    Args:
        progress_since_ms: Worker's clock when the run began or its progress
            last changed; None before its first report of the run.
        reported_ms: Worker's clock in its latest report of the run.
    """
    if progress_since_ms is None:
        return False
    return reported_ms - progress_since_ms > 1000 * STALL_TIMEOUT_S
