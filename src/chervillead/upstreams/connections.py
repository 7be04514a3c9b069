"""One asyncio task for each connection to an upstream.

A call is written to at most one connection, once. Its outcome says whether any
byte of it may have been sent.
"""

import asyncio
from collections import abc
import typing

from returns import result

from chervillead import http_exchange
from chervillead import types
from chervillead import verdicts

CONNECT_TIMEOUT_S = 0.25
# Shorter than the idle timeout of upstreams, so that a call is rarely written
# to a connection that the upstream is about to close.
IDLE_TIMEOUT_S = 10.0
REQUEST_ID_HEADER = "chervillead-request-id"

CallOutcome: typing.TypeAlias = result.Result[
    http_exchange.HttpResponse, verdicts.Refusal
]


class Call(typing.NamedTuple):
    """One call to an upstream, queued or sent.

    Attributes:
        request: HTTP request to send.
        request_id: Id that the response must echo; empty if the call has none.
        start_by_s: Monotonic time after which the call must not be written.
        deadline_s: Monotonic time at which the call times out and its
            connection is closed.
        outcome: Future of the response or the refusal. A connection closes if
            the outcome of its call is set by other code.
        written: Set just before the first byte is written.
        on_written: Called just before the first byte is written.
    """

    request: http_exchange.HttpRequest
    request_id: str
    start_by_s: float
    deadline_s: float
    outcome: asyncio.Future[CallOutcome]
    written: asyncio.Event
    on_written: abc.Callable[[], None]


class PoolCallbacks(typing.NamedTuple):
    """Functions and state of a connection pool that its connections use.

    Attributes:
        on_connected: Called when the connection is established.
        on_connect_failed: Called with the outcome for waiting calls when the
            connection could not be established.
        next_call: Returns the next queued call, or None if the queue is empty.
        idle_timeouts: Timeouts of idle connections; see `_wait_for_call`.
        is_within_limit: Returns whether the pool is within its limit of
            connections.
    """

    on_connected: abc.Callable[[], None]
    on_connect_failed: abc.Callable[[CallOutcome], None]
    next_call: abc.Callable[[], Call | None]
    idle_timeouts: list[asyncio.Timeout]
    is_within_limit: abc.Callable[[], bool]


async def run_connection(
    address: types.Address,
    calls: PoolCallbacks,
    clock: types.Clock,
    *,
    dial: http_exchange.Dial,
) -> None:
    """Connects, then sends calls until the idle timeout or a failure."""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await dial(address)
    except (OSError, TimeoutError) as error:
        calls.on_connect_failed(_connect_failure(address, error))
        return
    try:
        calls.on_connected()
        while True:
            # Checked before a call is taken, so that a connection that the
            # upstream has closed leaves the call in the queue.
            if reader.at_eof():
                return
            call = calls.next_call()
            if call is None:
                if not await _wait_for_call(reader, calls.idle_timeouts):
                    return
                continue
            outcome = await _exchange(address, reader, writer, call, clock)
            resolve(call, outcome)
            if not _is_reusable(outcome) or not calls.is_within_limit():
                return
    finally:
        writer.close()


async def _wait_for_call(
    reader: asyncio.StreamReader, idle_timeouts: list[asyncio.Timeout]
) -> bool:
    """Waits until `wake_idle_connection` wakes this connection.

    Returns:
        True if it was woken; False if it was idle for `IDLE_TIMEOUT_S`, or if
        the upstream closed it or sent bytes that belong to no response.
    """
    idle_timeout = asyncio.timeout(IDLE_TIMEOUT_S)
    try:
        async with idle_timeout:
            idle_timeouts.append(idle_timeout)
            await reader.read(1)
            return False
    except OSError as error:
        return (
            isinstance(error, TimeoutError)
            and idle_timeout not in idle_timeouts
        )
    finally:
        if idle_timeout in idle_timeouts:
            idle_timeouts.remove(idle_timeout)


def wake_idle_connection(idle_timeouts: list[asyncio.Timeout]) -> None:
    """Wakes the connection that became idle last.

    It is the least likely to have been closed by the upstream.
    """
    idle_timeout = idle_timeouts.pop()
    if not idle_timeout.expired():
        idle_timeout.reschedule(asyncio.get_running_loop().time())


async def _exchange(
    address: types.Address,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    call: Call,
    clock: types.Clock,
) -> CallOutcome:
    """Sends one call; from the first write on, it may have run."""
    try:
        data = http_exchange.encode_request(address, call.request)
    except http_exchange.UnsendableRequestError as error:
        return result.Failure(
            verdicts.not_run("unsendable-request", 400, str(error))
        )
    limit = asyncio.timeout(max(0.0, call.deadline_s - clock.monotonic()))

    is_open = True

    def abort_exchange(_: object) -> None:
        # The callback may already be scheduled when the exchange ends, and
        # removing it has no effect then.
        if is_open and not limit.expired():
            limit.reschedule(asyncio.get_running_loop().time())

    try:
        async with limit:
            call.outcome.add_done_callback(abort_exchange)
            try:
                call.written.set()
                call.on_written()
                writer.write(data)
                await writer.drain()
                response = await http_exchange.read_response(reader)
            finally:
                is_open = False
                call.outcome.remove_done_callback(abort_exchange)
        return _check_echo(call, response)
    except TimeoutError:
        return _failed_after_write(
            "upstream-timeout",
            504,
            f"{address}: no response before the deadline",
        )
    except (OSError, http_exchange.IncompleteResponseError) as error:
        return _failed_after_write(
            "upstream-connection-lost", 502, f"{address}: {error}"
        )
    except asyncio.CancelledError:
        cancel(call)
        raise


def _check_echo(
    call: Call, response: http_exchange.HttpResponse
) -> CallOutcome:
    echoed = response.headers.get(REQUEST_ID_HEADER, "")
    if call.request_id in ("", echoed):
        return result.Success(response)
    return _failed_after_write(
        "answer-mismatch", 502, f"the upstream responded to request {echoed!r}"
    )


def _is_reusable(outcome: CallOutcome) -> bool:
    return outcome.map(lambda response: response.keep_alive).value_or(False)


def _failed_after_write(reason: str, status: int, detail: str) -> CallOutcome:
    return result.Failure(verdicts.may_have_run(reason, status, detail))


def _connect_failure(address: types.Address, why: object) -> CallOutcome:
    return result.Failure(
        verdicts.not_run(
            "upstream-unreachable",
            503,
            f"{address.host}:{address.port}: {why or 'connecting timed out'}",
            retry_after_s=1.0,
        )
    )


def resolve(call: Call, outcome: CallOutcome) -> None:
    """Sets the outcome of a call unless it has one already."""
    if not call.outcome.done():
        call.outcome.set_result(outcome)


def cancel(call: Call) -> None:
    """Cancels a call that has no outcome yet.

    The verdict is "may have run" if the call was written, else "not run".
    """
    reason, detail = "upstream-call-cancelled", "the call was cancelled"
    resolve(
        call,
        _failed_after_write(reason, 502, detail)
        if call.written.is_set()
        else result.Failure(verdicts.not_run(reason, 503, detail)),
    )
