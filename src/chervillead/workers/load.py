"""What the runs of one worker reserve, kept by increments.

Placement reads it for each decision, far more often than runs start and end.
"""

import typing

from chervillead.jobs import model
from chervillead.jobs import task_runs

StepKey = tuple[str, int, int]
ImageCounts = tuple[tuple[str, int], ...]


class _Share(typing.NamedTuple):
    """What one run was counted with; its step may be unknown later."""

    step_key: StepKey
    reserved: model.Resources
    # Images that it counts for; None if it isn't of that kind.
    latency_sensitive_image: str | None
    best_effort_image: str | None
    is_ending: bool


class WorkerLoad:
    """Reserved resources and numbers of tasks on one worker."""

    def __init__(self) -> None:
        self._shares: dict[task_runs.RunKey, _Share] = {}
        self._reserved = model.Resources()
        self._step_tasks: dict[StepKey, int] = {}
        self._latency_sensitive: dict[str, int] = {}
        self._best_effort: dict[str, int] = {}
        self._ending = 0

    @property
    def reserved(self) -> model.Resources:
        """Resources that the runs reserve."""
        return self._reserved

    @property
    def step_tasks(self) -> dict[StepKey, int]:
        """Copy of the numbers of runs by job id, occurrence and step."""
        return dict(self._step_tasks)

    @property
    def latency_sensitive_images(self) -> ImageCounts:
        """Numbers of runs with a latency target, by image."""
        return tuple(self._latency_sensitive.items())

    @property
    def best_effort_images(self) -> ImageCounts:
        """Numbers of best-effort runs, by image."""
        return tuple(self._best_effort.items())

    @property
    def ending_tasks(self) -> int:
        """Number of runs of tasks that end, which long-running ones don't."""
        return self._ending

    def add(
        self, run: task_runs.Run, step: model.Step | None, image: str = ""
    ) -> None:
        """Adds a run with its image; the step of an unknown job is None."""
        key = run.job_id, run.task.occurrence, run.task.step
        share = _Share(
            key,
            run.reserved,
            image if step is not None and step.latency_target_ms else None,
            image if step is not None and step.fills else None,
            step is None or not step.long_running,
        )
        self.remove(run.key)
        self._shares[run.key] = share
        self._reserved = self._reserved.plus(share.reserved)
        self._step_tasks[key] = self._step_tasks.get(key, 0) + 1
        _count(self._latency_sensitive, share.latency_sensitive_image, 1)
        _count(self._best_effort, share.best_effort_image, 1)
        self._ending += share.is_ending

    def remove(self, key: task_runs.RunKey) -> None:
        """Removes a run; one that isn't there changes nothing."""
        share = self._shares.pop(key, None)
        if share is None:
            return
        self._reserved = self._reserved.minus(share.reserved)
        self._step_tasks[share.step_key] -= 1
        if not self._step_tasks[share.step_key]:
            del self._step_tasks[share.step_key]
        _count(self._latency_sensitive, share.latency_sensitive_image, -1)
        _count(self._best_effort, share.best_effort_image, -1)
        self._ending -= share.is_ending


def _count(counts: dict[str, int], image: str | None, change: int) -> None:
    """Changes the count of an image; None changes nothing."""
    if image is None:
        return
    count = counts.get(image, 0) + change
    if count:
        counts[image] = count
    else:
        del counts[image]
