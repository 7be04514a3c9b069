"""Runs one entry host as a process: signals, HTTP server, background tasks."""

import asyncio
from collections import abc
import gc
import signal
import time

import blacksheep
import eliot
import uvicorn

from chervillead import assembly
from chervillead import metrics
from chervillead import settings as settings_module
from chervillead import types
from chervillead.callers import application
from chervillead.callers import connections
from chervillead.callers import headers
from chervillead.operators import burn
from chervillead.operators import burn_carry
from chervillead.operators import endpoint
from chervillead.operators import host_status

SYSTEM_CLOCK = types.Clock(time.monotonic, time.time)
# A request can't outlive its deadline, so a longer drain is never needed.
DRAIN_TIMEOUT_S = headers.MAX_DEADLINE_MS / 1000
# Longer than the usual 60 s of balancers: a connection that this side closes
# first can cut a request that is on its way.
KEEP_ALIVE_S = 75
# Reports to claim holders leave within this time, before the streams close.
LAST_REPORTS_S = 0.25

# Requests make few cycles, and each full collection walks all kept claims. With
# the interpreter's thresholds (700, 10, 10), a request takes a fifth longer.
GC_THRESHOLDS = (20_000, 20, 100)


async def serve(settings: settings_module.Settings) -> None:
    """Runs an entry host until SIGTERM or SIGINT."""
    parts = assembly.assemble(settings, SYSTEM_CLOCK)
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    stopping = asyncio.Event()
    front_end = assembly.front_end_ports(parts, stopping.is_set)
    counting = burn.start_counting(
        front_end.submit,
        host=settings.host,
        zone=settings.zone,
        period_s=settings.burn_period_s,
        reader=parts.reader,
        platform=parts.platform,
        metrics=metrics.connect_metrics(settings.statsd),
        clock=SYSTEM_CLOCK,
    )
    front_end = front_end._replace(submit=counting.submit)
    app = application.build_application(front_end)
    endpoint.add_routes(
        app, lambda: host_status.current(settings, parts.entry, parts.reader)
    )
    eliot.log_message("daemon:start", host=settings.host, zone=settings.zone)
    background = asyncio.create_task(assembly.run_background(parts))
    appending = asyncio.create_task(counting.run())
    carrying = asyncio.create_task(
        burn_carry.carry_parts(
            parts.reader,
            parts.platform,
            SYSTEM_CLOCK,
            host=settings.host,
            live=lambda: parts.entry.membership.live,
            period_s=settings.burn_period_s,
        )
    )
    try:
        await _serve_callers(settings, app, stopping, parts.entry.leave)
        await _finish_running(front_end)
        appending.cancel()
        await counting.finish()
    finally:
        tasks = background, appending, carrying
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        parts.pools.close()
        eliot.log_message("daemon:stopped", host=settings.host)


async def _serve_callers(
    settings: settings_module.Settings,
    app: blacksheep.Application,
    stopping: asyncio.Event,
    leave: abc.Callable[[], abc.Awaitable[None]],
) -> None:
    """Serves HTTP until a signal; then drains and returns."""
    await app.start()  # type: ignore[no-untyped-call]
    server = uvicorn.Server(
        uvicorn.Config(
            app,
            host=settings.callers.host,
            port=settings.callers.port,
            lifespan="off",
            log_config=None,
            access_log=False,
            proxy_headers=False,
            http=connections.CallerConnection,
            timeout_keep_alive=KEEP_ALIVE_S,
            timeout_graceful_shutdown=int(DRAIN_TIMEOUT_S),
        )
    )
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    # `_serve` leaves the signals to this module: uvicorn's own handlers close
    # the listening socket at once, during the balancer's lag.
    serving = asyncio.create_task(server._serve())
    stopped = asyncio.create_task(stopping.wait())
    await asyncio.wait((serving, stopped), return_when=asyncio.FIRST_COMPLETED)
    await asyncio.sleep(settings.stop_delay_s if stopping.is_set() else 0)
    if stopping.is_set():
        await leave()
    server.should_exit = True
    await serving
    await app.stop()  # type: ignore[no-untyped-call]


async def _finish_running(front_end: application.FrontEndPorts) -> None:
    """Waits for requests whose callers have left or fetch the answer later."""
    if front_end.running:
        await asyncio.wait(front_end.running, timeout=DRAIN_TIMEOUT_S)
    await asyncio.sleep(LAST_REPORTS_S)
