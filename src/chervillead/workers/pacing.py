"""Paces the best-effort tasks beside latency-sensitive ones on each worker."""

from collections import abc
import typing

from chervillead.jobs import interference
from chervillead.jobs import latency_fit
from chervillead.jobs import model
from chervillead.jobs import pacing
from chervillead.jobs import task_runs
from chervillead.jobs import worker_trace
from chervillead.workers import watch as watch_module

StepOf = abc.Callable[[task_runs.Run], model.Step | None]
# Returns the image of a run whose step is known.
ImageOf = abc.Callable[[task_runs.Run, model.Step], str]


class _BestEffort(typing.NamedTuple):
    run: task_runs.Run
    image: str


class _Affected(typing.NamedTuple):
    run: task_runs.Run
    image: str
    latency_ratio: float


class WorkerPacing:
    """Learns from the statuses of workers and paces their runs."""

    def __init__(
        self,
        learned: interference.Interference,
        step_of: StepOf,
        image_of: ImageOf,
        on_pace: abc.Callable[[task_runs.Run, int], None],
    ) -> None:
        self._learned = learned
        self._step_of = step_of
        self._image_of = image_of
        self._on_pace = on_pace

    def pace_workers(
        self, watches: abc.Iterable[watch_module.WorkerWatch], now_s: float
    ) -> None:
        """Sends the changes of pace that newly applied statuses require."""
        for watch in watches:
            is_new = watch.take_new_status()
            if not watch.view.has_latency_sensitive:
                self._learned.forget_worker(watch.view.worker_id)
                if is_new:
                    self._restore(watch)
            else:
                self._pace_worker(watch, is_new, now_s)

    def _restore(self, watch: watch_module.WorkerWatch) -> None:
        """Lets best-effort runs work at full pace that slow nothing down."""
        for run in watch.view.runs.values():
            is_paced = run.pace_percent < 100 or run.is_pace_uncertain
            if not is_paced or run.phase is not _RUNNING or run.stop_requested:
                continue
            step = self._step_of(run)
            if step is not None and step.fills:
                self._set_pace(watch, run, 100)

    def _set_pace(
        self, watch: watch_module.WorkerWatch, run: task_runs.Run, percent: int
    ) -> None:
        self._on_pace(run, percent)
        watch.pace(run, percent)

    def _pace_worker(
        self, watch: watch_module.WorkerWatch, is_new: bool, now_s: float
    ) -> None:
        best_effort, affected = self._classify(watch)
        self._record_paces(watch, best_effort, now_s)
        if not is_new:
            return
        if not any(one.run.is_pace_uncertain for one in best_effort):
            self._learned.record_status(
                watch.view.worker_id,
                (
                    interference.AffectedRun(
                        one.run.key, one.image, one.latency_ratio
                    )
                    for one in affected
                ),
                now_s,
            )
        paces = self._next_paces(watch, best_effort, affected, now_s)
        is_changed = False
        for one, percent in zip(best_effort, paces, strict=True):
            if percent != one.run.pace_percent or one.run.is_pace_uncertain:
                self._set_pace(watch, one.run, percent)
                is_changed = True
        if is_changed:
            self._record_paces(watch, best_effort, now_s)

    def _classify(
        self, watch: watch_module.WorkerWatch
    ) -> tuple[list[_BestEffort], list[_Affected]]:
        best_effort: list[_BestEffort] = []
        affected: list[_Affected] = []
        for run in watch.view.runs.values():
            step = self._step_of(run)
            if step is None or run.phase is not _RUNNING:
                continue
            if step.latency_target_ms:
                ratio = run.usage / step.latency_target_ms
                affected.append(
                    _Affected(run, self._image_of(run, step), ratio)
                )
            if step.fills and not run.stop_requested:
                best_effort.append(_BestEffort(run, self._image_of(run, step)))
        return best_effort, affected

    def _record_paces(
        self,
        watch: watch_module.WorkerWatch,
        best_effort: abc.Iterable[_BestEffort],
        now_s: float,
    ) -> None:
        self._learned.record_paces(
            watch.view.worker_id,
            (
                worker_trace.BestEffortRun(one.image, one.run.pace_percent)
                for one in best_effort
            ),
            now_s,
        )

    def _next_paces(
        self,
        watch: watch_module.WorkerWatch,
        best_effort: abc.Sequence[_BestEffort],
        affected: abc.Sequence[_Affected],
        now_s: float,
    ) -> list[int]:
        """Returns the lowest paces that any affected run requires."""
        worker_id = watch.view.worker_id
        is_over = any(
            one.latency_ratio >= pacing.STOP_LATENCY_RATIO for one in affected
        )
        over_limit_s = self._learned.time_over_limit_s(
            worker_id, is_over=is_over, now_s=now_s
        )
        by_affected = [
            pacing.next_paces(
                self._neighbors(best_effort, other.image, now_s),
                other.latency_ratio,
                is_settled=self._learned.is_settled(worker_id, now_s),
                may_spare=over_limit_s < worker_trace.SETTLE_S,
            )
            for other in affected
        ]
        if not by_affected:
            return [100] * len(best_effort)
        return [min(paces) for paces in zip(*by_affected, strict=True)]

    def _neighbors(
        self,
        best_effort: abc.Iterable[_BestEffort],
        affected: str,
        now_s: float,
    ) -> list[pacing.Neighbor]:
        """Returns the best-effort runs with their effects on an image."""
        effects: dict[str, latency_fit.Estimate] = {}
        neighbors = []
        for one in best_effort:
            effect = effects.get(one.image)
            if effect is None:
                effect = self._learned.estimate(one.image, affected, now_s)
                effects[one.image] = effect
            neighbors.append(
                pacing.Neighbor(one.image, one.run.pace_percent, effect)
            )
        return neighbors


_RUNNING = task_runs.RunPhase.RUNNING
