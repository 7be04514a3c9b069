"""Sending of a request that its caller may cancel while it runs."""

import asyncio
from collections import abc
import typing

from returns import pipeline
from returns import result

from chervillead import types
from chervillead import verdicts
from chervillead.callers import in_progress

CANCELLED = "cancelled"
STOP_RETRY_S = 0.25

RequestOutcome: typing.TypeAlias = result.Result[types.Answer, verdicts.Refusal]


async def send_cancellable(
    send: abc.Callable[[], abc.Awaitable[RequestOutcome]],
    stop_task: abc.Callable[[], abc.Awaitable[bool]],
    progress: in_progress.RequestProgress,
) -> RequestOutcome:
    """Sends a request; a cancellation asks the upstream to stop.

    It returns only when the upstream has answered the request itself, so that
    a cancellation never frees a slot whose task still runs.

    Args:
        send: Sends the request and returns its outcome.
        stop_task: Asks the upstream to stop; returns whether it has stopped.
        progress: Tells of the cancellation.
    """
    over = asyncio.Event()
    stops: list[asyncio.Task[bool]] = []

    def stop() -> None:
        stops.append(
            asyncio.get_running_loop().create_task(_stop_until(stop_task, over))
        )

    with progress.cancel_handler(stop):
        outcome = await send()
    over.set()
    stopped = [await stopping for stopping in stops]
    # An answer that was under way when the stop was asked for is given up.
    if any(stopped) and pipeline.is_successful(outcome):
        return result.Failure(
            verdicts.ran(CANCELLED, 410, "cancelled and stopped while it ran")
        )
    return outcome


async def _stop_until(
    stop_task: abc.Callable[[], abc.Awaitable[bool]], over: asyncio.Event
) -> bool:
    """Asks the upstream until it has stopped the task or `over` is set."""
    while not await stop_task():
        try:
            async with asyncio.timeout(STOP_RETRY_S):
                await over.wait()
            return False
        except TimeoutError:
            continue
    return True
