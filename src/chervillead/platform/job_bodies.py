"""Decodes the request bodies of submitted jobs.

A body is checked while it is read, and reading ends with the first problem. So
a body of legal size can't build more steps than a job may have.
"""

import typing

import msgspec
from returns import result

from chervillead import error_texts
from chervillead.jobs import model
from chervillead.jobs import validation

# Larger numbers can't be stored, and no field means that many of anything.
MAX_INTEGER = 2**53

_Integer = typing.Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]


class _TaskCount(int):
    """Number of tasks of a step, the field that each step must have."""


class _StepFields(typing.TypedDict, total=False):
    """A step of a body, with the platform's names."""

    Count: typing.Required[_TaskCount]
    Cpu: _Integer
    MemMb: _Integer
    Gpu: _Integer
    EstimateMs: _Integer
    After: list[_Integer]
    Checkpointing: bool
    Gang: bool
    SameRack: bool
    # A single label, despite its plural name.
    Requirements: str
    # The rack that holds the data; this is not affinity between tasks.
    Affinity: str
    # The maximum of this step's tasks on one worker, not a label to avoid.
    AntiAffinity: _Integer
    Speculative: bool
    LongRunning: bool
    Image: str
    TargetMs: _Integer
    Fills: bool
    MayMiss: _Integer


class _JobFields(typing.TypedDict, total=False):
    """A body, with the platform's names."""

    Spec: str
    Phases: typing.Required[list[_StepFields]]
    RepeatCount: _Integer
    StartTimeMs: _Integer
    IntervalMs: _Integer


class InvalidJob(typing.NamedTuple):
    """Why a request body is not a valid job."""

    detail: str


class _BodyReader:
    """Reads bodies and counts their steps while it does.

    msgspec checks the length of a list only after it has built all of it, but
    calls a function for each value of a type that it doesn't know.
    """

    def __init__(self) -> None:
        self._steps = 0
        self._decoder = msgspec.json.Decoder(
            _JobFields, dec_hook=self._count_step
        )

    def read(self, body: bytes) -> _JobFields:
        """Returns the fields of a body.

        Raises:
            msgspec.DecodeError: If it isn't JSON, or not of a job.
            RecursionError: If it is nested too deeply.
        """
        self._steps = 0
        return self._decoder.decode(body)

    def _count_step(self, expected: type, value: object) -> _TaskCount:
        """Returns the number of tasks of a step, and counts the step."""
        del expected
        self._steps += 1
        if self._steps > validation.MAX_STEPS:
            raise ValueError(f"job has more than {validation.MAX_STEPS} steps")
        if isinstance(value, bool) or not isinstance(value, int):
            raise TypeError(
                f"Count is {error_texts.shorten(value)}, not an integer"
            )
        if abs(value) > MAX_INTEGER:
            raise ValueError(
                f"Count is {error_texts.shorten(value)}, more than "
                f"{MAX_INTEGER}"
            )
        return _TaskCount(value)


_reader = _BodyReader()


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
        fields = _reader.read(body)
    # Deeply nested values exceed the recursion limit, even in unknown fields.
    except (msgspec.DecodeError, RecursionError) as error:
        return result.Failure(InvalidJob(error_texts.shorten_text(str(error))))
    spec = model.JobSpec(
        job_id=job_id,
        queue=queue.name,
        pool=queue.pool,
        account=account,
        payload=fields.get("Spec", ""),
        steps=tuple(map(_step, fields["Phases"])),
        schedule=model.Schedule(
            fields.get("RepeatCount", 0),
            fields.get("StartTimeMs", 0),
            fields.get("IntervalMs", 0),
        ),
        accepted_unix_ms=now_unix_ms,
    )
    problem = next(validation.find_errors(spec), None)
    return (
        result.Failure(InvalidJob(problem)) if problem else result.Success(spec)
    )


def _step(fields: _StepFields) -> model.Step:
    return model.Step(
        tasks=int(fields["Count"]),
        size=model.Resources(
            fields.get("Cpu", 0), fields.get("MemMb", 0), fields.get("Gpu", 0)
        ),
        estimate_ms=fields.get("EstimateMs", 0),
        # A body of legal size may name one step 130,000 times.
        depends_on=tuple(dict.fromkeys(fields.get("After", ()))),
        checkpointing=fields.get("Checkpointing", False),
        gang=fields.get("Gang", False),
        same_rack=fields.get("SameRack", False),
        required_label=fields.get("Requirements", ""),
        data_rack=fields.get("Affinity", ""),
        max_per_worker=fields.get("AntiAffinity", 0),
        speculative=fields.get("Speculative", False),
        long_running=fields.get("LongRunning", False),
        image=fields.get("Image", ""),
        latency_target_ms=fields.get("TargetMs", 0),
        fills=fields.get("Fills", False),
        max_unavailable=fields.get("MayMiss"),
    )
