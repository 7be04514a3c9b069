"""Starts a local fleet as separate processes on loopback.

`python -m stand_ins.local_fleet` starts the platform stand-in, nine entry
hosts in four availability zones and upstreams for five services, publishes a
configuration, sends requests from two teams, prints what came back, and stops
everything. `--keep` leaves the fleet up.
"""

import asyncio
import collections
from collections import abc
import os
import pathlib
import signal
import subprocess
import sys
import time
import typing

import msgspec
import yaml

from chervillead import http_exchange
from chervillead import types
from chervillead.callers import credentials
from chervillead.callers import request_ids
from chervillead.fleet import log_client
from chervillead.fleet import records
from stand_ins import free_ports

LOOPBACK = free_ports.LOOPBACK
ZONES = ("a", "b", "c", "d")
QUEUES = (
    "door-open-checks",
    "term-planning",
    "bank-cover",
    "inspection-evidence",
    "back-office",
)
TEAM_KEYS = {
    "nursery-north": "key-of-nursery-north-0001",
    "nursery-south": "key-of-nursery-south-0001",
}
START_TIMEOUT_S = 60.0
LAST_LOG_LINES = 5
FOLDER = pathlib.Path(".fleet")
KEPT_FILE = "fleet.json"


class FleetPlan(typing.NamedTuple):
    """Sizes and ports of a local fleet.

    Attributes:
        base_port: First port. `start_fleet` replaces it by a free one; the
            default serves fleets in memory.
        entry_hosts: Entry hosts, spread over the zones.
        upstreams_per_queue: Upstreams of each service.
        slots: Slots of each upstream.
        stop_delay_s: The entry hosts' delay for the balancer's lag.
        entry_module: Module that runs an entry host.
        zones: Zones in use; an entry host alone needs a plan with one.
    """

    base_port: int = 17000
    entry_hosts: int = 9
    upstreams_per_queue: int = 8
    slots: int = 8
    stop_delay_s: float = 0.3
    zones: tuple[str, ...] = ZONES
    entry_module: str = "chervillead"

    @property
    def platform(self) -> types.Address:
        """Where the platform stand-in listens."""
        return types.Address(LOOPBACK, self.base_port)

    def entry_name(self, index: int) -> str:
        """Returns the name of an entry host."""
        zones = self.zones
        return f"entry-{zones[index % len(zones)]}{index // len(zones)}"

    def callers_address(self, index: int) -> types.Address:
        """Returns where an entry host listens for callers."""
        return types.Address(LOOPBACK, self.base_port + 1 + index)

    def entries_address(self, index: int) -> types.Address:
        """Returns where an entry host listens for its peers."""
        first = self.base_port + 1 + self.entry_hosts
        return types.Address(LOOPBACK, first + index)

    def upstream_address(self, queue_index: int, index: int) -> types.Address:
        """Returns where an upstream listens."""
        number = queue_index * self.upstreams_per_queue + index
        first = self.base_port + 1 + 2 * self.entry_hosts
        return types.Address(LOOPBACK, first + number)

    @property
    def port_count(self) -> int:
        """Ports that the fleet uses."""
        upstreams = len(QUEUES) * self.upstreams_per_queue
        return 1 + 2 * self.entry_hosts + upstreams


class Fleet(typing.NamedTuple):
    """A running fleet.

    Attributes:
        plan: Its plan, with the ports that it uses.
        processes: Its processes by name.
        folder: Where its logs and settings are.
        ports: The ports kept for it.
    """

    plan: FleetPlan
    processes: dict[str, subprocess.Popen[bytes]]
    folder: pathlib.Path
    ports: free_ports.ReservedPorts


class ProcessEndedError(Exception):
    """A process of the fleet ended while the fleet was starting."""


def entry_settings(plan: FleetPlan, index: int) -> dict[str, typing.Any]:
    """Returns the settings document of one entry host."""
    return {
        "host": plan.entry_name(index),
        "zone": plan.zones[index % len(plan.zones)],
        "callers": plan.callers_address(index)._asdict(),
        "entries": plan.entries_address(index)._asdict(),
        "platform": {"address": plan.platform._asdict()},
        "stop_delay_s": plan.stop_delay_s,
        "peers": [
            {
                "host": plan.entry_name(other),
                "address": plan.entries_address(other)._asdict(),
            }
            for other in range(plan.entry_hosts)
            if other != index
        ],
    }


def start_process(fleet: Fleet, name: str, *arguments: str) -> None:
    """Starts one process of the fleet; its output goes to a file."""
    with (fleet.folder / f"{name}.log").open("ab") as output:
        fleet.processes[name] = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=output,
            stderr=output,
            stdin=subprocess.DEVNULL,
        )


def start_entry_host(fleet: Fleet, index: int) -> None:
    """Starts or restarts one entry host."""
    name = fleet.plan.entry_name(index)
    path = fleet.folder / f"{name}.yaml"
    path.write_text(yaml.safe_dump(entry_settings(fleet.plan, index)))
    start_process(
        fleet, name, fleet.plan.entry_module, "entry", "--settings", str(path)
    )


