"""Entry hosts on the platform's stand-ins, in memory and on a virtual clock.

The hosts run the production code; the store, the workers and the network are
stand-ins. The checks use the records of the workers.
"""

import asyncio
from collections import abc
import functools
import typing

import msgspec
from returns import pipeline
from returns import result

from chervillead import types
from chervillead import verdicts
from chervillead.entries import job_messages
from chervillead.jobs import held_jobs
from chervillead.jobs import job_api
from chervillead.jobs import model
from chervillead.platform import assembly
from chervillead.platform import job_bodies
from chervillead.platform import settings as settings_module
from chervillead.pools import ports as ports_module
from stand_ins import http_server
from stand_ins import memory_network
from stand_ins import platform_machines
from stand_ins import platform_store
from stand_ins import platform_worker
from stand_ins import virtual_time

POOL = "billing"
OTHER_POOL = "receipts"
SPARE_POOL = "portal"
QUEUE_HOST = "queue.example"
QUEUE_PATH = "/jobs/"
KEY = "key-1"
DEFAULT_LIMITS = held_jobs.Limits()
MAX_ATTEMPTS = 3
HEARTBEAT_S = 0.5
SILENCE_S = 1.5
STORE_PORT = 9000
ENTRY_PORT = 7000
WORKER_PORT = 8000
HOSTS_SERVICE_ADDRESS = types.Address("10.0.0.2", 9100)


def configuration(
    version: int = 1,
    *,
    pool: str = POOL,
    queue_host: str = QUEUE_HOST,
    queue_name: str = "queue-1",
    more_routes: abc.Sequence[dict[str, typing.Any]] = (),
    **changes: typing.Any,
) -> bytes:
    """Returns an encoded configuration as operators write it.

    Args:
        version: Its version number.
        pool: Pool of the queues.
        queue_host: Host name of the queues.
        queue_name: Name of the first queue.
        more_routes: Fields of further queues, where they differ from the first.
        changes: Other top-level fields.
    """
    tenant = {
        "Name": "team-1",
        "ApiKeys": [KEY],
        "Weight": 1,
        "Cap": {"Cpu": 0, "MemMb": 0, "Gpu": 0},
    }
    route = {
        "Name": queue_name,
        "Host": queue_host,
        "PathPrefix": QUEUE_PATH,
        "Service": pool,
        "MaxAttempts": MAX_ATTEMPTS,
        "Stretch": 1.5,
        "TargetLatencyMs": 600,
        "Public": False,
    }
    fields = {
        "Version": version,
        "Routes": [route | changed for changed in ({}, *more_routes)],
        "Services": [
            {"Name": name, "EnforcesCapacity": True}
            for name in (POOL, OTHER_POOL)
        ]
        + [{"Name": SPARE_POOL, "EnforcesCapacity": True, "Spare": True}],
        "Limits": {"MaxBodyBytes": 262144},
        "Tenants": [tenant],
    }
    return msgspec.json.encode(fields | changes)


def decode_job(
    body: bytes,
) -> result.Result[model.JobSpec, job_bodies.InvalidJob]:
    """Decodes the body of a job that is submitted to the queue."""
    return job_bodies.decode_job(
        body,
        job_id=job_id(0),
        queue=model.Queue("queue-1", QUEUE_HOST, QUEUE_PATH, POOL),
        account="team-1",
        now_unix_ms=0,
    )


class _RunningHost(typing.NamedTuple):
    host: assembly.EntryHost
    tasks: list[asyncio.Task[None]]


