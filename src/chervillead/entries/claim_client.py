"""Client of claim holders: repeats a call until the holder is active."""

import asyncio
from collections import abc

from returns import result

from chervillead import types
from chervillead import verdicts
from chervillead.entries import messages

TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.05

AskOnce = abc.Callable[[], abc.Awaitable[messages.Message | verdicts.Refusal]]


async def ask_until_active(
    ask_once: AskOnce, clock: types.Clock
) -> result.Result[messages.ClaimState, verdicts.Refusal]:
    """Returns the state of a claim, or why the holder gave none.

    A refusal means that the holder changed nothing, so a retry is safe. It
    bridges a planned stop, after which the successor is soon active.
    """
    deadline_s = clock.monotonic() + TIMEOUT_S
    while True:
        reply = await ask_once()
        if (
            not isinstance(reply, messages.Refused)
            or clock.monotonic() >= deadline_s
        ):
            break
        await asyncio.sleep(RETRY_DELAY_S)
    if isinstance(reply, messages.ClaimState):
        return result.Success(reply)
    if isinstance(reply, verdicts.Refusal | messages.Refused):
        return result.Failure(unavailable(reply.detail))
    return result.Failure(unavailable(type(reply).__name__))


def unavailable(detail: str) -> verdicts.Refusal:
    """Returns the refusal of a submission whose claim can't be checked."""
    return verdicts.not_run(
        "claim-unavailable",
        503,
        f"the claim on the request id can't be checked: {detail}",
        retry_after_s=1.0,
    )
