"""Connection pools of all upstreams, and the sending of granted requests."""

import asyncio
from collections import abc
import typing

from returns import pipeline
from returns import result

from chervillead import http_exchange
from chervillead import types
from chervillead import verdicts
from chervillead.fleet import configuration as configuration_module
from chervillead.upstreams import connection_pool
from chervillead.upstreams import connections

VERDICT_HEADER = "chervillead-verdict"
DEFAULT_CONNECTIONS = 64
# Lease renewals, fetches of answers and stops have a connection of their own,
# because long calls may occupy all others.
CONTROL_CONNECTIONS = 1
# Shorter than the interval of renewals (a third of a lease), so that after a
# time-out the next renewal goes over a new connection.
CONTROL_TIMEOUT_S = 0.5
# An answer in transit may arrive after the upstream has reported the task as
# finished.
ANSWER_GRACE_S = 0.2
MAX_FETCH_PAUSE_S = 1.0
# One lease: an upstream that got no renewal for that long has stopped the
# task.
SILENCE_TIMEOUT_S = 2.0
# Reasons of refusals after which the upstream may still have the answer.
FETCHABLE_REASONS = frozenset(
    ("upstream-connection-lost", "upstream-task-unknown")
)


class UpstreamConnections(typing.NamedTuple):
    """Connection pools of one upstream: for requests and for control calls."""

    work: connection_pool.ConnectionPool
    control: connection_pool.ConnectionPool


class UpstreamPools:
    """Connection pools of all upstreams, made on first use."""

    def __init__(
        self,
        clock: types.Clock,
        dial: http_exchange.Dial = http_exchange.dial,
        connection_limit: abc.Callable[[str], int] = (
            lambda upstream: DEFAULT_CONNECTIONS
        ),
    ) -> None:
        """Makes an object without pools.

        Args:
            clock: Source of time.
            dial: Opens connections.
            connection_limit: Returns how many connections this entry host may
                open to the named upstream, control connections included.
        """
        self._clock = clock
        self._dial = dial
        self._connection_limit = connection_limit
        self._pools: dict[types.Address, UpstreamConnections] = {}

    def pool(self, upstream: types.Upstream) -> UpstreamConnections:
        """Returns the connection pools of `upstream`; makes them if needed."""
        pool = self._pools.get(upstream.address)
        if pool is None:
            name = upstream.name
            pool = UpstreamConnections(
                self._connection_pool(
                    upstream,
                    lambda: self._connection_limit(name) - CONTROL_CONNECTIONS,
                ),
                self._connection_pool(upstream, lambda: CONTROL_CONNECTIONS),
            )
            self._pools[upstream.address] = pool
        return pool

    @property
    def open_connections(self) -> int:
        """Connections to all upstreams that are open or being opened."""
        return sum(
            pool.open_connections
            for upstream_connections in self._pools.values()
            for pool in upstream_connections
        )

    def close(self) -> None:
        """Closes all connections; calls under way are cancelled."""
        for pool in self._pools.values():
            pool.work.close()
            pool.control.close()

    def _connection_pool(
        self, upstream: types.Upstream, limit: abc.Callable[[], int]
    ) -> connection_pool.ConnectionPool:
        return connection_pool.ConnectionPool(
            upstream.address, self._clock, self._dial, limit
        )


def connection_limit(
    configuration: configuration_module.Configuration, upstream: str
) -> int:
    """Returns how many connections one entry host may open to an upstream.

    The connections that the upstream accepts are divided evenly among the entry
    hosts that hold a seat. Seats of failed hosts count until they are taken
    over.
    """
    host = configuration.hosts.get(upstream)
    offered = DEFAULT_CONNECTIONS if host is None else host.connections
    return offered // max(1, len(configuration.seats))


