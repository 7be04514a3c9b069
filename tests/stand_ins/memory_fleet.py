"""A whole fleet in one event loop: real modules on a memory network.

Only the sockets are replaced. The platform and the upstreams are the same
stand-ins that run as processes.
"""

import asyncio
from collections import abc
import typing

from returns import result

from chervillead import assembly
from chervillead import settings as settings_module
from chervillead import types
from chervillead import verdicts
from chervillead.callers import credentials
from chervillead.callers import request_claims
from chervillead.callers import request_ids
from chervillead.callers import submission
from chervillead.fleet import records
from stand_ins import http_server
from stand_ins import local_fleet
from stand_ins import memory_network
from stand_ins import platform as platform_stand_in
from stand_ins import upstream as upstream_stand_in
from stand_ins import virtual_time

PLATFORM = "platform"


class MemoryFleet:
    """The parts of a fleet and the faults that a test applies to them."""

    def __init__(
        self, plan: local_fleet.FleetPlan, *, seed: int, delay_s: float = 0.0005
    ) -> None:
        self.plan = plan
        self.network = memory_network.MemoryNetwork(delay_s=delay_s, seed=seed)
        self.platform = platform_stand_in.PlatformState()
        self.upstreams: dict[str, upstream_stand_in.UpstreamState] = {}
        self.hosts: dict[str, assembly.Assembly] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._versions: dict[tuple[str, str], int] = {}
        self._submissions: dict[str, set[asyncio.Task[typing.Any]]] = {}

    async def start(
        self, first: abc.Iterable[records.Record] | None = None
    ) -> None:
        """Starts everything, publishes a configuration and waits for seats."""
        self._serve(
            PLATFORM,
            self.plan.platform,
            platform_stand_in.build_handler(self.platform),
        )
        for queue_index, queue in enumerate(local_fleet.QUEUES):
            for index in range(self.plan.upstreams_per_queue):
                name = f"{queue}-{index}"
                state = upstream_stand_in.UpstreamState(slots=self.plan.slots)
                self.upstreams[name] = state
                self._serve(
                    name,
                    self.plan.upstream_address(queue_index, index),
                    upstream_stand_in.build_handler(state),
                )
        if first is None:
            first = local_fleet.initial_records(self.plan)
        for record in first:
            self.publish(record)
        for index in range(self.plan.entry_hosts):
            self.start_host(index)
        # Seats become active after 3 s, and ids that are created within 2 s
        # after that may be older than they say.
        await asyncio.sleep(7.0)

    def publish(self, record: records.Record) -> int:
        """Appends a record to the log, as an operator's tool does."""
        # A second of its own for each append keeps below the rate limit.
        offset = self.platform.append(
            records.encode_record(record), -1.0 - self.platform.next_offset
        )
        if offset is None:
            raise RuntimeError("the stand-in refused an operator's append")
        self._versions[(record.kind, record.subject)] = offset
        return offset

    def publish_change(
        self, kind: str, subject: str, **fields: typing.Any
    ) -> int:
        """Publishes a change based on the last version published here."""
        version = self._versions.get((kind, subject), records.NO_VERSION)
        record_id = f"{kind}-{subject}-{self.platform.next_offset}"
        return self.publish(
            records.Record(record_id, kind, subject, version, fields)
        )

    def start_host(self, index: int) -> assembly.Assembly:
        """Starts an entry host, or a replacement of one that was killed."""
        name = self.plan.entry_name(index)
        return self._start_host(
            name, local_fleet.entry_settings(self.plan, index)
        )

    def start_double(self, index: int) -> assembly.Assembly:
        """Starts a second process with the name of an entry host.

        It stands at a place of its own, `NAME-double`, at other ports.
        """
        document = local_fleet.entry_settings(self.plan, index)
        for name in ("callers", "entries"):
            document[name]["port"] += 50
        return self._start_host(f"{document['host']}-double", document)

    def _start_host(
        self, name: str, document: dict[str, typing.Any]
    ) -> assembly.Assembly:
        parts = assembly.assemble(
            settings_module.check_settings(document).unwrap(),
            virtual_time.clock(),
            dial=self.network.dial_from(name),
            listen=self.network.listen_at(name),
        )
        self.hosts[name] = parts
        self._tasks[name] = asyncio.ensure_future(
            assembly.run_background(parts)
        )
        return parts

    async def kill_host(self, name: str) -> None:
        """Ends an entry host at once, with all its connections.

        The connections break first, so that nothing that its tasks do while
        they are cancelled can reach another process.
        """
        tasks = [self._tasks.pop(name), *self._submissions.pop(name, ())]
        parts = self.hosts.pop(name)
        self.network.reset_place(name)
        parts.pools.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def stop(self) -> None:
        """Ends everything."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def submit(
        self,
        host: str,
        queue: str,
        team: str,
        body: bytes,
        *,
        request_id: str | None = None,
        idempotent: bool = False,
        deadline_s: float = 10.0,
        key: str | None = None,
    ) -> submission.RequestOutcome:
        """Submits through one entry host as its front end does."""
        parts = self.hosts[host]
        clock = parts.clock
        authorized = credentials.authorize(
            parts.reader.configuration,
            queue,
            key or local_fleet.TEAM_KEYS[team],
            parts.reader.unconfirmed_s,
        )
        if isinstance(authorized, result.Failure):
            refusal: verdicts.Refusal = authorized.failure()
            if request_id is not None and not idempotent:
                refusal = await request_claims.correct_verdict(
                    refusal, request_id, parts.submission_ports.lookup
                )
            return result.Failure(refusal)
        request = types.Request(
            request_id or request_ids.new_request_id(clock.wall()),
            queue,
            authorized.unwrap(),
            body,
            "text/plain",
            types.Size(),
            clock.monotonic() + deadline_s,
            idempotent,
        )
        task = asyncio.ensure_future(
            submission.submit(
                request, parts.submission_ports, claimed=not idempotent
            )
        )
        submissions = self._submissions.setdefault(host, set())
        submissions.add(task)
        task.add_done_callback(submissions.discard)
        return await task

    def active_hosts(self, zone: str) -> list[str]:
        """Returns the places whose process may grant for a zone now."""
        return [
            name
            for name, parts in self.hosts.items()
            if parts.settings.zone == zone
            and parts.entry.leader_role.leadership.has_authority()
        ]

    def executions(self) -> list[upstream_stand_in.TaskRecord]:
        """Returns what all upstreams recorded."""
        return [
            record
            for state in self.upstreams.values()
            for record in state.records
        ]

    def _serve(
        self,
        place: str,
        address: types.Address,
        handler: http_server.Handler,
    ) -> None:
        listen = self.network.listen_at(place)
        self._tasks[place] = asyncio.ensure_future(
            typing.cast(
                abc.Coroutine[typing.Any, typing.Any, None],
                listen(address, http_server.serve_connections(handler)),
            )
        )
