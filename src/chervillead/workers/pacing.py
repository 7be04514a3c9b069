"""Paces the best-effort tasks beside latency-sensitive ones on each worker."""

from collections import abc

from chervillead.jobs import model
from chervillead.jobs import pacing
from chervillead.jobs import task_runs
from chervillead.workers import watch as watch_module

StepOf = abc.Callable[[task_runs.Run], model.Step | None]


def pace_workers(
    watches: abc.Iterable[watch_module.WorkerWatch], step_of: StepOf
) -> None:
    """Sends the changes of pace that newly applied statuses require."""
    for watch in watches:
        if watch.take_new_status():
            _pace_worker(watch, step_of)


def _pace_worker(watch: watch_module.WorkerWatch, step_of: StepOf) -> None:
    runs = [
        (run, step)
        for run in watch.view.runs.values()
        for step in (step_of(run),)
        if step is not None and run.phase is task_runs.RunPhase.RUNNING
    ]
    best_effort = [
        run for run, step in runs if step.fills and not run.stop_requested
    ]
    if not best_effort:
        return
    latency_sensitive = [
        (run, step) for run, step in runs if step.latency_target_ms
    ]
    for run in best_effort:
        percent = min(
            (
                pacing.next_pace_percent(
                    run.pace_percent, other.usage, step.latency_target_ms
                )
                for other, step in latency_sensitive
            ),
            default=100,
        )
        if percent != run.pace_percent:
            watch.pace(run, percent)
