"""Load on a fleet in memory while seeded faults happen; returns the evidence.

Callers behave badly on purpose: a submission whose connection breaks is
repeated under the same id on another entry host, as the balancer does, and a
refused one is repeated by its caller.
"""

import asyncio
from collections import abc
import random
import typing

from returns import pipeline

from chervillead import verdicts
from chervillead.callers import credentials
from chervillead.callers import request_ids
from chervillead.fleet import records
from stand_ins import deliberate_faults
from stand_ins import invariants
from stand_ins import local_fleet
from stand_ins import memory_fleet
from stand_ins import virtual_time

PLAN = local_fleet.FleetPlan(entry_hosts=9, upstreams_per_queue=4, slots=4)
MAX_TRIES = 4
# Part of the tasks that outlast the fence after the loss of a dispatcher.
LONG_PART = 0.1
# Stands for a broken connection: the caller got no HTTP status.
CONNECTION_BROKEN = verdicts.Refusal(
    verdicts.Verdict.MAY_HAVE_RUN, "connection-broken", 0
)


class FaultRun:
    """A fleet under load, with what callers and operators did."""

    def __init__(self, plan: local_fleet.FleetPlan, seed: int) -> None:
        self.plan = plan
        self.random = random.Random(seed)
        self.fleet = memory_fleet.MemoryFleet(plan, seed=seed)
        self.submissions: list[invariants.Submission] = []
        self.limits: list[invariants.LimitChange] = []
        self.withdrawn_keys: dict[str, float] = {}
        self.zones_out: list[invariants.Interval] = []
        self.long_part = 0.0
        self.isolated: list[invariants.Interval] = []
        self.leaving: list[invariants.Interval] = []
        self.keys: dict[str, list[str]] = {
            team: [key] for team, key in local_fleet.TEAM_KEYS.items()
        }

    @property
    def now_s(self) -> float:
        """Virtual time."""
        return asyncio.get_running_loop().time()

    def zone_places(self, zone: str) -> list[str]:
        """Returns the entry hosts and upstreams of a zone."""
        hosts = [
            self.plan.entry_name(index)
            for index in range(self.plan.entry_hosts)
            if local_fleet.ZONES[index % 4] == zone
        ]
        upstreams = [
            name
            for name in self.fleet.upstreams
            if local_fleet.ZONES[int(name.rsplit("-", 1)[1]) % 4] == zone
        ]
        return hosts + upstreams

    def isolated_hosts(self) -> set[str]:
        """Returns the entry hosts that no news can reach at present."""
        network = self.fleet.network
        reached: set[str] = set()
        frontier = {
            host
            for host in self.fleet.hosts
            if not self.fleet.platform.is_down
            and not network.is_cut(host, memory_fleet.PLATFORM)
        }
        while frontier:
            reached |= frontier
            frontier = {
                host
                for host in set(self.fleet.hosts) - reached
                if any(not network.is_cut(host, other) for other in reached)
            }
        return set(self.fleet.hosts) - reached

    async def wait_for_platform(self) -> None:
        """Returns when operators can publish."""
        while self.fleet.platform.is_down:
            await asyncio.sleep(0.1)

    async def watch_isolation(self) -> None:
        """Notes when entry hosts are isolated, until cancelled."""
        since: dict[str, float] = {}
        try:
            while True:
                isolated = self.isolated_hosts()
                for host in isolated:
                    since.setdefault(host, self.now_s)
                for host in set(since) - isolated:
                    self._note_isolated(host, since.pop(host))
                await asyncio.sleep(0.1)
        finally:
            for host, start_s in since.items():
                self._note_isolated(host, start_s)

    def _note_isolated(self, host: str, start_s: float) -> None:
        self.isolated.append(invariants.Interval(host, start_s, self.now_s))

    def evidence(self) -> invariants.Evidence:
        """Returns what the run recorded so far."""
        names = list(self.fleet.upstreams)
        return invariants.Evidence(
            [
                invariants.Execution(
                    name,
                    record.request_id,
                    record.team,
                    record.queue,
                    record.started_s,
                    record.ended_s,
                    record.grant_id.split(".")[0],
                )
                for name, state in self.fleet.upstreams.items()
                for record in state.records
            ],
            self.submissions,
            self.limits,
            self.withdrawn_keys,
            self.zones_out,
            self.isolated,
            self.leaving,
            [],
            [],
            {
                name: local_fleet.ZONES[int(name.rsplit("-", 1)[1]) % 4]
                for name in names
            },
            {name: [(0.0, name.rsplit("-", 1)[0])] for name in names},
            {queue: queue for queue in local_fleet.QUEUES},
            dict.fromkeys(local_fleet.QUEUES, 2),
            frozenset(),
        )


Fault = abc.Callable[[FaultRun], abc.Awaitable[None]]


