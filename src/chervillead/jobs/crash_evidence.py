"""Tells tasks that crash their workers from tasks that ran beside them.

A crash counts against each task that ran on the worker. Which one caused it
shows when a task is started again by itself: a suspected task gets a worker of
its own until it has run for a while. One under which workers crash there too is
given up, and any other one is started like other tasks again.

A long-running task has no limit of attempts, and over days many of its workers
crash by chance, so its job is never given up for them: its other tasks would be
stopped for what may be nobody's fault. A suspected one is started by itself as
well, after pauses that grow with its crashes.
"""

import collections
from collections import abc
import types as types_module
import typing

from chervillead import types
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import task_runs

# A task beside which a worker still answered after this time is unlikely to be
# what crashed it.
MAX_CRASH_DELAY_S = 1.5
# A task that must have crashed its worker is given up after this many crashes.
# Two can be chance: a crash for another reason may follow the first one soon.
MIN_CRASHES = 3
# A task under which this many workers crashed may crash them late.
LATE_SUSPICION_CRASHES = 2
# Crashes after which a task that ends is given up unless another task that ran
# beside it has as many,
MAX_CRASHES = 4
# and whatever ran beside it.
MAX_CRASHES_BESIDE_SUSPECTS = 5
# All members of a gang start together, so none can be started by itself.
MAX_GANG_CRASHES = 3
# A long-running task that has run for this long has not crashed its worker;
# over days, many of its workers may crash.
LONG_RUN_CLEAR_S = 8.0
# Longest wait for a worker without tasks; then the emptiest one has to do.
MAX_ISOLATION_WAIT_S = 1.0
# Longest wait for a worker on which no other suspected task has just started.
MAX_SUSPECT_WAIT_S = 2.0
# A worker that crashes again within this time may do so whatever runs on it.
REPEATED_CRASH_S = 10.0
# Pause before a long-running task starts again after its third crash in a row,
# doubled for each further one. A task must not stay away for many seconds.
RESTART_PAUSE_S = 0.5
MAX_RESTART_PAUSE_S = 3.0
# Most crashes of a task that are kept; further ones change nothing.
MAX_KEPT_CRASHES = 8


def counted_task(job: job_state.JobState, task: model.TaskKey) -> model.TaskKey:
    """Returns the task that a crash under a run of a task counts against.

    A crash under any member of a gang counts against its first one.
    """
    return task._replace(number=0) if job.step(task).gang else task


class Crash(typing.NamedTuple):
    """The crash of a worker.

    Attributes:
        runs: Runs that were on the worker.
        answered_s: Time of its last answer, by the owner's clock.
        address: Address of the worker, which keeps it when it returns.
        previous_s: Time of the last answer before the previous crash at that
            address; -inf if there was none.
        earlier_crashes: How many workers the task of each run had lost before.
    """

    runs: abc.Sequence[task_runs.Run]
    answered_s: float
    address: types.Address
    previous_s: float = float("-inf")
    earlier_crashes: abc.Mapping[task_runs.RunKey, int] = (
        types_module.MappingProxyType({})
    )

    @property
    def is_repeated(self) -> bool:
        """Whether the worker had crashed shortly before."""
        return self.answered_s - self.previous_s < REPEATED_CRASH_S

    def is_recent(self, run: task_runs.Run) -> bool:
        """Returns whether a run had begun only shortly before the crash."""
        return self.answered_s - run.started_s < MAX_CRASH_DELAY_S

    def has_equal(self, run: task_runs.Run) -> bool:
        """Returns whether another task is as likely to have caused the crash.

        It had lost as many workers, and has not run for longer than a task that
        had only begun.
        """
        return any(
            self.earlier_crashes.get(other.key, 0)
            >= self.earlier_crashes.get(run.key, 0)
            and (self.is_recent(other) or not self.is_recent(run))
            for other in self.runs
            if (other.job_id, other.task) != (run.job_id, run.task)
        )

    def has_sole_cause(self, run: task_runs.Run) -> bool:
        """Returns whether only this run can have caused the crash.

        Its task was started by itself, and all runs beside it had lasted too
        long to have caused it.
        """
        if self.answered_s > run.isolated_until_s:
            return False
        beside = [other for other in self.runs if other is not run]
        if self.is_recent(run):
            return not any(map(self.is_recent, beside))
        return not beside


