"""Stored records of a job: spec, terms and progress, as MessagePack.

Spec and terms are written once. The progress is small and each record replaces
the previous one. All are keyed by job, so log compaction keeps the newest of
each. Earlier builds skip the terms and reject a spec with further fields.
"""

from collections import abc
import typing

import msgspec

from chervillead import error_texts
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import validation

SPEC_PREFIX = "j"
PROGRESS_PREFIX = "p"
TERMS_PREFIX = "t"


_Value = typing.TypeVar("_Value")


class TaskProgress(typing.NamedTuple):
    """Stored progress of one task that hasn't completed.

    Attributes:
        task: The task.
        failed_runs: Numbers of its failed runs.
        highest_run: Highest number of any known run.
        checkpoint: Newest known checkpoint; empty for none.
        crashed_runs: Numbers of its runs whose worker crashed, or may crash
            before the next record.
    """

    task: model.TaskKey
    failed_runs: tuple[int, ...]
    highest_run: int
    checkpoint: str
    crashed_runs: tuple[int, ...] = ()


class StepProgress(typing.NamedTuple):
    """Completed tasks of one step.

    Attributes:
        occurrence: Number of the occurrence.
        step: Number of the step.
        done: Bitmap in little-endian order; task n is bit n.
    """

    occurrence: int
    step: int
    done: bytes


class Progress(typing.NamedTuple):
    """Stored state of a job, except its spec.

    Attributes:
        steps: Steps with completed tasks.
        tasks: Tasks that have had runs but haven't completed.
        is_cancelled: Whether the job was cancelled.
        is_failed: Whether the job has failed.
    """

    steps: tuple[StepProgress, ...]
    tasks: tuple[TaskProgress, ...]
    is_cancelled: bool
    is_failed: bool


class MalformedRecordError(Exception):
    """A stored value that describes no job, or no progress of its job."""

    def __init__(self, detail: str) -> None:
        super().__init__(error_texts.shorten_text(detail))


_spec_decoder = msgspec.msgpack.Decoder(model.JobSpec)
_terms_decoder = msgspec.msgpack.Decoder(model.JobTerms)
_progress_decoder = msgspec.msgpack.Decoder(Progress)
_encoder = msgspec.msgpack.Encoder()


def spec_key(job_id: str) -> str:
    """Returns the key of the record of a job's spec."""
    return SPEC_PREFIX + job_id


def progress_key(job_id: str) -> str:
    """Returns the key of the record of a job's progress."""
    return PROGRESS_PREFIX + job_id


def terms_key(job_id: str) -> str:
    """Returns the key of the record of a job's terms."""
    return TERMS_PREFIX + job_id


def encode_terms(terms: model.JobTerms) -> bytes:
    """Returns the value of the record of a job's terms."""
    return _encoder.encode(terms)


def decode_terms(value: bytes) -> model.JobTerms:
    """Returns the terms in the value of a record.

    Raises:
        MalformedRecordError: The value isn't encoded terms.
    """
    return _decode(_terms_decoder, value)


def encode_spec(spec: model.JobSpec) -> bytes:
    """Returns the value of the record of a spec."""
    return _encoder.encode(spec)


def decode_spec(value: bytes) -> model.JobSpec:
    """Returns the spec in the value of a record.

    Raises:
        MalformedRecordError: The value isn't an encoded, valid spec.
    """
    spec = _decode(_spec_decoder, value)
    problem = next(validation.find_errors(spec), None)
    if problem is not None:
        raise MalformedRecordError(problem)
    return spec


def _decode(decoder: msgspec.msgpack.Decoder[_Value], value: bytes) -> _Value:
    try:
        return decoder.decode(value)
    # Deeply nested values exceed the recursion limit.
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedRecordError(str(error)) from error


def encode_progress(job: job_state.JobState) -> bytes:
    """Returns the value of the record of a job's progress."""
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
            tuple(
                sorted(
                    job.crashed_runs.get(task, set())
                    | job.unconfirmed_crashes.get(task, set())
                )
            ),
        )
        for task, highest in sorted(job.highest_run.items())
        if not job.is_done(task) and not job.is_finished
    )
    return _encoder.encode(
        Progress(steps, tasks, job.is_cancelled, job.is_failed)
    )


def apply_progress(job: job_state.JobState, value: bytes, now_s: float) -> None:
    """Restores the progress of a job from the value of its record.

    Args:
        job: The job, as created from its spec.
        value: Value of the record.
        now_s: Time of the owner's clock; taken as the time at which a finished
            job finished, since that isn't stored.

    Raises:
        MalformedRecordError: The value isn't encoded progress of this job.
    """
    progress = _decode(_progress_decoder, value)
    for step in progress.steps:
        if not job.has_task(model.TaskKey(step.occurrence, step.step, 0)):
            raise _unknown_part(step)
    for task in progress.tasks:
        if not job.has_task(task.task):
            raise _unknown_part(task)
    for step in progress.steps:
        job.restore_done((step.occurrence, step.step), _from_bitmap(step.done))
    for task in progress.tasks:
        job.highest_run[task.task] = task.highest_run
        if task.failed_runs:
            job.failed_runs[task.task] = set(task.failed_runs)
        if task.crashed_runs:
            job.crashed_runs[task.task] = set(task.crashed_runs)
            job.suspected_s[task.task] = now_s
        if task.checkpoint:
            job.checkpoints[task.task] = task.checkpoint
        job.has_started = True
    if progress.is_cancelled:
        job.cancel(now_s)
    job.is_failed = progress.is_failed
    if job.is_finished:
        job.finished_s = now_s
        job.stored_end = job.phase
        for indexes in job.pending_tasks.values():
            indexes.clear()
        job.revision += 1


def _unknown_part(part: StepProgress | TaskProgress) -> MalformedRecordError:
    """Returns the error of progress that its job doesn't have."""
    return MalformedRecordError(f"the job has no {error_texts.shorten(part)}")


def _to_bitmap(indexes: abc.Collection[int]) -> bytes:
    bitmap = bytearray(max(indexes) // 8 + 1)
    for index in indexes:
        bitmap[index // 8] |= 1 << index % 8
    return bytes(bitmap)


def _from_bitmap(bitmap: bytes) -> abc.Iterator[int]:
    return (
        8 * number + bit
        for number, byte in enumerate(bitmap)
        for bit in range(8)
        if byte >> bit & 1
    )
