"""State of one job and the legal changes of it.

What lasts of a job is its spec and its progress: ends that count, cancelling
and failure. Runs belong to the owner's memory; a new owner learns of them by
looking at the workers.
"""

from collections import abc
import enum
import statistics

from chervillead.jobs import model
from chervillead.jobs import task_runs

# Runs of a step that must have ended before their median says anything.
MIN_DURATION_SAMPLES = 3


class Phase(enum.Enum):
    """What callers are shown."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class JobState:
    """One job: its spec, its progress and the runs under way."""

    def __init__(self, spec: model.JobSpec, *, accepted_s: float) -> None:
        self._spec = spec
        self._received_s = accepted_s
        self.done: dict[tuple[int, int], set[int]] = {}
        self.failed_runs: dict[model.TaskKey, set[int]] = {}
        self.highest_run: dict[model.TaskKey, int] = {}
        # Former owners may have started unrecorded runs up to this number.
        self.max_unrecorded_run = 0
        self.checkpoints: dict[model.TaskKey, str] = {}
        self.runs: dict[model.TaskKey, list[task_runs.Run]] = {}
        self.retry_at_s: dict[model.TaskKey, float] = {}
        # Workers on which runs of a task failed, and of the job at all.
        self.failed_workers: dict[model.TaskKey, set[str]] = {}
        self.durations_s: dict[tuple[int, int], list[float]] = {}
        self.finished_s: float | None = None
        self.has_started = False
        self.is_cancelled = False
        self.is_failed = False
        # Tasks of a job that a former owner may have started wait until this
        # time or until all workers have been looked at.
        self.recovering_until_s = 0.0
        self.pending_tasks: dict[tuple[int, int], set[int]] = {
            (occurrence, number): set(range(step.tasks))
            for occurrence in range(spec.occurrences)
            for number, step in enumerate(spec.steps)
        }

    @property
    def spec(self) -> model.JobSpec:
        """The job as it was accepted."""
        return self._spec

    @property
    def accepted_s(self) -> float:
        """Time of the owner's clock at which the job was accepted."""
        return self._received_s

    @property
    def is_finished(self) -> bool:
        """Whether no task of the job will be started any more."""
        return self.is_cancelled or self.is_failed or self.is_completed

    @property
    def is_completed(self) -> bool:
        """Whether all tasks have ended as done."""
        return all(
            len(self.done.get((occurrence, number), ())) >= step.tasks
            for occurrence in range(self._spec.occurrences)
            for number, step in enumerate(self._spec.steps)
        )

    @property
    def phase(self) -> Phase:
        """What callers are shown."""
        if self.is_completed:
            return Phase.COMPLETED
        if self.is_cancelled:
            return Phase.CANCELLED
        if self.is_failed:
            return Phase.FAILED
        return Phase.RUNNING if self.has_started else Phase.QUEUED

    def step(self, task: model.TaskKey) -> model.Step:
        """Returns the step of a task."""
        return self._spec.steps[task.step]

    def has_task(self, task: model.TaskKey) -> bool:
        """Returns whether the job has such a task."""
        return (
            0 <= task.occurrence < self._spec.occurrences
            and 0 <= task.step < len(self._spec.steps)
            and 0 <= task.number < self._spec.steps[task.step].tasks
        )

    def is_done(self, task: model.TaskKey) -> bool:
        """Returns whether a run of the task has ended as done."""
        return task.number in self.done.get((task.occurrence, task.step), ())

    def step_is_done(self, occurrence: int, number: int) -> bool:
        """Returns whether all tasks of a step have ended as done."""
        done = self.done.get((occurrence, number), ())
        return len(done) >= self._spec.steps[number].tasks

    def active_runs(self) -> abc.Iterator[task_runs.Run]:
        """Yields all runs that may be on a worker."""
        for runs in self.runs.values():
            yield from runs

    def next_run_number(self, task: model.TaskKey) -> int:
        """Returns the number of the task's next run.

        All members of a gang share the number of a run.
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
        """Returns the checkpoint that a new run resumes from.

        All members of a gang must carry the same one, whichever reported it.
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
        """Notes that a run failed on a worker.

        Returns:
            Whether the worker may be at fault: no other one failed this job.
        """
        self.failed_workers.setdefault(task, set()).add(worker_id)
        return set().union(*self.failed_workers.values()) == {worker_id}

    def relative_duration(
        self, task: model.TaskKey, duration_s: float
    ) -> float | None:
        """Returns a duration as a factor of the usual one of its step."""
        known = self.durations_s.get((task.occurrence, task.step), [])
        if len(known) < MIN_DURATION_SAMPLES:
            return None
        return duration_s / max(0.001, statistics.median(known))

    def record_duration(self, task: model.TaskKey, duration_s: float) -> None:
        """Notes how long a run took that ended as done."""
        key = task.occurrence, task.step
        self.durations_s.setdefault(key, []).append(duration_s)

    def add_run(self, run: task_runs.Run) -> None:
        """Notes a run that was ordered or found on a worker."""
        task = run.task
        self.runs.setdefault(task, []).append(run)
        self.highest_run[task] = max(self.highest_run.get(task, 0), run.number)
        self.pending_tasks[task.occurrence, task.step].discard(task.number)
        if run.phase is task_runs.RunPhase.RUNNING:
            self.has_started = True

    def remove_run(self, run: task_runs.Run) -> None:
        """Forgets a run that certainly is on no worker any more."""
        runs = self.runs.get(run.task, [])
        if run in runs:
            runs.remove(run)
        if not runs:
            self.runs.pop(run.task, None)
            if not self.is_done(run.task) and not self.is_finished:
                key = run.task.occurrence, run.task.step
                self.pending_tasks[key].add(run.task.number)

    def apply_run_end(
        self, end: task_runs.RunEnd, max_attempts: int, now_s: float
    ) -> bool:
        """Applies the end of a run.

        Returns:
            Whether the progress that lasts has changed.
        """
        task = end.run.task
        self.highest_run[task] = max(
            self.highest_run.get(task, 0), end.run.number
        )
        if end.checkpoint:
            self.checkpoints[task] = end.checkpoint
        if self.is_done(task):
            return False
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
        key = task.occurrence, task.step
        if self.step(task).gang:
            self.done[key] = set(range(self.step(task).tasks))
            self.pending_tasks[key].clear()
        else:
            self.done.setdefault(key, set()).add(task.number)
            self.pending_tasks[key].discard(task.number)
        self.has_started = True
        if self.is_completed:
            self.finished_s = now_s

    def _apply_failure(
        self, end: task_runs.RunEnd, max_attempts: int, now_s: float
    ) -> bool:
        task = end.run.task
        if self.step(task).long_running:
            return False
        if self.step(task).gang:
            # One failure of any member is a failure of the gang.
            task = task._replace(number=0)
        failed = self.failed_runs.setdefault(task, set())
        if end.run.number in failed:
            return False
        failed.add(end.run.number)
        self.has_started = True
        if len(failed) >= max_attempts and not self.is_finished:
            self.is_failed = True
            self.finished_s = now_s
            self._clear_waiting()
        return True

    def cancel(self, now_s: float) -> None:
        """Cancels the job; an ended job stays as it is."""
        if not self.is_finished:
            self.is_cancelled = True
            self.finished_s = now_s
            self._clear_waiting()

    def _clear_waiting(self) -> None:
        for indexes in self.pending_tasks.values():
            indexes.clear()