def start_fleet(
    plan: FleetPlan,
    folder: pathlib.Path,
    ports: free_ports.ReservedPorts | None = None,
) -> Fleet:
    """Starts all processes of a fleet, on free ports unless given `ports`."""
    folder.mkdir(parents=True, exist_ok=True)
    ports = ports or free_ports.reserve_ports(plan.port_count)
    plan = plan._replace(base_port=ports.base)
    fleet = Fleet(plan, {}, folder, ports)
    start_process(
        fleet, "platform", "stand_ins.platform", str(plan.platform.port)
    )
    for queue_index, queue in enumerate(QUEUES):
        for index in range(plan.upstreams_per_queue):
            address = plan.upstream_address(queue_index, index)
            start_process(
                fleet,
                f"{queue}-{index}",
                "stand_ins.upstream",
                str(address.port),
                str(plan.slots),
            )
    for index in range(plan.entry_hosts):
        start_entry_host(fleet, index)
    return fleet


def stop_fleet(fleet: Fleet) -> None:
    """Stops all processes of a fleet, by their ids."""
    for process in fleet.processes.values():
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.terminate()
    for process in fleet.processes.values():
        try:
            process.wait(15)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
    fleet.ports.release()


def initial_records(plan: FleetPlan) -> abc.Iterator[records.Record]:
    """Yields the records of the fleet's first configuration."""

    def record(kind: str, subject: str, **fields: typing.Any) -> records.Record:
        return records.Record(
            f"initial-{kind}-{subject}",
            kind,
            subject,
            records.NO_VERSION,
            fields,
        )

    for index, zone in enumerate(plan.zones):
        yield record(records.ZONE, zone, index=index, status="in")
    for team, key in TEAM_KEYS.items():
        yield record(records.TEAM, team, share=1.0, limit=64)
        yield record(records.KEY, credentials.hash_key(key), team=team)
    for queue_index, queue in enumerate(QUEUES):
        yield record(
            records.POOL, queue, max_unavailable=2, spare=queue == QUEUES[-1]
        )
        yield record(records.QUEUE, queue, pool=queue, target_s=2.0)
        for index in range(plan.upstreams_per_queue):
            zone = plan.zones[index % len(plan.zones)]
            yield record(
                records.HOST,
                f"{queue}-{index}",
                pool=queue,
                zone=zone,
                rack=f"{zone}-rack-{queue_index % 2}",
                address=list(plan.upstream_address(queue_index, index)),
                slots=plan.slots,
            )


