"""Moves checkpointing runs from slow workers to others.

A run is only stopped here. Its task becomes pending once the worker has
reported the end, and its next run resumes from the checkpoint.
"""

from collections import abc

from chervillead.jobs import crash_evidence
from chervillead.jobs import job_state
from chervillead.jobs import ordering
from chervillead.jobs import placement
from chervillead.jobs import readiness
from chervillead.jobs import run_times
from chervillead.jobs import slow_runs
from chervillead.jobs import task_runs
from chervillead.pools import owner_state
from chervillead.pools import run_stopping
from chervillead.pools import worker_selection
from chervillead.workers import view as view_module

REASON = "its worker is slow"

# Returns the workers that could take a task, whether they have room or not.
Candidates = abc.Callable[
    [readiness.ReadyTask], abc.Iterable[placement.WorkerSnapshot]
]


def move_from_slow_workers(
    state: owner_state.OwnerState,
    candidates: Candidates,
    full_pools: abc.Container[str],
) -> None:
    """Stops one run of each pool that would complete sooner elsewhere.

    Args:
        state: State of the owner.
        candidates: Returns the workers that could take a task.
        full_pools: Pools in which tasks wait for room.
    """
    if not state.has_authority():
        return
    # Pools are mostly full while jobs wait, so looking at the workers costs
    # less than looking at the jobs.
    skipped: set[str] = set()
    for watch in state.watches.values():
        pool = watch.view.registration.pool
        # More than one run of a pool could be meant for the same room.
        if pool in full_pools or pool in skipped:
            continue
        found = next(_movable_runs(state, watch.view, candidates), None)
        if found is not None:
            skipped.add(pool)
            job, run = found
            _mark_slow(state, _ready(job, run), candidates)
            _stop(state, job, run)


def _movable_runs(
    state: owner_state.OwnerState,
    view: view_module.WorkerView,
    candidates: Candidates,
) -> abc.Iterator[tuple[job_state.JobState, task_runs.Run]]:
    for run in view.runs.values():
        job = state.jobs.get(run.job_id)
        if (
            job is not None
            and job.has_task(run.task)
            and job.spec.pool == view.registration.pool
            and _may_move(job, run)
            and run_times.has_target(state.terms_of(job))
            and _is_delayed(state, view, job, run)
            and _has_room_elsewhere(state, job, run, candidates)
        ):
            yield job, run


def _may_move(job: job_state.JobState, run: task_runs.Run) -> bool:
    """Returns whether a run may be stopped and resumed from a checkpoint.

    A run that was resumed isn't moved again, so no task is moved twice.
    """
    step = job.step(run.task)
    return (
        step.checkpointing
        and not (step.speculative or step.gang or step.long_running)
        and not (step.fills or step.latency_target_ms)
        and bool(job.checkpoints.get(run.task))
        and not job.is_finished
        and len(job.runs.get(run.task, ())) == 1
        and not run.stop_requested
        and not run.resumed_from
        and not crash_evidence.needs_isolation(job, run.task)
    )


def _is_delayed(
    state: owner_state.OwnerState,
    view: view_module.WorkerView,
    job: job_state.JobState,
    run: task_runs.Run,
) -> bool:
    """Returns whether a run on a slow worker would end sooner on another."""
    expected_s = _expected_s(job, run)
    if (
        expected_s is None
        or slow_runs.observe(run, expected_s) is None
        or not state.in_contact(view.worker_id)
        or view.is_refused
        # One at a time: the end of the last one shows whether moving works.
        or any(other.stop_reason == REASON for other in view.runs.values())
    ):
        return False
    age_s = state.contact_age_s(view.worker_id)
    return _is_slow(state, view) and slow_runs.is_sooner_elsewhere(
        run, expected_s, age_s
    )


def _is_slow(
    state: owner_state.OwnerState, view: view_module.WorkerView
) -> bool:
    observations = [
        observation
        for run in view.runs.values()
        for observation in (_observe(state, run),)
        if observation is not None
    ]
    was_slow = view.health.penalty > 0 and not view.health.is_suspect
    return slow_runs.is_slow(observations, was_slow=was_slow)


def _observe(
    state: owner_state.OwnerState, run: task_runs.Run
) -> slow_runs.Observation | None:
    job = state.jobs.get(run.job_id)
    step = state.step_of(run)
    if job is None or step is None or step.gang or step.long_running:
        return None
    expected_s = _expected_s(job, run)
    return None if expected_s is None else slow_runs.observe(run, expected_s)


def _expected_s(job: job_state.JobState, run: task_runs.Run) -> float | None:
    """Returns the expected run time unless only the caller's estimate is known.

    An estimate that is too low makes every worker look slow.
    """
    number = run.task.step
    if number in job.learned_steps or job.durations_s.get((0, number)):
        return ordering.step_time_s(job, number)
    return None


def _has_room_elsewhere(
    state: owner_state.OwnerState,
    job: job_state.JobState,
    run: task_runs.Run,
    candidates: Candidates,
) -> bool:
    """Returns whether another worker, not a slow one, has room now."""
    ready = _ready(job, run)
    key = worker_selection.step_key(ready)
    return any(
        snapshot.worker_id != run.worker_id
        and snapshot.worker_id not in job.failed_workers.get(run.task, ())
        and not snapshot.penalty
        and placement.is_feasible(snapshot, ready.step, key)
        and not _is_slow(state, state.watches[snapshot.worker_id].view)
        for snapshot in candidates(ready)
    )


def _ready(job: job_state.JobState, run: task_runs.Run) -> readiness.ReadyTask:
    return readiness.ReadyTask(job, run.task, job.step(run.task))


def _mark_slow(
    state: owner_state.OwnerState,
    ready: readiness.ReadyTask,
    candidates: Candidates,
) -> None:
    """Makes placement avoid the slow workers that could take a task.

    Otherwise it may start the next run on another one of them.
    """
    workers = {snapshot.worker_id for snapshot in candidates(ready)}
    workers |= {run.worker_id for run in ready.job.runs[ready.task]}
    for worker_id in sorted(workers):
        view = state.watches[worker_id].view
        if not view.health.penalty and _is_slow(state, view):
            view.health.record_slow_progress()
            state.changed_workers.add(worker_id)


def _stop(
    state: owner_state.OwnerState, job: job_state.JobState, run: task_runs.Run
) -> None:
    state.log_run(
        "run:moving",
        run,
        progress=run.progress_percent,
        checkpoint_progress=run.checkpoint_percent,
        expected_s=round(ordering.step_time_s(job, run.task.step), 3),
    )
    state.ports.increment("chervillead_run_moves", "slow-worker")
    # Its next run must not start on the same worker.
    job.add_failed_worker(run.task, run.worker_id)
    run_stopping.stop_run(state, run, REASON)
