"""What an owner does once a job has finished."""

from chervillead.jobs import job_state
from chervillead.pools import owner_state
from chervillead.pools import run_stopping


def handle_end(state: owner_state.OwnerState, job: job_state.JobState) -> None:
    """Logs and counts the end of a job, and stops what still runs of it."""
    state.log("job:ended", job=job.spec.job_id, phase=job.phase.value)
    state.ports.increment("chervillead_jobs_ended", job.phase.value)
    state.ports.observe("job_seconds", state.now_s() - job.accepted_s)
    run_stopping.stop_runs(state, job.active_runs(), job.phase.value)