async def wait_until_ready(fleet: Fleet) -> None:
    """Returns once the fleet has a configuration and serves.

    Raises:
        ProcessEndedError: A process ended meanwhile.
        TimeoutError: The fleet isn't ready in time.
    """
    tasks = [
        asyncio.ensure_future(wait(fleet))
        for wait in (_wait_until_configured, _wait_until_ended)
    ]
    try:
        done, _ = await asyncio.wait(
            tasks,
            timeout=START_TIMEOUT_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not done:
            raise TimeoutError(f"not ready within {START_TIMEOUT_S} s")
        for task in done:
            task.result()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _wait_until_ended(fleet: Fleet) -> None:
    """Raises once a process of the fleet has ended."""
    while True:
        for name, process in fleet.processes.items():
            if process.poll() is not None:
                lines = (fleet.folder / f"{name}.log").read_text().splitlines()
                raise ProcessEndedError(
                    f"{name} ended with status {process.returncode} during the "
                    "start of the fleet; its last log lines:\n"
                    + "\n".join(lines[-LAST_LOG_LINES:])
                )
        await asyncio.sleep(0.1)


async def _wait_until_configured(fleet: Fleet) -> None:
    """Publishes the configuration; returns once all entry hosts serve."""
    platform = log_client.connect_platform(fleet.plan.platform, timeout_s=1.0)
    while (await platform.read(0, 0.0)).value_or(None) is None:
        await asyncio.sleep(0.1)
    for record in initial_records(fleet.plan):
        data = records.encode_record(record)
        while (await platform.append(data)).value_or(None) is None:
            await asyncio.sleep(0.1)
    for index in range(fleet.plan.entry_hosts):
        await _wait_until_served(fleet.plan.callers_address(index))


async def _wait_until_served(address: types.Address) -> None:
    """Returns once the entry host answers requests claimed in each zone."""
    for claim_byte in range(len(ZONES)):
        await _wait_for_claims(address, claim_byte)


async def _wait_for_claims(address: types.Address, claim_byte: int) -> None:
    while True:
        request_id = request_ids.new_request_id(time.time(), claim_byte)
        try:
            response = await send_request(
                address,
                QUEUES[0],
                TEAM_KEYS["nursery-north"],
                b"run=0",
                request_id=request_id,
            )
            if response.status == 200:
                return
        except (OSError, http_exchange.IncompleteResponseError):
            pass
        await asyncio.sleep(0.2)


def submission_request(
    queue: str,
    key: str,
    body: bytes,
    *,
    request_id: str,
    idempotent: bool = False,
    deadline_ms: int = 10_000,
) -> http_exchange.HttpRequest:
    """Returns the HTTP request that submits a request."""
    headers = (
        ("authorization", f"Bearer {key}"),
        ("chervillead-request-id", request_id),
        ("chervillead-idempotent", "true" if idempotent else "false"),
        ("chervillead-deadline-ms", str(deadline_ms)),
        ("content-type", "text/plain"),
    )
    return http_exchange.HttpRequest(
        "POST", f"/queues/{queue}/requests", headers, body
    )


async def send_request(
    address: types.Address,
    queue: str,
    key: str,
    body: bytes,
    *,
    request_id: str | None = None,
    idempotent: bool = False,
    deadline_ms: int = 10_000,
) -> http_exchange.HttpResponse:
    """Sends one request to an entry host and returns its answer."""
    if request_id is None:
        request_id = request_ids.new_request_id(time.time())
    request = submission_request(
        queue,
        key,
        body,
        request_id=request_id,
        idempotent=idempotent,
        deadline_ms=deadline_ms,
    )
    return await http_exchange.call_once(http_exchange.dial, address, request)


async def upstream_records(plan: FleetPlan) -> list[dict[str, typing.Any]]:
    """Returns what all upstreams recorded of the tasks that they ran."""
    request = http_exchange.HttpRequest("GET", "/records")
    found: list[dict[str, typing.Any]] = []
    for queue_index in range(len(QUEUES)):
        for index in range(plan.upstreams_per_queue):
            response = await http_exchange.call_once(
                http_exchange.dial,
                plan.upstream_address(queue_index, index),
                request,
            )
            names = (
                *("request_id", "team", "queue", "started", "ended", "how"),
                "grant_id",
            )
            found.extend(
                dict(
                    zip(names, values, strict=True),
                    upstream=f"{QUEUES[queue_index]}-{index}",
                )
                for values in msgspec.json.decode(response.body)
            )
    return found


async def demonstrate(fleet: Fleet, requests: int = 200) -> int:
    """Sends requests of two teams through all entry hosts; prints a summary.

    Returns:
        The exit status: 0 if each request was answered and ran once.
    """
    await wait_until_ready(fleet)
    plan = fleet.plan
    teams = list(TEAM_KEYS)
    sent: dict[str, tuple[str, str]] = {}

    async def one(number: int) -> tuple[str, http_exchange.HttpResponse]:
        queue = QUEUES[number % len(QUEUES)]
        team = teams[number % len(teams)]
        request_id = request_ids.new_request_id(time.time())
        sent[request_id] = (queue, team)
        response = await send_request(
            plan.callers_address(number % plan.entry_hosts),
            queue,
            TEAM_KEYS[team],
            f"request {number}".encode(),
            request_id=request_id,
        )
        return request_id, response

    answers = await asyncio.gather(*(one(n) for n in range(requests)))
    counts: collections.Counter[tuple[str, str, int]] = collections.Counter()
    for request_id, response in answers:
        counts[(*sent[request_id], response.status)] += 1
    print(f"{'queue':22} {'team':16} {'status':>6} {'answers':>7}")
    for (queue, team, status), count in sorted(counts.items()):
        print(f"{queue:22} {team:16} {status:6} {count:7}")
    runs = collections.Counter(
        entry["request_id"] for entry in await upstream_records(plan)
    )
    once = sum(1 for request_id in sent if runs[request_id] == 1)
    answered = sum(1 for _, response in answers if response.status == 200)
    print(f"{requests} requests sent, {answered} answered, {once} ran once")
    return 0 if answered == once == requests else 1


def write_kept_fleet(plan: FleetPlan, pids: dict[str, int]) -> None:
    """Writes down what another command needs to use a fleet left up."""
    document = {"plan": plan._asdict(), "pids": pids}
    (FOLDER / KEPT_FILE).write_bytes(msgspec.json.encode(document))


def load_kept_fleet(folder: pathlib.Path) -> tuple[FleetPlan, dict[str, int]]:
    """Returns plan and process ids of a fleet that `--keep` left up."""
    document = msgspec.json.decode((folder / KEPT_FILE).read_bytes())
    plan = FleetPlan(**document["plan"])
    return plan._replace(zones=tuple(plan.zones)), document["pids"]


def main(arguments: list[str]) -> int:
    """Runs the demonstration and returns the exit status."""
    fleet = start_fleet(FleetPlan(), FOLDER)
    keep = "--keep" in arguments
    print(f"platform {fleet.plan.platform}")
    for index in range(fleet.plan.entry_hosts):
        name = fleet.plan.entry_name(index)
        address = fleet.plan.callers_address(index)
        print(f"{name} {address} pid {fleet.processes[name].pid}")
    try:
        status = asyncio.run(demonstrate(fleet))
        if keep:
            processes = fleet.processes.items()
            write_kept_fleet(fleet.plan, {n: p.pid for n, p in processes})
            sys.stdout.flush()
            # The processes stay; an ordinary exit would warn of each.
            os._exit(status)
    finally:
        stop_fleet(fleet)
    return status


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