def apply_crash(
    job: job_state.JobState, run: task_runs.Run, crash: Crash, now_s: float
) -> bool:
    """Applies the crash of a worker to a task that ran on it.

    Args:
        job: The job of the task, which may be given up.
        run: The run of the task on that worker.
        crash: The crash.
        now_s: Time of the owner's clock.

    Returns:
        Whether the stored progress of the job has changed.
    """
    if job.is_finished or job.is_done(run.task):
        return False
    task = counted_task(job, run.task)
    crashed = job.crashed_runs.get(task, set())
    if crash.is_recent(run) or crashed:
        job.suspected_s[task] = now_s
        job.crash_addresses.setdefault(task, set()).add(crash.address)
    is_sole_cause = crash.has_sole_cause(run)
    # A start without a reply may not have been carried out, unless it was the
    # only one that can have crashed the worker.
    is_certain = run.phase is not task_runs.RunPhase.UNCERTAIN or is_sole_cause
    if run.number in crashed or not is_certain:
        return False
    crashed = set(sorted(crashed | {run.number})[-MAX_KEPT_CRASHES:])
    job.crashed_runs[task] = crashed
    job.unconfirmed_crashes.get(task, set()).discard(run.number)
    if job.step(run.task).long_running:
        _pause(job, run.task, now_s)
    elif len(crashed) >= _max_crashes(
        job.step(run.task),
        is_proof=is_sole_cause and not crash.is_repeated,
        has_equal=crash.has_equal(run),
    ):
        job.give_up(now_s)
    return True


def _max_crashes(step: model.Step, *, is_proof: bool, has_equal: bool) -> int:
    """Returns after how many crashes a task that ends is given up.

    Args:
        step: Its step.
        is_proof: Whether nothing else can have caused the last crash.
        has_equal: Whether another task that may have caused it has lost as many
            workers.
    """
    if step.gang:
        return MAX_GANG_CRASHES
    if is_proof:
        return MIN_CRASHES
    return MAX_CRASHES_BESIDE_SUSPECTS if has_equal else MAX_CRASHES


def _pause(job: job_state.JobState, task: model.TaskKey, now_s: float) -> None:
    """Delays the next start of a long-running task by its crashes."""
    crashes = len(job.crashed_runs.get(counted_task(job, task), ()))
    if crashes >= MIN_CRASHES:
        pause_s = RESTART_PAUSE_S * 2 ** (crashes - MIN_CRASHES)
        job.retry_at_s[task] = now_s + min(MAX_RESTART_PAUSE_S, pause_s)


def add_unconfirmed_crash(job: job_state.JobState, run: task_runs.Run) -> bool:
    """Notes a run whose worker may crash before that can be recorded.

    Members of a gang share the number of their run, so the end of one would
    take back what is noted for another; nothing is noted for a gang.

    Returns:
        Whether the stored progress of the job has changed.
    """
    task = run.task
    known = job.crashed_runs.get(task, set()) | job.unconfirmed_crashes.get(
        task, set()
    )
    if job.is_finished or job.is_done(run.task) or run.number in known:
        return False
    if job.step(run.task).gang:
        return False
    job.unconfirmed_crashes.setdefault(task, set()).add(run.number)
    return True


def may_have_crashed(
    job: job_state.JobState, run: task_runs.Run, answered_s: float
) -> bool:
    """Returns whether a run may be what has ended its worker.

    Args:
        job: The job of the run.
        run: The run.
        answered_s: Time of the worker's last answer, by the owner's clock.
    """
    is_recent = answered_s - run.started_s < MAX_CRASH_DELAY_S
    return is_recent or run.task in job.crashed_runs


