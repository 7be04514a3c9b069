"""Builds commands to start runs and applies their outcomes."""

from returns import pipeline

from chervillead import verdicts
from chervillead.jobs import task_runs
from chervillead.pools import owner_state
from chervillead.pools import run_stopping
from chervillead.workers import interface as worker_interface
from chervillead.workers import view as view_module
from chervillead.workers import watch as watch_module

# A worker that had no room for a start gets no new tasks for this time.
NO_ROOM_BACKOFF_S = 0.2


def make_start_command(
    state: owner_state.OwnerState,
    view: view_module.WorkerView,
    run: task_runs.Run,
) -> worker_interface.StartCommand | None:
    """Returns the command that starts a run, or None if it is obsolete.

    Called just before the command is sent, since the start may have become
    impossible while it was queued.
    """
    now_s = state.now_s()
    job = state.jobs.get(run.job_id)
    clock_ms = view.clock_at(now_s)
    if (
        job is None
        or job.is_finished
        or job.is_done(run.task)
        or run.stop_requested
        or clock_ms is None
        or not state.may_start()
        or not view.may_start(state.ports.zones_out())
        or view.awaited_renewal is not None
    ):
        withdraw(state, view, run)
        return None
    run.resumed_from = job.checkpoint_for(run.task)
    return worker_interface.StartCommand(
        run.key,
        job.spec.payload,
        clock_ms + watch_module.START_WINDOW_MS,
        run.resumed_from,
        run.ticket,
    )


def withdraw(
    state: owner_state.OwnerState,
    view: view_module.WorkerView,
    run: task_runs.Run,
) -> None:
    """Ends a run whose start command was not executed."""
    state.end_run(view, run, task_runs.EndKind.VANISHED)
    stop_gang_members(state, run)


def apply_start_result(
    state: owner_state.OwnerState,
    view: view_module.WorkerView,
    run: task_runs.Run,
    outcome: worker_interface.CommandOutcome,
) -> None:
    """Applies the outcome of a start, which may be unknown."""
    if pipeline.is_successful(outcome):
        _apply_accepted_start(state, view, run, outcome.unwrap())
        return
    failure = outcome.failure()
    rejection = failure.rejection
    state.log_run(
        "run:start-failed",
        run,
        verdict=failure.verdict.value,
        rejection=rejection and rejection.value,
        error=failure.detail,
    )
    state.ports.increment(
        "chervillead_starts",
        rejection.value if rejection else "unanswered",
    )
    if failure.verdict is verdicts.Verdict.MAY_HAVE_RUN:
        if run.phase is task_runs.RunPhase.STARTING:
            run.phase = task_runs.RunPhase.UNCERTAIN
        watch = state.watches.get(view.worker_id)
        if watch is not None:
            watch.wake()
    else:
        _apply_rejection(state, view, rejection)
        withdraw(state, view, run)
        return
    stop_gang_members(state, run)


def _apply_accepted_start(
    state: owner_state.OwnerState,
    view: view_module.WorkerView,
    run: task_runs.Run,
    clock_ms: int,
) -> None:
    view.record_clock(clock_ms, state.now_s())
    if run.key not in view.runs:
        return
    run.started_clock_ms = clock_ms
    if run.phase is task_runs.RunPhase.STARTING:
        run.phase = task_runs.RunPhase.RUNNING
    job = state.jobs.get(run.job_id)
    if job is not None:
        job.has_started = True
    state.log_run("run:started", run, token=state.token)
    state.ports.increment("chervillead_starts", "accepted")
    if run.stop_requested:
        run_stopping.stop_run(state, run, run.stop_reason)


def _apply_rejection(
    state: owner_state.OwnerState,
    view: view_module.WorkerView,
    rejection: worker_interface.RejectionReason | None,
) -> None:
    now_s = state.now_s()
    if rejection is worker_interface.RejectionReason.FENCED:
        state.mark_fenced()
    elif rejection is worker_interface.RejectionReason.NO_ROOM:
        view.avoid_until_s = now_s + NO_ROOM_BACKOFF_S
    elif rejection in (
        worker_interface.RejectionReason.UNHEALTHY,
        worker_interface.RejectionReason.OTHER_INSTANCE,
        None,
    ):
        view.avoid_until_s = now_s + view_module.UNHEALTHY_BACKOFF_S


def stop_gang_members(
    state: owner_state.OwnerState, run: task_runs.Run
) -> None:
    """Stops the other members of a gang if one was not started.

    Otherwise they would wait for the missing member until their own timeout.
    """
    job = state.jobs.get(run.job_id)
    if job is None or not job.has_task(run.task) or not job.step(run.task).gang:
        return
    members = (
        other
        for other in job.active_runs()
        if other.task.step == run.task.step
        and other.task.occurrence == run.task.occurrence
        and other.number == run.number
        and other is not run
    )
    run_stopping.stop_runs(state, members, "a member of the gang did not start")
