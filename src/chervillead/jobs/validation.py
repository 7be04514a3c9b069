"""Validation of job specs before they are accepted."""

from collections import abc
import re

from chervillead.jobs import model

JOB_ID = re.compile(r"[0-9a-f]{16}")
MAX_PAYLOAD_BYTES = 4000
MAX_STEPS = 1000
MAX_TASKS = 100_000


def is_job_id(text: str) -> bool:
    """Returns whether a text is a job id: 16 lower-case hexadecimal digits."""
    return JOB_ID.fullmatch(text) is not None


def find_errors(spec: model.JobSpec) -> abc.Iterator[str]:
    """Yields the errors of a job spec as texts with the value and the limit."""
    payload_bytes = len(spec.payload.encode())
    if payload_bytes > MAX_PAYLOAD_BYTES:
        yield (
            f"payload has {payload_bytes} bytes, "
            f"but may have at most {MAX_PAYLOAD_BYTES}"
        )
    if not 1 <= len(spec.steps) <= MAX_STEPS:
        yield (
            f"job has {len(spec.steps)} steps, but must have 1 to {MAX_STEPS}"
        )
    tasks = spec.occurrences * sum(step.tasks for step in spec.steps)
    if tasks > MAX_TASKS:
        yield f"job has {tasks} tasks, but may have at most {MAX_TASKS}"
    for number, step in enumerate(spec.steps):
        yield from _step_errors(number, step)


def _step_errors(number: int, step: model.Step) -> abc.Iterator[str]:
    if step.tasks < 1:
        yield f"step {number} has {step.tasks} tasks, but must have at least 1"
    if min(step.size) < 0:
        yield (
            f"step {number} requests {tuple(step.size)}; none may be negative"
        )
    for earlier in step.depends_on:
        if not 0 <= earlier < number:
            yield (
                f"step {number} depends on step {earlier}, not an earlier one"
            )