def retract_crash(
    job: job_state.JobState, task: model.TaskKey, number: int
) -> bool:
    """Forgets that a worker may have crashed under a run that was reported.

    A new owner may have read it as a crash. Nothing is forgotten of a gang, as
    its members on other workers report the same run.

    Returns:
        Whether the stored progress of the job has changed.
    """
    if not job.has_task(task) or job.step(task).gang:
        return False
    changed = False
    for runs in (job.crashed_runs, job.unconfirmed_crashes):
        if number in runs.get(task, ()):
            changed = True
            runs[task].discard(number)
            if not runs[task]:
                del runs[task]
    if changed and task not in job.crashed_runs:
        job.suspected_s.pop(task, None)
    return changed


def stored_crashes(
    jobs: abc.Iterable[job_state.JobState],
) -> collections.Counter[int]:
    """Returns how many tasks that end have lost each number of workers."""
    return collections.Counter(
        len(crashed)
        for job in jobs
        if not job.is_finished
        for task, crashed in job.crashed_runs.items()
        if not job.step(task).long_running and not job.step(task).gang
    )


def apply_stored_crashes(
    job: job_state.JobState,
    now_s: float,
    of_all_jobs: collections.Counter[int] | None = None,
) -> bool:
    """Applies the crashes that previous owners have stored.

    A job is given up if those of a task that ends reach the limit. Tasks with
    as many crashes may have lost the same workers.

    Args:
        job: The job.
        now_s: Time of the owner's clock.
        of_all_jobs: The crashes of the tasks of all jobs, as `stored_crashes`
            returns them; None for those of this job alone.

    Returns:
        Whether the job was given up.
    """
    if job.is_finished:
        return False
    numbers = stored_crashes((job,)) if of_all_jobs is None else of_all_jobs
    for task, crashed in job.crashed_runs.items():
        step = job.step(task)
        equals = sum(
            tasks for number, tasks in numbers.items() if number >= len(crashed)
        )
        if step.long_running:
            _pause(job, task, now_s)
        elif len(crashed) >= _max_crashes(
            step, is_proof=False, has_equal=equals > 1
        ):
            job.give_up(now_s)
            return True
    return False


def needs_isolation(job: job_state.JobState, task: model.TaskKey) -> bool:
    """Returns whether the next run of a task needs a worker of its own."""
    return task in job.suspected_s and not job.step(task).gang


def waiting_s(
    job: job_state.JobState, task: model.TaskKey, now_s: float
) -> float:
    """Returns for how long a suspected task has waited for its next start."""
    may_start_s = max(
        job.suspected_s[task], job.retry_at_s.get(task, float("-inf"))
    )
    return now_s - may_start_s


def isolation_ends_s(
    job: job_state.JobState,
    task: model.TaskKey,
    started_s: float,
    *,
    to_end: bool = True,
) -> float:
    """Returns until when a suspected task keeps its worker for itself.

    Args:
        job: The job of the task.
        task: The task.
        started_s: When it is started.
        to_end: Whether a task that may crash workers late may keep its worker
            until it ends, or until its crashes are forgotten.
    """
    crashes = len(job.crashed_runs.get(task, ()))
    if job.step(task).long_running:
        is_late = to_end and crashes >= MAX_CRASHES
        return started_s + (LONG_RUN_CLEAR_S if is_late else MAX_CRASH_DELAY_S)
    if to_end and crashes >= LATE_SUSPICION_CRASHES:
        return float("inf")
    return started_s + MAX_CRASH_DELAY_S


def suspects(job: job_state.JobState) -> abc.Iterator[model.TaskKey]:
    """Yields the tasks of a job that may crash workers and have yet to run."""
    if job.is_finished:
        return
    for task in job.suspected_s:
        if needs_isolation(job, task) and not job.is_done(task):
            yield task


def clear_long_run(
    job: job_state.JobState, run: task_runs.Run, now_s: float
) -> bool:
    """Forgets the crashes of a long-running task that has run long since.

    Returns:
        Whether the stored progress of the job has changed.
    """
    if (
        run.task not in job.crashed_runs
        or not job.step(run.task).long_running
        or now_s - run.started_s <= LONG_RUN_CLEAR_S
    ):
        return False
    del job.crashed_runs[run.task]
    job.suspected_s.pop(run.task, None)
    job.crash_addresses.pop(run.task, None)
    return True
