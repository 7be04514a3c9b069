"""Decodes the request bodies of submitted jobs."""

import typing

import msgspec
from returns import result

from chervillead.jobs import model
from chervillead.jobs import validation

# Larger numbers can't be stored, and no field means that many of anything.
MAX_INTEGER = 2**53


class InvalidJob(typing.NamedTuple):
    """Why a request body is not a valid job."""

    detail: str


def decode_job(
    body: bytes,
    *,
    job_id: str,
    queue: model.Queue,
    account: str,
    now_unix_ms: int,
) -> result.Result[model.JobSpec, InvalidJob]:
    """Returns the validated job in a request body, or the first problem."""
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
                _integer(fields, "RepeatCount"),
                _integer(fields, "StartTimeMs"),
                _integer(fields, "IntervalMs"),
            ),
            accepted_unix_ms=now_unix_ms,
        )
    except KeyError as error:
        return result.Failure(InvalidJob(f"field {error.args[0]} is missing"))
    except (
        msgspec.DecodeError,
        AttributeError,
        TypeError,
        RecursionError,
    ) as error:
        return result.Failure(InvalidJob(str(error)))
    problem = next(validation.find_errors(spec), None)
    return (
        result.Failure(InvalidJob(problem)) if problem else result.Success(spec)
    )


def _decode_step(number: int, fields: dict[str, typing.Any]) -> model.Step:
    if not isinstance(fields, dict):
        raise TypeError(f"step {number} is {fields!r}, not an object")
    return model.Step(
        tasks=_integer(fields, "Count"),
        size=model.Resources(
            _integer(fields, "Cpu"),
            _integer(fields, "MemMb"),
            _integer(fields, "Gpu"),
        ),
        estimate_ms=_integer(fields, "EstimateMs"),
        # A body of legal size may name one step 130,000 times.
        depends_on=tuple(
            dict.fromkeys(
                _typed(earlier, int, "After")
                for earlier in fields.get("After", ())
            )
        ),
        checkpointing=_boolean(fields, "Checkpointing"),
        gang=_boolean(fields, "Gang"),
        same_rack=_boolean(fields, "SameRack"),
        # The platform's field holds a single label, despite its plural name.
        required_label=_typed(fields.get("Requirements", ""), str, "label"),
        # The rack that holds the data; this is not affinity between tasks.
        data_rack=_typed(fields.get("Affinity", ""), str, "Affinity"),
        # The maximum of this step's tasks on one worker, not a label to avoid.
        max_per_worker=_integer(fields, "AntiAffinity"),
        speculative=_boolean(fields, "Speculative"),
        long_running=_boolean(fields, "LongRunning"),
        image=_typed(fields.get("Image", ""), str, "Image"),
        latency_target_ms=_integer(fields, "TargetMs"),
        fills=_boolean(fields, "Fills"),
        max_unavailable=(
            _integer(fields, "MayMiss") if "MayMiss" in fields else None
        ),
    )


def _typed(value: typing.Any, expected: type, name: str) -> typing.Any:
    if not isinstance(value, expected):
        raise TypeError(f"{name} is {value!r}, not a {expected.__name__}")
    return value


def _integer(fields: dict[str, typing.Any], name: str) -> int:
    value = fields.get(name, 0)
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{name} is {value!r}, not an integer")
    if abs(value) > MAX_INTEGER:
        raise TypeError(f"{name} is {value}, more than {MAX_INTEGER}")
    return value


def _boolean(fields: dict[str, typing.Any], name: str) -> bool:
    return bool(_typed(fields.get(name, False), bool, name))
