"""Stops batch runs that make no progress."""

from chervillead.jobs import task_runs
from chervillead.jobs import worker_health
from chervillead.pools import owner_state
from chervillead.pools import run_stopping


def stop_stalled(state: owner_state.OwnerState) -> None:
    """Stops batch runs without progress, so that they restart elsewhere."""
    now_s = state.now_s()
    for worker_id, watch in state.watches.items():
        if not state.in_contact(worker_id):
            continue
        for run in list(watch.view.runs.values()):
            step = state.step_of(run)
            if (
                step is None
                or step.long_running
                or step.gang
                or step.fills
                or run.stop_requested
                or run.phase is not task_runs.RunPhase.RUNNING
                or not worker_health.is_stalled(
                    run.progress_since_ms, run.reported_ms
                )
            ):
                continue
            state.log_run("run:stalled", run, progress=run.progress_percent)
            watch.view.health.record_failure(now_s)
            state.changed_workers.add(worker_id)
            state.jobs[run.job_id].add_failed_worker(run.task, worker_id)
            run_stopping.stop_run(state, run, "the run made no progress")
