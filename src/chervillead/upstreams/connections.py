"""One task for each connection to an upstream.

A call is written to the connection at most once and is never moved to another
one after that. The outcome says whether a byte of it may have left.
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

CallOutcome: typing.TypeAlias = result.Result[
    http_exchange.HttpResponse, verdicts.Refusal
]


class Call(typing.NamedTuple):
    """One call on its way to an upstream.

    Attributes:
        request: What to send.
        deadline_s: Monotonic time at which the connection is given up.
        outcome: Future of the response or the refusal.
    """

    request: http_exchange.HttpRequest
    deadline_s: float
    outcome: asyncio.Future[CallOutcome]


class CallQueue(typing.NamedTuple):
    """Calls that wait for a connection; `take` returns None when idle."""

    take: abc.Callable[[], abc.Awaitable[Call | None]]


async def run_connection(
    address: types.Address,
    calls: CallQueue,
    clock: types.Clock,
    *,
    dial: http_exchange.Dial,
) -> None:
    """Dials, then sends one call after the other until idle or broken."""
    first = await calls.take()
    if first is None:
        return
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await dial(address)
    except (OSError, TimeoutError) as error:
        _finish(first, _unsent(address, error))
        return
    try:
        async for call in _calls_from(first, calls):
            if call.outcome.done():
                continue
            if reader.at_eof():
                _finish(call, _unsent(address, "closed by the upstream"))
                return
            outcome = await _exchange(address, reader, writer, call, clock)
            _finish(call, outcome)
            if not _is_reusable(outcome):
                return
    finally:
        writer.close()


async def _calls_from(first: Call, calls: CallQueue) -> abc.AsyncIterator[Call]:
    call: Call | None = first
    while call is not None:
        yield call
        call = await calls.take()


async def _exchange(
    address: types.Address,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    call: Call,
    clock: types.Clock,
) -> CallOutcome:
    """Sends one call; from the first write on it may have run."""
    try:
        async with asyncio.timeout(call.deadline_s - clock.monotonic()):
            writer.write(http_exchange.encode_request(address, call.request))
            await writer.drain()
            return result.Success(await http_exchange.read_response(reader))
    except TimeoutError:
        return result.Failure(
            verdicts.may_have_run(
                "upstream-timeout", 504, f"{address} gave no answer in time"
            )
        )
    except (OSError, http_exchange.IncompleteResponseError) as error:
        return result.Failure(
            verdicts.may_have_run(
                "upstream-connection-lost", 502, f"{address}: {error}"
            )
        )
    except asyncio.CancelledError:
        _finish(
            call,
            result.Failure(
                verdicts.may_have_run("upstream-call-cancelled", 502)
            ),
        )
        raise


def _is_reusable(outcome: CallOutcome) -> bool:
    return outcome.map(lambda response: response.keep_alive).value_or(False)


def _unsent(address: types.Address, why: object) -> CallOutcome:
    return result.Failure(
        verdicts.not_run(
            "upstream-unreachable",
            503,
            f"{address.host}:{address.port}: {why}",
            retry_after_s=1.0,
        )
    )


def _finish(call: Call, outcome: CallOutcome) -> None:
    if not call.outcome.done():
        call.outcome.set_result(outcome)
