"""Stored records of a job: spec, terms and progress, as MessagePack.

Spec and terms are written once. The progress is stored in parts of bounded size
(see `progress_parts`), and each record replaces the previous one of its part.
All are keyed by job, so log compaction keeps the newest of each. Earlier builds
skip the terms, reject a spec with further fields, and know only the first part;
what they stored has all tasks in it.
"""

from collections import abc
import typing

import msgspec

from chervillead import error_texts
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import progress_parts
from chervillead.jobs import validation

SPEC_PREFIX = "j"
PROGRESS_PREFIX = "p"
TERMS_PREFIX = "t"
PART_SEPARATOR = "."


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
        done: Bitmap in little-endian order; bit 0 is the first task of the step
            that the part may hold.
    """

    occurrence: int
    step: int
    done: bytes


class Progress(typing.NamedTuple):
    """Stored state of a part of a job's tasks.

    Attributes:
        steps: Steps with completed tasks.
        tasks: Tasks that have had runs but haven't completed.
        is_cancelled: Whether the job was cancelled; in the first part only.
        is_failed: Whether the job has failed; in the first part only.
    """

    steps: tuple[StepProgress, ...]
    tasks: tuple[TaskProgress, ...]
    is_cancelled: bool
    is_failed: bool


class EncodedProgress(typing.NamedTuple):
    """The value of a record of progress.

    Attributes:
        value: The value.
        dropped_checkpoints: How many checkpoints it lacks, as they are too
            long.
    """

    value: bytes
    dropped_checkpoints: int


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


def progress_key(job_id: str, part: int = 0) -> str:
    """Returns the key of the record of a part of a job's progress."""
    key = PROGRESS_PREFIX + job_id
    return f"{key}{PART_SEPARATOR}{part}" if part else key


def parse_progress_key(key: str) -> tuple[str, int] | None:
    """Returns the job id and part in a key; None if it is another key."""
    if not key.startswith(PROGRESS_PREFIX):
        return None
    job_id, separator, part = key[len(PROGRESS_PREFIX) :].partition(
        PART_SEPARATOR
    )
    if not separator:
        return job_id, 0
    if not part.isdecimal():
        return None
    return job_id, int(part)


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


def encode_progress(job: job_state.JobState, part: int = 0) -> bytes:
    """Returns the value of the record of a part of a job's progress."""
    return _encoder.encode(_progress(job, part))


def encode_progress_within(
    job: job_state.JobState, part: int, max_bytes: int
) -> EncodedProgress:
    """Returns the value of the record of a part, without what is too long.

    Checkpoints may have any length. A task whose checkpoint isn't stored starts
    from its beginning if a later owner has to start it again.

    Args:
        job: The job.
        part: Number of the part.
        max_bytes: Longest value, in bytes.
    """
    progress = _progress(job, part)
    value = _encoder.encode(progress)
    if len(value) <= max_bytes:
        return EncodedProgress(value, 0)
    excess = len(value) - max_bytes
    dropped: set[model.TaskKey] = set()
    for task in sorted(progress.tasks, key=lambda task: -len(task.checkpoint)):
        if excess <= 0:
            break
        excess -= len(task.checkpoint.encode())
        dropped.add(task.task)
    tasks = tuple(
        task._replace(checkpoint="") if task.task in dropped else task
        for task in progress.tasks
    )
    value = _encoder.encode(progress._replace(tasks=tasks))
    return EncodedProgress(value, len(dropped))


def _progress(job: job_state.JobState, part: int) -> Progress:
    steps = []
    tasks: list[TaskProgress] = []
    for section in progress_parts.sections(job, part):
        done = job.done.get((section.occurrence, section.step), ())
        completed = [number for number in section.tasks if number in done]
        if completed:
            bitmap = _to_bitmap(completed, section.tasks.start)
            steps.append(StepProgress(section.occurrence, section.step, bitmap))
        if not job.is_finished:
            tasks.extend(_begun_tasks(job, section, set(completed)))
    return Progress(
        tuple(steps),
        tuple(tasks),
        job.is_cancelled and not part,
        job.is_failed and not part,
    )


