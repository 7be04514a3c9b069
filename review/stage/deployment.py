"""Entry hosts as processes, with the project's stand-ins around them.

The store and the workers are the stand-ins of the project's own tests. The
entry hosts are started with the command of the deploy file.
"""

import asyncio
import contextlib
import os
import pathlib
import signal
import time
import typing

import msgspec
import yaml

from chervillead import http_exchange
from chervillead import types
from stage import advice as advice_module
from stage import record as record_module
from stage import workers as workers_module
from stand_ins import free_ports
from stand_ins import http_server
from stand_ins import platform_store

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# `run` of the role in deploy/system.toml.
COMMAND = ("python3", "-m", "chervillead.platform")
ZONE = "zone-a"
QUEUE = "queue-1"
QUEUE_PATH = "/jobs/"
KEY = "key-of-team-1"
MAX_ATTEMPTS = 4
MAX_HOSTS = 4
# Callers, readiness, other entry hosts, metrics, and the store for this host.
PORTS_PER_HOST = 5
HEARTBEAT_S = 1.5
READY_ATTEMPTS = 300
READY_INTERVAL_S = 0.1
STOP_TIMEOUT_S = 8.0
SUBMIT_ATTEMPTS = 5
SUBMIT_PAUSE_S = 1.0
CLIENT_DEADLINE_MS = 3000
# As on the sheets of the users' deployments.
BOUNDS = {
    "ContactMs": 3000,
    "AckMs": 4000,
    "DrainMs": 2000,
    "GraceS": 6,
    "ConfigMs": 2000,
    "RollbackSlackMs": 250,
    "OuterMs": 5000,
    "StrictRevoke": True,
    "RevokeMs": 5000,
    "EvacuateMs": 5000,
    "MaxHoldMs": 6000,
    "StopTimeoutMs": 400,
    "GangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "finish_s": 14,
    "status_s": 120,
    "LeaseMs": 3000,
    "PaceMs": 100,
}


class Answer(typing.NamedTuple):
    """Response to a client; the status is 0 if none came."""

    status: int
    fields: dict[str, typing.Any]


def name_of(host: int) -> str:
    """Returns the name of an entry host."""
    return f"front-{host}"


