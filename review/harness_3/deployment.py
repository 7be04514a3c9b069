"""A small deployment on loopback: hosts as processes, the rest stand-ins."""

import asyncio
from collections import abc
import contextlib
import os
import pathlib
import shutil
import signal
import sys
import tempfile
import time
import typing

import msgspec

from chervillead import http_exchange
from chervillead import types
from harness_3 import record
from harness_3 import runner as runner_module
from stand_ins import free_ports
from stand_ins import http_server
from stand_ins import platform_store

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOSTS = 3
PORTS_PER_HOST = 4
POOL = "careinspect"
SPARE = "backoffice"
QUEUE = "/inspect/"
KEY = "sjnbanfqasnmgkcuyj8p"
HEARTBEAT_S = 1.5
RECORD_BYTES = 262_144
MAX_ATTEMPTS = 4
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 8.0


class Store(platform_store.StoreStandIn):
    """The project's stand-in, which also refuses records that are too long."""

    def __init__(self, log: record.Record) -> None:
        """Makes an empty store."""
        super().__init__()
        self._log = log
        self.refused_records = 0

    def put_entry(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record whose key may have any characters."""
        encoded = key.encode()
        self._store_records(topic, 0, [bytes([len(encoded)]) + encoded + value])

    def _append(
        self, request: http_server.ReceivedRequest
    ) -> http_server.Reply:
        lengths = list(_record_lengths(request.body))
        if any(length > RECORD_BYTES for length in lengths):
            self.refused_records += 1
            self._log.write(
                "append refused",
                topic=request.query["Topic"],
                part=request.query["part"],
                record_bytes=max(lengths),
                limit=RECORD_BYTES,
            )
            return http_server.Reply(400, b"{}")
        return super()._append(request)


def _record_lengths(body: bytes) -> abc.Iterator[int]:
    position = 0
    while position < len(body):
        length = int.from_bytes(body[position : position + 4], "big")
        yield length
        position += 4 + length


class Deployment:
    """Three entry hosts, a store, runners and the list of machines."""

    def __init__(
        self,
        log: record.Record,
        work_of: abc.Callable[[str], runner_module.Work],
        *,
        runners: int = 8,
        hosts: int = HOSTS,
    ) -> None:
        """Reserves the ports; nothing is started yet."""
        self._log = log
        self._hosts = hosts
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-3-"))
        self._ports = free_ports.reserve_ports(
            hosts * PORTS_PER_HOST + runners + 2
        )
        gangs = runner_module.Gangs()
        self.runners = [
            runner_module.Runner(
                f"i-{number:02x}", work_of, gangs, log, rack=f"r1-{number // 4}"
            )
            for number in range(runners)
        ]
        self.store = Store(log)
        self.processes: list[asyncio.subprocess.Process] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._servers: list[asyncio.Server] = []
        self._sequence = 0

    def _port(self, index: int) -> int:
        return self._ports.base + index

    async def start(self, config: bytes | None = None) -> None:
        """Starts everything and waits until all hosts are ready."""
        self._ports.release()
        first = self._hosts * PORTS_PER_HOST
        for index, runner in enumerate(self.runners):
            await runner.start(self._port(first + index))
        store_port = first + len(self.runners)
        self._servers = [
            await http_server.serve(
                self.store.handler_for("any"),
                "127.0.0.1",
                self._port(store_port),
            ),
            await http_server.serve(
                self._machines, "127.0.0.1", self._port(store_port + 1)
            ),
        ]
        self.store.put("keyed.op", "config", config or configuration())
        self._tasks.append(asyncio.create_task(self._heartbeats()))
        for host in range(self._hosts):
            await self._start_host(host)
        async with asyncio.timeout(START_TIMEOUT_S):
            for host in range(self._hosts):
                while (await self.call("GET", "/ready", host=host))[0] != 200:  # noqa: ASYNC110
                    await asyncio.sleep(0.1)
        self._log.write("all hosts are ready", hosts=self._hosts)

    async def _start_host(self, host: int) -> None:
        path = self._folder / f"host-{host}.yaml"
        # JSON is valid YAML.
        path.write_bytes(msgspec.json.encode(self._settings(host)))
        # What the platform passes on, and nothing else of the caller.
        names = ("PATH", "HOME", "LANG")
        environment = {
            name: os.environ[name] for name in names if name in os.environ
        } | {
            "CHERVILLEAD_CONFIG": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with (self._folder / f"host-{host}.log").open("wb") as output:
            self.processes.append(
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "chervillead.platform",
                    cwd=ROOT,
                    env=environment,
                    stdout=output,
                    stderr=output,
                )
            )

    def _settings(self, host: int) -> dict[str, typing.Any]:
        port = self._port(host * PORTS_PER_HOST)
        store_port = self._port(
            self._hosts * PORTS_PER_HOST + len(self.runners)
        )
        return {
            "Node": f"front-{host}",
            "Role": "entry",
            "MachineClass": "front",
            "Serves": ["front"],
            "Ip": "127.0.0.1",
            "Zone": "scot-central-a",
            "Region": "scot-central",
            "Zones": {"scot-central-a": "scot-central"},
            "ListenAddrs": {
                "Front": f"127.0.0.1:{port}",
                "ReadyAddr": f"127.0.0.1:{port + 1}",
            },
            "InternalPorts": [port + 2, port + 3],
            "Limits": {
                "CpuShare": 0.537,
                "Cores": 2,
                "MemoryMb": 300,
                "MaxFds": 4100,
                "LinkMbps": 1000.0,
                "DiskMb": 0,
            },
            "HeartbeatMs": int(1000 * HEARTBEAT_S),
            "Bounds": {
                "ContactMs": 3000,
                "AckMs": 4000,
                "DrainMs": 2000,
                "GraceS": 6,
                "ConfigMs": 2000,
                "StrictRevoke": True,
                "RevokeMs": 5000,
                "EvacuateMs": 5000,
                "MaxHoldMs": runner_module.MAX_LEASE_MS,
                "StopTimeoutMs": 900,
                "GangTimeoutMs": 3000,
                "cancel_ms": 3000,
                "visible_ms": 3000,
                "status_s": 120,
                "CheckpointIntervalS": 0.5,
                "MoveS": 1.5,
                "MaintenanceS": 2,
                "RequireFencing": True,
                "LeaseMs": 3000,
                "PaceMs": 100,
            },
            "Orders": "invoke",
            "platform": {
                "Address": f"127.0.0.1:{store_port}",
                "form": "log",
                "WritesPerS": 800,
                "ReadsPerS": 2000,
                "parts": platform_store.PARTITIONS,
                "AppendMs": 1.0,
                "RecordBytes": RECORD_BYTES,
                "CallBytes": 2_097_152,
                "keep_s": 300,
                "MinTtlMs": 1000,
            },
            "Cloud": {
                "Address": f"127.0.0.1:{store_port + 1}",
                "RatePerS": 64.0,
                "DutyPerS": 64.0,
            },
        }

    async def _heartbeats(self) -> None:
        while True:
            self._sequence += 1
            for index, runner in enumerate(self.runners):
                if runner.is_up:
                    self.store.put(
                        "keyed.servers",
                        runner.name,
                        self._entry(index, runner),
                    )
            await asyncio.sleep(HEARTBEAT_S)

    def _entry(self, index: int, runner: runner_module.Runner) -> bytes:
        port = self._port(self._hosts * PORTS_PER_HOST + index)
        return msgspec.json.encode(
            {
                "Service": POOL,
                "Address": f"127.0.0.1:{port}",
                "Zone": "scot-central-a",
                "Version": "v1",
                "Slots": 8,
                "State": "ready",
                "ColdRemainingMs": 0,
                "Capacity": _capacity(runner),
                "Labels": [runner.kind, runner.rack],
                "ClockMs": runner.clock_ms(),
                "Seq": self._sequence,
                "born": runner.born,
                "Machine": f"m-{index:02x}",
            }
        )

    async def _machines(
        self,
        request: http_server.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> http_server.Reply | None:
        if request.path != "/machines":
            return http_server.Reply(409, b'{"Reason":"busy"}')
        rows = [
            {
                "Machine": f"m-{index:02x}",
                "Pool": POOL,
                "State": "up" if runner.is_up else "down",
                "Zone": "scot-central-a",
                "Labels": [runner.kind, runner.rack],
                "Capacity": _capacity(runner),
                "Id": runner.name,
            }
            for index, runner in enumerate(self.runners)
        ]
        body = msgspec.json.encode({"Machines": rows, "NextPageToken": None})
        return http_server.Reply(200, body)

    async def call(
        self, method: str, path: str, *, host: int = 0, body: bytes = b""
    ) -> tuple[int, bytes]:
        """Sends one call as a client; the status is 0 without a response."""
        port = self._port(host * PORTS_PER_HOST)
        if path == "/ready":
            port += 1
        request = http_exchange.HttpRequest(
            method,
            path,
            (
                ("key", KEY),
                ("deadline-ms", "3000"),
                ("content-type", "application/json"),
            ),
            body,
        )
        with contextlib.suppress(
            OSError, TimeoutError, http_exchange.IncompleteResponseError
        ):
            async with asyncio.timeout(3.0):
                response = await http_exchange.call_once(
                    http_exchange.dial,
                    types.Address("127.0.0.1", port),
                    request,
                )
                return response.status, response.body
        return 0, b""

    async def submit(
        self, job_id: str, phases: list[dict[str, typing.Any]], *, host: int = 0
    ) -> int:
        """Submits a job, again after no answer; returns the last status."""
        body = msgspec.json.encode({"Spec": "review", "Phases": phases})
        status = 0
        for attempt in range(4):
            status, _ = await self.call(
                "POST",
                QUEUE + job_id,
                host=(host + attempt) % self._hosts,
                body=body,
            )
            self._log.write("submit", job=job_id, status=status)
            if status not in (0, 502, 504):
                break
        return status

    async def state(self, job_id: str, *, host: int = 0) -> str:
        """Returns the state of a job, or the status of another response."""
        status, body = await self.call("GET", QUEUE + job_id, host=host)
        answer = (
            str(msgspec.json.decode(body)["State"])
            if status == 200
            else f"status {status}"
        )
        self._log.write("state", job=job_id, answer=answer)
        return answer

    async def cancel(self, job_id: str, *, host: int = 0) -> int:
        """Cancels a job and returns the status of the response."""
        status, _ = await self.call("DELETE", QUEUE + job_id, host=host)
        self._log.write("cancel", job=job_id, status=status)
        return status

    def runner(self, name: str) -> runner_module.Runner:
        """Returns a runner by its id."""
        return next(found for found in self.runners if found.name == name)

    async def stop(self) -> None:
        """Ends all processes and stand-ins of the script."""
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
        ends_s = time.monotonic() + STOP_TIMEOUT_S
        for process in self.processes:
            try:
                async with asyncio.timeout(max(0.1, ends_s - time.monotonic())):
                    await process.wait()
            except TimeoutError:
                process.kill()
                await process.wait()
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.close()
        for runner in self.runners:
            runner.stop()
        # The logs of the hosts stay for those who look for the cause.
        if "KEEP" not in os.environ:
            shutil.rmtree(self._folder, ignore_errors=True)


def _capacity(runner: runner_module.Runner) -> dict[str, int]:
    return {"Cpu": runner.cpu, "MemMb": 262_144, "Gpu": 0}


def configuration(version: int = 7) -> bytes:
    """Returns the operator's config: one queue, its service and a tenant."""
    return msgspec.json.encode(
        {
            "Version": version,
            "Routes": [
                {
                    "Name": "r-inspect",
                    "Host": "127.0.0.1",
                    "PathPrefix": QUEUE,
                    "Kind": "unsafe",
                    "TimeoutMs": 3000,
                    "TargetLatencyMs": 600,
                    "Priority": 1,
                    "Service": POOL,
                    "MaxAttempts": MAX_ATTEMPTS,
                    "Stretch": 1.6,
                    "Public": False,
                }
            ],
            "Services": [
                {"Name": POOL, "EnforcesCapacity": True, "Spare": False}
            ],
            "Limits": {"MaxBodyBytes": 262_144},
            "Tenants": [
                {
                    "Name": "nursery",
                    "ApiKeys": [KEY],
                    "Weight": 18,
                    "Cap": {"Cpu": 0, "MemMb": 0, "Gpu": 0},
                }
            ],
        }
    )
