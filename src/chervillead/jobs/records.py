"""Records that last: a job's spec and its progress, as msgpack.

A spec is written once. Progress is small and replaced by each newer one. Both
are keyed by the job, so the newest of each stays as long as it is needed.
"""

import typing

import msgspec

from chervillead.jobs import job_state
from chervillead.jobs import model

SPEC_PREFIX = "j"
PROGRESS_PREFIX = "p"


class TaskProgress(typing.NamedTuple):
    """What lasts of one task that isn't done.

    Attributes:
        task: The task.
        failed_runs: Numbers of its runs that failed.
        highest_run: Highest number of any known run.
        checkpoint: Newest known checkpoint; empty for none.
    """

    task: model.TaskKey
    failed_runs: tuple[int, ...]
    highest_run: int
    checkpoint: str


class StepProgress(typing.NamedTuple):
    """Tasks of one step that are done, as a bitmap, lowest index first."""

    occurrence: int
    step: int
    done: bytes


class Progress(typing.NamedTuple):
    """What lasts of a job beside its spec."""

    steps: tuple[StepProgress, ...]
    tasks: tuple[TaskProgress, ...]
    is_cancelled: bool
    is_failed: bool


_spec_decoder = msgspec.msgpack.Decoder(model.JobSpec)
_progress_decoder = msgspec.msgpack.Decoder(Progress)
_encoder = msgspec.msgpack.Encoder()


def spec_key(job_id: str) -> str:
    """Returns the key of a job's spec."""
    return SPEC_PREFIX + job_id


def progress_key(job_id: str) -> str:
    """Returns the key of a job's progress."""
    return PROGRESS_PREFIX + job_id


def encode_spec(spec: model.JobSpec) -> bytes:
    """Returns the record of a spec."""
    return _encoder.encode(spec)


def decode_spec(value: bytes) -> model.JobSpec:
    """Returns the spec in a record.

    Raises:
        msgspec.DecodeError: The record holds something else.
    """
    return _spec_decoder.decode(value)


def encode_progress(job: job_state.JobState) -> bytes:
    """Returns the record of a job's progress."""
    steps = tuple(
        StepProgress(occurrence, step, _to_bitmap(indexes))
        for (occurrence, step), indexes in sorted(job.done.items())
        if indexes
    )
    tasks = tuple(
        TaskProgress(
            task,
            tuple(sorted(job.failed_runs.get(task, ()))),
            highest,
            job.checkpoints.get(task, ""),
        )
        for task, highest in sorted(job.highest_run.items())
        if not job.is_done(task) and not job.is_finished
    )
    return _encoder.encode(
        Progress(steps, tasks, job.is_cancelled, job.is_failed)
    )


def apply_progress(job: job_state.JobState, value: bytes, now_s: float) -> None:
    """Restores a job from a record of its progress.

    Raises:
        msgspec.DecodeError: The record holds something else.
    """
    progress = _progress_decoder.decode(value)
    for step in progress.steps:
        key = step.occurrence, step.step
        job.done[key] = _from_bitmap(step.done)
        job.pending_tasks[key] -= job.done[key]
        job.has_started = True
    for task in progress.tasks:
        job.highest_run[task.task] = task.highest_run
        if task.failed_runs:
            job.failed_runs[task.task] = set(task.failed_runs)
        if task.checkpoint:
            job.checkpoints[task.task] = task.checkpoint
        job.has_started = True
    if progress.is_cancelled:
        job.cancel(now_s)
    job.is_failed = progress.is_failed
    if job.is_finished:
        job.finished_s = now_s
        for indexes in job.pending_tasks.values():
            indexes.clear()


def _to_bitmap(indexes: set[int]) -> bytes:
    bits = sum(1 << index for index in indexes)
    return bits.to_bytes(max(indexes) // 8 + 1, "little")


def _from_bitmap(bitmap: bytes) -> set[int]:
    bits = int.from_bytes(bitmap, "little")
    return {index for index in range(8 * len(bitmap)) if bits >> index & 1}
