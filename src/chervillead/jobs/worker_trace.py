"""What the last statuses of a worker showed of tasks that interfere."""

from collections import abc
import typing

from chervillead.jobs import task_runs

# A status shows the effect of a change that is at least this old: workers
# report the last 0.5 s and take 0.1 s to apply a pace; the rest is for the way.
SETTLE_S = 0.65


class BestEffortRun(typing.NamedTuple):
    """A best-effort run on a worker, with its pace in percent."""

    image: str
    pace_percent: int


class Reference(typing.NamedTuple):
    """Tail latency of a run beside some paces, to compare later ones with."""

    paces: abc.Mapping[str, float]
    latency_ratio: float
    at_s: float


class WorkerTrace:
    """Paces on one worker, and the last tail latencies beside them.

    Attributes:
        seen_s: Time of the last status.
        references: Last tail latencies, by latency-sensitive run.
    """

    def __init__(self, now_s: float) -> None:
        self._paces: abc.Mapping[str, float] = {}
        self._changed_s = now_s
        # When a tail latency reached the limit for stopping; None if none is
        # there now.
        self._over_limit_s: float | None = None
        self.seen_s = now_s
        self.references: dict[task_runs.RunKey, Reference] = {}

    @property
    def paces(self) -> abc.Mapping[str, float]:
        """Sum of the paces of an image's runs; 1 is one run at full pace."""
        return self._paces

    def record_paces(
        self, runs: abc.Iterable[BestEffortRun], now_s: float
    ) -> None:
        """Records the best-effort runs and their paces."""
        paces: dict[str, float] = {}
        for run in runs:
            if run.pace_percent:
                pace = run.pace_percent / 100
                paces[run.image] = paces.get(run.image, 0.0) + pace
        if paces != self._paces:
            self._paces = paces
            self._changed_s = now_s

    def is_settled(self, now_s: float) -> bool:
        """Returns whether a status shows the effect of the last change."""
        return now_s - self._changed_s >= SETTLE_S

    def time_over_limit_s(self, *, is_over: bool, now_s: float) -> float:
        """Records whether a tail latency is over the limit for stopping.

        Returns:
            For how long one has been without interruption.
        """
        if not is_over:
            self._over_limit_s = None
            return 0.0
        if self._over_limit_s is None:
            self._over_limit_s = now_s
        return now_s - self._over_limit_s
