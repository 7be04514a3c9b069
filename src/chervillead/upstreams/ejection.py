"""Outlier detection: ejects failing upstreams and finds slow ones.

An upstream that fails requests quickly frees its slots quickly, so a dispatcher
that prefers free slots would send it most of the requests. Such an upstream is
ejected for some seconds and returns with slow start.
"""

from collections import abc
import math
import typing

# More than one, so that a job that always fails doesn't eject its hosts by
# itself.
CONSECUTIVE_FAILURES_TO_EJECT = 3
# Weight of the newest outcome in the moving averages, which cover about the
# last 10 outcomes.
NEWEST_WEIGHT = 0.1
MIN_OUTCOMES = 10
FAILURE_RATE_TO_EJECT = 0.5
# Smallest ratio of an upstream's failure rate to that of the others of its pool
# that makes it an outlier.
MIN_FAILURE_RATE_RATIO = 2.0
FIRST_EJECTION_S = 5.0
MAX_EJECTION_S = 80.0
SLOW_START_S = 10.0
# At most one of this many hosts of a pool is ejected at a time.
HOSTS_PER_EJECTION = 3
# Smaller ratios of run times count as random variation.
MIN_SLOWNESS_RATIO = 2.0


class _Health(typing.NamedTuple):
    """Outcomes of one upstream.

    Attributes:
        pool: Pool of the upstream.
        outcomes: Number of outcomes recorded since its last ejection.
        consecutive_failures: Failures since the last success.
        failure_rate: Moving average of failures, from 0 to 1.
        run_s: Moving average of the run times of successful requests; 0 if
            there are none.
        ejections: Ejections without a healthy period between them.
        ejected_until_s: Monotonic time at which its last ejection ends.
    """

    pool: str
    outcomes: int = 0
    consecutive_failures: int = 0
    failure_rate: float = 0.0
    run_s: float = 0.0
    ejections: int = 0
    ejected_until_s: float = -math.inf


class OutlierDetector:
    """Health of the upstreams whose slots one dispatcher grants."""

    def __init__(
        self,
        pool_size: abc.Callable[[str], int] | None = None,
        ejected_elsewhere: abc.Callable[[str], int] = lambda pool: 0,
    ) -> None:
        """Makes a detector without upstreams.

        Args:
            pool_size: Returns the number of hosts of a pool in all zones;
                without it, the upstreams with recorded outcomes count.
            ejected_elsewhere: Returns how many hosts of a pool the dispatchers
                of other zones have ejected.
        """
        self._pool_size = pool_size or self._known_upstreams
        self._ejected_elsewhere = ejected_elsewhere
        self._upstreams: dict[str, _Health] = {}

    def record_outcome(
        self, upstream: str, pool: str, failed: bool, run_s: float, now_s: float
    ) -> None:
        """Records the outcome of a request that `upstream` had started."""
        health = self._upstreams.get(upstream)
        if health is None or health.pool != pool:
            health = _Health(pool)
        if now_s < health.ejected_until_s:
            # A request that was granted before the ejection.
            return
        health = _with_outcome(health, failed, run_s)
        if not failed and now_s > health.ejected_until_s + SLOW_START_S:
            health = health._replace(ejections=0)
        self._upstreams[upstream] = health
        if failed and self._should_eject(upstream, health, now_s):
            self._upstreams[upstream] = _ejected(health, now_s)

    def usable_slots(self, upstream: str, slots: int, now_s: float) -> int:
        """Returns how many of its slots an upstream may have in use now.

        It is 0 while the upstream is ejected and rises from 1 to all during
        slow start.
        """
        health = self._upstreams.get(upstream)
        if health is None:
            return slots
        since_return_s = now_s - health.ejected_until_s
        if since_return_s < 0:
            return 0
        if since_return_s >= SLOW_START_S:
            return slots
        return max(1, math.floor(slots * since_return_s / SLOW_START_S))

    def slowness(self, upstream: str) -> float:
        """Returns its mean run time relative to the others of its pool.

        The ratio is 1 if it is below `MIN_SLOWNESS_RATIO` or if there are too
        few outcomes.
        """
        health = self._upstreams.get(upstream)
        if health is None or health.outcomes < MIN_OUTCOMES:
            return 1.0
        others = [
            other.run_s
            for name, other in self._upstreams.items()
            if name != upstream and other.pool == health.pool and other.run_s
        ]
        if not others:
            return 1.0
        ratio = health.run_s * len(others) / sum(others)
        return ratio if ratio >= MIN_SLOWNESS_RATIO else 1.0

    def ejected_count(self, pool: str, now_s: float) -> int:
        """Returns how many upstreams of `pool` this detector has ejected."""
        return sum(
            1
            for health in self._upstreams.values()
            if health.pool == pool and now_s < health.ejected_until_s
        )

    def _known_upstreams(self, pool: str) -> int:
        return sum(1 for h in self._upstreams.values() if h.pool == pool)

    def _should_eject(
        self, upstream: str, health: _Health, now_s: float
    ) -> bool:
        """Returns whether it is an outlier and the limit allows an ejection."""
        in_slow_start = now_s < health.ejected_until_s + SLOW_START_S
        is_failing = (
            in_slow_start
            or health.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT
            or (
                health.outcomes >= MIN_OUTCOMES
                and health.failure_rate >= FAILURE_RATE_TO_EJECT
            )
        )
        if not is_failing:
            return False
        # When all upstreams of a pool fail, the cause is the requests or a
        # shared dependency; an ejection would only shift the load.
        others = [
            other.failure_rate
            for name, other in self._upstreams.items()
            if name != upstream and other.pool == health.pool
        ]
        mean = sum(others) / len(others) if others else 0.0
        if health.failure_rate < MIN_FAILURE_RATE_RATIO * mean:
            return False
        ejected = self.ejected_count(
            health.pool, now_s
        ) + self._ejected_elsewhere(health.pool)
        return ejected + 1 <= self._pool_size(health.pool) // HOSTS_PER_EJECTION


def _with_outcome(health: _Health, failed: bool, run_s: float) -> _Health:
    weight = max(NEWEST_WEIGHT, 1 / (health.outcomes + 1))
    mean_s = health.run_s
    if not failed:
        mean_s = run_s if not mean_s else mean_s + weight * (run_s - mean_s)
    return health._replace(
        outcomes=health.outcomes + 1,
        consecutive_failures=health.consecutive_failures + 1 if failed else 0,
        failure_rate=health.failure_rate
        + weight * (failed - health.failure_rate),
        run_s=mean_s,
    )


def _ejected(health: _Health, now_s: float) -> _Health:
    """Returns the health of an upstream that is ejected now.

    Each ejection without a healthy period before it lasts twice as long as the
    previous one, up to `MAX_EJECTION_S`.
    """
    duration_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**health.ejections)
    return _Health(
        health.pool,
        run_s=health.run_s,
        ejections=health.ejections + 1,
        ejected_until_s=now_s + duration_s,
    )