async def kill_and_restart(run: FaultRun) -> None:
    """Kills an entry host and starts it again after some seconds."""
    index = run.random.randrange(run.plan.entry_hosts)
    name = run.plan.entry_name(index)
    if name not in run.fleet.hosts:
        return
    await run.fleet.kill_host(name)
    await asyncio.sleep(run.random.uniform(0.2, 8.0))
    run.fleet.start_host(index)


async def cut_zone(run: FaultRun) -> None:
    """Cuts a zone off from the others, from the platform, or from both."""
    inside = run.zone_places(run.random.choice(local_fleet.ZONES))
    outside = [
        place
        for zone in local_fleet.ZONES
        for place in run.zone_places(zone)
        if place not in inside
    ]
    kind = run.random.choice(("zones", "platform", "both"))
    if kind != "platform":
        run.fleet.network.cut(inside, outside)
    if kind != "zones":
        run.fleet.network.cut(inside, [memory_fleet.PLATFORM])
    await asyncio.sleep(run.random.uniform(1.0, 10.0))
    run.fleet.network.heal()


async def cut_host(run: FaultRun) -> None:
    """Cuts one entry host off from everything, as a paused one is."""
    name = run.plan.entry_name(run.random.randrange(run.plan.entry_hosts))
    others = [place for z in local_fleet.ZONES for place in run.zone_places(z)]
    others = [place for place in others if place != name]
    run.fleet.network.cut([name], [*others, memory_fleet.PLATFORM])
    await asyncio.sleep(run.random.uniform(0.3, 8.0))
    run.fleet.network.heal()


async def cut_peers(run: FaultRun) -> None:
    """Cuts an entry host off from its peers, but from nothing else."""
    name = run.plan.entry_name(run.random.randrange(run.plan.entry_hosts))
    others = [host for host in run.fleet.hosts if host != name]
    run.fleet.network.cut([name], others)
    await asyncio.sleep(run.random.uniform(3.0, 9.0))
    run.fleet.network.heal()


async def stop_platform(run: FaultRun) -> None:
    """Takes the platform down for some seconds."""
    run.fleet.platform.is_down = True
    await asyncio.sleep(run.random.uniform(1.0, 10.0))
    run.fleet.platform.is_down = False


async def lose_append_answers(run: FaultRun) -> None:
    """Loses the answers of the next appends after they took effect."""
    run.fleet.platform.replies_to_drop += run.random.randrange(1, 5)
    await asyncio.sleep(0)


async def break_upstream(run: FaultRun) -> None:
    """Makes an upstream misbehave for some seconds."""
    state = run.random.choice(list(run.fleet.upstreams.values()))
    state.failure = run.random.choice(
        ("silent", "close", "truncate", "crossed")
    )
    await asyncio.sleep(run.random.uniform(1.0, 5.0))
    state.failure = ""


async def take_zone_out(run: FaultRun) -> None:
    """Operators take a zone out and bring it back."""
    zone = run.random.choice(local_fleet.ZONES)
    index = local_fleet.ZONES.index(zone)
    if any(i.subject == zone and i.end_s > run.now_s for i in run.zones_out):
        return
    await run.wait_for_platform()
    started_s = run.now_s
    position = len(run.zones_out)
    run.zones_out.append(invariants.Interval(zone, started_s, float("inf")))
    run.fleet.publish_change(records.ZONE, zone, index=index, status="out")
    await asyncio.sleep(run.random.uniform(6.0, 12.0))
    await run.wait_for_platform()
    run.zones_out[position] = invariants.Interval(zone, started_s, run.now_s)
    run.fleet.publish_change(records.ZONE, zone, index=index, status="in")


async def withdraw_key(run: FaultRun) -> None:
    """Operators grant a key to a team and withdraw it some seconds later."""
    team = run.random.choice(list(local_fleet.TEAM_KEYS))
    key = f"key-of-{team}-{run.fleet.platform.next_offset:06d}"
    subject = credentials.hash_key(key)
    await run.wait_for_platform()
    run.fleet.publish_change(records.KEY, subject, team=team)
    await asyncio.sleep(run.random.uniform(1.0, 3.0))
    run.keys[team].append(key)
    await asyncio.sleep(run.random.uniform(1.0, 5.0))
    await run.wait_for_platform()
    run.withdrawn_keys[key] = run.now_s
    run.fleet.publish_change(records.KEY, subject, team=team, withdrawn=True)
    # Callers go on to use the key, as they do until somebody tells them.


async def change_limit(run: FaultRun) -> None:
    """Operators lower or raise a team's limit."""
    team = run.random.choice(list(local_fleet.TEAM_KEYS))
    limit = run.random.choice((4, 10, 30, 64))
    await run.wait_for_platform()
    run.limits.append(invariants.LimitChange(team, run.now_s, limit))
    run.fleet.publish_change(records.TEAM, team, share=1.0, limit=limit)
    await asyncio.sleep(0)


