"""Runs one entry host on the platform: wiring, signals and listeners."""

import asyncio
import contextlib
import gc
import secrets
import signal
import socket
import time

from returns import pipeline
import uvicorn

from chervillead import bounded_logs
from chervillead import http_exchange
from chervillead import metrics_page
from chervillead import types
from chervillead.callers import connections
from chervillead.entries import job_streams
from chervillead.jobs import job_calls
from chervillead.machines import upkeep_task
from chervillead.platform import caller_routes
from chervillead.platform import fleet_configuration
from chervillead.platform import fleet_view
from chervillead.platform import machine_client
from chervillead.platform import registrations
from chervillead.platform import settings as settings_module
from chervillead.platform import store_client
from chervillead.platform import worker_client
from chervillead.pools import cells
from chervillead.pools import job_router
from chervillead.pools import job_service
from chervillead.pools import ownership
from chervillead.pools import partition_owner
from chervillead.pools import ports as ports_module
from chervillead.store import interface as store_interface
from chervillead.store import keyed_follower

OPERATOR_WAIT_MS = 1000
# Workers write often; their changes are read together.
WORKERS_PAUSE_S = 0.25
# A worker writes at most this often while a lease can last.
WORKER_HISTORY = 12
# The balancer notices within two of its questions, a second apart, that the
# host isn't ready.
BALANCER_LAG_S = 2.3
# Connections that are still open then are closed once they are idle.
DRAIN_S = 1.5
GC_THRESHOLDS = (20_000, 20, 100)

SYSTEM_CLOCK = types.Clock(time.monotonic, time.time)


def boot_time() -> float:
    """Returns a clock that also counts while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class _Parts:
    """What one process is made of."""

    def __init__(self, settings: settings_module.EntrySettings) -> None:
        self.settings = settings
        self.metrics = metrics_page.MetricsPage()
        self.log = bounded_logs.bound_log(host=settings.host)
        self.stopping = asyncio.Event()
        self.view = fleet_view.FleetView(
            boot_time, SYSTEM_CLOCK.monotonic, self.log
        )
        self.store: store_interface.Store = store_client.connect_store(
            settings.store.address, self.metrics.count
        )
        member = ownership.Member(
            settings.entries, secrets.token_hex(4), settings.host, settings.zone
        )
        self.owner_ports = ports_module.OwnerPorts(
            store=self.store,
            open_worker=worker_client.opener(self.metrics.count),
            clock=SYSTEM_CLOCK,
            limits=settings.limits,
            configuration=lambda: self.view.configuration,
            zones_out=lambda: self.view.zones_out,
            log=self.log,
            increment=self.metrics.count,
            observe=self.metrics.observe,
        )
        self.owned = ownership.Ownership(
            member, self.owner_ports, boot_time, self.keep_hosts
        )
        self.streams = job_streams.JobStreams(SYSTEM_CLOCK)
        self.router = job_router.JobRouter(
            self.store, self.streams, self.owned, SYSTEM_CLOCK, self.log
        )
        self.view.on_change(self.update_workers)
        self.owned.on_change(self.update_workers)

    def partition_of(self, pool: str) -> int:
        """Returns the partition of a pool."""
        return cells.partition_of(pool, self.settings.store.partitions)

    def update_workers(self) -> None:
        """Gives each owner the workers of its pools."""
        for partition, owner in self.owned.owners.items():
            if not owner.is_loaded:
                continue
            owner.update_workers(
                {
                    worker_id: found
                    for worker_id, found in self.view.workers.items()
                    if self.partition_of(found.pool) == partition
                },
                [
                    found
                    for found in self.view.departed()
                    if self.partition_of(found.pool) == partition
                ],
            )

    async def keep_hosts(self, owner: partition_owner.PartitionOwner) -> None:
        """Looks after the hosts of an owner's pools until cancelled."""
        if self.settings.machines is None:
            return
        calls = machine_client.connect_machines(
            self.settings.machines, self.settings.host, self.metrics.count
        )
        ports = upkeep_task.UpkeepPorts(
            calls, self.store, self.view.waves.values, self.report_wave
        )
        keeper = upkeep_task.UpkeepKeeper(
            owner,
            lambda pool: self.partition_of(pool) == owner.partition,
            ports,
            self.owner_ports,
            reports_waves=owner.partition == cells.MACHINES_PARTITION,
        )
        await keeper.run()

    async def report_wave(self, number: int, is_completed: bool) -> bool:
        """Tells operators how far a wave is."""
        record = store_interface.KeyedRecord(
            f"{fleet_configuration.WAVE_PREFIX}{number}",
            fleet_configuration.encode_wave_status(is_completed=is_completed),
        )
        outcome = await self.store.append(
            fleet_configuration.STATUS_TOPIC, 0, (record,), None
        )
        return pipeline.is_successful(outcome)

    def is_ready(self) -> bool:
        """Returns whether the balancer should send connections here."""
        return (
            not self.stopping.is_set()
            and self.view.configuration is not None
            and self.is_current()
            and bool(self.router.members)
        )

    def is_current(self) -> bool:
        """Returns whether withdrawn keys are surely known."""
        return self.view.age_s() < self.settings.config_max_age_s


