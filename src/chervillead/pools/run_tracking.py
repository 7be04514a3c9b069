"""Applies the running and ended runs that workers report."""

import asyncio

from chervillead.jobs import crash_evidence
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import task_runs
from chervillead.pools import crash_tracking
from chervillead.pools import job_endings
from chervillead.pools import owner_state
from chervillead.pools import ownership_checks
from chervillead.pools import run_samples
from chervillead.pools import run_stopping
from chervillead.workers import interface as worker_interface
from chervillead.workers import view as view_module

# A stop of a previous owner, or of this one before it failed and was started
# again, reaches the worker this long after the first poll at most.
MAX_STOP_DELIVERY_MS = 500
START_UNANSWERED = "the start got no reply"
# Delay before the retry of a failed task, doubled for each failure.
RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 1.0


def apply_status(
    state: owner_state.OwnerState,
    view: view_module.WorkerView,
    status: worker_interface.WorkerStatus,
) -> list[asyncio.Future[None]]:
    """Applies a worker's report of its runs.

    Returns:
        Appends that must complete before the ends are acknowledged.
    """
    now_s = state.now_s()
    appends: list[asyncio.Future[None]] = []
    if view.incarnation != status.incarnation:
        if view.incarnation is not None:
            # Its clock counts from its start, and may be slow.
            age_s = status.clock_ms / 1000 / view_module.MIN_CLOCK_RATE
            appends = crash_tracking.end_runs(
                state, view, now_s - age_s, status.clock_ms
            )
            ownership_checks.await_renewal(state, view)
        view.begin_incarnation(status.incarnation)
        # A previous owner may just have extended the lease, and a call with a
        # deadline by the clock of the process before gives the longest one.
        view.extend_lease(status.clock_ms + state.ports.limits.max_lease_ms)
    view.record_clock(status.clock_ms, now_s)
    view.last_contact_s = now_s
    view.has_more_ends = status.has_more_ends
    view.is_refused = False
    view.was_end_announced = None
    reported = {running.run for running in status.running}
    for running in status.running:
        _apply_running(state, view, running, status.clock_ms)
    changed_tasks: dict[str, list[model.TaskKey]] = {}
    for ended in status.ended:
        if ended.number <= view.applied_end:
            continue
        view.applied_end = ended.number
        reported.add(ended.end.run)
        if _apply_end(state, view, ended.end):
            changed_tasks.setdefault(ended.end.run.job_id, []).append(
                ended.end.run.task
            )
    if status.has_more_ends:
        state.log(
            "worker:more-ends", worker=view.worker_id, listed=len(status.ended)
        )
    else:
        _end_unreported_runs(state, view, reported, status.clock_ms)
    state.changed_workers.add(view.worker_id)
    state.wake()
    appends += [
        state.recorder.store_progress(state.jobs[job_id], tasks)
        for job_id, tasks in changed_tasks.items()
    ]
    return appends


def _apply_running(
    state: owner_state.OwnerState,
    view: view_module.WorkerView,
    running: worker_interface.RunStatus,
    clock_ms: int,
) -> None:
    job = state.jobs.get(running.run.job_id)
    if job is not None and not job.has_task(running.run.task):
        job = None
    run = view.runs.get(running.run) or _track_found_run(
        state, view, running.run, job, clock_ms
    )
    if run.phase in (
        task_runs.RunPhase.STARTING,
        task_runs.RunPhase.UNCERTAIN,
    ):
        run.phase = task_runs.RunPhase.RUNNING
    if run.started_clock_ms is None:
        run.started_clock_ms = clock_ms
    run.usage = running.usage
    if run.progress_since_ms is None:
        run.progress_since_ms = run.started_clock_ms
    if job is not None and running.checkpoint not in (
        "",
        job.checkpoints.get(run.task),
    ):
        # It was taken since the report before, at that progress at the least.
        run.checkpoint_percent = run.progress_percent
    if run.progress_percent != running.progress_percent:
        run.progress_percent = running.progress_percent
        run.progress_since_ms = clock_ms
    run.reported_ms = clock_ms
    if (
        run.stop_reason == START_UNANSWERED
        and job is not None
        and job.step(run.task).long_running
    ):
        # A stop that was sent meanwhile may still end it.
        run.withdraw_stop()
        run.may_be_stopping_until_ms = _stops_end_ms(state, clock_ms)
    if job is None:
        if run.job_id not in state.unreadable_jobs:
            run_stopping.stop_run(state, run, "its job is unknown")
        return
    job.has_started = True
    _correct_stored_crash(state, job, run)
    if crash_evidence.clear_long_run(job, run, state.now_s()):
        state.recorder.store_progress(job, (run.task,))
    if running.checkpoint:
        job.checkpoints[run.task] = running.checkpoint
    if job.is_finished:
        run_stopping.stop_run(state, run, job.phase.value)
    elif job.is_done(run.task):
        run_stopping.stop_run(state, run, "another run of the task is done")


def _stops_end_ms(state: owner_state.OwnerState, clock_ms: int) -> int:
    """Returns by when stops that have been sent have ended their runs.

    Args:
        state: State of the owner.
        clock_ms: Worker's clock now.
    """
    return clock_ms + state.ports.limits.max_stop_ms + MAX_STOP_DELIVERY_MS


