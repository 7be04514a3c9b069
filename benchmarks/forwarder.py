"""Baseline of the request path: a bare forwarder on the same libraries.

Run as `python -m benchmarks.forwarder PORT UPSTREAM_PORT...`. blacksheep on
uvicorn takes a request, `chervillead.upstreams` sends it, and nothing else is
done: no key, no claim, no dispatcher.
"""

import itertools
import sys
import time

import blacksheep
from returns import pipeline
import uvicorn
import uvloop

from chervillead import http_exchange
from chervillead import types
from chervillead.upstreams import pool

LOOPBACK = "127.0.0.1"
DEADLINE_S = 10.0


def build_application(
    pools: pool.UpstreamPools, upstreams: list[types.Upstream]
) -> blacksheep.Application:
    """Returns the application that passes requests to `upstreams` in turn."""
    router = blacksheep.Router()
    application = blacksheep.Application(router=router)
    connection_pools = itertools.cycle([pools.pool(u).work for u in upstreams])

    async def forward(request: blacksheep.Request) -> blacksheep.Response:
        body = await request.read() or b""
        header = request.get_first_header(b"chervillead-request-id") or b""
        headers = (
            ("chervillead-request-id", header.decode()),
            ("chervillead-lease-ms", "10000"),
        )
        outcome = await next(connection_pools).call(
            http_exchange.HttpRequest("POST", "/tasks", headers, body),
            DEADLINE_S,
        )
        if not pipeline.is_successful(outcome):
            return blacksheep.Response(502)
        response = outcome.unwrap()
        return blacksheep.Response(
            response.status,
            None,
            blacksheep.Content(b"application/octet-stream", response.body),
        )

    router.add_post("/queues/{queue}/requests", forward)
    return application


async def main(port: int, upstream_ports: list[int]) -> None:
    """Serves until cancelled."""
    clock = types.Clock(time.monotonic, time.time)
    upstreams = [
        types.Upstream(f"worker-{p}", "a", types.Address(LOOPBACK, p))
        for p in upstream_ports
    ]
    pools = pool.UpstreamPools(clock)
    application = build_application(pools, upstreams)
    await application.start()  # type: ignore[no-untyped-call]
    config = uvicorn.Config(
        application,
        host=LOOPBACK,
        port=port,
        lifespan="off",
        log_config=None,
        access_log=False,
        http="httptools",
    )
    await uvicorn.Server(config).serve()


if __name__ == "__main__":
    uvloop.run(main(int(sys.argv[1]), [int(port) for port in sys.argv[2:]]))
