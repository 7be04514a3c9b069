"""What the runs of one worker reserve, kept by increments.

Placement reads it for each decision, far more often than runs start and end.
"""

import typing

from chervillead.jobs import model
from chervillead.jobs import task_runs

StepKey = tuple[str, int, int]


class _Share(typing.NamedTuple):
    """What one run was counted with; its step may be unknown later."""

    step_key: StepKey
    reserved: model.Resources
    is_latency_sensitive: bool
    is_best_effort: bool
    is_ending: bool


class WorkerLoad:
    """Reserved resources and numbers of tasks on one worker."""

    def __init__(self) -> None:
        self._shares: dict[task_runs.RunKey, _Share] = {}
        self._reserved = model.Resources()
        self._step_tasks: dict[StepKey, int] = {}
        self._latency_sensitive = 0
        self._best_effort = 0
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
    def latency_sensitive_tasks(self) -> int:
        """Number of runs with a latency target."""
        return self._latency_sensitive

    @property
    def best_effort_tasks(self) -> int:
        """Number of best-effort runs."""
        return self._best_effort

    @property
    def ending_tasks(self) -> int:
        """Number of runs of tasks that end, which long-running ones don't."""
        return self._ending

    def add(self, run: task_runs.Run, step: model.Step | None) -> None:
        """Adds a run; its step is None if its job is unknown."""
        key = run.job_id, run.task.occurrence, run.task.step
        share = _Share(
            key,
            run.reserved,
            step is not None and step.latency_target_ms > 0,
            step is not None and step.fills,
            step is None or not step.long_running,
        )
        self.remove(run.key)
        self._shares[run.key] = share
        self._reserved = self._reserved.plus(share.reserved)
        self._step_tasks[key] = self._step_tasks.get(key, 0) + 1
        self._latency_sensitive += share.is_latency_sensitive
        self._best_effort += share.is_best_effort
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
        self._latency_sensitive -= share.is_latency_sensitive
        self._best_effort -= share.is_best_effort
        self._ending -= share.is_ending