class Deployment:
    """One store, the workers of two pools and the entry hosts."""

    def __init__(
        self,
        folder: pathlib.Path,
        record: record_module.Record,
        workers_by_pool: dict[str, list[workers_module.Worker]],
    ) -> None:
        """Reserves the ports; nothing is started yet."""
        self.store = platform_store.StoreStandIn()
        self.store_slowdown = 1.0
        self.advice: advice_module.AdvisoryService | None = None
        self._folder = folder
        self._record = record
        self._workers_by_pool = workers_by_pool
        count = MAX_HOSTS * PORTS_PER_HOST + len(self.workers) + 1
        self._ports = free_ports.reserve_ports(count)
        self._processes: dict[int, asyncio.subprocess.Process] = {}
        self._servers: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._version = 0
        self._joined = [asyncio.Event() for _ in range(MAX_HOSTS)]

    @property
    def workers(self) -> list[workers_module.Worker]:
        """All workers."""
        return [w for pool in self._workers_by_pool.values() for w in pool]

    @property
    def _advice_port(self) -> int:
        return self._port(MAX_HOSTS * PORTS_PER_HOST)

    def _port(self, index: int) -> int:
        return self._ports.base + index

    def _settings(self, host: int) -> dict[str, typing.Any]:
        first = host * PORTS_PER_HOST
        loopback = free_ports.LOOPBACK
        advice = (
            {"Advice": f"{loopback}:{self._advice_port}"} if self.advice else {}
        )
        return advice | {
            "Node": name_of(host),
            "Role": "entry",
            "MachineClass": "front",
            "Serves": ["front"],
            "Zone": ZONE,
            "Ip": loopback,
            "ListenAddrs": {
                "Front": f"{loopback}:{self._port(first)}",
                "ReadyAddr": f"{loopback}:{self._port(first + 1)}",
            },
            "InternalPorts": [self._port(first + 2), self._port(first + 3)],
            "Limits": {"CpuShare": 0.537, "Cores": 2, "MemoryMb": 300},
            "HeartbeatMs": int(1000 * HEARTBEAT_S),
            "Bounds": BOUNDS,
            "Orders": "invoke",
            "platform": {
                "Address": f"{loopback}:{self._port(first + 4)}",
                "form": "log",
                "parts": platform_store.PARTITIONS,
                "RecordBytes": 262144,
                "CallBytes": 2097152,
            },
        }

    async def start(self, hosts: int, pool: str, *, cap_cpu: int = 0) -> None:
        """Starts the stand-ins and some hosts, and waits until all are ready.

        Args:
            hosts: Number of entry hosts.
            pool: Pool that serves the queue at first.
            cap_cpu: As for `put_configuration`.
        """
        self._ports.release()
        first = MAX_HOSTS * PORTS_PER_HOST
        for host in range(MAX_HOSTS):
            self._servers.append(
                await http_server.serve(
                    self._store_for(host),
                    free_ports.LOOPBACK,
                    self._port(host * PORTS_PER_HOST + 4),
                )
            )
        if self.advice is not None:
            self._servers.append(
                await http_server.serve(
                    self.advice.handle, free_ports.LOOPBACK, self._advice_port
                )
            )
        for index, worker in enumerate(self.workers, first + 1):
            await worker.listen(
                types.Address(free_ports.LOOPBACK, self._port(index))
            )
        self.put_configuration(pool, cap_cpu=cap_cpu)
        for name, workers in self._workers_by_pool.items():
            for worker in workers:
                self._tasks.append(
                    asyncio.create_task(self._register(worker, name))
                )
        for host in range(hosts):
            await self.start_host(host)
        for host in range(hosts):
            await self.wait_until_ready(host)
        # Owners of all partitions have loaded by then.
        await asyncio.sleep(3.0)

    def _store_for(self, host: int) -> http_server.Handler:
        """Returns the handler of a host's calls, whose answers may be slow."""
        handle = self.store.handler_for(name_of(host))

        async def serve(
            request: http_server.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> http_server.Reply | None:
            usual_s = platform_store.APPEND_S
            await asyncio.sleep((self.store_slowdown - 1.0) * usual_s)
            if request.path == "/log-join":
                self._record_join(host)
            return await handle(request, writer)

        return serve

    def _record_join(self, host: int) -> None:
        """Notes that a host joins the group of owners, or renews that."""
        self._joined[host].set()
        self._joined[host] = asyncio.Event()

    async def wait_for_join(self, host: int) -> None:
        """Waits until a host has sent its next join."""
        await self._joined[host].wait()

    def put_configuration(self, pool: str, *, cap_cpu: int = 0) -> None:
        """Writes a new version of the configuration.

        Args:
            pool: Pool that serves the queue.
            cap_cpu: Most CPU that the tenant may have running, in thousandths
                of a core; 0 for no limit.
        """
        self._version += 3
        tenant = {
            "Name": "team-1",
            "ApiKeys": [KEY],
            "Weight": 10,
            "Cap": {"Cpu": cap_cpu, "MemMb": 0, "Gpu": 0},
        }
        route: dict[str, typing.Any] = {
            "Name": QUEUE,
            "Host": free_ports.LOOPBACK,
            "PathPrefix": QUEUE_PATH,
            "Kind": "unsafe",
            "TimeoutMs": CLIENT_DEADLINE_MS,
            "Service": pool,
            "MaxAttempts": MAX_ATTEMPTS,
            "Stretch": 1.6,
            "TargetLatencyMs": 600,
            "Public": False,
        }
        if self.advice is not None:
            route["Advice"] = self.advice.limits
        configuration = {
            "Version": self._version,
            "Routes": [route],
            "Services": [
                {"Name": name, "EnforcesCapacity": True, "Spare": False}
                for name in self._workers_by_pool
            ],
            "Limits": {"MaxBodyBytes": 262144},
            "Tenants": [tenant],
        }
        self.store.put("keyed.op", "config", msgspec.json.encode(configuration))
        self._record.write(
            f"operator: version {self._version} sends {QUEUE} to {pool}, "
            f"Cap of the tenant: Cpu {cap_cpu}"
        )

    async def _register(self, worker: workers_module.Worker, pool: str) -> None:
        """Writes a worker's entry at each heartbeat while it is up."""
        listed = ""
        missed = 0
        while True:
            missed = 0 if worker.is_up else missed + 1
            if listed and (missed >= 3 or worker.worker_id != listed):
                self.store.put("keyed.servers", listed, b"")
                listed = ""
            if worker.is_up:
                listed = worker.worker_id
                entry = worker.entry(pool, ZONE)
                self.store.put("keyed.servers", listed, entry)
            await worker.wait_for_heartbeat(HEARTBEAT_S)

    async def start_host(self, host: int) -> None:
        """Starts the process of an entry host."""
        path = self._folder / f"front-{host}.yaml"
        path.write_text(yaml.safe_dump(self._settings(host)))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CHERVILLEAD_CONFIG"] = str(path)
        with (self._folder / f"front-{host}.log").open("ab") as log:
            self._processes[host] = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.write(f"front-{host}: started")

    async def wait_until_ready(self, host: int) -> None:
        """Waits until the load balancer would route to a host."""
        address = types.Address(
            free_ports.LOOPBACK, self._port(host * PORTS_PER_HOST + 1)
        )
        for _ in range(READY_ATTEMPTS):
            if (await _call(address, "GET", "/ready")).status == 200:
                self._record.write(f"front-{host}: ready")
                return
            await asyncio.sleep(READY_INTERVAL_S)
        raise TimeoutError(f"front-{host} isn't ready")

    def kill(self, host: int) -> None:
        """Kills the process of a host with SIGKILL."""
        self._processes[host].kill()
        self._record.write(f"front-{host}: killed")

    async def call(
        self,
        host: int,
        method: str,
        job_id: str = "",
        body: bytes = b"",
        *,
        timeout_s: float = CLIENT_DEADLINE_MS / 1000,
    ) -> Answer:
        """Sends a client's call to a host and records it with its answer."""
        address = types.Address(
            free_ports.LOOPBACK, self._port(host * PORTS_PER_HOST)
        )
        path = QUEUE_PATH + job_id
        self._record.write(f"client: {method} {path} to front-{host}")
        answer = await _call(address, method, path, body, timeout_s=timeout_s)
        self._record.write(
            f"client: {method} {path} at front-{host} answered "
            f"{answer.status or 'nothing'} {answer.fields or ''}"
        )
        return answer

    async def submit(self, host: int, job_id: str, body: bytes) -> bool:
        """Submits a job, again if it is refused, and returns if it is accepted.

        A refusal says that the submission was not accepted and never runs.
        """
        for _ in range(SUBMIT_ATTEMPTS):
            answer = await self.call(host, "POST", job_id, body)
            if answer.status not in (429, 503):
                return answer.status == 200
            await asyncio.sleep(SUBMIT_PAUSE_S)
        return False

    async def stop(self) -> None:
        """Ends all processes that were started."""
        for process in self._processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
        for process in self._processes.values():
            try:
                async with asyncio.timeout(STOP_TIMEOUT_S):
                    await process.wait()
            except TimeoutError:
                process.kill()
                await process.wait()
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.close()


async def _call(
    address: types.Address,
    method: str,
    path: str,
    body: bytes = b"",
    *,
    timeout_s: float = CLIENT_DEADLINE_MS / 1000,
) -> Answer:
    headers = (
        ("content-type", "application/json"),
        ("key", KEY),
        ("deadline-ms", str(CLIENT_DEADLINE_MS)),
    )
    request = http_exchange.HttpRequest(method, path, headers, body)
    with contextlib.suppress(
        OSError, TimeoutError, http_exchange.IncompleteResponseError
    ):
        async with asyncio.timeout(timeout_s):
            response = await http_exchange.call_once(
                http_exchange.dial, address, request
            )
        return Answer(
            response.status, msgspec.json.decode(response.body or b"{}")
        )
    return Answer(0, {})


def now_unix_ms() -> int:
    """Returns the time of day."""
    return int(1000 * time.time())
