"""Client of the platform's runners, which this project calls workers."""

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

# A worker responds to a command within milliseconds, and a connection that lost
# a response delivers nothing further, so longer timeouts don't help.
COMMAND_TIMEOUT_S = 0.4
POLL_TIMEOUT_S = 0.5

_END_KINDS = {
    "done": task_runs.EndKind.DONE,
    "failed": task_runs.EndKind.FAILED,
    "stopped": task_runs.EndKind.STOPPED,
    "lapsed": task_runs.EndKind.LEASE_EXPIRED,
    "broken": task_runs.EndKind.GANG_BROKEN,
    "alone": task_runs.EndKind.GANG_INCOMPLETE,
}
_REJECTIONS = {
    "fence": interface.RejectionReason.FENCED,
    "old": interface.RejectionReason.OUTDATED_RUN,
    "late": interface.RejectionReason.LATE,
    "room": interface.RejectionReason.NO_ROOM,
    "ticket": interface.RejectionReason.BAD_TICKET,
}
_STATUS_REJECTIONS = {
    400: interface.RejectionReason.INVALID,
    421: interface.RejectionReason.OTHER_INSTANCE,
    429: interface.RejectionReason.UNHEALTHY,
    503: interface.RejectionReason.UNHEALTHY,
}


def task_name(run: task_runs.RunKey) -> str:
    """Returns the wire name of a run's task: job.occurrence.step.number."""
    task = run.task
    return f"{run.job_id}.{task.occurrence}.{task.step}.{task.number}"


def parse_task_name(name: str, run: int) -> task_runs.RunKey:
    """Returns the run with a task's wire name and a run number.

    Raises:
        ValueError: The name does not have the form of `task_name`.
    """
    job_id, occurrence, step, number = name.split(".")
    task = model.TaskKey(int(occurrence), int(step), int(number))
    return task_runs.RunKey(job_id, task, run)


def connect_workers(
    increment: abc.Callable[..., None],
    *,
    dial: http_exchange.Dial = http_exchange.dial,
) -> interface.OpenWorker:
    """Returns a function that opens a client of one worker.

    Args:
        increment: Increments a counter, by name and label values.
        dial: Opens connections.
    """

    def open_worker(
        registration: interface.Registration, token: int
    ) -> interface.WorkerClient:
        return _open(registration, token, increment, dial)

    return open_worker


def _open(
    registration: interface.Registration,
    token: int,
    increment: abc.Callable[..., None],
    dial: http_exchange.Dial,
) -> interface.WorkerClient:
    poll_connection = http_connection.HttpConnection(
        registration.address, dial=dial
    )
    command_connections = http_connection.HttpConnectionPool(
        registration.address, dial=dial
    )
    headers = (
        ("content-type", "application/json"),
        ("expect-instance", registration.worker_id),
    )

    def encode(path: str, **fields: object) -> http_exchange.HttpRequest:
        fields["FencingToken"] = token
        return http_exchange.HttpRequest(
            "POST", path, headers, msgspec.json.encode(fields)
        )

    async def poll(
        request: interface.PollRequest,
    ) -> result.Result[interface.WorkerStatus, interface.WorkerCallFailure]:
        # A worker that restarts under the same id numbers its ended runs from
        # the start. On a new connection nothing is acknowledged until the
        # response has told the worker's incarnation.
        fields: dict[str, object] = {
            "LastSeen": request.acknowledged_end
            if poll_connection.is_open
            else 0
        }
        if request.lease_until_clock_ms is not None:
            fields["DeadlineMs"] = request.lease_until_clock_ms
        if request.wait_ms:
            fields["WaitMs"] = request.wait_ms
        outcome = await poll_connection.call(
            encode("/hold", **fields), POLL_TIMEOUT_S + request.wait_ms / 1000
        )
        reply = _checked(outcome, "/hold", increment)
        if not pipeline.is_successful(reply):
            return result.Failure(reply.failure())
        try:
            return result.Success(_decode_status(reply.unwrap()))
        except (KeyError, TypeError, ValueError, IndexError) as error:
            poll_connection.close()
            return result.Failure(_malformed("/hold", error))

    async def send_command(
        path: str, **fields: object
    ) -> interface.CommandOutcome:
        outcome = await command_connections.call(
            encode(path, **fields), COMMAND_TIMEOUT_S
        )
        return _checked(outcome, path, increment).map(
            lambda reply: int(reply.get("ClockMs", 0))
        )

    async def start(
        command: interface.StartCommand,
    ) -> interface.CommandOutcome:
        fields: dict[str, object] = {
            "Task": task_name(command.run),
            "Run": command.run.number,
            "Spec": command.payload,
            "DeadlineMs": command.start_by_clock_ms,
        }
        if command.checkpoint:
            fields["Checkpoint"] = command.checkpoint
        if command.ticket:
            fields["Ticket"] = command.ticket
        return await send_command("/run-start", **fields)

    async def stop(run: task_runs.RunKey) -> interface.CommandOutcome:
        return await send_command(
            "/run-stop", Task=task_name(run), Run=run.number
        )

    async def pace(
        run: task_runs.RunKey, percent: int
    ) -> interface.CommandOutcome:
        return await send_command(
            "/pace", Task=task_name(run), Run=run.number, Percent=percent
        )

    def close() -> None:
        poll_connection.close()

    return interface.WorkerClient(poll, start, stop, pace, close)


def _checked(
    outcome: http_connection.CallOutcome,
    path: str,
    increment: abc.Callable[..., None],
) -> result.Result[dict[str, typing.Any], interface.WorkerCallFailure]:
    """Returns the fields of a response with status 200, or the failure."""
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
    return result.Failure(_rejection(path, response.status, fields))


def _rejection(
    path: str, status: int, fields: dict[str, typing.Any]
) -> interface.WorkerCallFailure:
    reason = fields.get("Reason")
    rejection = (
        _REJECTIONS.get(str(reason), interface.RejectionReason.INVALID)
        if status == 409
        else _STATUS_REJECTIONS.get(status)
    )
    clock_ms = fields.get("ClockMs")
    return interface.WorkerCallFailure(
        verdicts.Verdict.MAY_HAVE_RUN
        if rejection is None
        else verdicts.Verdict.NOT_RUN,
        f"{path}: {status} {reason}",
        rejection,
        clock_ms if isinstance(clock_ms, int) else None,
    )


def _malformed(path: str, error: Exception) -> interface.WorkerCallFailure:
    return interface.WorkerCallFailure(
        verdicts.Verdict.MAY_HAVE_RUN, f"{path}: malformed response: {error!r}"
    )


def _decode_status(fields: dict[str, typing.Any]) -> interface.WorkerStatus:
    return interface.WorkerStatus(
        clock_ms=int(fields["ClockMs"]),
        # Start time of the process; it differs after a restart.
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
