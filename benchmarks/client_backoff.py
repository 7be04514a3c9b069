"""Arrivals after an outage: the client's backoff against a fixed interval.

Callers that fail together come back together if they wait a fixed time. The
real client runs on the virtual clock against a service that is away.
"""

import asyncio
import collections
from collections import abc

from benchmarks import figures
from chervillead import client
from chervillead import http_exchange
from stand_ins import virtual_time

CALLERS = 1000
OUTAGE_S = 60.0
FIXED_INTERVAL_S = 1.0
# Arrivals are counted in stretches of this length.
STRETCH_S = 0.1
SEED = 20261204
RATIO_BOUND = 10.0


def measure() -> abc.Iterator[figures.BenchmarkResult]:
    """Yields the peaks of arrivals and their ratio."""
    fixed = peak_after_outage(lambda low, high: FIXED_INTERVAL_S)
    jittered = peak_after_outage(None)
    ratio = fixed / jittered
    yield figures.BenchmarkResult(
        "client backoff: peak, fixed interval", fixed, "-", True
    )
    yield figures.BenchmarkResult(
        "client backoff: peak, full jitter", jittered, "-", True
    )
    yield figures.BenchmarkResult(
        "client backoff: fixed to jittered peak",
        ratio,
        f">= {RATIO_BOUND:g}",
        ratio >= RATIO_BOUND,
    )


def peak_after_outage(draw: client.Draw | None) -> int:
    """Returns the most arrivals in a stretch after the outage.

    Args:
        draw: Replaces the client's random delays, or None.
    """
    arrivals: collections.Counter[int] = collections.Counter()
    options = {} if draw is None else {"draw": draw}

    async def call(
        request: http_exchange.HttpRequest,
    ) -> http_exchange.HttpResponse:
        now_s = asyncio.get_running_loop().time() - started_s[0]
        if now_s < OUTAGE_S:
            raise ConnectionRefusedError
        arrivals[int(now_s / STRETCH_S)] += 1
        return http_exchange.HttpResponse(200, {}, b"", False)

    started_s: list[float] = []

    async def main() -> None:
        started_s.append(asyncio.get_running_loop().time())
        work = client.Work("q", b"")
        await asyncio.gather(
            *(
                client.submit(
                    work, call, virtual_time.clock(), within_s=600, **options
                )
                for _ in range(CALLERS)
            )
        )

    virtual_time.run_virtual(main(), SEED)
    return max(arrivals.values())
