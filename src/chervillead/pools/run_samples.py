"""Learns the run times of tasks from the completed runs of workers."""

from collections import abc
import math

from chervillead.jobs import job_state
from chervillead.jobs import partition_records
from chervillead.jobs import run_times
from chervillead.jobs import task_runs
from chervillead.pools import owner_state
from chervillead.workers import view as view_module

_COUNTER = "chervillead_run_time_samples"


def record(
    state: owner_state.OwnerState,
    view: view_module.WorkerView,
    job: job_state.JobState,
    run: task_runs.Run,
) -> None:
    """Records the first completed run of a task.

    Args:
        state: State of the owner.
        view: The worker, whose health has been updated.
        job: Job of the task, with all its active runs.
        run: The run.
    """
    if job.step(run.task).long_running:
        return
    if not run_times.has_target(state.terms_of(job)):
        return
    reason = _exclusion(view, job, run)
    state.ports.increment(_COUNTER, reason or "used")
    if not reason:
        _learn(state, job, run)


def _learn(
    state: owner_state.OwnerState, job: job_state.JobState, run: task_runs.Run
) -> None:
    step, now_s = job.step(run.task), state.now_s()
    can_store = not state.writer.failure_duration_s()
    update = state.run_times.record(
        state.terms_of(job).queue_address,
        step,
        now_s - run.started_s,
        # The first end of a gang completes all of its tasks.
        1.0 if step.gang else 1 / step.tasks,
        now_s,
        can_store=can_store,
    )
    if can_store:
        # While the store is down, records would pile up. The next owner deletes
        # those of keys that were removed meanwhile.
        _store(state, update)
    if update.is_log_due:
        _log(state, update)


def restore(
    state: owner_state.OwnerState,
    stored: abc.Iterable[partition_records.LearnedRunTime],
) -> None:
    """Restores what previous owners have learned."""
    now_s, unix_ms = state.now_s(), 1000 * state.ports.clock.wall()
    for entry in sorted(stored, key=lambda entry: entry.used_unix_ms):
        key = run_times.Key(entry.queue_address, entry.image)
        if not entry.learned.is_valid:
            state.log(
                "record:unreadable",
                key=partition_records.key_of(entry),
                error=f"impossible run times: {entry.learned}",
            )
            continue
        age_s = max(0.0, unix_ms - entry.used_unix_ms) / 1000
        state.run_times.restore(key, entry.learned, now_s - age_s)
    for key in state.run_times.remove_unused(now_s):
        state.writer.delete(partition_records.run_time_key(*key))


def _exclusion(
    view: view_module.WorkerView, job: job_state.JobState, run: task_runs.Run
) -> str:
    """Returns why a run tells nothing about others; empty if it does."""
    if run.is_found:
        return "found"
    if run.resumed_from:
        return "resumed"
    if run.was_paced:
        return "paced"
    if any(other.number < run.number for other in job.runs.get(run.task, ())):
        return "copy"
    return "slow-worker" if view.health.penalty else ""


def _store(state: owner_state.OwnerState, update: run_times.Update) -> None:
    if update.is_store_due:
        state.recorder.store(
            partition_records.LearnedRunTime(
                update.key.queue_address,
                update.key.image,
                update.learned,
                int(1000 * state.ports.clock.wall()),
            )
        )
    for key in update.removed:
        state.writer.delete(partition_records.run_time_key(*key))


def _log(state: owner_state.OwnerState, update: run_times.Update) -> None:
    state.log(
        "run-times:learned",
        queue_address=update.key.queue_address,
        image=update.key.image,
        ratio=round(math.exp(update.learned.ratio.mean), 3),
        time_s=round(math.exp(update.learned.time.mean), 3),
        samples=round(update.learned.time.weight, 1),
    )
