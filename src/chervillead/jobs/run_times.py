"""Expected run times of tasks, learned from completed runs.

Meant for callers whose estimates are off by up to nine tenths. Tasks of one
queue and image behave alike, so what their predecessors took corrects the
estimate: either as a usual ratio of run time to estimate, or as a usual run
time whatever the estimate. Both are kept, and the one that varies less counts
more.
"""

import collections
import math
import statistics
import typing

from chervillead.jobs import job_state
from chervillead.jobs import learned_times
from chervillead.jobs import model

# Run time of a task without an estimate and without samples, in seconds.
DEFAULT_S = 1.0
# The caller's estimate counts as one sample. Estimates are off by a factor of
# 2.7 on average, a standard deviation of 1 in the logarithm.
PRIOR_WEIGHT = 1.0
PRIOR_VARIANCE = 1.0
# Weight of the samples, the prior included, from which a key counts as learned:
# copies and moves rest on three steps at least. With steps of 32
# tasks, the largest there are, the weight tends to 200 / 32 = 6.
MIN_LEARNED_WEIGHT = 4.0
MAX_KEYS = 256
KEY_RETENTION_S = 3600.0
# A key is stored at most once in this time, after a change by this ratio.
STORE_INTERVAL_S = 2.0
STORE_CHANGE = math.log(1.05)
# Weight of the samples from which a key is stored: the prior and one step. An
# image that is used once isn't worth a record.
MIN_STORED_WEIGHT = 2.0
# A key is logged at most once in this time, after a change by this ratio.
LOG_INTERVAL_S = 5.0
LOG_CHANGE = math.log(1.25)


class Key(typing.NamedTuple):
    """Tasks that behave alike.

    Attributes:
        queue_address: Address of their queue.
        image: Their image; empty for none.
    """

    queue_address: str
    image: str


class Update(typing.NamedTuple):
    """What follows from a sample.

    Attributes:
        key: Key of the sample.
        learned: What is known of the key now.
        is_store_due: Whether it should be stored.
        is_log_due: Whether it has changed enough for a log line.
        removed: Stored keys that were dropped.
    """

    key: Key
    learned: learned_times.LearnedTimes
    is_store_due: bool
    is_log_due: bool
    removed: tuple[Key, ...]


class _Entry:
    """What is known of one key, and what was last stored and logged of it."""

    def __init__(
        self, learned: learned_times.LearnedTimes, used_s: float
    ) -> None:
        self.learned = learned
        self.predictor = learned.predictor()
        self.used_s = used_s
        self.is_stored = False
        self.stored = learned
        self.stored_s = float("-inf")
        self.logged = learned
        self.logged_s = float("-inf")

    @property
    def is_learned(self) -> bool:
        """Whether what is known rests on enough samples."""
        return self.learned.time.weight >= MIN_LEARNED_WEIGHT

    def add_sample(
        self, estimate_s: float, duration_s: float, weight: float, now_s: float
    ) -> None:
        """Adds a completed run."""
        self.used_s = now_s
        self.learned = self.learned.with_sample(estimate_s, duration_s, weight)
        self.predictor = self.learned.predictor()

    def take_store_due(self, now_s: float, *, can_store: bool) -> bool:
        """Returns whether to store the key now; notes that it is."""
        is_due = (
            can_store
            and self.learned.time.weight >= MIN_STORED_WEIGHT
            and now_s - self.stored_s >= STORE_INTERVAL_S
            and self.learned.differs(self.stored, STORE_CHANGE)
        )
        if is_due:
            self.is_stored = True
            self.stored, self.stored_s = self.learned, now_s
        return is_due

    def take_log_due(self, now_s: float) -> bool:
        """Returns whether to log the key now; notes that it is."""
        is_due = (
            now_s - self.logged_s >= LOG_INTERVAL_S
            and self.learned.differs(self.logged, LOG_CHANGE)
        )
        if is_due:
            self.logged, self.logged_s = self.learned, now_s
        return is_due


