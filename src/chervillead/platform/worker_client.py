"""Client of the platform's runners, which this project calls workers."""

from collections import abc

import msgspec
from returns import pipeline
from returns import result

from chervillead import http_connection
from chervillead import http_exchange
from chervillead import verdicts
from chervillead.jobs import task_runs
from chervillead.platform import wire
from chervillead.platform import worker_responses
from chervillead.workers import interface

# A worker responds to a command within milliseconds, and a connection that lost
# a response delivers nothing further, so longer timeouts don't help.
COMMAND_TIMEOUT_S = 0.4
POLL_TIMEOUT_S = 0.5

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
        registration.address,
        dial=dial,
        max_response_bytes=http_exchange.MAX_WORKER_RESPONSE_BYTES,
    )
    command_connections = http_connection.HttpConnectionPool(
        registration.address,
        dial=dial,
        max_response_bytes=http_exchange.MAX_WORKER_RESPONSE_BYTES,
    )
    headers = (
        ("content-type", "application/json"),
        (
            "expect-instance",
            http_exchange.field_value(registration.worker_id),
        ),
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
        status = worker_responses.decode_status(reply.unwrap())
        if not pipeline.is_successful(status):
            poll_connection.close()
            return result.Failure(_malformed("/hold", status.failure()))
        return result.Success(status.unwrap())

    async def send_command(
        path: str, **fields: object
    ) -> interface.CommandOutcome:
        outcome = await command_connections.call(
            encode(path, **fields), COMMAND_TIMEOUT_S
        )
        return _checked(outcome, path, increment).bind(
            lambda body: _clock_ms(path, body)
        )

    async def start(
        command: interface.StartCommand,
    ) -> interface.CommandOutcome:
        fields: dict[str, object] = {
            "Task": worker_responses.task_name(command.run),
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
            "/run-stop", Task=worker_responses.task_name(run), Run=run.number
        )

    async def pace(
        run: task_runs.RunKey, percent: int
    ) -> interface.CommandOutcome:
        return await send_command(
            "/pace",
            Task=worker_responses.task_name(run),
            Run=run.number,
            Percent=percent,
        )

    def close() -> None:
        poll_connection.close()

    return interface.WorkerClient(poll, start, stop, pace, close)


def _checked(
    outcome: http_connection.CallOutcome,
    path: str,
    increment: abc.Callable[..., None],
) -> result.Result[bytes, interface.WorkerCallFailure]:
    """Returns the body of a response with status 200, or the failure."""
    if not pipeline.is_successful(outcome):
        failure = outcome.failure()
        increment("chervillead_worker_calls", path, "unanswered")
        return result.Failure(
            interface.WorkerCallFailure(
                failure.verdict, failure.detail, is_refused=failure.is_refused
            )
        )
    response = outcome.unwrap()
    increment("chervillead_worker_calls", path, str(response.status))
    if response.status == 200:
        return result.Success(response.body)
    return result.Failure(_rejection(path, response.status, response.body))


def _clock_ms(path: str, body: bytes) -> interface.CommandOutcome:
    """Returns the worker's clock in the response to a command."""
    decoded = worker_responses.decode_reply(body)
    if not pipeline.is_successful(decoded):
        return result.Failure(_malformed(path, decoded.failure()))
    return result.Success(decoded.unwrap().get("ClockMs", 0))


def _rejection(
    path: str, status: int, body: bytes
) -> interface.WorkerCallFailure:
    decoded = worker_responses.decode_reply(body)
    # The status alone tells what an unreadable rejection means.
    fields = decoded.value_or(worker_responses.ReplyFields())
    reason = fields.get("Reason")
    rejection = (
        _REJECTIONS.get(str(reason), interface.RejectionReason.INVALID)
        if status == 409
        else _STATUS_REJECTIONS.get(status)
    )
    return interface.WorkerCallFailure(
        verdicts.Verdict.MAY_HAVE_RUN
        if rejection is None
        else verdicts.Verdict.NOT_RUN,
        f"{path}: {status} {reason}",
        rejection,
        fields.get("ClockMs"),
    )


def _malformed(
    path: str, malformed: wire.Malformed
) -> interface.WorkerCallFailure:
    return interface.WorkerCallFailure(
        verdicts.Verdict.MAY_HAVE_RUN,
        f"{path}: malformed response: {malformed.detail}",
    )
