"""Names of tasks on the wire, and the responses of the platform's runners."""

import typing

import msgspec
from returns import pipeline
from returns import result

from chervillead import error_texts
from chervillead.jobs import model
from chervillead.jobs import task_runs
from chervillead.platform import wire
from chervillead.workers import interface

_END_KINDS = {
    "done": task_runs.EndKind.DONE,
    "failed": task_runs.EndKind.FAILED,
    "stopped": task_runs.EndKind.STOPPED,
    "lapsed": task_runs.EndKind.LEASE_EXPIRED,
    "broken": task_runs.EndKind.GANG_BROKEN,
    "alone": task_runs.EndKind.GANG_INCOMPLETE,
}


# A response lists at most this many ended runs.
MAX_LISTED_ENDS = 500


class ReplyFields(typing.TypedDict, total=False):
    """Fields of the response to a command."""

    ClockMs: wire.Count
    Reason: str


_Row = list[str | int | float | None]


class _StatusFields(typing.TypedDict):
    ClockMs: wire.Count
    # Start time of the process; it differs after a restart.
    born: typing.NotRequired[wire.Count]
    Running: typing.NotRequired[list[_Row] | None]
    Ended: typing.NotRequired[list[_Row] | None]


_reply_decoder = msgspec.json.Decoder(ReplyFields)
_status_decoder = msgspec.json.Decoder(_StatusFields)


def task_name(run: task_runs.RunKey) -> str:
    """Returns the wire name of a run's task: job.occurrence.step.number."""
    task = run.task
    return f"{run.job_id}.{task.occurrence}.{task.step}.{task.number}"


def parse_task_name(name: object, run: object) -> task_runs.RunKey:
    """Returns the run with a task's wire name and a run number.

    Raises:
        TypeError: The name is no text, or the run no integer.
        ValueError: The name does not have the form of `task_name`.
    """
    job_id, *numbers = _text(name).split(".")
    occurrence, step, number = map(int, numbers)
    task = model.TaskKey(occurrence, step, number)
    return task_runs.RunKey(job_id, task, _integer(run))


def decode_reply(body: bytes) -> result.Result[ReplyFields, wire.Malformed]:
    """Returns the fields of the response to a command, or why not."""
    return wire.decode(_reply_decoder, body or b"{}")


def decode_status(
    body: bytes,
) -> result.Result[interface.WorkerStatus, wire.Malformed]:
    """Returns the status in the response to a poll, or why there is none."""
    decoded = wire.decode(_status_decoder, body)
    if not pipeline.is_successful(decoded):
        return result.Failure(decoded.failure())
    try:
        return result.Success(_status(decoded.unwrap()))
    except (TypeError, ValueError, IndexError) as error:
        return result.Failure(wire.malformed(repr(error)))


def _status(fields: _StatusFields) -> interface.WorkerStatus:
    ended = tuple(map(_ended, fields.get("Ended") or ()))
    return interface.WorkerStatus(
        clock_ms=fields["ClockMs"],
        incarnation=fields.get("born", 0),
        running=tuple(map(_running, fields.get("Running") or ())),
        ended=ended,
        has_more_ends=len(ended) >= MAX_LISTED_ENDS,
    )


def _running(row: _Row) -> interface.RunStatus:
    return interface.RunStatus(
        parse_task_name(row[0], row[1]),
        _text(row[2] or ""),
        _whole(row[3]),
        _whole(row[4]) if len(row) > 4 else 0,
    )


def _ended(row: _Row) -> interface.EndedRun:
    kind = _END_KINDS.get(_text(row[3]))
    if kind is None:
        raise ValueError(f"unknown end {error_texts.shorten(row[3])}")
    return interface.EndedRun(
        _integer(row[0]),
        task_runs.RunEnd(
            parse_task_name(row[1], row[2]), kind, _text(row[4] or "")
        ),
    )


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{error_texts.shorten(value)} is not a text")
    return value


def _integer(value: object) -> int:
    if not isinstance(value, int):
        raise TypeError(f"{error_texts.shorten(value)} is not an integer")
    return value


def _whole(value: object) -> int:
    """Returns a number without its fraction."""
    if not isinstance(value, int | float):
        raise TypeError(f"{error_texts.shorten(value)} is not a number")
    return int(value)