class RunTimes:
    """Run times of the tasks of a partition's queues."""

    def __init__(self) -> None:
        # Least recently used first; a key is used by each of its samples.
        self._entries: collections.OrderedDict[tuple[str, str], _Entry] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._entries)

    def expected_s(self, queue_address: str, step: model.Step) -> float:
        """Returns the expected run time of a task of a step, in seconds."""
        return self.look_up(queue_address, step)[0]

    def look_up(
        self, queue_address: str, step: model.Step
    ) -> tuple[float, bool]:
        """Returns the expected run time, and whether enough samples show it."""
        entry = self._entries.get((queue_address, step.image))
        if entry is None:
            return _prior_s(step), False
        expected_s = entry.predictor.expected_s(step.estimate_ms / 1000)
        return expected_s, entry.is_learned

    def record(
        self,
        queue_address: str,
        step: model.Step,
        duration_s: float,
        weight: float,
        now_s: float,
        *,
        can_store: bool = True,
    ) -> Update:
        """Records a completed run.

        Args:
            queue_address: Address of its queue.
            step: Its step.
            duration_s: How long it took, in seconds.
            weight: Its weight; the samples of one step have 1 together.
            now_s: Time of the owner's clock.
            can_store: Whether the store accepts records.
        """
        key = Key(queue_address, step.image)
        entry = self._entries.get(key)
        if entry is None:
            entry = _Entry(_prior(step), now_s)
            self._entries[key] = entry
        self._entries.move_to_end(key)
        entry.add_sample(step.estimate_ms / 1000, duration_s, weight, now_s)
        return Update(
            key,
            entry.learned,
            entry.take_store_due(now_s, can_store=can_store),
            entry.take_log_due(now_s),
            tuple(self.remove_unused(now_s)),
        )

    def restore(
        self, key: Key, learned: learned_times.LearnedTimes, used_s: float
    ) -> None:
        """Adds a stored key; the least recently used must come first."""
        entry = _Entry(learned, used_s)
        entry.is_stored = True
        self._entries[key] = entry

    def remove_unused(self, now_s: float) -> list[Key]:
        """Removes keys that are unused or too many; returns stored ones."""
        stored: list[Key] = []
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            is_unused = now_s - entry.used_s > KEY_RETENTION_S
            if len(self._entries) <= MAX_KEYS and not is_unused:
                break
            del self._entries[key]
            if entry.is_stored:
                stored.append(Key(*key))
        return stored


def _prior_s(step: model.Step) -> float:
    return step.estimate_ms / 1000 or DEFAULT_S


def _prior(step: model.Step) -> learned_times.LearnedTimes:
    return learned_times.LearnedTimes(
        learned_times.Moments(PRIOR_WEIGHT, 0.0, PRIOR_VARIANCE),
        learned_times.Moments(
            PRIOR_WEIGHT, math.log(_prior_s(step)), PRIOR_VARIANCE
        ),
    )


def has_target(terms: model.JobTerms) -> bool:
    """Returns whether a queue has a completion target."""
    return terms.target_ms > 0 or terms.stretch > 1.0


def refresh(
    job: job_state.JobState, terms: model.JobTerms, times: RunTimes
) -> None:
    """Sets the expected run times of a job's steps.

    The index of waiting jobs is ordered by them, so this is called only before
    a job is added to it or put again.

    Args:
        job: The job.
        terms: What it is owed.
        times: Run times of its partition.
    """
    if job.is_finished or not has_target(terms):
        return
    expected, learned = [], []
    for number, step in enumerate(job.spec.steps):
        expected_s, is_learned = times.look_up(terms.queue_address, step)
        # Only the first occurrence of the steps is considered.
        durations = job.durations_s.get((0, number))
        expected.append(
            statistics.median(durations) if durations else expected_s
        )
        if is_learned:
            learned.append(number)
    job.step_times_s = tuple(expected)
    job.learned_steps = frozenset(learned)
