"""Effects of best-effort images on the tail latency of one affected image.

Recursive least squares with the full covariance of the effects: two images that
are always paced alike stay uncertain, each by itself. Effects change within
seconds, so the memory is short.
"""

from collections import abc
import math
import typing

# Rise of the tail latency relative to its target, at full pace, that is assumed
# before any sample. Only the ratio of expected rises counts until then.
PRIOR_RISE = 0.2
PRIOR_VARIANCE = 0.3**2
# A task is harmless if it takes less than this of the target at full pace: half
# of the range between the limits for slowing and stopping.
HARMLESS_RISE = 0.1
# Standard errors between an estimate and the bound that it hardly exceeds.
BOUND_DEVIATIONS = 2.0
# Time without samples in which an estimate loses half of its weight.
HALF_LIFE_S = 20.0
# An estimate has no weight left after that many half-lives; after 1,024, a
# factor overflows.
MAX_HALF_LIVES = 64.0
# Half of the range between the limits for slowing and stopping best-effort
# tasks; see `jobs.pacing`.
MAX_CONFIDENT_DEVIATION = 0.1
MIN_CONFIDENT_SAMPLES = 3.0
# Least variance of an effect relative to that of a sample, so that each sample
# counts for a quarter at least.
MIN_VARIANCE_SHARE = 1 / 3
# A sample counts as at most this many standard deviations off. One that is
# further off suggests that the effect has changed.
MAX_DEVIATIONS = 3.0
OUTLIER_FACTOR = 16.0
# Variance of a tail latency relative to its target that is assumed before it is
# measured, its lower bound, and the least weight of the newest measurement.
INITIAL_NOISE = 0.03**2
MIN_NOISE = 0.02**2
NOISE_SMOOTHING = 0.1


class Estimate(typing.NamedTuple):
    """Estimated effect of one image on another.

    Attributes:
        rise: Rise of the tail latency relative to its target, for one task at
            full pace.
        deviation: Standard error of the rise.
        samples: Number of samples, weighted by their age.
    """

    rise: float
    deviation: float
    samples: float

    @property
    def is_confident(self) -> bool:
        """Whether decisions may rely on the estimate."""
        return (
            self.samples >= MIN_CONFIDENT_SAMPLES
            and self.deviation <= MAX_CONFIDENT_DEVIATION
        )

    @property
    def highest_rise(self) -> float:
        """Bound that the rise hardly exceeds."""
        return max(0.0, self.rise + BOUND_DEVIATIONS * self.deviation)

    @property
    def is_harmless(self) -> bool:
        """Whether the rise is certainly small."""
        return self.is_confident and self.highest_rise <= HARMLESS_RISE


UNKNOWN = Estimate(PRIOR_RISE, math.sqrt(PRIOR_VARIANCE), 0.0)


