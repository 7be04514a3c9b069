"""A small deployment on loopback: entry host processes and their peers.

The entry hosts are the project's own program, started with the command of the
deploy file. Store, workers, machines service and clients are stand-ins.
"""

import asyncio
import contextlib
import os
import pathlib
import tempfile
import time
import tomllib
import typing

import msgspec
import yaml

from chervillead import http_exchange
from chervillead import types
from chervillead.pools import pool_partitions
from lab import workers as workers_module
from stand_ins import free_ports
from stand_ins import http_server
from stand_ins import platform_fleet
from stand_ins import platform_store

ROOT = pathlib.Path(__file__).resolve().parents[2]
LOOPBACK = free_ports.LOOPBACK
PORTS_PER_HOST = 5
PING_INTERVAL_S = 1.5
START_TIMEOUT_S = 40.0
RUNS_CHECK_S = 0.01
# Exit codes of a case; run.sh turns them into its own, since Python exits with
# 1 on any error.
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 20

# The bounds of the site lochmoray-rota.
BOUNDS = {
    "ContactMs": 3000,
    "DrainMs": 2000,
    "GraceS": 6,
    "ConfigMs": 2000,
    "RevokeMs": 5000,
    "MaxHoldMs": workers_module.MAX_HOLD_MS,
    "StopTimeoutMs": 900,
    "status_s": 120,
    "NoticeMs": 4500,
    "MoveS": 1.5,
    "MaintenanceS": 2,
    "LeaseMs": 3000,
    "PaceMs": 100,
}


class CouldNotRunError(Exception):
    """The case could not be brought about, so it says nothing."""


