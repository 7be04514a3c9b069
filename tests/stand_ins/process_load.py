"""Load of two teams on a fleet of processes, and the evidence of it.

Each caller has a kept connection to an entry host. A caller that loses its host
asks again with the same id through another one.
"""

import asyncio
import itertools
import time

import msgspec

from chervillead import http_exchange
from chervillead import types
from chervillead import verdicts
from chervillead.callers import request_ids
from stand_ins import fault_run
from stand_ins import fleet_state
from stand_ins import invariants
from stand_ins import local_fleet

# Requests that a caller still sends to a host that isn't ready any more: the
# lag of the balancer, as a count.
LAG_REQUESTS = 5
MAX_TRIES = 40
RETRY_S = 0.25


class ProcessLoad:
    """Callers of a fleet and what they saw.

    Attributes:
        submissions: Every submission, in the order of their ends.
        unavailable: Entry hosts that the balancer sends no requests to.
        broken: Ids of submissions whose connection broke.
        planned_stops: From SIGTERM to the exit of entry hosts.
        kept: Requests sent on a connection that had been used before, by host.
    """

    def __init__(
        self,
        plan: local_fleet.FleetPlan,
        *,
        run_s: float = 0.05,
        try_timeout_s: float = 30.0,
    ) -> None:
        self.plan = plan
        self._run_s = run_s
        self.submissions: list[invariants.Submission] = []
        self.unavailable: set[str] = set()
        self.broken: list[str] = []
        self.planned_stops: list[invariants.Interval] = []
        self.kept: dict[str, int] = {}
        self._try_timeout_s = try_timeout_s
        self._ending = False
        self._numbers = itertools.count()
        self._callers: list[asyncio.Task[None]] = []

    def start(self, callers_per_host: int) -> None:
        """Starts the callers; their teams alternate."""
        teams = itertools.cycle(local_fleet.TEAM_KEYS)
        for _ in range(callers_per_host):
            for index in range(self.plan.entry_hosts):
                self._callers.append(
                    asyncio.ensure_future(self._call(index, next(teams)))
                )

    async def finish(self) -> None:
        """Lets each caller learn the fate of its last request and stop."""
        self._ending = True
        async with asyncio.timeout(fleet_state.WAIT_TIMEOUT_S):
            await asyncio.gather(*self._callers)

    async def wait_for_submissions(self, count: int) -> None:
        """Returns once `count` more submissions have ended."""
        wanted = len(self.submissions) + count
        async with asyncio.timeout(fleet_state.WAIT_TIMEOUT_S):
            while len(self.submissions) < wanted:
                # A caller that failed ends the run instead of the timeout.
                for caller in self._callers:
                    if caller.done():
                        caller.result()
                await asyncio.sleep(0.05)

    async def evidence(self) -> invariants.Evidence:
        """Returns what callers and upstreams recorded."""
        executions = await fleet_state.executions(self.plan)
        names = [
            f"{queue}-{index}"
            for queue in local_fleet.QUEUES
            for index in range(self.plan.upstreams_per_queue)
        ]
        zones = self.plan.zones
        return invariants.Evidence(
            executions=executions,
            submissions=self.submissions,
            limits=[
                invariants.LimitChange(team, 0.0, 64)
                for team in local_fleet.TEAM_KEYS
            ],
            withdrawn_keys={},
            zones_out=[],
            isolated=[],
            leaving=[],
            reboots=[],
            planned_stops=self.planned_stops,
            host_zones={n: zones[int(n[-1]) % len(zones)] for n in names},
            host_pools={n: [(0.0, n.rsplit("-", 1)[0])] for n in names},
            queue_pools={queue: queue for queue in local_fleet.QUEUES},
            pool_budgets=dict.fromkeys(local_fleet.QUEUES, 2),
            open_queues=frozenset(),
        )

    async def _call(self, index: int, team: str) -> None:
        """Sends one request after the other until the load ends."""
        connection = CallerConnection(self)
        lag = LAG_REQUESTS
        while not self._ending:
            if self.plan.entry_name(index) in self.unavailable:
                lag -= 1
            if lag == 0:
                index, lag = self._next_host(index), LAG_REQUESTS
            index = await self.submit(connection, index, team)
        connection.close()

    async def submit(
        self, connection: "CallerConnection", index: int, team: str
    ) -> int:
        """Submits until the fate is known; returns the host to go on with."""
        request_id = request_ids.new_request_id(time.time())
        number = next(self._numbers)
        queue = local_fleet.QUEUES[number % len(local_fleet.QUEUES)]
        body = f"run={self._run_s};{request_id}".encode()
        for _ in range(MAX_TRIES):
            submitted_s = time.monotonic()
            answer, refusal = await connection.post(
                index, queue, team, request_id, body, self._try_timeout_s
            )
            self.submissions.append(
                invariants.Submission(
                    request_id,
                    self.plan.entry_name(index),
                    local_fleet.TEAM_KEYS[team],
                    team,
                    queue,
                    body,
                    False,
                    submitted_s,
                    time.monotonic(),
                    answer,
                    refusal,
                )
            )
            if refusal is fault_run.CONNECTION_BROKEN:
                self.broken.append(request_id)
                index = self._next_host(index)
            elif refusal is None or refusal.verdict is not (
                verdicts.Verdict.NOT_RUN
            ):
                return index
            await asyncio.sleep(RETRY_S)
        raise RuntimeError(
            f"{request_id} has no final outcome after {MAX_TRIES} submissions"
        )

    def _next_host(self, index: int) -> int:
        """Returns the next host that the balancer sends requests to."""
        for step in range(1, self.plan.entry_hosts):
            other = (index + step) % self.plan.entry_hosts
            if self.plan.entry_name(other) not in self.unavailable:
                return other
        return index


