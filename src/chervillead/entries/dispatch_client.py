"""An entry host's side of dispatch: register, wait for a grant, release."""

import asyncio
from collections import abc
import typing

from returns import pipeline
from returns import result

from chervillead import types
from chervillead import verdicts
from chervillead.entries import messages

REGISTER_TIMEOUT_S = 1.0

Ask = abc.Callable[
    [str, messages.Message, float],
    abc.Awaitable[result.Result[messages.Message, verdicts.Refusal]],
]
Post = abc.Callable[[str, messages.Message], object]


class GrantWaiters:
    """Requests of this host that wait for a grant."""

    def __init__(self, clock: types.Clock, post: Post) -> None:
        self._clock = clock
        self._post = post
        self._waiters: dict[str, asyncio.Future[messages.Message]] = {}

    def open(self, request_id: str) -> asyncio.Future[messages.Message]:
        """Starts to wait for a grant of `request_id`."""
        future: asyncio.Future[messages.Message] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters[request_id] = future
        return future

    def close(self, request_id: str) -> None:
        """Stops to wait; a grant that comes later is given back."""
        self._waiters.pop(request_id, None)

    def take(
        self, dispatcher: str, message: messages.Granted | messages.Refused
    ) -> None:
        """Passes a dispatcher's decision to the request that waits for it."""
        future = self._waiters.get(message.request_id)
        if future is not None and not future.done():
            future.set_result(message)
        elif isinstance(message, messages.Granted):
            self._post(dispatcher, unused(message.grant_id))


def unused(grant_id: str) -> messages.Release:
    """Returns the release of a grant that was never used."""
    return messages.Release(grant_id, started=False, failed=False, run_ms=0)


class DispatchPorts(typing.NamedTuple):
    """What `acquire` needs from the rest of the process.

    Attributes:
        ask: Sends a message to an entry host and returns its reply.
        post: Sends a message without a reply.
        dispatcher: Returns the dispatcher to register with, or None.
        waiters: Requests of this host that wait.
        clock: Source of time.
    """

    ask: Ask
    post: Post
    dispatcher: abc.Callable[[types.Request], str | None]
    waiters: GrantWaiters
    clock: types.Clock


async def acquire(
    request: types.Request, ports: DispatchPorts
) -> result.Result[types.Grant, verdicts.Refusal]:
    """Waits until a dispatcher grants a slot to `request`.

    Returns:
        The grant, or a refusal whose verdict is always "not run".
    """
    dispatcher = ports.dispatcher(request)
    if dispatcher is None:
        return result.Failure(
            verdicts.not_run("no-dispatcher", 503, retry_after_s=1.0)
        )
    left_s = request.deadline_s - ports.clock.monotonic()
    register = messages.Register(
        request.request_id,
        request.queue,
        request.team,
        request.size,
        int(left_s * 1000),
        int((request.run_s or 0.0) * 1000),
    )
    future = ports.waiters.open(request.request_id)
    granted = False
    try:
        reply = await ports.ask(dispatcher, register, REGISTER_TIMEOUT_S)
        if not pipeline.is_successful(reply):
            return result.Failure(reply.failure())
        decision = reply.unwrap()
        if isinstance(decision, messages.Waiting):
            async with asyncio.timeout(max(0.0, left_s)):
                decision = await future
        outcome = _outcome(decision, dispatcher, ports.clock)
        granted = pipeline.is_successful(outcome)
        return outcome
    except TimeoutError:
        return result.Failure(
            verdicts.not_run(
                "deadline-exceeded", 504, "no slot became free in time"
            )
        )
    finally:
        ports.waiters.close(request.request_id)
        if not granted:
            ports.post(dispatcher, messages.Withdraw(request.request_id))


def release(
    grant: types.Grant,
    ports: DispatchPorts,
    *,
    started: bool,
    failed: bool,
    run_s: float,
) -> None:
    """Gives the slot of `grant` back to its dispatcher."""
    message = messages.Release(
        grant.grant_id, started, failed, int(run_s * 1000)
    )
    ports.post(grant.dispatcher, message)


def _outcome(
    decision: messages.Message, dispatcher: str, clock: types.Clock
) -> result.Result[types.Grant, verdicts.Refusal]:
    if isinstance(decision, messages.Granted):
        return result.Success(
            types.Grant(
                decision.grant_id,
                decision.request_id,
                dispatcher,
                decision.upstream,
                clock.monotonic() + decision.start_by_ms / 1000,
                decision.lease_ms / 1000,
            )
        )
    if isinstance(decision, messages.Refused):
        retry_s = decision.retry_after_ms / 1000 or None
        return result.Failure(
            verdicts.not_run(
                decision.reason,
                decision.status,
                decision.detail,
                retry_after_s=retry_s,
            )
        )
    return result.Failure(
        verdicts.not_run("unexpected-reply", 503, type(decision).__name__)
    )