def _begun_tasks(
    job: job_state.JobState,
    section: progress_parts.Section,
    completed: abc.Set[int],
) -> abc.Iterator[TaskProgress]:
    """Yields the progress of the tasks that have had runs but aren't done."""
    for number in section.tasks:
        task = model.TaskKey(section.occurrence, section.step, number)
        highest = job.highest_run.get(task)
        if highest is None or number in completed:
            continue
        yield TaskProgress(
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


def decode_progress(job: job_state.JobState, value: bytes) -> Progress:
    """Returns the progress in the value of a record.

    Args:
        job: The job, as created from its spec.
        value: Value of the record.

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
    return progress


def apply_progress(job: job_state.JobState, value: bytes, now_s: float) -> None:
    """Restores the progress of a job from the value of its only record.

    The arguments and errors are those of `decode_progress` and `apply_parts`.
    """
    apply_parts(job, {0: decode_progress(job, value)}, now_s)


def apply_parts(
    job: job_state.JobState, parts: abc.Mapping[int, Progress], now_s: float
) -> None:
    """Restores the progress of a job from all its parts.

    Args:
        job: The job, as created from its spec.
        parts: The parts, by number.
        now_s: Time of the owner's clock; taken as the time at which a finished
            job finished, since that isn't stored.
    """
    for part, progress in parts.items():
        for step in progress.steps:
            numbers = _done_numbers(job, part, step)
            job.restore_done((step.occurrence, step.step), numbers)
    for progress in parts.values():
        for task in progress.tasks:
            # A record of an earlier build may lie beside newer parts.
            if not job.is_done(task.task):
                _apply_task(job, task, now_s)
    first = parts.get(0)
    job.has_unsplit_progress = first is not None and _is_unsplit(job, first)
    if first is not None and first.is_cancelled:
        job.cancel(now_s)
    job.is_failed = first is not None and first.is_failed
    if job.is_finished:
        job.finished_s = now_s
        job.stored_end = job.phase
        for indexes in job.pending_tasks.values():
            indexes.clear()
        job.revision += 1


def _done_numbers(
    job: job_state.JobState, part: int, step: StepProgress
) -> abc.Iterable[int]:
    """Returns the numbers of the completed tasks of a step.

    The members of a gang complete together, but may lie in several parts of
    which the last ones weren't stored.
    """
    spec = job.spec.steps[step.step]
    if spec.gang:
        return range(spec.tasks) if any(step.done) else ()
    first = progress_parts.first_task(job, part, step.occurrence, step.step)
    return (first + bit for bit in _from_bitmap(step.done))


def _apply_task(
    job: job_state.JobState, task: TaskProgress, now_s: float
) -> None:
    job.highest_run[task.task] = max(
        task.highest_run, job.highest_run.get(task.task, 0)
    )
    if task.failed_runs:
        job.failed_runs.setdefault(task.task, set()).update(task.failed_runs)
    if task.crashed_runs:
        job.crashed_runs.setdefault(task.task, set()).update(task.crashed_runs)
        job.suspected_s[task.task] = now_s
    if task.checkpoint:
        job.checkpoints[task.task] = task.checkpoint
    job.has_started = True


def _is_unsplit(job: job_state.JobState, progress: Progress) -> bool:
    """Returns whether the first part holds tasks of others as well.

    Earlier builds stored all tasks of a job in one record.
    """
    tasks = [task.task for task in progress.tasks]
    tasks += [
        model.TaskKey(step.occurrence, step.step, _last_number(job, step))
        for step in progress.steps
    ]
    return any(progress_parts.part_of(job, task) > 0 for task in tasks)


def _last_number(job: job_state.JobState, step: StepProgress) -> int:
    """Returns the highest number that a bitmap of a step may contain."""
    last = job.spec.steps[step.step].tasks - 1
    return min(last, max(0, 8 * len(step.done) - 1))


def _unknown_part(part: StepProgress | TaskProgress) -> MalformedRecordError:
    """Returns the error of progress that its job doesn't have."""
    return MalformedRecordError(f"the job has no {error_texts.shorten(part)}")


def _to_bitmap(numbers: abc.Collection[int], first: int) -> bytes:
    """Returns the bitmap of some numbers, of which `first` is bit 0."""
    bitmap = bytearray((max(numbers) - first) // 8 + 1)
    for number in numbers:
        bitmap[(number - first) // 8] |= 1 << (number - first) % 8
    return bytes(bitmap)


def _from_bitmap(bitmap: bytes) -> abc.Iterator[int]:
    return (
        8 * number + bit
        for number, byte in enumerate(bitmap)
        for bit in range(8)
        if byte >> bit & 1
    )