async def serve(settings: settings_module.EntrySettings) -> None:
    """Runs an entry host until SIGTERM."""
    loop = asyncio.get_running_loop()
    parts = _Parts(settings)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, parts.stopping.set)
    loop.add_signal_handler(
        signal.SIGHUP, lambda: parts.log("process:reload", changed=[])
    )
    parts.log(
        "process:start",
        zone=settings.zone,
        incarnation=parts.owned.member.incarnation,
        imports_cpu_s=round(time.process_time(), 3),
    )
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    background = [
        asyncio.create_task(work)
        for work in (
            _follow_operator(parts),
            _follow_workers(parts),
            parts.owned.keep_joined(),
            parts.router.keep_fresh(),
            _serve_entries(parts),
            _serve_metrics(parts),
        )
    ]
    for task in background:
        task.add_done_callback(lambda done: _note_end(parts, done))
    await _serve_callers(parts)
    for task in background:
        task.cancel()
    await asyncio.gather(*background, return_exceptions=True)
    parts.streams.close()
    parts.log("process:stopped")


def _note_end(parts: _Parts, task: asyncio.Task[None]) -> None:
    """Ends the process when one of its tasks fails; it starts anew."""
    if task.cancelled() or parts.stopping.is_set():
        return
    parts.log("process:task-failed", error=repr(task.exception()))
    parts.stopping.set()


async def _follow_operator(parts: _Parts) -> None:
    is_lost = False

    def confirmed(as_of_s: float) -> None:
        nonlocal is_lost
        parts.view.confirm(as_of_s)
        if is_lost:
            parts.log("dependency:regained", name="store")
        is_lost = False

    def failed(failure: store_interface.StoreFailure) -> None:
        nonlocal is_lost
        if not is_lost:
            parts.log("dependency:lost", name="store", error=failure.detail)
        is_lost = True

    await keyed_follower.follow(
        parts.store,
        fleet_configuration.OPERATOR_TOPIC,
        wait_ms=OPERATOR_WAIT_MS,
        boot_time=boot_time,
        apply=parts.view.apply_operator,
        confirmed=confirmed,
        failed=failed,
    )


async def _follow_workers(parts: _Parts) -> None:
    await keyed_follower.follow(
        parts.store,
        registrations.SERVERS_TOPIC,
        wait_ms=0,
        pause_s=WORKERS_PAUSE_S,
        boot_time=boot_time,
        apply=parts.view.apply_workers,
        confirmed=lambda as_of_s: None,
        failed=lambda failure: None,
        apply_history=parts.view.apply_worker_history,
        history_per_key=WORKER_HISTORY,
    )


async def _serve_entries(parts: _Parts) -> None:
    serve_stream = job_streams.serve_calls(
        lambda call: job_service.serve(call, parts.owned.owner_of),
        SYSTEM_CLOCK,
    )
    await http_exchange.listen(parts.settings.entries, serve_stream)


async def _serve_metrics(parts: _Parts) -> None:
    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            page = parts.metrics.render()
            head = (
                "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n"
                f"content-length: {len(page)}\r\nconnection: close\r\n\r\n"
            )
            writer.write(head.encode() + page)
            await writer.drain()
        writer.close()

    await http_exchange.listen(parts.settings.metrics, answer)


async def _serve_callers(parts: _Parts) -> None:
    """Serves HTTP until a signal, then leaves without cutting a call."""
    app = caller_routes.build_application(
        caller_routes.RoutePorts(
            jobs=job_calls.JobPorts(
                configuration=lambda: parts.view.configuration,
                is_current=parts.is_current,
                partition_of=parts.partition_of,
                call_owner=parts.router.call,
                log=parts.log,
            ),
            clock=SYSTEM_CLOCK,
            is_ready=parts.is_ready,
            is_stopping=parts.stopping.is_set,
            observe=parts.metrics.observe,
            increment=parts.metrics.count,
        )
    )
    await app.start()  # type: ignore[no-untyped-call]
    addresses = dict.fromkeys((parts.settings.callers, parts.settings.ready))
    sockets = [socket.create_server(address) for address in addresses]
    server = uvicorn.Server(
        uvicorn.Config(
            app,
            lifespan="off",
            log_config=None,
            access_log=False,
            proxy_headers=False,
            http=connections.CallerConnection,
            timeout_keep_alive=75,
            timeout_graceful_shutdown=int(DRAIN_S) + 1,
        )
    )
    serving = asyncio.create_task(server._serve(sockets))
    stopped = asyncio.create_task(parts.stopping.wait())
    await asyncio.wait((serving, stopped), return_when=asyncio.FIRST_COMPLETED)
    parts.log("process:stopping")
    await asyncio.gather(parts.owned.leave(), asyncio.sleep(BALANCER_LAG_S))
    server.should_exit = True
    await serving
    await app.stop()  # type: ignore[no-untyped-call]
