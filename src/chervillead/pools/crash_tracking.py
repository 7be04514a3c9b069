"""Applies crashes of workers to the tasks that ran on them."""

import asyncio
from collections import abc

from chervillead.jobs import crash_evidence
from chervillead.jobs import task_runs
from chervillead.pools import job_endings
from chervillead.pools import owner_state
from chervillead.workers import view as view_module

# Longest time from sending a call until a process accepts its connection.
MAX_DELIVERY_S = 0.5


def end_runs(
    state: owner_state.OwnerState,
    view: view_module.WorkerView,
    replaced_s: float,
    clock_ms: int | None = None,
) -> list[asyncio.Future[None]]:
    """Ends the runs of a worker whose process has ended.

    Starts that may have reached the new process may be running there, or may
    still be carried out.

    Args:
        state: State of the owner.
        view: The worker.
        replaced_s: Earliest time at which a new process can have started, by
            the owner's clock.
        clock_ms: Reading of the new process's clock; None if it is unknown.

    Returns:
        Appends of the crashes counted against tasks. The end of a worker that
        was to end counts against none.
    """
    runs = [
        run
        for run in view.runs.values()
        if not _may_be_in_new_process(run, replaced_s, clock_ms)
    ]
    is_crash = not _was_to_end(state, view)
    kind = (
        task_runs.EndKind.WORKER_CRASHED
        if is_crash
        else task_runs.EndKind.VANISHED
    )
    for run in runs:
        state.end_run(view, run, kind)
    return _count_crash(state, view, runs) if is_crash else []


def _may_be_in_new_process(
    run: task_runs.Run, replaced_s: float, clock_ms: int | None
) -> bool:
    if run.phase is task_runs.RunPhase.STARTING:
        return True
    # A clock that is ahead of the new one is that of the ended process.
    if clock_ms is not None and (run.started_clock_ms or 0) > clock_ms:
        return False
    sent_s = run.started_s if run.sent_s is None else run.sent_s
    return sent_s + MAX_DELIVERY_S >= replaced_s


def record_unconfirmed_crashes(
    state: owner_state.OwnerState, view: view_module.WorkerView
) -> None:
    """Stores which runs may have crashed a worker at which nothing listens.

    Whether it crashed shows only seconds later, when another process answers
    or its lease has ended. An owner that is replaced before that has stored
    what the next one must count.
    """
    if view.was_end_announced is None:
        view.was_end_announced = _is_end_announced(view)
    if _was_to_end(state, view):
        return
    answered_s = view.last_contact_s or view.discovered_s
    for run in list(view.runs.values()):
        job = state.jobs.get(run.job_id)
        if (
            job is not None
            and job.has_task(run.task)
            and run.phase is not task_runs.RunPhase.STARTING
            and crash_evidence.may_have_crashed(job, run, answered_s)
            and crash_evidence.add_unconfirmed_crash(job, run)
        ):
            state.log_run("run:crash-suspected", run)
            state.recorder.store_progress(job, (run.task,))


def give_up_jobs(
    state: owner_state.OwnerState, job_ids: abc.Iterable[str]
) -> None:
    """Gives up the jobs whose stored crashes have reached the limit."""
    crashes = crash_evidence.stored_crashes(state.jobs.unfinished())
    for job_id in job_ids:
        job = state.jobs[job_id]
        if crash_evidence.apply_stored_crashes(job, state.now_s(), crashes):
            state.log("job:given-up", job=job_id, reason="stored crashes")
            job_endings.handle_end(state, job)
            state.recorder.store_progress(job)


def _was_to_end(
    state: owner_state.OwnerState, view: view_module.WorkerView
) -> bool:
    """Returns whether the worker had announced its end, or was taken down."""
    taken_down = state.taken_down_incarnations.get(view.worker_id)
    if taken_down is not None and taken_down == view.incarnation:
        return True
    if view.was_end_announced is not None:
        return view.was_end_announced
    return _is_end_announced(view)


def _is_end_announced(view: view_module.WorkerView) -> bool:
    return view.registration.is_draining or bool(view.cordoned_for)


def _earlier_crashes(
    state: owner_state.OwnerState, runs: abc.Iterable[task_runs.Run]
) -> abc.Iterator[tuple[task_runs.RunKey, int]]:
    """Yields how many workers the task of each run has lost so far."""
    for run in runs:
        job = state.jobs.get(run.job_id)
        if job is not None and job.has_task(run.task):
            task = crash_evidence.counted_task(job, run.task)
            crashed = job.crashed_runs.get(task, set()) - {run.number}
            yield run.key, len(crashed)


def _count_crash(
    state: owner_state.OwnerState,
    view: view_module.WorkerView,
    runs: list[task_runs.Run],
) -> list[asyncio.Future[None]]:
    now_s = state.now_s()
    answered_s = view.last_contact_s or view.discovered_s
    address = view.registration.address
    crash = crash_evidence.Crash(
        runs,
        answered_s,
        address,
        state.crashed_s.get(address, float("-inf")),
        dict(_earlier_crashes(state, runs)),
    )
    # A worker that never answered may have crashed long before this owner.
    if view.last_contact_s is not None:
        state.crashed_s[address] = view.last_contact_s
    appends = []
    for run in runs:
        job = state.jobs.get(run.job_id)
        if job is None or not job.has_task(run.task):
            continue
        if not crash_evidence.apply_crash(job, run, crash, now_s):
            continue
        state.jobs.mark_changed(run.job_id)
        task = crash_evidence.counted_task(job, run.task)
        state.log_run(
            "run:crash-counted",
            run,
            crashes=len(job.crashed_runs[task]),
            ran_s=round(answered_s - run.started_s, 3),
            beside=len(runs) - 1,
            is_repeated=crash.is_repeated,
            is_suspected=task in job.suspected_s,
            is_given_up=job.is_failed,
        )
        if job.is_finished:
            job_endings.handle_end(state, job)
        appends.append(state.recorder.store_progress(job, (task,)))
    return appends
