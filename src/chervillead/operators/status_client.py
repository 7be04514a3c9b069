"""Fetches the status of one entry host over HTTP."""

import asyncio

import msgspec
from returns import result

from chervillead import http_exchange
from chervillead import types
from chervillead.operators import endpoint
from chervillead.operators import status as status_module


async def fetch_status(
    address: types.Address,
    *,
    timeout_s: float,
    dial: http_exchange.Dial = http_exchange.dial,
) -> result.Result[status_module.Status, str]:
    """Returns the status of an entry host, or why it could not be fetched.

    Args:
        address: Address where the entry host listens for callers.
        timeout_s: Timeout of the whole call, in seconds.
        dial: Opens a connection.
    """
    request = http_exchange.HttpRequest("GET", endpoint.STATUS_PATH)
    try:
        async with asyncio.timeout(timeout_s):
            response = await http_exchange.call_once(dial, address, request)
    except (
        OSError,
        TimeoutError,
        http_exchange.IncompleteResponseError,
    ) as error:
        return result.Failure(f"{type(error).__name__}: {error}")
    if response.status != 200:
        return result.Failure(
            f"the entry host answered with status {response.status}"
        )
    try:
        return result.Success(
            msgspec.json.decode(response.body, type=status_module.Status)
        )
    except msgspec.DecodeError as error:
        return result.Failure(f"malformed status document: {error}")