class PlatformFleet:
    """Entry hosts, a store and workers.

    Attributes:
        store: The store.
        workers: Workers, by id.
        network: The network between all of them.
        logs: Fields of the log lines of all hosts.
        unlisted: Ids of workers that are missing from the store's list.
        accepted_jobs: Ids of accepted jobs, if the test records them.
        ended_tasks: Tasks of hosts that ended by themselves, with the error.
        wall_clock_ahead_s: How far the wall clocks of hosts are ahead.
        host_cores: Cores of the hosts that don't have one, by name.
    """

    def __init__(
        self,
        *,
        hosts: int = 3,
        workers: int = 3,
        seed: int = 0,
        turned_off: int = 0,
        max_lease_ms: int = platform_worker.MAX_LEASE_MS,
        accepted_jobs: held_jobs.Limits = DEFAULT_LIMITS,
    ) -> None:
        self.store = platform_store.StoreStandIn()
        self.network = memory_network.MemoryNetwork(seed=seed)
        self.logs: list[dict[str, typing.Any]] = []
        self.workers = {
            f"i-{number}": platform_worker.WorkerStandIn(f"i-{number}")
            for number in range(workers)
        }
        self.hosts_service = platform_machines.MachinesStandIn(
            self.workers,
            POOL,
            spare_pool=SPARE_POOL,
            turned_off=turned_off,
        )
        for worker in self.workers.values():
            worker.max_lease_ms = max_lease_ms
        self._limits = ports_module.Limits(
            max_lease_ms=max_lease_ms, accepted_jobs=accepted_jobs
        )
        self._host_names = [f"host-{number}" for number in range(hosts)]
        self._hosts: dict[str, _RunningHost] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._sequence = 0
        self.unlisted: set[str] = set()
        self.accepted_jobs: list[str] = []
        self.ended_tasks: list[tuple[str, str]] = []
        self.wall_clock_ahead_s = 0.0
        self.host_cores: dict[str, float] = {}
        # Ids of the workers that belong to the other pool.
        self.other_pool_workers: set[str] = set()

    @property
    def host_names(self) -> tuple[str, ...]:
        """Names of the entry hosts, running or not."""
        return tuple(self._host_names)

    @property
    def hosts(self) -> dict[str, assembly.EntryHost]:
        """The running entry hosts by name."""
        return {name: running.host for name, running in self._hosts.items()}

    async def start(self) -> None:
        """Starts all processes and waits until the hosts accept jobs."""
        self.store.put("keyed.op", "config", configuration())
        for index, (worker_id, worker) in enumerate(self.workers.items()):
            serve = http_server.serve_connections(worker.handle)
            worker.reset_connections = functools.partial(
                self.network.reset_place, worker_id
            )
            self.network.refuse_while(
                worker_id, functools.partial(getattr, worker, "is_crashed")
            )
            self.listen(
                worker_id, _address("10.1.0.1", WORKER_PORT + index), serve
            )
        self.listen(
            "machines",
            HOSTS_SERVICE_ADDRESS,
            http_server.serve_connections(self.hosts_service.handle),
        )
        self._tasks.append(asyncio.create_task(self._renew_registrations()))
        await asyncio.sleep(0.1)
        for name in self._host_names:
            self.start_host(name)
        await asyncio.sleep(3.5)
        # Opens the queue in its partition, as it would be in use by then.
        self._tasks.append(asyncio.create_task(self._count_pending()))
        await asyncio.sleep(0.5)

    def _wall_s(self) -> float:
        return virtual_time.clock().wall() + self.wall_clock_ahead_s

    async def _count_pending(self) -> None:
        """Asks a host for the queue's number of pending jobs."""
        ports = next(iter(self.hosts.values())).job_ports()
        fleet_configuration = ports.configuration()
        if fleet_configuration is not None:
            queue = fleet_configuration.queues["queue-1"]
            await job_api.count_pending(ports, queue, 3.0)

    def start_host(self, name: str) -> None:
        """Starts an entry host."""
        index = self._host_names.index(name)
        store_address = _address("10.0.0.1", STORE_PORT + index)
        self.listen(
            f"store-{name}",
            store_address,
            http_server.serve_connections(self.store.handler_for(name)),
        )
        address = _address(f"10.2.0.{index + 1}", ENTRY_PORT)
        loop = asyncio.get_running_loop()

        def log(message_type: str, **fields: object) -> None:
            line = {"message_type": message_type, "host": name}
            self.logs.append(line | {"at_s": loop.time()} | fields)

        host = assembly.EntryHost(
            settings_module.EntrySettings(
                host=name,
                zone="zone-a",
                callers=address,
                ready=address,
                entries=address,
                metrics=address,
                store=settings_module.StoreSettings(
                    store_address, platform_store.PARTITIONS, 262144, 2097152
                ),
                hosts_service=HOSTS_SERVICE_ADDRESS,
                advice=None,
                limits=self._limits,
                config_max_age_s=2.85,
                stop_grace_s=6.0,
                cores=self.host_cores.get(name, 1.0),
            ),
            log,
            assembly.HostEnvironment(
                types.Clock(loop.time, self._wall_s),
                loop.time,
                self.network.dial_from(name),
                self.network.listen_at(name),
            ),
        )
        tasks = [
            asyncio.create_task(work, name=work.__name__)
            for work in host.background_coroutines()
        ]
        for task in tasks:
            task.add_done_callback(self._record_end)
        self._hosts[name] = _RunningHost(host, tasks)

    def _record_end(self, task: asyncio.Task[None]) -> None:
        """Records a background task that failed; it would end its process."""
        if not task.cancelled() and task.exception() is not None:
            self.ended_tasks.append((task.get_name(), repr(task.exception())))

    async def kill_host(self, name: str) -> None:
        """Kills the process of a host without a shutdown."""
        running = self._hosts.pop(name)
        # The host must not leave the store group, as with SIGKILL.
        self.network.reset_place(name)
        owned = running.host.ownership
        for task in (*running.tasks, *owned._tasks.values()):
            task.cancel()
        await asyncio.gather(*running.tasks, return_exceptions=True)
        running.host.streams.close()

    async def stop_host(self, name: str) -> None:
        """Stops a host as on SIGTERM: it leaves the group and ends.

        Raises:
            TimeoutError: It goes on following the group.
        """
        running = self._hosts[name]
        await running.host.ownership.leave()
        following = next(
            task
            for task in running.tasks
            if task.get_name() == "maintain_membership"
        )
        async with asyncio.timeout(2.0):
            await following
        await self.kill_host(name)

    def owner_names(self) -> set[str]:
        """Returns the hosts to which the store assigns partitions."""
        members = self.store.assignments("pool-owners").values()
        return {member.split("/")[2] for member in members}

    async def stop(self) -> None:
        """Stops all hosts and stand-ins."""
        for name in list(self._hosts):
            await self.kill_host(name)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def owner_host(self) -> str:
        """Returns the host that owns the pool's partition."""
        return next(
            name
            for name, host in self.hosts.items()
            if host.ownership.owner_of(host.partition_of(POOL)) is not None
        )

    def other_host(self) -> str:
        """Returns a host that doesn't own the pool's partition."""
        owner = self.owner_host()
        return next(name for name in self.hosts if name != owner)

    async def submit(
        self,
        job_id: str,
        steps: list[dict[str, typing.Any]],
        *,
        host: str | None = None,
        key: str = KEY,
        path: str = QUEUE_PATH,
        **fields: typing.Any,
    ) -> result.Result[None, verdicts.Refusal]:
        """Submits a job to a host, with a body like a caller's."""
        entry_host = self.hosts[host or self.other_host()]
        ports = entry_host.job_ports()
        admission = job_api.admit(ports, QUEUE_HOST, path + job_id, key)
        if not pipeline.is_successful(admission):
            return result.Failure(admission.failure())
        body = msgspec.json.encode({"Spec": "x", "Phases": steps} | fields)
        decoded = job_bodies.decode_job(
            body,
            job_id=job_id,
            queue=admission.unwrap().queue,
            account=admission.unwrap().account,
            now_unix_ms=int(1000 * entry_host.clock.wall()),
        )
        if not pipeline.is_successful(decoded):
            detail = decoded.failure().detail
            return result.Failure(verdicts.not_run("bad-job", 400, detail))
        return await job_api.submit(ports, decoded.unwrap(), 3.0)

    async def phase(self, job_id: str, *, host: str | None = None) -> str:
        """Returns the phase of a job, or the reason of a refusal."""
        outcome = await self.find(job_id, host or next(iter(self.hosts)))
        if pipeline.is_successful(outcome):
            return outcome.unwrap().phase
        return outcome.failure().reason

    async def find(
        self, job_id: str, host: str
    ) -> result.Result[job_messages.JobReply, verdicts.Refusal]:
        """Asks a host for a job, as a caller does."""
        ports = self.hosts[host].job_ports()
        admission = job_api.admit(ports, QUEUE_HOST, QUEUE_PATH, KEY)
        if not pipeline.is_successful(admission):
            return result.Failure(admission.failure())
        return await job_api.find(ports, admission.unwrap(), job_id, 3.0)

    async def cancel(
        self, job_id: str
    ) -> result.Result[None, verdicts.Refusal]:
        """Cancels a job at a host that isn't the owner."""
        ports = self.hosts[self.other_host()].job_ports()
        admission = job_api.admit(ports, QUEUE_HOST, QUEUE_PATH, KEY)
        return await job_api.cancel(ports, admission.unwrap(), job_id, 3.0)

    def runs(self, job_id: str) -> list[platform_worker.RunRecord]:
        """Returns all runs of a job in order of their start."""
        records = [
            record
            for worker in self.workers.values()
            for record in worker.records
            if record.task.startswith(job_id)
        ]
        return sorted(records, key=lambda record: record.began_s)

    def violations(self) -> abc.Iterator[str]:
        """Yields each invariant violation in the records of the workers."""
        records = [
            record
            for worker in self.workers.values()
            for record in worker.records
        ]
        by_task: dict[str, list[platform_worker.RunRecord]] = {}
        for record in sorted(records, key=lambda r: r.began_s):
            by_task.setdefault(record.task, []).append(record)
        acknowledged_done = {
            (task, run)
            for worker in self.workers.values()
            for task, run, how in worker.acknowledged
            if how == "done"
        }
        for task, runs in by_task.items():
            for earlier, later in zip(runs, runs[1:], strict=False):
                if later.began_s < earlier.ended_s:
                    yield f"{task}: runs {earlier} and {later} overlap"
                if (
                    earlier.how == "done"
                    and (task, earlier.run) in acknowledged_done
                ):
                    yield f"{task}: {later} began after a recorded end"

    def listen(
        self,
        node: str,
        address: types.Address,
        serve: typing.Any,
    ) -> None:
        """Serves connections to an address at one place of the network."""
        listen = self.network.listen_at(node)
        self._tasks.append(asyncio.create_task(listen(address, serve)))

    async def _renew_registrations(self) -> None:
        """Renews the registrations; deletes those of silent workers."""
        unregistered: set[str] = set()
        while True:
            self._sequence += 1
            for index, worker in enumerate(self.workers.values()):
                key = worker.worker_id
                if worker.silent or key in self.unlisted:
                    if key not in unregistered:
                        self.store.put("keyed.servers", key, b"")
                        unregistered.add(key)
                    continue
                unregistered.discard(key)
                self.store.put(
                    "keyed.servers", key, self._registration(index, worker)
                )
            await asyncio.sleep(HEARTBEAT_S)

    def _registration(
        self, index: int, worker: platform_worker.WorkerStandIn
    ) -> bytes:
        pool = self.hosts_service.pools[list(self.hosts_service.pools)[index]]
        if worker.worker_id in self.other_pool_workers:
            pool = OTHER_POOL
        return worker_entry(
            worker,
            f"10.1.0.1:{WORKER_PORT + index}",
            self._sequence,
            pool=pool,
            rack=f"r1-{index % 2}",
        )


def worker_entry(
    worker: platform_worker.WorkerStandIn,
    address: str,
    sequence: int,
    *,
    pool: str = POOL,
    rack: str = "r1-0",
) -> bytes:
    """Returns the registration of a worker, as stored."""
    return msgspec.json.encode(
        {
            "Service": pool,
            "Address": address,
            "Zone": "zone-a",
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Capacity": {
                "Cpu": worker.cpu,
                "MemMb": worker.memory_mb,
                "Gpu": 0,
            },
            "Labels": ["a", rack],
            "Seq": sequence,
            "born": worker.incarnation,
        }
    )


def _address(host: str, port: int) -> types.Address:
    return types.Address(host, port)


def step(tasks: int = 1, **fields: typing.Any) -> dict[str, typing.Any]:
    """Returns a step with the field names of a caller's body."""
    return {
        "Count": tasks,
        "Cpu": 1000,
        "MemMb": 100,
        "EstimateMs": 500,
    } | fields


def job_id(number: int) -> str:
    """Returns the job id for a number."""
    return f"{number:016x}"
