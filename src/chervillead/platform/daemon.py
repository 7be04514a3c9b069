"""Process of one entry host: signals, listeners, start and shutdown."""

import asyncio
import gc
import pathlib
import signal
import socket
import time

from returns import pipeline
import uvicorn

from chervillead import bounded_logs
from chervillead import http_exchange
from chervillead.callers import connections
from chervillead.entries import limited_frames
from chervillead.platform import assembly
from chervillead.platform import caller_routes
from chervillead.platform import request_limits
from chervillead.platform import settings as settings_module

# The load balancer probes readiness every second and takes a host out after two
# failed probes.
LOAD_BALANCER_LAG_S = 2.3
# Connections that are still open after the lag are closed once they are idle.
CONNECTION_DRAIN_S = 1.5
GC_THRESHOLDS = (20_000, 20, 100)


async def serve(
    settings: settings_module.EntrySettings, path: pathlib.Path
) -> None:
    """Runs an entry host until SIGTERM or SIGINT; SIGHUP reloads `path`."""
    loop = asyncio.get_running_loop()
    log = bounded_logs.bind_log(host=settings.host)
    limits = request_limits.within_descriptors(settings.request_limits, log)
    request_limits.check_memory(
        settings.memory_bytes, limits, settings.limits.accepted_jobs, log
    )
    host = assembly.EntryHost(
        settings._replace(request_limits=limits),
        log,
        assembly.HostEnvironment(),
    )
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, host.stopping.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: reload_settings(host, path))
    host.log(
        "process:start",
        zone=settings.zone,
        incarnation=host.ownership.member.incarnation,
        imports_cpu_s=round(time.process_time(), 3),
    )
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    background = [
        asyncio.create_task(work)
        for work in (*host.background_coroutines(), _serve_metrics(host))
    ]
    for task in background:
        task.add_done_callback(lambda done: _stop_on_task_end(host, done))
    await _serve_callers(host)
    for task in background:
        task.cancel()
    await asyncio.gather(*background, return_exceptions=True)
    host.streams.close()
    host.log("process:stopped")


def reload_settings(host: assembly.EntryHost, path: pathlib.Path) -> None:
    """Reloads the settings; an invalid file is logged and changes nothing."""
    loaded = settings_module.load_settings(path)
    if not pipeline.is_successful(loaded):
        host.log("process:reload-refused", problem=str(loaded.failure()))
        return
    reloaded = loaded.unwrap()
    changed = [
        name
        for name, current, value in zip(
            reloaded._fields, host.settings, reloaded, strict=True
        )
        if current != value
    ]
    # Listeners are already bound and owners keep the limits they started with,
    # so other changes take effect at the next start.
    host.settings = host.settings._replace(
        config_max_age_s=reloaded.config_max_age_s
    )
    host.log("process:reload", changed=changed, applied=["config_max_age_s"])


def _stop_on_task_end(
    host: assembly.EntryHost, task: asyncio.Task[None]
) -> None:
    """Stops the process if a background task ends; it is then restarted."""
    if task.cancelled() or host.stopping.is_set():
        return
    host.log("process:task-failed", error=repr(task.exception()))
    host.stopping.set()


async def _serve_metrics(host: assembly.EntryHost) -> None:
    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = limited_frames.accept(host.limiter, writer)
        if connection is None:
            return
        try:
            async with asyncio.timeout(
                host.settings.request_limits.head_timeout_s
            ):
                await reader.readuntil(b"\r\n\r\n")
            page = host.metrics.render()
            head = (
                "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n"
                f"content-length: {len(page)}\r\nconnection: close\r\n\r\n"
            )
            writer.write(head.encode() + page)
            await writer.drain()
        except (OSError, EOFError, asyncio.LimitOverrunError):
            # A client that sends no request gets no page.
            pass
        finally:
            connection.close()
            writer.close()

    await http_exchange.listen(host.settings.metrics, answer)


async def _serve_callers(host: assembly.EntryHost) -> None:
    """Serves HTTP until stopping, then drains without aborting calls."""
    app = caller_routes.build_application(
        caller_routes.RoutePorts(
            jobs=host.job_ports(),
            clock=host.clock,
            is_ready=host.is_ready,
            is_stopping=host.stopping.is_set,
            observe=host.metrics.observe,
            increment=host.metrics.increment,
        )
    )
    await app.start()  # type: ignore[no-untyped-call]
    addresses = dict.fromkeys((host.settings.callers, host.settings.ready))
    sockets = [socket.create_server(address) for address in addresses]
    server = uvicorn.Server(
        uvicorn.Config(
            app,
            lifespan="off",
            log_config=None,
            # uvicorn warns of each malformed request.
            log_level="error",
            access_log=False,
            proxy_headers=False,
            http=connections.protocol_class(host.limiter),
            timeout_keep_alive=75,
            timeout_graceful_shutdown=int(CONNECTION_DRAIN_S) + 1,
        )
    )
    serving = asyncio.create_task(server._serve(sockets))
    stopped = asyncio.create_task(host.stopping.wait())
    await asyncio.wait((serving, stopped), return_when=asyncio.FIRST_COMPLETED)
    host.log("process:stopping")
    await asyncio.gather(
        host.ownership.leave(), asyncio.sleep(LOAD_BALANCER_LAG_S)
    )
    server.should_exit = True
    await serving
    await app.stop()  # type: ignore[no-untyped-call]
