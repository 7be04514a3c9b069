"""Reads request bodies, whose limits `connections` applies as bytes arrive."""

from collections import abc
import typing

import blacksheep
from blacksheep import exceptions
from returns import result

from chervillead import verdicts
from chervillead.callers import request_limiter

# Limit of the project's own interface; that of the platform is configured.
MAX_BODY_BYTES = 1024 * 1024
# Name in the state of an ASGI scope.
_RESERVATION = "chervillead.reservation"


def attach_reservation(
    scope: abc.MutableMapping[str, typing.Any],
    reservation: request_limiter.Reservation,
) -> None:
    """Puts the reservation of a request into its ASGI scope."""
    scope["state"][_RESERVATION] = reservation


def reservation_in(
    scope: abc.Mapping[str, typing.Any],
) -> request_limiter.Reservation:
    """Returns the reservation of the request with this ASGI scope."""
    reservation: request_limiter.Reservation = scope["state"][_RESERVATION]
    return reservation


def reservation_of(
    request: blacksheep.Request,
) -> request_limiter.Reservation:
    """Returns the reservation of a request that `connections` received."""
    return reservation_in(typing.cast("dict[str, typing.Any]", request.scope))


async def read_body(
    request: blacksheep.Request,
) -> result.Result[bytes, verdicts.Refusal]:
    """Reads a complete request body.

    Returns:
        The body, or the refusal of one that is too large, late, truncated, or
        for which there was no memory.
    """
    reservation = reservation_of(request)
    body = bytearray()
    # Its type stub lacks the asynchronous iterator.
    source: typing.Any = request
    refusal = reservation.refusal
    try:
        if refusal is None:
            async for chunk in source.stream():
                body += chunk
                refusal = reservation.refusal
                if refusal is not None:
                    break
    except exceptions.MessageAborted:
        refusal = reservation.refusal or _truncated(len(body))
    if refusal is not None:
        return result.Failure(refusal)
    return result.Success(bytes(body))


def timeout_refusal(length: int, timeout_s: float) -> verdicts.Refusal:
    """Returns the refusal of a body that isn't complete in time."""
    return verdicts.not_run(
        "body-timeout",
        408,
        f"{length} bytes of an incomplete body received within {timeout_s} s",
        retry_after_s=request_limiter.RETRY_AFTER_S,
    )


def turn_refusal(timeout_s: float) -> verdicts.Refusal:
    """Returns the refusal of a body that other clients keep from parsing."""
    return verdicts.not_run(
        "body-not-parsed",
        503,
        f"other clients' bodies took all of the {timeout_s} s for parsing",
        retry_after_s=request_limiter.RETRY_AFTER_S,
    )


def _truncated(length: int) -> verdicts.Refusal:
    return verdicts.not_run(
        "body-truncated",
        400,
        f"connection closed after {length} bytes of an incomplete body",
    )