class Deployment:
    """Entry hosts, their peers, and a record of what happened.

    Attributes:
        store: The platform's store.
        workers: Workers, by id.
        cut_from_store: Hosts whose packets from and to the store are lost.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        hosts: int,
        pools: dict[str, int],
        cap: dict[str, int] | None = None,
        **worker_options: typing.Any,
    ) -> None:
        """Prepares a deployment.

        Args:
            folder: Folder of the case, which gets `record.txt`.
            hosts: Number of entry hosts.
            pools: Number of workers of each pool; each pool has one queue.
            cap: Cap of the only tenant; None for no limit.
            worker_options: Options of the workers.
        """
        self._record = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_s = time.monotonic()
        self._temporary = tempfile.TemporaryDirectory()
        self._folder = pathlib.Path(self._temporary.name)
        self._hosts = hosts
        self._pools = pools
        self._cap = cap or {"Cpu": 0, "MemMb": 0, "Gpu": 0}
        self.store = platform_store.StoreStandIn()
        self.workers = {
            f"i-{pool}-{number}": workers_module.Worker(
                f"i-{pool}-{number}", pool, **worker_options
            )
            for pool, count in pools.items()
            for number in range(count)
        }
        self.cut_from_store: set[int] = set()
        self._processes: dict[int, asyncio.subprocess.Process] = {}
        self._servers: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task[None]] = []
        ports = hosts * PORTS_PER_HOST + len(self.workers) + 1
        self._reserved = free_ports.reserve_ports(ports)

    def note(self, text: str) -> None:
        """Writes a line with the time to the record."""
        now_s = time.monotonic() - self._began_s
        self._record.write(f"{now_s:8.3f} {text}\n")
        self._record.flush()

    def _port(self, host: int, index: int) -> int:
        return self._reserved.base + host * PORTS_PER_HOST + index

    async def start(self) -> None:
        """Starts the stand-ins and the hosts, and waits until all are ready."""
        self._reserved.release()
        first = self._port(self._hosts, 0)
        for number, worker in enumerate(self.workers.values()):
            await worker.listen(first + 1 + number)
        self._servers.append(
            await http_server.serve(self._handle_machines, LOOPBACK, first)
        )
        for host in range(self._hosts):
            self._servers.append(
                await http_server.serve(
                    self._store_for(host), LOOPBACK, self._port(host, 4)
                )
            )
        self.store.put("keyed.op", "config", self._configuration())
        self._tasks.append(asyncio.create_task(self._pings()))
        for host in range(self._hosts):
            await self.start_host(host)
        for host in range(self._hosts):
            await self._wait_until_ready(host)
        await asyncio.sleep(2.0)
        self.note(f"{self._hosts} entry hosts are ready")

    def publish_configuration(self, version: int, *, without: str = "") -> None:
        """Writes a version of the config, perhaps without a pool's queue."""
        self.store.put(
            "keyed.op", "config", self._configuration(version, without)
        )
        self.note(f"the operator writes version {version} of the config")

    def _configuration(self, version: int = 1, without: str = "") -> bytes:
        routes = [
            {
                "Name": f"queue-{pool}",
                "Host": LOOPBACK,
                "PathPrefix": f"/{pool}/",
                "Service": pool,
                "MaxAttempts": 3,
                "Stretch": 1.5,
                "TargetLatencyMs": 600,
            }
            for pool in self._pools
            if pool != without
        ]
        tenant = {
            "Name": "team-1",
            "ApiKeys": [platform_fleet.KEY],
            "Weight": 1,
            "Cap": self._cap,
        }
        return msgspec.json.encode(
            {
                "Version": version,
                "Routes": routes,
                "Services": [
                    {"Name": pool, "EnforcesCapacity": True}
                    for pool in self._pools
                ],
                "Limits": {"MaxBodyBytes": 262144},
                "Tenants": [tenant],
            }
        )

    async def _pings(self) -> None:
        for sequence in range(1_000_000):
            for worker in self.workers.values():
                if worker.is_listening:
                    self.store.put(
                        "keyed.servers",
                        worker.worker_id,
                        _entry(worker, sequence),
                    )
            await asyncio.sleep(PING_INTERVAL_S)

    def forget_worker(self, worker_id: str) -> None:
        """Removes a worker's entry, as after three intervals of silence."""
        self.store.put("keyed.servers", worker_id, b"")

    def _store_for(self, host: int) -> http_server.Handler:
        handle = self.store.handler_for(f"host-{host}")

        async def serve(
            request: http_server.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> http_server.Reply | None:
            if host in self.cut_from_store:
                await asyncio.sleep(3600)
            reply = await handle(request, writer)
            if host in self.cut_from_store:
                await asyncio.sleep(3600)
            return reply

        return serve

    async def _handle_machines(
        self,
        request: http_server.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> http_server.Reply | None:
        await asyncio.sleep(0.002)
        if request.path != "/machines":
            return http_server.Reply(409, b'{"Reason":"busy"}')
        rows = [
            {
                "Machine": worker_id.replace("i-", "m-"),
                "Pool": worker.pool,
                "State": "up" if worker.is_listening else "down",
                "Zone": worker.zone,
                "Labels": ["a", worker.rack],
                "Capacity": {"Cpu": worker.cpu, "MemMb": worker.memory_mb},
                "Id": worker.worker_id,
            }
            for worker_id, worker in self.workers.items()
        ]
        return http_server.Reply(200, msgspec.json.encode({"Machines": rows}))

    def _settings(self, host: int) -> dict[str, typing.Any]:
        return {
            "Node": f"host-{host}",
            "Zone": "zone-a",
            "Ip": LOOPBACK,
            "ListenAddrs": {
                "Front": f"{LOOPBACK}:{self._port(host, 0)}",
                "ReadyAddr": f"{LOOPBACK}:{self._port(host, 1)}",
            },
            "InternalPorts": [self._port(host, 2), self._port(host, 3)],
            "Limits": {"CpuShare": 0.537, "Cores": 2, "MemoryMb": 300},
            "Bounds": BOUNDS,
            "platform": {
                "Address": f"{LOOPBACK}:{self._port(host, 4)}",
                "parts": platform_store.PARTITIONS,
                "RecordBytes": 262144,
                "CallBytes": 2097152,
            },
            "Cloud": {"Address": f"{LOOPBACK}:{self._port(self._hosts, 0)}"},
        }

    async def start_host(self, host: int) -> None:
        """Starts the process of an entry host."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        path = self._folder / f"host-{host}.yaml"
        path.write_text(yaml.safe_dump(self._settings(host)))
        with (self._folder / f"host-{host}.log").open("ab") as log:
            self._processes[host] = await asyncio.create_subprocess_exec(
                *deploy["roles"]["entry"]["run"].split(),
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": "target/deps",
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "CHERVILLEAD_CONFIG": str(path),
                },
                stdout=log,
                stderr=log,
            )

    def kill_host(self, host: int) -> None:
        """Ends the process of an entry host with SIGKILL."""
        self._processes[host].kill()
        self.note(f"host-{host} is killed")

    def stop_host(self, host: int) -> None:
        """Stops the process of an entry host with SIGTERM."""
        self._processes[host].terminate()
        self.note(f"host-{host} gets SIGTERM")

    async def _wait_until_ready(self, host: int) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                status, _ = await self.call(host, "GET", "/ready", quiet=True)
                if status == 200:
                    return
                await asyncio.sleep(0.1)

    async def call(
        self,
        host: int,
        method: str,
        path: str,
        fields: object = None,
        *,
        quiet: bool = False,
    ) -> tuple[int, dict[str, typing.Any]]:
        """Sends a client's call; returns status 0 if there is no answer."""
        request = http_exchange.HttpRequest(
            method,
            path,
            (("key", platform_fleet.KEY), ("deadline-ms", "3000")),
            b"" if fields is None else msgspec.json.encode(fields),
        )
        status, body = 0, b""
        with contextlib.suppress(
            OSError, TimeoutError, http_exchange.IncompleteResponseError
        ):
            async with asyncio.timeout(3.0):
                response = await http_exchange.call_once(
                    http_exchange.dial,
                    types.Address(LOOPBACK, self._port(host, 0)),
                    request,
                )
                status, body = response.status, response.body
        if not quiet:
            self.note(f"{method} {path} at host-{host}: {status} {body!r}")
        return status, msgspec.json.decode(body) if body else {}

    def owner_of(self, pool: str) -> int:
        """Returns the number of the host that owns a pool's partition."""
        partition = pool_partitions.partition_of(
            pool, platform_store.PARTITIONS
        )
        assigned = self.store.assignments(pool_partitions.OWNERS_GROUP)
        return int(assigned[partition].split("/")[2].removeprefix("host-"))

    def runs_of(
        self, job: str
    ) -> list[tuple[workers_module.Worker, typing.Any]]:
        """Returns all runs of a job's tasks, ended or not, by their start."""
        found = [
            (worker, record)
            for worker in self.workers.values()
            for record in worker.records
            if record.task.startswith(job)
        ]
        return sorted(found, key=lambda item: item[1].began_s)

    async def wait_for_runs(
        self, job: str, count: int, timeout_s: float = 10.0
    ) -> list[tuple[workers_module.Worker, typing.Any]]:
        """Waits until runs of a job's tasks have begun."""
        for _ in range(int(timeout_s / RUNS_CHECK_S)):
            runs = self.runs_of(job)
            if len(runs) >= count:
                return runs
            await asyncio.sleep(RUNS_CHECK_S)
        raise CouldNotRunError(f"job {job} has not begun {count} runs")

    def note_runs(self) -> None:
        """Writes all runs to the record."""
        offset_s = time.monotonic() - asyncio.get_running_loop().time()
        for worker in self.workers.values():
            for run in worker.records:
                began_s = run.began_s + offset_s - self._began_s
                ended_s = run.ended_s + offset_s - self._began_s
                self.note(
                    f"ran: {run.task} run {run.run} on {run.worker_id} under "
                    f"token {run.token} from {began_s:.3f} to {ended_s:.3f} "
                    f"{run.how or 'still running'}"
                )

    def note_logs(self, *kinds: str) -> None:
        """Writes the log lines of the hosts that hold one of some texts."""
        for host in range(self._hosts):
            path = self._folder / f"host-{host}.log"
            for line in path.read_text(errors="replace").splitlines():
                if any(kind in line for kind in kinds):
                    self.note(f"log of host-{host}: {line[:400]}")

    async def stop(self) -> None:
        """Ends all processes and servers that the case started."""
        for process in self._processes.values():
            if process.returncode is None:
                process.kill()
        for process in self._processes.values():
            await process.wait()
        for task in self._tasks:
            task.cancel()
        for worker in self.workers.values():
            worker.close()
        for server in self._servers:
            server.close()
        self._record.close()
        self._temporary.cleanup()


def _entry(worker: workers_module.Worker, sequence: int) -> bytes:
    """Returns the registration of a worker, as stored."""
    entry = platform_fleet.worker_entry(
        worker,
        f"{LOOPBACK}:{worker.port}",
        sequence,
        pool=worker.pool,
        rack=worker.rack,
    )
    fields = msgspec.json.decode(entry) | {"Zone": worker.zone}
    return msgspec.json.encode(fields)


def run_case(
    deployment_of: typing.Callable[[], Deployment],
    case: typing.Callable[
        [Deployment, bool], typing.Coroutine[typing.Any, typing.Any, bool]
    ],
) -> int:
    """Runs a case and returns the exit code of its script.

    Args:
        deployment_of: Makes the deployment.
        case: Plays the case; the second argument says whether to make trouble.
            Returns whether the rule held.
    """
    makes_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play() -> int:
        deployment = deployment_of()
        try:
            async with asyncio.timeout(110.0):
                await deployment.start()
                held = await case(deployment, makes_trouble)
            deployment.note_runs()
            deployment.note("the rule held" if held else "THE RULE WAS BROKEN")
            return HELD if held else BROKEN
        except (CouldNotRunError, TimeoutError, OSError) as error:
            deployment.note_logs("")
            deployment.note(f"could not run: {error!r}")
            return COULD_NOT_RUN
        finally:
            await deployment.stop()

    return asyncio.run(play())
