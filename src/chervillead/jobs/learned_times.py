"""Distributions of run times, and the run time expected from them.

A usual ratio of run time to estimate and a usual run time are both known with a
variance; the one that varies less counts more.
"""

import math
import typing

# Each completed task weakens all samples before by this factor, so about the
# last 200 tasks count.
DECAY = 1 - 1 / 200
# Tasks of one step differ by 15%, so nothing is known better than that.
MIN_VARIANCE = 0.15**2
# Samples are clipped to this many standard deviations from the mean.
CLIP_DEVIATIONS = 3.0
# Shortest run time whose logarithm is taken.
MIN_DURATION_S = 0.001
# Largest logarithm of a time that any task could have, with a wide margin.
MAX_LOGARITHM = 50.0


class Moments(typing.NamedTuple):
    """Exponentially weighted distribution of a logarithm.

    Attributes:
        weight: Weight of its samples.
        mean: Their mean.
        variance: Their variance.
    """

    weight: float
    mean: float
    variance: float

    @property
    def is_valid(self) -> bool:
        """Whether the values are possible; stored ones may not be."""
        return (
            all(map(math.isfinite, self))
            and self.weight > 0
            and self.variance >= 0
            and abs(self.mean) < MAX_LOGARITHM
        )

    @property
    def prediction_variance(self) -> float:
        """Variance of the next sample, with the uncertainty of the mean."""
        return max(self.variance, MIN_VARIANCE) * (1 + 1 / self.weight)

    def with_sample(self, value: float, weight: float) -> "Moments":
        """Returns the distribution after one more sample."""
        limit = CLIP_DEVIATIONS * math.sqrt(max(self.variance, MIN_VARIANCE))
        delta = max(-limit, min(limit, value - self.mean))
        kept = self.weight * DECAY
        total = kept + weight
        share = weight / total
        return Moments(
            total,
            self.mean + share * delta,
            (1 - share) * (self.variance + share * delta * delta),
        )


class Predictor(typing.NamedTuple):
    """Computes the expected run time of a task from its estimate.

    Attributes:
        factor: Expected run time for an estimate of 1 s.
        exponent: Power of the estimate with which the expected time grows.
        typical_s: Expected run time without an estimate.
    """

    factor: float
    exponent: float
    typical_s: float

    def expected_s(self, estimate_s: float) -> float:
        """Returns the expected run time of a task, in seconds.

        Args:
            estimate_s: Caller's estimate; 0 for none.
        """
        if estimate_s <= 0:
            return self.typical_s
        return float(self.factor * estimate_s**self.exponent)


class LearnedTimes(typing.NamedTuple):
    """What is known of the run times of one key.

    Attributes:
        ratio: Logarithm of run time divided by estimate.
        time: Logarithm of the run time in seconds.
    """

    ratio: Moments
    time: Moments

    @property
    def is_valid(self) -> bool:
        """Whether the values are possible; stored ones may not be."""
        return self.ratio.is_valid and self.time.is_valid

    def predictor(self) -> Predictor:
        """Returns what the expected run time is computed from.

        It is the geometric mean of the corrected estimate and the usual run
        time, weighted by their inverse variances.
        """
        ratio_share = 1 / self.ratio.prediction_variance
        time_share = 1 / self.time.prediction_variance
        exponent = ratio_share / (ratio_share + time_share)
        mean = exponent * self.ratio.mean + (1 - exponent) * self.time.mean
        return Predictor(math.exp(mean), exponent, math.exp(self.time.mean))

    def with_sample(
        self, estimate_s: float, duration_s: float, weight: float
    ) -> "LearnedTimes":
        """Returns what is known after a completed run."""
        value = math.log(max(MIN_DURATION_S, duration_s))
        ratio = self.ratio
        if estimate_s > 0:
            ratio = ratio.with_sample(value - math.log(estimate_s), weight)
        return LearnedTimes(ratio, self.time.with_sample(value, weight))

    def differs(self, other: "LearnedTimes", change: float) -> bool:
        """Returns whether a mean differs by more than a ratio's logarithm."""
        return (
            abs(self.ratio.mean - other.ratio.mean) > change
            or abs(self.time.mean - other.time.mean) > change
        )
