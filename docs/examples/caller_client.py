"""Submits a request that is refused at first, and repeats it safely.

Run as `python docs/examples/caller_client.py`. The entry host is a function
here; `http_exchange.call_once` makes the same call over TCP.
"""

import asyncio
import json
import time

from chervillead import client
from chervillead import http_exchange
from chervillead import types

BUSY = {
    "verdict": "not-run",
    "reason": "queue-full",
    "detail": "the queue is full",
    "retry_after_s": 0.05,
}


def busy_at_first(refusals: int) -> client.Call:
    """Returns an entry host that refuses some calls and then answers."""
    seen: list[str] = []

    async def call(
        request: http_exchange.HttpRequest,
    ) -> http_exchange.HttpResponse:
        request_id = dict(request.headers)["chervillead-request-id"]
        seen.append(request_id)
        same_id = seen.count(request_id) == len(seen)
        print(f"attempt {len(seen)}, same id: {same_id}")
        if len(seen) <= refusals:
            headers = {"content-type": "application/problem+json"}
            body = json.dumps(BUSY).encode()
            return http_exchange.HttpResponse(503, headers, body, True)
        return http_exchange.HttpResponse(200, {}, b"invoiced", True)

    return call


async def main() -> None:
    """Prints each attempt and the answer."""
    outcome = await client.submit(
        client.Work("wedding-billing", b"album 17", key="a key of the team"),
        busy_at_first(2),
        types.Clock(time.monotonic, time.time),
        within_s=10.0,
    )
    print(outcome.unwrap().body.decode())


if __name__ == "__main__":
    asyncio.run(main())
