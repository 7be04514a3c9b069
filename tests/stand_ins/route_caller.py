"""Calls the platform's routes without a connection and without a fleet."""

import typing

from returns import result

from chervillead import types
from chervillead import verdicts
from chervillead.callers import request_limiter
from chervillead.entries import job_messages
from chervillead.jobs import job_api
from chervillead.jobs import model
from chervillead.platform import caller_routes
from chervillead.platform import fleet_configuration
from stand_ins import platform_fleet


class RouteResponse(typing.NamedTuple):
    """Status and body of a response, and the log lines of its request."""

    status: int
    body: bytes
    lines: list[dict[str, typing.Any]]


def job_ports(
    call_owner: job_api.CallOwner,
    configuration: model.FleetConfiguration | None = None,
    lines: list[dict[str, typing.Any]] | None = None,
) -> job_api.JobPorts:
    """Returns the ports of a host with one partition.

    Args:
        call_owner: Calls the owner of the partition.
        configuration: Its configuration.
        lines: Takes the fields of log lines.
    """
    written = [] if lines is None else lines
    return job_api.JobPorts(
        configuration=lambda: configuration,
        is_current=lambda: True,
        configuration_age_s=lambda: 0.0,
        partitions=1,
        partition_of=lambda pool: 0,
        call_owner=call_owner,
        log=lambda message_type, **fields: written.append(fields),
    )


async def call_unread(
    answer: result.Result[job_messages.JobReply, verdicts.Refusal],
    *,
    path: str = platform_fleet.QUEUE_PATH + platform_fleet.job_id(1),
    host: str = platform_fleet.QUEUE_HOST,
    refusal: verdicts.Refusal | None = None,
) -> RouteResponse:
    """Submits a job whose body isn't read.

    Args:
        answer: What the owner of the queue answers if it is asked for the job.
        path: Path of the request.
        host: Host name of the request.
        refusal: Why the body is refused; None if it isn't.
    """
    version = fleet_configuration.decode_configuration(
        platform_fleet.configuration()
    ).unwrap()
    lines: list[dict[str, typing.Any]] = []

    async def call_owner(
        call: job_messages.JobCall, timeout_s: float
    ) -> job_api.ReplyOutcome:
        assert isinstance(call, job_messages.FindJob), call
        return answer

    routes = caller_routes.RoutePorts(
        jobs=job_ports(call_owner, version, lines),
        clock=types.Clock(lambda: 0.0, lambda: 0.0),
        is_ready=lambda: True,
        is_stopping=lambda: False,
        observe=lambda name, seconds: None,
        increment=lambda name, *labels: None,
    )
    application = caller_routes.build_application(routes)
    await application.start()
    reservation = request_limiter.Reservation(
        request_limiter.unlimited(), "127.0.0.1", lambda refusal: None
    )
    if refusal is not None:
        reservation.refuse(refusal)
    sent: list[dict[str, typing.Any]] = []

    async def send(message: dict[str, typing.Any]) -> None:
        sent.append(message)

    async def receive() -> dict[str, typing.Any]:
        return {"type": "http.request", "body": b"{}", "more_body": False}

    scope = {
        "type": "http",
        "http_version": "1.1",
        "method": "POST",
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"",
        "headers": [
            (b"host", host.encode()),
            (b"key", platform_fleet.KEY.encode()),
        ],
        "server": ("127.0.0.1", 80),
        "client": ("127.0.0.1", 1),
        "scheme": "http",
        "state": {"chervillead.reservation": reservation},
    }
    await application(scope, receive, send)
    body = b"".join(message.get("body", b"") for message in sent)
    return RouteResponse(sent[0]["status"], body, lines)
