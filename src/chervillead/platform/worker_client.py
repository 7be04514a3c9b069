"""Calls to the platform's runners, which the project calls workers."""

from collections import abc
import typing

import msgspec
from returns import pipeline
from returns import result

from chervillead import http_connection
from chervillead import http_exchange
from chervillead import verdicts
from chervillead.jobs import model
from chervillead.jobs import task_runs
from chervillead.workers import interface

# A worker answers an order within milliseconds; one whose answer is lost
# returns nothing further on that connection.
ORDER_TIMEOUT_S = 0.4
LOOK_TIMEOUT_S = 0.5

_END_KINDS = {
    "done": task_runs.EndKind.DONE,
    "failed": task_runs.EndKind.FAILED,
    "stopped": task_runs.EndKind.STOPPED,
    "lapsed": task_runs.EndKind.LEASE_EXPIRED,
    "broken": task_runs.EndKind.GANG_BROKEN,
    "alone": task_runs.EndKind.GANG_INCOMPLETE,
}
_REFUSED = {
    "fence": interface.RejectionReason.FENCED,
    "old": interface.RejectionReason.OUTDATED_RUN,
    "late": interface.RejectionReason.LATE,
    "room": interface.RejectionReason.NO_ROOM,
    "ticket": interface.RejectionReason.BAD_TICKET,
}
_STATUS_REFUSED = {
    400: interface.RejectionReason.INVALID,
    421: interface.RejectionReason.OTHER_INSTANCE,
    429: interface.RejectionReason.UNHEALTHY,
    503: interface.RejectionReason.UNHEALTHY,
}


def task_name(run: task_runs.RunKey) -> str:
    """Returns the name of a run's task on the wire."""
    task = run.task
    return f"{run.job_id}.{task.occurrence}.{task.step}.{task.number}"


def parse_task_name(name: str, run: int) -> task_runs.RunKey:
    """Returns the run of a task name and a run number.

    Raises:
        ValueError: The name isn't one of a task.
    """
    job_id, occurrence, step, index = name.split(".")
    task = model.TaskKey(int(occurrence), int(step), int(index))
    return task_runs.RunKey(job_id, task, run)


def connect_workers(
    increment: abc.Callable[..., None],
    *,
    dial: http_exchange.Dial = http_exchange.dial,
) -> interface.OpenWorker:
    """Returns the function that opens calls to a worker."""

    def open_worker(
        registration: interface.Registration, token: int
    ) -> interface.WorkerCalls:
        return _open(registration, token, increment, dial)

    return open_worker


def _open(
    registration: interface.Registration,
    token: int,
    increment: abc.Callable[..., None],
    dial: http_exchange.Dial,
) -> interface.WorkerCalls:
    looks = http_connection.HttpConnection(registration.address, dial=dial)
    orders = http_connection.HttpConnectionPool(registration.address, dial=dial)
    headers = (
        ("content-type", "application/json"),
        ("expect-instance", registration.worker_id),
    )

    def encode(path: str, **fields: object) -> http_exchange.HttpRequest:
        fields["FencingToken"] = token
        return http_exchange.HttpRequest(
            "POST", path, headers, msgspec.json.encode(fields)
        )

    async def look(
        order: interface.PollRequest,
    ) -> result.Result[interface.WorkerStatus, interface.WorkerCallFailure]:
        # A worker that came back under its id numbers its ends anew. On a new
        # connection nothing is acknowledged until the answer has told which
        # life of it this is.
        fields: dict[str, object] = {
            "LastSeen": order.acknowledged_end if looks.is_open else 0
        }
        if order.lease_until_clock_ms is not None:
            fields["DeadlineMs"] = order.lease_until_clock_ms
        if order.wait_ms:
            fields["WaitMs"] = order.wait_ms
        outcome = await looks.call(
            encode("/hold", **fields), LOOK_TIMEOUT_S + order.wait_ms / 1000
        )
        reply = _checked(outcome, "/hold", increment)
        if not pipeline.is_successful(reply):
            return result.Failure(reply.failure())
        try:
            return result.Success(_decode_look(reply.unwrap()))
        except (KeyError, TypeError, ValueError, IndexError) as error:
            looks.close()
            return result.Failure(_malformed("/hold", error))

    async def order(path: str, **fields: object) -> interface.CommandOutcome:
        outcome = await orders.call(encode(path, **fields), ORDER_TIMEOUT_S)
        return _checked(outcome, path, increment).map(
            lambda found: int(found.get("ClockMs", 0))
        )

    async def start(start: interface.StartCommand) -> interface.CommandOutcome:
        fields: dict[str, object] = {
            "Task": task_name(start.run),
            "Run": start.run.number,
            "Spec": start.payload,
            "DeadlineMs": start.start_by_clock_ms,
        }
        if start.checkpoint:
            fields["Checkpoint"] = start.checkpoint
        if start.ticket:
            fields["Ticket"] = start.ticket
        return await order("/run-start", **fields)

    async def stop(run: task_runs.RunKey) -> interface.CommandOutcome:
        return await order("/run-stop", Task=task_name(run), Run=run.number)

    async def pace(
        run: task_runs.RunKey, percent: int
    ) -> interface.CommandOutcome:
        return await order(
            "/pace", Task=task_name(run), Run=run.number, Percent=percent
        )

    def close() -> None:
        looks.close()

    return interface.WorkerCalls(look, start, stop, pace, close)


