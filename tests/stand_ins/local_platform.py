"""Runs entry hosts as processes on loopback, against the platform's stand-ins.

`python -m stand_ins.local_platform` starts a store, workers and three entry
hosts, submits a job of two steps, waits until it is completed, stops the hosts
with SIGTERM and prints the CPU time and memory of each process.
"""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
import tempfile
import time
import typing

import msgspec
import psutil
import yaml

from chervillead import http_exchange
from chervillead import types
from stand_ins import free_ports
from stand_ins import http_server
from stand_ins import platform_fleet
from stand_ins import platform_store
from stand_ins import platform_worker

HOSTS = 3
WORKERS = 3
# Callers, readiness, other entry hosts and metrics.
PORTS_PER_HOST = 4
START_TIMEOUT_S = 30.0
JOB_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0


class Usage(typing.NamedTuple):
    """CPU time and resident memory of a process at one point in time."""

    cpu_s: float
    memory_mb: float


class Outcome(typing.NamedTuple):
    """Result of one run.

    Attributes:
        phase: Last observed state of the job.
        took_s: Time from the job's submission to that state.
        runs: Number of runs that the workers received.
        start_usages: Usage of each process when it became ready.
        exit_codes: Exit codes of the processes.
    """

    phase: str
    took_s: float
    runs: int
    start_usages: list[Usage]
    exit_codes: list[int]