FAULTS: dict[str, Fault] = {
    "kill": kill_and_restart,
    "zone cut": cut_zone,
    "host cut": cut_host,
    "peers cut": cut_peers,
    "platform outage": stop_platform,
    "lost append answers": lose_append_answers,
    "broken upstream": break_upstream,
    "zone out": take_zone_out,
    "key withdrawn": withdraw_key,
    "limit change": change_limit,
}


async def run_faults(
    run: FaultRun,
    kinds: abc.Sequence[str],
    *,
    duration_s: float = 30.0,
    requests_per_s: float = 60.0,
    fault_every_s: float = 4.0,
) -> invariants.Evidence:
    """Runs load and faults together and returns the evidence."""
    await run.fleet.start()
    for team in local_fleet.TEAM_KEYS:
        run.limits.append(invariants.LimitChange(team, 0.0, 64))
    watching = asyncio.ensure_future(run.watch_isolation())
    end_s = run.now_s + duration_s
    tasks: list[asyncio.Task[typing.Any]] = []
    if "peers cut" in kinds:
        run.long_part = LONG_PART

    async def inject() -> None:
        while run.now_s < end_s:
            await asyncio.sleep(run.random.expovariate(1 / fault_every_s))
            fault = FAULTS[run.random.choice(list(kinds))]
            tasks.append(asyncio.ensure_future(fault(run)))

    tasks.append(asyncio.ensure_future(inject()))
    number = 0
    while run.now_s < end_s:
        await asyncio.sleep(run.random.expovariate(requests_per_s))
        tasks.append(asyncio.ensure_future(_caller(run, number)))
        number += 1
    # A fault that starts last still ends, and late answers still arrive.
    await asyncio.sleep(20.0)
    await asyncio.gather(*tasks)
    watching.cancel()
    await asyncio.gather(watching, return_exceptions=True)
    evidence = run.evidence()
    await run.fleet.stop()
    return evidence


def find_violations(
    kinds: abc.Sequence[str], seed: int, *, fault: str = ""
) -> dict[str, list[str]]:
    """Runs one seed on a virtual clock and returns what broke.

    Args:
        kinds: Faults of the surroundings, by the names in `FAULTS`.
        seed: Seed of all random choices.
        fault: Name of a fault to put into the product, if any.

    Raises:
        RuntimeError: Nothing ran, so the checks would hold for no reason.
    """
    run = FaultRun(PLAN, seed)
    with deliberate_faults.applied(fault):
        evidence = virtual_time.run_virtual(run_faults(run, kinds), seed)
    if not any(s.answer is not None for s in evidence.submissions):
        raise RuntimeError(f"seed {seed}: no submission was answered")
    return invariants.violations(evidence)


async def _caller(run: FaultRun, number: int) -> None:
    """Submits one request, and repeats it while its fate is open."""
    clock_s = next(iter(run.fleet.hosts.values())).clock.wall()
    request_id = request_ids.new_request_id(clock_s)
    queue = run.random.choice(local_fleet.QUEUES)
    team = run.random.choice(list(local_fleet.TEAM_KEYS))
    key = run.random.choice(run.keys[team])
    run_s = run.random.expovariate(1 / 0.15)
    if run.random.random() < run.long_part:
        run_s = run.random.uniform(3.0, 8.0)
    body = f"run={run_s:.4f};{number}".encode()
    idempotent = run.random.random() < 0.2
    for _ in range(MAX_TRIES):
        last = await _submit(
            run, request_id, queue, team, key, body, idempotent
        )
        if last.answer is not None:
            return
        await asyncio.sleep(run.random.uniform(0.0, 2.0))


async def _submit(
    run: FaultRun,
    request_id: str,
    queue: str,
    team: str,
    key: str,
    body: bytes,
    idempotent: bool,
) -> invariants.Submission:
    host = run.random.choice(list(run.fleet.hosts))
    started_s = run.now_s
    answer, refusal = None, None
    try:
        outcome = await run.fleet.submit(
            host,
            queue,
            team,
            body,
            key=key,
            request_id=request_id,
            idempotent=idempotent,
            deadline_s=run.random.uniform(1.0, 8.0) + 8 * (run.long_part > 0),
        )
        if pipeline.is_successful(outcome):
            answer = outcome.unwrap()
        else:
            refusal = outcome.failure()
    except asyncio.CancelledError:
        refusal = CONNECTION_BROKEN
    submission = invariants.Submission(
        request_id,
        host,
        key,
        team,
        queue,
        body,
        idempotent,
        started_s,
        run.now_s,
        answer,
        refusal,
    )
    run.submissions.append(submission)
    return submission
