"""State of one job and its transitions.

Only the spec and the progress (completed tasks, failed runs, cancellation and
failure) are stored. Runs are kept in the partition owner's memory; a new owner
learns of them by polling the workers.
"""

import collections
from collections import abc
import enum
import itertools
import statistics
import typing

from chervillead import types
from chervillead.jobs import model
from chervillead.jobs import task_numbers
from chervillead.jobs import task_runs

# Completed runs of a step needed before their median duration is used.
MIN_DURATION_SAMPLES = 3
# Durations kept of each step, the newest; a step may have 100,000 tasks.
MAX_DURATION_SAMPLES = 1000
# Steps of all occurrences of a job that are open at once, unless a single
# occurrence has more. A schedule may have 100,000 occurrences.
MAX_OPEN_STEPS = 256


class Phase(enum.Enum):
    """State of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class UnblockedTasks(typing.NamedTuple):
    """Pending tasks of a step whose dependencies are met.

    Attributes:
        occurrence: Number of the occurrence, from 0.
        number: Number of the step, from 0.
        tasks: Numbers of the tasks.
    """

    occurrence: int
    number: int
    tasks: task_numbers.TaskNumbers


class JobState:
    """One job: its spec, its progress and its active runs.

    Steps are keyed by (occurrence, step number). Occurrences are opened in
    order, each once there is room for its steps among the open ones.

    Attributes:
        terms: What the job is owed; None if it was stored by an earlier build
            and its queue hasn't been seen since.
        done: Numbers of the completed tasks of each step.
        failed_runs: Numbers of the failed runs of each task.
        crashed_runs: Numbers of the runs of each task whose worker crashed.
        unconfirmed_crashes: Numbers of the runs of each task under which a
            worker may have crashed, or may crash unknown to the next owner.
            They are stored as crashed; an owner that finds such a run corrects
            that.
        suspected_s: When each task that may have crashed its worker was
            suspected, by the owner's clock.
        crash_addresses: Addresses of the workers that crashed under each
            suspected task, as far as this owner knows.
        highest_run: Highest known run number of each task that hasn't
            completed.
        max_unrecorded_run: Highest run number that previous owners may have
            used without recording it.
        checkpoints: Newest known checkpoint of each task.
        runs: Active runs of each task that has any.
        retry_at_s: Earliest time of the next run of each task that failed, by
            the owner's clock.
        failed_workers: Workers on which runs of each task failed.
        durations_s: Durations of the newest completed runs of each step.
        step_times_s: Expected run time of a task of each step, in seconds: the
            caller's estimates until they are refreshed. They must not change
            while the job is in the index of waiting jobs.
        learned_steps: Numbers of the steps whose expected run time rests on
            enough completed runs.
        finished_s: Time at which the job finished, by the owner's clock; None
            while it hasn't.
        has_started: Whether any task of the job is known to have started.
        is_cancelled: Whether the job was cancelled before it finished.
        is_failed: Whether a task has failed, or crashed workers, too often.
        recovering_until_s: Time until which no task is started, by the owner's
            clock. A previous owner may have started some, so a new owner polls
            all workers first.
        pending_tasks: Numbers of the tasks of each open step that are neither
            active nor completed.
        revision: Number of changes of the pending and completed tasks since the
            job was made or loaded; what is cached of them depends on it.
        latest_start: What `ordering.latest_start_s` returned last, with what it
            depends on.
        pending_work: The same of `expected_work.pending_work` while no task
            runs.
        is_over_rate: Whether the job was submitted beyond the agreed rate of
            its account. It isn't stored: a job that a later owner loads counts
            as within the rate.
        has_unsplit_progress: Whether the progress that previous owners stored
            is one record although it belongs to several parts.
        stored_end: How the job ended, as the store has confirmed it; None until
            then. A later owner knows only what is stored.
    """

    def __init__(
        self,
        spec: model.JobSpec,
        *,
        accepted_s: float,
        terms: model.JobTerms | None = None,
    ) -> None:
        self._spec = spec
        self.terms = terms
        self._accepted_s = accepted_s
        *firsts, total = itertools.accumulate(
            (step.tasks for step in spec.steps), initial=0
        )
        self._first_tasks = tuple(firsts)
        self._tasks_per_occurrence = total
        self.done: dict[tuple[int, int], task_numbers.TaskNumbers] = {}
        self.failed_runs: dict[model.TaskKey, set[int]] = {}
        self.crashed_runs: dict[model.TaskKey, set[int]] = {}
        self.unconfirmed_crashes: dict[model.TaskKey, set[int]] = {}
        self.suspected_s: dict[model.TaskKey, float] = {}
        self.crash_addresses: dict[model.TaskKey, set[types.Address]] = {}
        self.highest_run: dict[model.TaskKey, int] = {}
        self.max_unrecorded_run = 0
        self.checkpoints: dict[model.TaskKey, str] = {}
        self.runs: dict[model.TaskKey, list[task_runs.Run]] = {}
        self.retry_at_s: dict[model.TaskKey, float] = {}
        self.failed_workers: dict[model.TaskKey, set[str]] = {}
        self.durations_s: dict[tuple[int, int], collections.deque[float]] = {}
        self.step_times_s = tuple(
            step.estimate_ms / 1000 for step in spec.steps
        )
        self.learned_steps: frozenset[int] = frozenset()
        self.finished_s: float | None = None
        self.stored_end: Phase | None = None
        self.has_started = False
        self.is_cancelled = False
        self.is_failed = False
        self.recovering_until_s = 0.0
        self.is_over_rate = False
        self.has_unsplit_progress = False
        self.revision = 0
        self.latest_start: (
            tuple[tuple[int, tuple[float, ...], model.JobTerms], float] | None
        ) = None
        self.pending_work: (
            tuple[tuple[int, tuple[float, ...]], model.Resources] | None
        ) = None
        self._unblocked: tuple[int, list[UnblockedTasks]] | None = None
        self.pending_tasks: dict[tuple[int, int], task_numbers.TaskNumbers] = {}
        self._next_occurrence = 0
        # Steps before this one are done, in the order of occurrences.
        self._first_open_step = 0
        self._open_occurrences()

    @property
    def spec(self) -> model.JobSpec:
        """The accepted job."""
        return self._spec

    @property
    def first_tasks(self) -> tuple[int, ...]:
        """How many tasks of an occurrence precede each of its steps."""
        return self._first_tasks

    @property
    def tasks_per_occurrence(self) -> int:
        """Number of tasks of one occurrence, over all steps."""
        return self._tasks_per_occurrence

    @property
    def accepted_s(self) -> float:
        """Time at which the job was accepted, by the owner's clock."""
        return self._accepted_s

    @property
    def is_finished(self) -> bool:
        """Whether the job was completed, cancelled or has failed.

        No further task of a finished job is started.
        """
        return self.is_cancelled or self.is_failed or self.is_completed

    @property
    def is_completed(self) -> bool:
        """Whether all tasks of all occurrences have completed."""
        # Steps are never undone, so those that are done need no second look.
        steps = len(self._spec.steps)
        total = self._spec.occurrences * steps
        while self._first_open_step < total and self.step_is_done(
            *divmod(self._first_open_step, steps)
        ):
            self._first_open_step += 1
        return self._first_open_step >= total

    @property
    def has_pending(self) -> bool:
        """Whether any task of an open step is neither active nor completed."""
        return any(self.pending_tasks.values())

    @property
    def phase(self) -> Phase:
        """State of the job as its owner knows it; completion comes first."""
        if self.is_completed:
            return Phase.COMPLETED
        if self.is_cancelled:
            return Phase.CANCELLED
        if self.is_failed:
            return Phase.FAILED
        return Phase.RUNNING if self.has_started else Phase.QUEUED

    @property
    def confirmed_phase(self) -> Phase:
        """State of the job that callers may be told, whoever owns it next."""
        if not self.is_finished:
            return self.phase
        if self.stored_end is not None:
            return self.stored_end
        return Phase.RUNNING if self.has_started else Phase.QUEUED

    @property
    def is_end_stored(self) -> bool:
        """Whether the job has finished and the store has confirmed how."""
        return self.is_finished and self.stored_end is self.phase

    def step(self, task: model.TaskKey) -> model.Step:
        """Returns the step of a task, which must exist."""
        return self._spec.steps[task.step]

    def has_task(self, task: model.TaskKey) -> bool:
        """Returns whether the task's numbers are within the job's spec."""
        return (
            0 <= task.occurrence < self._spec.occurrences
            and 0 <= task.step < len(self._spec.steps)
            and 0 <= task.number < self._spec.steps[task.step].tasks
        )

    def is_done(self, task: model.TaskKey) -> bool:
        """Returns whether a run of the task has completed."""
        return task.number in self.done.get((task.occurrence, task.step), ())

    def step_is_done(self, occurrence: int, number: int) -> bool:
        """Returns whether all tasks of a step have completed."""
        done = self.done.get((occurrence, number), ())
        return len(done) >= self._spec.steps[number].tasks

    def unblocked_tasks(self) -> list[UnblockedTasks]:
        """Returns the pending tasks that no other step blocks, by step.

        They are looked up for all waiting jobs every 100 ms, and change much
        less often.
        """
        if self._unblocked is None or self._unblocked[0] != self.revision:
            unblocked = [
                UnblockedTasks(occurrence, number, indexes.copy())
                for (occurrence, number), indexes in self.pending_tasks.items()
                if indexes
                and all(
                    self.step_is_done(occurrence, earlier)
                    for earlier in self._spec.steps[number].depends_on
                )
            ]
            self._unblocked = self.revision, unblocked
        return self._unblocked[1]

    def active_runs(self) -> abc.Iterator[task_runs.Run]:
        """Yields all runs that may still be on a worker."""
        for runs in self.runs.values():
            yield from runs

    def next_run_number(self, task: model.TaskKey) -> int:
        """Returns the number for the task's next run.

        All members of a gang use the same run number.
        """
        if not self.step(task).gang:
            return 1 + max(
                self.max_unrecorded_run, self.highest_run.get(task, 0)
            )
        return 1 + max(
            max(
                self.max_unrecorded_run,
                self.highest_run.get(task._replace(number=number), 0),
            )
            for number in range(self.step(task).tasks)
        )

    def checkpoint_for(self, task: model.TaskKey) -> str:
        """Returns the checkpoint for a new run, or "" if it has none.

        All members of a gang must resume from the same checkpoint, whichever
        of them reported it.
        """
        if not self.step(task).checkpointing:
            return ""
        if not self.step(task).gang:
            return self.checkpoints.get(task, "")
        return max(
            self.checkpoints.get(task._replace(number=number), "")
            for number in range(self.step(task).tasks)
        )

    def add_failed_worker(self, task: model.TaskKey, worker_id: str) -> bool:
        """Records that a run of the task failed on a worker.

        Returns:
            Whether the worker may be at fault, as the job hasn't failed on any
            other worker.
        """
        self.failed_workers.setdefault(task, set()).add(worker_id)
        return set().union(*self.failed_workers.values()) == {worker_id}

    def relative_duration(
        self, task: model.TaskKey, duration_s: float
    ) -> float | None:
        """Returns a duration divided by the median of its step.

        Returns:
            The ratio, or None with fewer than `MIN_DURATION_SAMPLES` samples.
        """
        known = self.durations_s.get((task.occurrence, task.step), ())
        if len(known) < MIN_DURATION_SAMPLES:
            return None
        return duration_s / max(0.001, statistics.median(known))

    def record_duration(self, task: model.TaskKey, duration_s: float) -> None:
        """Records the duration of a completed run."""
        key = task.occurrence, task.step
        self.durations_s.setdefault(
            key, collections.deque(maxlen=MAX_DURATION_SAMPLES)
        ).append(duration_s)

    def add_run(self, run: task_runs.Run) -> None:
        """Adds a run that was started or discovered on a worker."""
        task = run.task
        self.revision += 1
        self.runs.setdefault(task, []).append(run)
        self.highest_run[task] = max(self.highest_run.get(task, 0), run.number)
        self._pending_of(task).discard(task.number)
        if run.phase is task_runs.RunPhase.RUNNING:
            self.has_started = True

    def remove_run(self, run: task_runs.Run) -> None:
        """Removes a run that is certain to have left its worker.

        Its task becomes pending again if it still has to run.
        """
        self.revision += 1
        runs = self.runs.get(run.task, [])
        if run in runs:
            runs.remove(run)
        if not runs:
            self.runs.pop(run.task, None)
            if not self.is_done(run.task) and not self.is_finished:
                self._pending_of(run.task).add(run.task.number)

    def apply_run_end(
        self, end: task_runs.RunEnd, max_attempts: int, now_s: float
    ) -> bool:
        """Applies the end of a run that a worker reported.

        Args:
            end: The end of the run.
            max_attempts: Failed runs of one task after which the job fails.
            now_s: Time of the owner's clock.

        Returns:
            Whether the stored progress has changed.
        """
        task = end.run.task
        if self.is_done(task):
            return False
        self.highest_run[task] = max(
            self.highest_run.get(task, 0), end.run.number
        )
        if end.checkpoint:
            self.checkpoints[task] = end.checkpoint
        if (
            end.kind is task_runs.EndKind.DONE
            and not self.step(task).long_running
        ):
            self._apply_success(task, now_s)
            return True
        if end.kind is task_runs.EndKind.FAILED:
            return self._apply_failure(end, max_attempts, now_s)
        return False

    def _apply_success(self, task: model.TaskKey, now_s: float) -> None:
        self.revision += 1
        key = task.occurrence, task.step
        if self.step(task).gang:
            self._add_done(key, range(self.step(task).tasks))
        else:
            self._add_done(key, (task.number,))
        self.has_started = True
        if self.is_completed:
            self.finished_s = now_s
        self._open_occurrences()

    def restore_done(
        self, key: tuple[int, int], numbers: abc.Iterable[int]
    ) -> None:
        """Adds completed tasks of a step, as a previous owner stored them."""
        self.revision += 1
        self.has_started = True
        self._add_done(key, numbers)
        self._open_occurrences()

    def _add_done(
        self, key: tuple[int, int], numbers: abc.Iterable[int]
    ) -> None:
        """Counts tasks as completed, and forgets what is kept to run them."""
        pending = self.pending_tasks.get(key)
        done = self.done.setdefault(key, task_numbers.TaskNumbers())
        for number in numbers:
            done.add(number)
            if pending is not None:
                pending.discard(number)
            task = model.TaskKey(*key, number)
            self.highest_run.pop(task, None)
            self.checkpoints.pop(task, None)

    def _pending_of(self, task: model.TaskKey) -> task_numbers.TaskNumbers:
        """Returns the pending tasks of a task's step; opens it if need be.

        A previous owner may have started tasks of later occurrences.
        """
        while task.occurrence >= self._next_occurrence:
            self._open_occurrence()
        # A step that was done is closed.
        return self.pending_tasks.get(
            (task.occurrence, task.step), task_numbers.TaskNumbers()
        )

    def _open_occurrences(self) -> None:
        """Opens the next occurrences as far as the open steps leave room."""
        if self.is_cancelled or self.is_failed:
            return
        steps = len(self._spec.steps)
        allowed = max(MAX_OPEN_STEPS, steps) - steps
        while self._next_occurrence < self._spec.occurrences:
            if len(self.pending_tasks) > allowed:
                self._close_done_steps()
            if len(self.pending_tasks) > allowed:
                return
            self._open_occurrence()

    def _open_occurrence(self) -> None:
        """Makes all tasks of the next occurrence pending."""
        self.revision += 1
        for number, step in enumerate(self._spec.steps):
            key = self._next_occurrence, number
            pending = task_numbers.TaskNumbers(range(step.tasks))
            pending -= self.done.get(key, task_numbers.TaskNumbers())
            self.pending_tasks[key] = pending
        self._next_occurrence += 1

    def _close_done_steps(self) -> None:
        """Forgets the open steps that are done."""
        for key in [
            key for key in self.pending_tasks if self.step_is_done(*key)
        ]:
            del self.pending_tasks[key]

    def _apply_failure(
        self, end: task_runs.RunEnd, max_attempts: int, now_s: float
    ) -> bool:
        task = end.run.task
        if self.step(task).long_running:
            return False
        if self.step(task).gang:
            # A failure of any member is a failure of the whole gang, counted
            # once for each run number.
            task = task._replace(number=0)
        failed = self.failed_runs.setdefault(task, set())
        if end.run.number in failed:
            return False
        failed.add(end.run.number)
        self.has_started = True
        if len(failed) >= max_attempts:
            self.give_up(now_s)
        return True

    def give_up(self, now_s: float) -> None:
        """Fails the job unless it has finished."""
        if not self.is_finished:
            self.is_failed = True
            self.finished_s = now_s
            self._clear_pending_tasks()

    def cancel(self, now_s: float) -> None:
        """Cancels the job unless it has finished."""
        if not self.is_finished:
            self.is_cancelled = True
            self.finished_s = now_s
            self._clear_pending_tasks()

    def _clear_pending_tasks(self) -> None:
        self.revision += 1
        for indexes in self.pending_tasks.values():
            indexes.clear()
