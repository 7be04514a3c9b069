"""Workers that fail, stall or slow down what they start, told from bad jobs.

Answers the pattern of a black hole: a worker that fails all that it starts is
always free, so it would draw every task of a burst. A failure counts against a
worker only while its job has not failed elsewhere too.
"""

import collections

# A worker with this many failures among its last ends is suspect.
WINDOW = 6
SUSPECT_FAILURES = 2
# A suspect worker gets one task at a time, this long after its last failure.
PROBE_PAUSE_S = 1.5
# A worker that takes this many times the usual time is used last.
SLOW_FACTOR = 1.8
# Weight of the newest duration in the estimate of a worker's slowness.
SMOOTHING = 0.4
# A run whose progress stands still for this long will not end.
STALL_S = 2.2


class WorkerHealth:
    """What the ends of its runs say of a worker."""

    def __init__(self) -> None:
        self._failures: collections.deque[bool] = collections.deque(
            maxlen=WINDOW
        )
        self._last_failure_s = float("-inf")
        self._slowness = 1.0

    @property
    def is_suspect(self) -> bool:
        """Whether it failed too much of what it started lately."""
        return sum(self._failures) >= SUSPECT_FAILURES

    @property
    def penalty(self) -> float:
        """0 for a sound worker; the order in which others are used."""
        if self.is_suspect:
            return 100.0
        return self._slowness if self._slowness >= SLOW_FACTOR else 0.0

    def record_success(self, relative_duration: float | None) -> None:
        """Notes a run that ended as done.

        Args:
            relative_duration: Its duration as a factor of the usual one; None
                if that isn't known.
        """
        if self.is_suspect:
            self._failures.clear()
        self._failures.append(False)
        if relative_duration is not None:
            self._slowness += SMOOTHING * (relative_duration - self._slowness)

    def record_failure(self, now_s: float) -> None:
        """Notes a run that failed or stood still by the worker's fault."""
        self._failures.append(True)
        self._last_failure_s = now_s

    def is_schedulable(self, now_s: float, *, is_busy: bool) -> bool:
        """Returns whether a task may be tried on it."""
        if not self.is_suspect:
            return True
        return not is_busy and now_s - self._last_failure_s >= PROBE_PAUSE_S


def is_stalled(progress_since_s: float, now_s: float) -> bool:
    """Returns whether a run makes no progress any more.

    Args:
        progress_since_s: When its progress was last seen to change.
        now_s: Time of the same clock.
    """
    return now_s - progress_since_s > STALL_S