class CallerConnection:
    """A caller's kept connection to the entry host that it uses."""

    def __init__(self, load: ProcessLoad) -> None:
        self._load = load
        self._index = -1
        self._streams: http_exchange.Streams | None = None

    @property
    def is_open(self) -> bool:
        """Whether the last response left the connection open."""
        return self._streams is not None

    def close(self) -> None:
        """Closes the connection if there is one."""
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None

    async def post(
        self,
        index: int,
        queue: str,
        team: str,
        request_id: str,
        body: bytes,
        timeout_s: float,
    ) -> tuple[types.Answer | None, verdicts.Refusal | None]:
        """Submits once; returns the answer or the refusal."""
        request = local_fleet.submission_request(
            queue, local_fleet.TEAM_KEYS[team], body, request_id=request_id
        )
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._exchange(index, request)
        except fleet_state.BROKEN:
            self.close()
            return None, fault_run.CONNECTION_BROKEN
        if not response.keep_alive:
            self.close()
        if response.status == 200:
            content_type = response.headers.get("content-type", "")
            return types.Answer(200, content_type, response.body), None
        problem = msgspec.json.decode(response.body)
        return None, verdicts.Refusal(
            verdicts.Verdict(problem["verdict"]),
            problem["reason"],
            response.status,
        )

    async def _exchange(
        self, index: int, request: http_exchange.HttpRequest
    ) -> http_exchange.HttpResponse:
        address = self._load.plan.callers_address(index)
        # A connection that the host closed while it was idle isn't used.
        if index != self._index or (
            self._streams is not None and self._streams[0].at_eof()
        ):
            self.close()
        if self._streams is None:
            self._streams = await http_exchange.dial(address)
            self._index = index
        else:
            name = self._load.plan.entry_name(index)
            self._load.kept[name] = self._load.kept.get(name, 0) + 1
        reader, writer = self._streams
        writer.write(http_exchange.encode_request(address, request))
        await writer.drain()
        return await http_exchange.read_response(reader)