class LatencyFit:
    """Effects on one image, by the image that causes them."""

    def __init__(self, now_s: float) -> None:
        self._rises: dict[str, float] = {}
        self._samples: dict[str, float] = {}
        # Covariances that aren't listed are 0.
        self._covariances: dict[str, dict[str, float]] = {}
        self._noise = INITIAL_NOISE
        self._noise_samples = 1
        self._decayed_s = now_s

    @property
    def images(self) -> list[str]:
        """Images whose effect has been sampled."""
        return list(self._rises)

    def record_noise(self, difference: float) -> None:
        """Records the difference of two tail latencies without a cause.

        Args:
            difference: Difference of two values relative to the target, between
                which neither the neighbors nor their paces have changed.
        """
        self._noise_samples += 1
        weight = max(NOISE_SMOOTHING, 1 / self._noise_samples)
        self._noise += weight * (difference**2 / 2 - self._noise)
        self._noise = max(MIN_NOISE, self._noise)

    def record(
        self, changes: abc.Mapping[str, float], rise: float, now_s: float
    ) -> None:
        """Records a sample.

        Args:
            changes: Changes of the sum of paces, by image; 1 is one task at
                full pace.
            rise: Rise of the tail latency relative to its target.
            now_s: Time of the owner's clock.
        """
        self._decay(now_s)
        for image in changes:
            self._add_image(image)
        sample_variance = 2 * self._noise
        shared = self._covariance_with(changes)
        variance = sample_variance + sum(
            change * shared[image] for image, change in changes.items()
        )
        expected = sum(
            change * self._rises[image] for image, change in changes.items()
        )
        limit = MAX_DEVIATIONS * math.sqrt(variance)
        error = rise - expected
        is_outlier = abs(error) > limit
        self._apply(shared, max(-limit, min(limit, error)), variance)
        for image in changes:
            self._samples[image] += 1
            self._widen(
                image,
                sample_variance * MIN_VARIANCE_SHARE,
                OUTLIER_FACTOR if is_outlier else 1.0,
            )

    def estimate(self, image: str, now_s: float) -> Estimate:
        """Returns the estimated effect of an image."""
        if image not in self._rises:
            return UNKNOWN
        variance = self._covariances[image][image]
        factor = self._decay_factor(now_s)
        rise, widened = _decayed(self._rises[image], variance, factor)
        return Estimate(rise, math.sqrt(widened), self._samples[image] / factor)

    def forget(self, image: str) -> None:
        """Forgets the effect of an image."""
        self._rises.pop(image, None)
        self._samples.pop(image, None)
        self._covariances.pop(image, None)
        for row in self._covariances.values():
            row.pop(image, None)

    def _add_image(self, image: str) -> None:
        if image not in self._rises:
            self._rises[image] = PRIOR_RISE
            self._samples[image] = 0.0
            self._covariances[image] = {image: PRIOR_VARIANCE}

    def _covariance_with(
        self, changes: abc.Mapping[str, float]
    ) -> dict[str, float]:
        """Returns the covariance of each effect with an expected rise."""
        shared: dict[str, float] = {}
        for image, change in changes.items():
            for other, covariance in self._covariances[image].items():
                shared[other] = shared.get(other, 0.0) + change * covariance
        return shared

    def _apply(
        self, shared: abc.Mapping[str, float], error: float, variance: float
    ) -> None:
        """Applies a sample with an error and the variance of that error."""
        for image, covariance in shared.items():
            gain = covariance / variance
            self._rises[image] += gain * error
            row = self._covariances[image]
            for other, other_covariance in shared.items():
                row[other] = row.get(other, 0.0) - gain * other_covariance

    def _widen(self, image: str, least: float, factor: float) -> None:
        """Raises the variance of an effect, so that new samples count."""
        row = self._covariances[image]
        row[image] = min(PRIOR_VARIANCE, max(least, factor * row[image]))

    def _decay_factor(self, now_s: float) -> float:
        """Returns the factor by which variances grow up to a time."""
        half_lives = (now_s - self._decayed_s) / HALF_LIFE_S
        return float(2 ** min(half_lives, MAX_HALF_LIVES))

    def _decay(self, now_s: float) -> None:
        """Lets all estimates lose weight for the time that has passed."""
        factor = self._decay_factor(now_s)
        self._decayed_s = now_s
        scales = {}
        for image, rise in list(self._rises.items()):
            variance = self._covariances[image][image]
            self._rises[image], widened = _decayed(rise, variance, factor)
            self._samples[image] /= factor
            scales[image] = math.sqrt(widened / max(variance, 1e-12))
        # Scaled on both sides, the covariances stay those of some distribution.
        for image, row in self._covariances.items():
            for other in row:
                row[other] *= scales[image] * scales[other]


def _decayed(
    rise: float, variance: float, factor: float
) -> tuple[float, float]:
    """Returns an effect and its variance, with less weight against the prior.

    Args:
        rise: The estimated effect.
        variance: Its variance, below that of the prior.
        factor: Factor by which the variance grows, up to that of the prior.
    """
    widened = min(PRIOR_VARIANCE, variance * factor)
    weight = 1 - variance / PRIOR_VARIANCE
    if weight <= 0:
        return PRIOR_RISE, PRIOR_VARIANCE
    left = (1 - widened / PRIOR_VARIANCE) / weight
    return PRIOR_RISE + (rise - PRIOR_RISE) * left, widened
