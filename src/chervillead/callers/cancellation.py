"""Sends a request that its caller may cancel while it runs."""

import asyncio
from collections import abc
import typing

from returns import pipeline
from returns import result

from chervillead import types
from chervillead import verdicts
from chervillead.callers import in_progress

CANCELLED = "cancelled"
STOP_RETRY_INTERVAL_S = 0.25

RequestOutcome: typing.TypeAlias = result.Result[types.Answer, verdicts.Refusal]


async def send_cancellable(
    send: abc.Callable[[], abc.Awaitable[RequestOutcome]],
    stop_task: abc.Callable[[], abc.Awaitable[bool]],
    progress: in_progress.RequestProgress,
) -> RequestOutcome:
    """Sends a request; a cancellation asks the upstream to stop its task.

    It returns only after the upstream has answered the request itself, so that
    a cancellation never frees a slot whose task is still running.

    Args:
        send: Sends the request and returns its outcome.
        stop_task: Asks the upstream to stop; returns whether it has stopped.
        progress: Progress of the request, which its caller may cancel.

    Returns:
        The outcome of `send`; a refusal instead of an answer if the upstream
        has stopped the task.
    """
    ended = asyncio.Event()
    stop_attempts: list[asyncio.Task[bool]] = []

    def stop() -> None:
        stop_attempts.append(
            asyncio.get_running_loop().create_task(
                _retry_stop(stop_task, ended)
            )
        )

    with progress.cancel_handler(stop):
        outcome = await send()
    ended.set()
    stopped = [await attempt for attempt in stop_attempts]
    # An answer that was in transit when the stop was requested is discarded.
    if any(stopped) and pipeline.is_successful(outcome):
        return result.Failure(
            verdicts.ran(
                CANCELLED, 410, "cancelled and stopped while it was running"
            )
        )
    return outcome


async def _retry_stop(
    stop_task: abc.Callable[[], abc.Awaitable[bool]], ended: asyncio.Event
) -> bool:
    """Asks the upstream until the task has stopped or the request has ended.

    Returns:
        Whether the upstream confirmed that it has stopped the task.
    """
    while not await stop_task():
        try:
            async with asyncio.timeout(STOP_RETRY_INTERVAL_S):
                await ended.wait()
            return False
        except TimeoutError:
            continue
    return True
