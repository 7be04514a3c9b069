"""Decodes the jobs that callers submit."""

import typing

import msgspec
from returns import result

from chervillead.jobs import model
from chervillead.jobs import validation
from chervillead.platform import registrations


class InvalidJob(typing.NamedTuple):
    """Why a body isn't a job."""

    detail: str


def decode_job(
    body: bytes,
    *,
    job_id: str,
    queue: model.Queue,
    account: str,
    now_unix_ms: int,
) -> result.Result[model.JobSpec, InvalidJob]:
    """Returns the job in a body, or what is wrong with it."""
    try:
        fields = msgspec.json.decode(body)
        spec = model.JobSpec(
            job_id=job_id,
            queue=queue.name,
            pool=queue.pool,
            account=account,
            payload=_typed(fields.get("Spec", ""), str, "Spec"),
            steps=tuple(
                _decode_step(number, step)
                for number, step in enumerate(fields["Phases"])
            ),
            schedule=model.Schedule(
                _whole(fields, "RepeatCount"),
                _whole(fields, "StartTimeMs"),
                _whole(fields, "IntervalMs"),
            ),
            accepted_unix_ms=now_unix_ms,
        )
    except KeyError as error:
        return result.Failure(InvalidJob(f"field {error.args[0]} is missing"))
    except (msgspec.DecodeError, AttributeError, TypeError) as error:
        return result.Failure(InvalidJob(str(error)))
    problem = next(validation.problems(spec), None)
    return (
        result.Failure(InvalidJob(problem)) if problem else result.Success(spec)
    )


def _decode_step(number: int, fields: dict[str, typing.Any]) -> model.Step:
    if not isinstance(fields, dict):
        raise TypeError(f"step {number} is {fields!r}, not a table")
    return model.Step(
        tasks=_whole(fields, "Count"),
        size=registrations.decode_resources(fields),
        estimate_ms=_whole(fields, "EstimateMs"),
        after=tuple(
            _typed(earlier, int, "After") for earlier in fields.get("After", ())
        ),
        checkpointing=_flag(fields, "Checkpointing"),
        gang=_flag(fields, "Gang"),
        same_rack=_flag(fields, "SameRack"),
        # A single label, despite the plural.
        required_label=_typed(fields.get("Requirements", ""), str, "label"),
        # The rack where the data is, not a preference among tasks.
        data_rack=_typed(fields.get("Affinity", ""), str, "Affinity"),
        # Most tasks of the step on one worker, not a label to avoid.
        max_per_worker=_whole(fields, "AntiAffinity"),
        speculative=_flag(fields, "Speculative"),
        long_running=_flag(fields, "LongRunning"),
        image=_typed(fields.get("Image", ""), str, "Image"),
        latency_target_ms=_whole(fields, "TargetMs"),
        fills=_flag(fields, "Fills"),
        max_unavailable=(
            _whole(fields, "MayMiss") if "MayMiss" in fields else None
        ),
    )


def _typed(value: typing.Any, expected: type, name: str) -> typing.Any:
    if not isinstance(value, expected):
        raise TypeError(f"{name} is {value!r}, not a {expected.__name__}")
    return value


def _whole(fields: dict[str, typing.Any], name: str) -> int:
    value = fields.get(name, 0)
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{name} is {value!r}, not a whole number")
    return value


def _flag(fields: dict[str, typing.Any], name: str) -> bool:
    return bool(_typed(fields.get(name, False), bool, name))