def _checked(
    outcome: http_connection.CallOutcome,
    path: str,
    increment: abc.Callable[..., None],
) -> result.Result[dict[str, typing.Any], interface.WorkerCallFailure]:
    """Returns the fields of an answer with status 200."""
    if not pipeline.is_successful(outcome):
        failure = outcome.failure()
        increment("chervillead_worker_calls", path, "unanswered")
        return result.Failure(
            interface.WorkerCallFailure(failure.verdict, failure.detail)
        )
    response = outcome.unwrap()
    increment("chervillead_worker_calls", path, str(response.status))
    try:
        fields = msgspec.json.decode(response.body) if response.body else {}
    except msgspec.DecodeError as error:
        return result.Failure(_malformed(path, error))
    if response.status == 200:
        return result.Success(fields)
    return result.Failure(_refusal(path, response.status, fields))


def _refusal(
    path: str, status: int, fields: dict[str, typing.Any]
) -> interface.WorkerCallFailure:
    reason = fields.get("Reason")
    refused = (
        _REFUSED.get(str(reason), interface.RejectionReason.INVALID)
        if status == 409
        else _STATUS_REFUSED.get(status)
    )
    clock_ms = fields.get("ClockMs")
    return interface.WorkerCallFailure(
        verdicts.Verdict.MAY_HAVE_RUN
        if refused is None
        else verdicts.Verdict.NOT_RUN,
        f"{path}: {status} {reason}",
        refused,
        clock_ms if isinstance(clock_ms, int) else None,
    )


def _malformed(path: str, error: Exception) -> interface.WorkerCallFailure:
    return interface.WorkerCallFailure(
        verdicts.Verdict.MAY_HAVE_RUN, f"{path}: malformed answer: {error!r}"
    )


def _decode_look(fields: dict[str, typing.Any]) -> interface.WorkerStatus:
    return interface.WorkerStatus(
        clock_ms=int(fields["ClockMs"]),
        # Start of the process; a worker that started again has another one.
        incarnation=int(fields.get("born", 0)),
        running=tuple(
            interface.RunStatus(
                parse_task_name(row[0], row[1]),
                row[2] or "",
                int(row[3]),
                int(row[4]) if len(row) > 4 else 0,
            )
            for row in fields.get("Running") or ()
        ),
        ended=tuple(
            interface.EndedRun(
                row[0],
                task_runs.RunEnd(
                    parse_task_name(row[1], row[2]),
                    _END_KINDS[row[3]],
                    row[4] or "",
                ),
            )
            for row in fields.get("Ended") or ()
        ),
    )
