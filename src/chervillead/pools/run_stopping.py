"""Asks workers to stop runs, and logs why each long-running one is stopped."""

from collections import abc
import math

from chervillead.jobs import availability
from chervillead.jobs import task_runs
from chervillead.pools import owner_state


def stop_run(
    state: owner_state.OwnerState, run: task_runs.Run, reason: str
) -> None:
    """Asks a run's worker to stop it; the reason is for logs."""
    disruption = None if run.stop_requested else _assess(state, run)
    _request_stop(state, run, reason, disruption)


def stop_runs(
    state: owner_state.OwnerState,
    runs: abc.Iterable[task_runs.Run],
    reason: str,
) -> None:
    """Asks the workers of some runs to stop them."""
    for run in list(runs):
        stop_run(state, run, reason)


def stop_within_budget(
    state: owner_state.OwnerState, run: task_runs.Run, reason: str
) -> None:
    """Stops a long-running run if the availability budget of its step allows.

    Args:
        state: State of the owner.
        run: The run, whose job must be known.
        reason: Why, for logs.
    """
    disruption = _assess(state, run)
    if disruption is not None and disruption.is_allowed:
        run.needs_budget = True
        _request_stop(state, run, reason, disruption)


def may_send_stop(state: owner_state.OwnerState, run: task_runs.Run) -> bool:
    """Returns whether a stop that was queued may still be sent.

    Other tasks of the step may have become unavailable since the budget was
    asked. Then the stop is repeated later if it may have reached the worker,
    and is withdrawn otherwise.
    """
    if not run.stop_requested:
        return False
    job = state.jobs.get(run.job_id)
    if not run.needs_budget or job is None or job.is_finished:
        return True
    disruption = _assess(state, run)
    if disruption is None or disruption.is_allowed:
        return True
    if not run.is_stop_sent:
        state.log_run(
            "run:stop-withdrawn",
            run,
            reason=run.stop_reason,
            unavailable=disruption.unavailable,
            allowed=disruption.allowed,
        )
        run.withdraw_stop()
    return False


def _assess(
    state: owner_state.OwnerState, run: task_runs.Run
) -> availability.Disruption | None:
    """Returns what stopping a run would mean for its step.

    Returns:
        None if its step is unknown or has tasks that end by themselves.
    """
    step = state.step_of(run)
    if step is None or not step.long_running:
        return None
    return availability.assess_disruption(
        state.jobs[run.job_id], run.task, state.contact_age_s
    )


def _request_stop(
    state: owner_state.OwnerState,
    run: task_runs.Run,
    reason: str,
    disruption: availability.Disruption | None,
) -> None:
    watch = state.watches.get(run.worker_id)
    if watch is None:
        return
    may_be_long_running = disruption is not None or state.step_of(run) is None
    if may_be_long_running and not run.stop_requested:
        _log_stop(state, run, reason, disruption)
    watch.stop(run, reason)


def _log_stop(
    state: owner_state.OwnerState,
    run: task_runs.Run,
    reason: str,
    disruption: availability.Disruption | None,
) -> None:
    """Logs a stop, which can't be taken back and whose reason may be wrong."""
    age_s = state.contact_age_s(run.worker_id)
    fields: dict[str, object] = {}
    if disruption is not None:
        fields = {
            "unavailable": disruption.unavailable,
            "allowed": disruption.allowed,
            "knowledge_age_s": round(disruption.knowledge_age_s, 3),
        }
    state.log_run(
        "run:stop",
        run,
        reason=reason,
        token=state.token,
        progress=run.progress_percent,
        contact_age_s=None if math.isinf(age_s) else round(age_s, 3),
        **fields,
    )