def _correct_stored_crash(
    state: owner_state.OwnerState, job: job_state.JobState, run: task_runs.Run
) -> None:
    """Takes back the crash of a worker on which the run goes on.

    A previous owner stored it when nothing listened there, or before a start.
    """
    if run.number not in job.crashed_runs.get(run.task, ()):
        return
    if not crash_evidence.retract_crash(job, run.task, run.number):
        return
    if run.task in job.crashed_runs:
        # Its next crash may come unseen as well.
        crash_evidence.add_unconfirmed_crash(job, run)
    state.recorder.store_progress(job, (run.task,))


def _track_found_run(
    state: owner_state.OwnerState,
    view: view_module.WorkerView,
    key: task_runs.RunKey,
    job: job_state.JobState | None,
    clock_ms: int,
) -> task_runs.Run:
    """Tracks a run that a previous owner started, and may have stopped.

    The worker has seen this owner's token, so it rejects later stops.
    """
    run = task_runs.Run(
        key.job_id,
        key.task,
        key.number,
        view.worker_id,
        reserved=model.Resources(),
        started_s=state.now_s(),
        phase=task_runs.RunPhase.RUNNING,
    )
    run.is_found = True
    run.may_be_stopping_until_ms = _stops_end_ms(state, clock_ms)
    run.is_pace_uncertain = True
    if job is not None:
        run.reserved = job.step(key.task).reserved
        job.add_run(run)
    state.track_run(view, run)
    state.log_run("run:found", run)
    return run


def _apply_end(
    state: owner_state.OwnerState,
    view: view_module.WorkerView,
    end: task_runs.RunEnd,
) -> bool:
    """Applies an end; returns whether stored progress of its job changed."""
    job = state.jobs.get(end.run.job_id)
    run = state.forget_run(view, end.run)
    if job is None or not job.has_task(end.run.task):
        return False
    now_s = state.now_s()
    was_finished, was_done = job.is_finished, job.is_done(end.run.task)
    max_attempts = state.terms_of(job).max_attempts
    # The worker lives, so it has not crashed under this run.
    changed = crash_evidence.retract_crash(job, end.run.task, end.run.number)
    changed |= job.apply_run_end(end, max_attempts, now_s)
    state.jobs.mark_changed(job.spec.job_id)
    state.log(
        "run:ended",
        job=end.run.job_id,
        task=list(end.run.task),
        run=end.run.number,
        worker=view.worker_id,
        how=end.kind.value,
    )
    state.ports.increment("chervillead_runs_ended", end.kind.value)
    if run is not None:
        _update_health(view, job, run, end.kind, now_s)
        if end.kind is task_runs.EndKind.DONE and not was_done:
            run_samples.record(state, view, job, run)
        if end.kind is task_runs.EndKind.FAILED:
            _schedule_retry(job, run, now_s)
        job.remove_run(run)
    if job.is_done(end.run.task) or job.is_finished:
        run_stopping.stop_runs(
            state,
            job.runs.get(end.run.task, ()),
            "another run of the task is done",
        )
    if job.is_finished and not was_finished:
        job_endings.handle_end(state, job)
    return changed


def _update_health(
    view: view_module.WorkerView,
    job: job_state.JobState,
    run: task_runs.Run,
    kind: task_runs.EndKind,
    now_s: float,
) -> None:
    """Updates the health of a worker after a run has ended."""
    if kind is task_runs.EndKind.DONE and run.is_found:
        # When it started isn't known, so neither is how long it took.
        view.health.record_success(None)
    elif kind is task_runs.EndKind.DONE:
        duration_s = now_s - run.started_s
        view.health.record_success(job.relative_duration(run.task, duration_s))
        job.record_duration(run.task, duration_s)
    # Failures of long-running tasks do not count against the worker: they may
    # happen at any time, on any worker.
    if kind is not task_runs.EndKind.FAILED or job.step(run.task).long_running:
        return
    if job.add_failed_worker(run.task, view.worker_id):
        view.health.record_failure(now_s)


def _schedule_retry(
    job: job_state.JobState, run: task_runs.Run, now_s: float
) -> None:
    failures = len(job.failed_runs.get(run.task, ()))
    delay_s = min(MAX_RETRY_DELAY_S, RETRY_DELAY_S * 2**failures)
    job.retry_at_s[run.task] = now_s + delay_s


def _end_unreported_runs(
    state: owner_state.OwnerState,
    view: view_module.WorkerView,
    reported: set[task_runs.RunKey],
    clock_ms: int,
) -> None:
    """Ends runs that a worker should report but does not."""
    for key, run in list(view.runs.items()):
        if key in reported:
            continue
        started_ms = run.started_clock_ms
        stopped_ms = run.stopped_clock_ms
        if started_ms is not None and clock_ms > started_ms:
            state.end_run(view, run, task_runs.EndKind.VANISHED)
        elif run.phase is task_runs.RunPhase.UNCERTAIN:
            # A run can't start any more once a stop was executed or its start
            # deadline has passed.
            start_deadline = (
                run.start_by_clock_ms if stopped_ms is None else stopped_ms
            )
            if clock_ms > start_deadline:
                state.end_run(view, run, task_runs.EndKind.VANISHED)
            elif stopped_ms is None and not run.stop_requested:
                run_stopping.stop_run(state, run, START_UNANSWERED)
