"""Runs one entry host as a process: signals, HTTP server, background tasks."""

import asyncio
from collections import abc
import gc
import signal
import socket
import time

import blacksheep
import eliot
from returns import pipeline
from returns import result
import uvicorn

from chervillead import assembly
from chervillead import http_exchange
from chervillead import metrics
from chervillead import settings as settings_module
from chervillead import types
from chervillead.callers import application
from chervillead.callers import connections
from chervillead.callers import headers
from chervillead.callers import request_limiter
from chervillead.operators import burn_records
from chervillead.operators import burn_republishing
from chervillead.operators import endpoint
from chervillead.operators import host_status

SYSTEM_CLOCK = types.Clock(time.monotonic, time.time)
# A request can't outlive its deadline, so a longer drain is never needed.
DRAIN_TIMEOUT_S = headers.MAX_DEADLINE_MS / 1000
# Longer than the usual 60 s of load balancers: if this side closes an idle
# connection first, it can cut off a request that is in flight.
KEEP_ALIVE_S = 75
# Time to send the last reports to claim holders before the streams close.
FINAL_REPORTS_S = 0.25

# Exit status if the process can't listen on an address of the settings.
EXIT_CANNOT_LISTEN = 4

# Requests create few reference cycles, and each full collection traverses all
# kept claims. With the interpreter's default thresholds (700, 10, 10), a
# request takes a fifth longer.
GC_THRESHOLDS = (20_000, 20, 100)


async def serve(settings: settings_module.Settings) -> int:
    """Runs an entry host until SIGTERM or SIGINT.

    Returns:
        The exit status of the process.
    """
    addresses = {"callers": settings.callers, "entries": settings.entries}
    bound = {name: _bind(address) for name, address in addresses.items()}
    failed = [n for n, b in bound.items() if not pipeline.is_successful(b)]
    for name in failed:
        eliot.log_message(
            "daemon:cannot-listen",
            host=settings.host,
            setting=name,
            address="{}:{}".format(*addresses[name]),
            error=bound[name].failure(),
        )
    if failed:
        return EXIT_CANNOT_LISTEN
    await _run(settings, bound["callers"].unwrap(), bound["entries"].unwrap())
    return 0


def _bind(address: types.Address) -> result.Result[socket.socket, str]:
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    try:
        return result.Success(socket.create_server(address, family=family))
    except OSError as error:
        return result.Failure(str(error))


async def _run(
    settings: settings_module.Settings,
    callers: socket.socket,
    entries: socket.socket,
) -> None:
    """Runs all components on bound sockets until a signal."""

    async def listen(
        address: types.Address, serve_stream: http_exchange.ServeStreams
    ) -> None:
        server = await asyncio.start_server(serve_stream, sock=entries)
        async with server:
            await server.serve_forever()

    parts = assembly.assemble(settings, SYSTEM_CLOCK, listen=listen)
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    stopping = asyncio.Event()
    front_end = assembly.front_end_ports(parts, stopping.is_set)
    burn_recorder = burn_records.start_burn_recorder(
        front_end.submit,
        host=settings.host,
        zone=settings.zone,
        period_s=settings.burn_period_s,
        reader=parts.reader,
        platform=parts.platform,
        metrics=metrics.connect_metrics(settings.statsd),
        clock=SYSTEM_CLOCK,
    )
    front_end = front_end._replace(submit=burn_recorder.submit)
    app = application.build_application(front_end)
    endpoint.add_routes(
        app,
        lambda: host_status.collect_status(settings, parts.entry, parts.reader),
    )
    eliot.log_message("daemon:start", host=settings.host, zone=settings.zone)
    background = asyncio.create_task(assembly.run_background(parts))
    # Without its background tasks, the host would serve with an outdated
    # configuration. It shuts down instead, and its supervisor restarts it.
    background.add_done_callback(lambda task: stopping.set())
    burn_records_task = asyncio.create_task(burn_recorder.run())
    burn_republishing_task = asyncio.create_task(
        burn_republishing.republish_periods(
            parts.reader,
            parts.platform,
            SYSTEM_CLOCK,
            host=settings.host,
            live=lambda: parts.entry.membership.live,
            period_s=settings.burn_period_s,
        )
    )
    try:
        await _serve_callers(
            settings,
            callers,
            app,
            front_end.limiter,
            stopping,
            parts.entry.leave,
        )
        await _finish_running(front_end)
        burn_records_task.cancel()
        await burn_recorder.finish()
    finally:
        tasks = background, burn_records_task, burn_republishing_task
        for task in tasks:
            task.cancel()
        ended = await asyncio.gather(*tasks, return_exceptions=True)
        parts.pools.close()
        eliot.log_message("daemon:stopped", host=settings.host)
    for error in ended:
        if isinstance(error, Exception):
            raise error


async def _serve_callers(
    settings: settings_module.Settings,
    listener: socket.socket,
    app: blacksheep.Application,
    limiter: request_limiter.RequestLimiter,
    stopping: asyncio.Event,
    leave: abc.Callable[[], abc.Awaitable[None]],
) -> None:
    """Serves HTTP until a signal, then drains open requests and returns."""
    await app.start()  # type: ignore[no-untyped-call]
    server = uvicorn.Server(
        uvicorn.Config(
            app,
            lifespan="off",
            log_config=None,
            # uvicorn warns of each malformed request.
            log_level="error",
            access_log=False,
            proxy_headers=False,
            http=connections.protocol_class(limiter),
            timeout_keep_alive=KEEP_ALIVE_S,
            timeout_graceful_shutdown=int(DRAIN_TIMEOUT_S),
        )
    )
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    # `_serve` doesn't install signal handlers. Those of uvicorn would close the
    # listening socket at once, while the load balancer still sends requests.
    serving = asyncio.create_task(server._serve([listener]))
    stopped = asyncio.create_task(stopping.wait())
    await asyncio.wait((serving, stopped), return_when=asyncio.FIRST_COMPLETED)
    await asyncio.sleep(settings.stop_delay_s if stopping.is_set() else 0)
    if stopping.is_set():
        await leave()
    server.should_exit = True
    await serving
    await app.stop()  # type: ignore[no-untyped-call]


async def _finish_running(front_end: application.FrontEndPorts) -> None:
    """Waits for requests whose callers disconnected or poll for the answer."""
    if front_end.running_submissions:
        await asyncio.wait(
            front_end.running_submissions, timeout=DRAIN_TIMEOUT_S
        )
    await asyncio.sleep(FINAL_REPORTS_S)