class LocalPlatform:
    """Stand-ins and entry host processes of one run."""

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        hosts: int = HOSTS,
        limits: dict[str, int] | None = None,
        request_limits: dict[str, float] | None = None,
        host_limits: dict[int, dict[str, int]] | None = None,
        operator_fields: dict[str, typing.Any] | None = None,
        late_hosts: int = 0,
    ) -> None:
        """Reserves the ports.

        Args:
            folder: Folder for settings files and logs.
            hosts: Number of entry hosts.
            limits: Limits of the machine, as the settings file names them.
            request_limits: Settings of the limits on requests.
            host_limits: Limits of the machines that differ, by host.
            operator_fields: Top-level fields of the operators' configuration
                that differ.
            late_hosts: How many of the hosts aren't started with the others.
        """
        self._hosts = hosts
        self._limits = limits or {}
        self._request_limits = request_limits or {}
        self._host_limits = host_limits or {}
        self._operator_fields = operator_fields or {}
        self._late_hosts = late_hosts
        count = hosts * PORTS_PER_HOST + WORKERS + 2
        self._reserved_ports = free_ports.reserve_ports(count)
        self._folder = folder
        self._store = platform_store.StoreStandIn()
        self._workers = [
            platform_worker.WorkerStandIn(f"i-{number}")
            for number in range(WORKERS)
        ]
        self._processes: list[asyncio.subprocess.Process] = []
        self._servers: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task[None]] = []

    def _port(self, index: int) -> int:
        return self._reserved_ports.base + index

    def callers_address(self, host: int) -> types.Address:
        """Returns the address at which a host listens for callers."""
        port = self._port(host * PORTS_PER_HOST)
        return types.Address(free_ports.LOOPBACK, port)

    def _settings(self, host: int) -> dict[str, typing.Any]:
        first = host * PORTS_PER_HOST
        store_port = self._port(self._hosts * PORTS_PER_HOST + WORKERS)
        loopback = free_ports.LOOPBACK
        return {
            "Node": f"host-{host}",
            "Zone": "zone-a",
            "Ip": loopback,
            "ListenAddrs": {
                "Front": f"{loopback}:{self._port(first)}",
                "ReadyAddr": f"{loopback}:{self._port(first + 1)}",
            },
            "InternalPorts": [self._port(first + 2), self._port(first + 3)],
            "Bounds": {"RevokeMs": 5000, "GraceS": 6, "MaxHoldMs": 6000},
            "platform": {
                "Address": f"{loopback}:{store_port}",
                "parts": platform_store.PARTITIONS,
                "RecordBytes": 262144,
                "CallBytes": 2097152,
            },
            "Limits": self._limits | self._host_limits.get(host, {}),
            "RequestLimits": self._request_limits,
        }

    async def start(self) -> None:
        """Starts the stand-ins, then the entry host processes."""
        self._reserved_ports.release()
        loopback = free_ports.LOOPBACK
        first = self._hosts * PORTS_PER_HOST
        self._servers.append(
            await http_server.serve(
                self._store.handler_for("any"),
                loopback,
                self._port(first + WORKERS),
            )
        )
        for index, worker in enumerate(self._workers):
            self._servers.append(
                await http_server.serve(
                    worker.handle, loopback, self._port(first + index)
                )
            )
        # The host header of the calls is the loopback address.
        configuration = platform_fleet.configuration(
            queue_host=loopback, **self._operator_fields
        )
        self._store.put("keyed.op", "config", configuration)
        self._tasks.append(asyncio.create_task(self._heartbeats()))
        for host in range(self._hosts - self._late_hosts):
            await self.start_host(host)

    async def start_host(self, host: int) -> None:
        """Starts the process of the next host."""
        path = self._folder / f"host-{host}.yaml"
        path.write_text(yaml.safe_dump(self._settings(host)))
        log = (self._folder / f"host-{host}.log").open("wb")
        with log:
            self._processes.append(
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "chervillead.platform",
                    env=os.environ | {"CHERVILLEAD_CONFIG": str(path)},
                    stdout=log,
                    stderr=log,
                )
            )

    async def _heartbeats(self) -> None:
        first = self._hosts * PORTS_PER_HOST
        for sequence in range(1_000_000):
            for index, worker in enumerate(self._workers):
                address = f"{free_ports.LOOPBACK}:{self._port(first + index)}"
                entry = platform_fleet.worker_entry(worker, address, sequence)
                self._store.put("keyed.servers", worker.worker_id, entry)
            await asyncio.sleep(platform_fleet.HEARTBEAT_S)

    async def wait_until_ready(self) -> list[Usage]:
        """Waits until all hosts are ready; returns their usage by then."""
        usages = []
        for host, process in enumerate(self._processes):
            async with asyncio.timeout(START_TIMEOUT_S):
                while await self._status("GET", host, "/ready") != 200:
                    await asyncio.sleep(0.1)
            usages.append(_usage(process.pid))
        return usages

    def process_id(self, host: int) -> int:
        """Returns the id of the process of a host."""
        return self._processes[host].pid

    def internal_address(self, host: int) -> types.Address:
        """Returns the address at which a host listens for other hosts."""
        port = self._port(host * PORTS_PER_HOST + 2)
        return types.Address(free_ports.LOOPBACK, port)

    def metrics_address(self, host: int) -> types.Address:
        """Returns the address at which a host serves its metrics."""
        port = self._port(host * PORTS_PER_HOST + 3)
        return types.Address(free_ports.LOOPBACK, port)

    def peak_memory_mb(self, host: int) -> float:
        """Returns the largest resident memory of a host since its start."""
        status = pathlib.Path(f"/proc/{self.process_id(host)}/status")
        line = next(
            line
            for line in status.read_text().splitlines()
            if line.startswith("VmHWM:")
        )
        return int(line.split()[1]) / 1024

    def open_descriptors(self, host: int) -> int:
        """Returns the number of descriptors that a host has open."""
        return psutil.Process(self.process_id(host)).num_fds()

    async def kill_host(self, host: int) -> None:
        """Kills the process of a host, without a shutdown."""
        self._processes[host].kill()
        await self._processes[host].wait()

    def is_running(self, host: int) -> bool:
        """Returns whether the process of a host hasn't ended."""
        return self._processes[host].returncode is None

    async def submit_job(
        self, number: int, *, host: int = 0, key: str = platform_fleet.KEY
    ) -> int:
        """Submits a small job to a host.

        Args:
            number: Number of the job, of which its id is made.
            host: Number of the host.
            key: Key of the caller.

        Returns:
            The status of the response, or 0 if there was none.
        """
        path = platform_fleet.QUEUE_PATH + platform_fleet.job_id(number)
        body = msgspec.json.encode(
            {"Spec": "small", "Phases": [platform_fleet.step(1)]}
        )
        return await self._status("POST", host, path, body, key)

    async def _status(
        self,
        method: str,
        host: int,
        path: str,
        body: bytes = b"",
        key: str = platform_fleet.KEY,
    ) -> int:
        response = await self._call(method, host, path, body, key)
        return response.status if response is not None else 0

    async def _call(
        self,
        method: str,
        host: int,
        path: str,
        body: bytes = b"",
        key: str = platform_fleet.KEY,
    ) -> http_exchange.HttpResponse | None:
        request = http_exchange.HttpRequest(method, path, (("key", key),), body)
        with contextlib.suppress(
            OSError, http_exchange.IncompleteResponseError
        ):
            return await http_exchange.call_once(
                http_exchange.dial, self.callers_address(host), request
            )
        return None

    async def run_job(self) -> tuple[str, float]:
        """Submits a job of two steps; returns its last state and the time."""
        started_s = time.monotonic()
        path = platform_fleet.QUEUE_PATH + platform_fleet.job_id(1)
        steps = [platform_fleet.step(4), platform_fleet.step(2, After=[0])]
        body = msgspec.json.encode({"Spec": "two steps", "Phases": steps})
        status = await self._status("POST", 0, path, body)
        phase = f"refused with {status}"
        while status == 200 and time.monotonic() - started_s < JOB_TIMEOUT_S:
            response = await self._call("GET", self._hosts - 1, path)
            if response is not None and response.status == 200:
                phase = msgspec.json.decode(response.body)["State"]
            if phase == "completed":
                break
            await asyncio.sleep(0.05)
        return phase, time.monotonic() - started_s

    async def stop(self) -> list[int]:
        """Stops the processes with SIGTERM and returns their exit codes."""
        for process in self._processes:
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
        codes = []
        for process in self._processes:
            try:
                async with asyncio.timeout(STOP_TIMEOUT_S):
                    codes.append(await process.wait())
            except TimeoutError:
                process.kill()
                codes.append(await process.wait())
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.close()
        return codes

    def runs(self) -> int:
        """Returns the number of runs that the workers received."""
        return sum(len(worker.records) for worker in self._workers)


def _usage(pid: int) -> Usage:
    process = psutil.Process(pid)
    times = process.cpu_times()
    return Usage(
        times.user + times.system, process.memory_info().rss / 1024 / 1024
    )


async def run_once(folder: pathlib.Path) -> Outcome:
    """Runs one job on a new local platform."""
    local = LocalPlatform(folder)
    try:
        await local.start()
        usages = await local.wait_until_ready()
        phase, took_s = await local.run_job()
    finally:
        codes = await local.stop()
    return Outcome(phase, took_s, local.runs(), usages, codes)


def main() -> int:
    """Runs one job, prints the outcome and returns the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        outcome = asyncio.run(run_once(pathlib.Path(folder)))
    print(
        f"job of two steps: {outcome.phase} after {outcome.took_s:.2f} s, "
        f"{outcome.runs} runs"
    )
    for usage in outcome.start_usages:
        print(
            f"usage of a host at start: {usage.cpu_s:.2f} s of CPU "
            f"time, {usage.memory_mb:.0f} MB"
        )
    clean = all(code == 0 for code in outcome.exit_codes)
    return 0 if outcome.phase == "completed" and clean else 1


if __name__ == "__main__":
    sys.exit(main())