async def send(
    pools: UpstreamPools,
    request: types.Request,
    grant: types.Grant,
    clock: types.Clock,
    *,
    on_written: abc.Callable[[connections.Call], None] = lambda call: None,
) -> result.Result[types.Answer, verdicts.Refusal]:
    """Sends a granted request once and returns its complete answer.

    Args:
        pools: Connection pools of all upstreams.
        request: Request to send.
        grant: Names the upstream and the time until which the request may
            start.
        clock: Source of time.
        on_written: Called with the call just before its first byte is
            written; `resolve_missing_task` takes the same call.

    Returns:
        The answer, or a refusal whose verdict says whether the request may
        have run.
    """
    now_s = clock.monotonic()
    pool = pools.pool(grant.upstream)
    call = pool.work.start(
        _encode_call(request, grant, now_s),
        request.deadline_s,
        request_id=request.request_id,
        start_by_s=grant.start_by_s,
        on_written=lambda: on_written(call),
    )
    try:
        outcome = await call.outcome
        if _is_answer_fetchable(outcome):
            outcome = await _fetch_answer(pool, call, clock, outcome)
    finally:
        connections.cancel(call)
    return outcome.bind(_decode_answer)


def resolve_missing_task(call: connections.Call) -> None:
    """Ends the wait for the answer of a task that no longer runs.

    The outcome is set after `ANSWER_GRACE_S`, unless the answer arrives first.
    """
    asyncio.get_running_loop().call_later(
        ANSWER_GRACE_S, connections.resolve, call, _unknown_task_outcome()
    )


def _is_answer_fetchable(outcome: connections.CallOutcome) -> bool:
    """Returns whether the answer may still be fetched from the upstream."""
    if pipeline.is_successful(outcome):
        return False
    return outcome.failure().reason in FETCHABLE_REASONS


async def _fetch_answer(
    pool: UpstreamConnections,
    call: connections.Call,
    clock: types.Clock,
    failed_outcome: connections.CallOutcome,
) -> connections.CallOutcome:
    """Polls for the answer by request id over the control connection.

    Returns:
        The answer; `failed_outcome` ("may have run") if the upstream doesn't
        know the task, because the request may still be in transit; or
        "upstream-silent" if the upstream doesn't respond.
    """
    last_reply_s = clock.monotonic()
    pause_s = ANSWER_GRACE_S
    while clock.monotonic() < min(
        call.deadline_s, last_reply_s + SILENCE_TIMEOUT_S
    ):
        fetched = await pool.control.call(
            http_exchange.HttpRequest("GET", f"/tasks/{call.request_id}"),
            min(CONTROL_TIMEOUT_S, call.deadline_s - clock.monotonic()),
            request_id=call.request_id,
        )
        status = fetched.map(lambda response: response.status).value_or(0)
        if status == 200:
            return fetched
        if status in (404, 410):
            return failed_outcome
        if status == 202:
            last_reply_s = clock.monotonic()
        await asyncio.sleep(pause_s)
        pause_s = min(2 * pause_s, MAX_FETCH_PAUSE_S)
    return _silent_outcome()


def _unknown_task_outcome() -> connections.CallOutcome:
    return result.Failure(
        verdicts.may_have_run(
            "upstream-task-unknown", 502, "the upstream does not run the task"
        )
    )


def _silent_outcome() -> connections.CallOutcome:
    return result.Failure(
        verdicts.may_have_run(
            "upstream-silent",
            504,
            "the upstream does not respond on any connection",
        )
    )


def _encode_call(
    request: types.Request, grant: types.Grant, now_s: float
) -> http_exchange.HttpRequest:
    return http_exchange.HttpRequest(
        "POST",
        "/tasks",
        (
            (connections.REQUEST_ID_HEADER, request.request_id),
            ("chervillead-grant-id", grant.grant_id),
            ("chervillead-queue", request.queue),
            ("chervillead-team", request.team),
            ("chervillead-lease-ms", str(int(grant.lease_s * 1000))),
            (
                "chervillead-time-left-ms",
                str(int((request.deadline_s - now_s) * 1000)),
            ),
            ("content-type", request.content_type),
        ),
        request.body,
    )


def _decode_answer(
    response: http_exchange.HttpResponse,
) -> result.Result[types.Answer, verdicts.Refusal]:
    if response.headers.get(VERDICT_HEADER) == verdicts.Verdict.NOT_RUN.value:
        return result.Failure(
            verdicts.not_run(
                "upstream-refused",
                503,
                response.body.decode("utf-8", "replace"),
                retry_after_s=0.5,
            )
        )
    content_type = response.headers.get(
        "content-type", "application/octet-stream"
    )
    return result.Success(
        types.Answer(response.status, content_type, response.body)
    )
