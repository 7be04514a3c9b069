"""Cancels jobs of the owner of a partition."""

from chervillead.jobs import job_state
from chervillead.pools import owner_state
from chervillead.pools import run_stopping


def cancel_job(state: owner_state.OwnerState, job: job_state.JobState) -> None:
    """Cancels a job unless it has finished, and queues its record."""
    if job.is_finished:
        return
    job.cancel(state.now_s())
    state.jobs.mark_changed(job.spec.job_id)
    state.log("job:cancelled", job=job.spec.job_id, token=state.token)
    run_stopping.stop_runs(state, job.active_runs(), "cancelled")
    state.recorder.store_progress(job)
