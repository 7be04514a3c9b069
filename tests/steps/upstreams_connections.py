"""Steps of tests/upstreams/connections.feature."""

import asyncio
import time

import behave
from returns import pipeline

from chervillead import http_exchange
from chervillead import types
from chervillead.upstreams import pool
from stand_ins import free_ports
from stand_ins import http_server
from stand_ins import local_fleet
from stand_ins import memory_fleet
from stand_ins import upstream as upstream_stand_in
from stand_ins import virtual_time

QUEUE = local_fleet.QUEUES[0]
PLAN = local_fleet.FleetPlan(
    entry_hosts=1, upstreams_per_queue=1, zones=local_fleet.ZONES[:1]
)


async def submit(fleet, body, *, idempotent=False, deadline_s=10.0):
    return await fleet.submit(
        next(iter(fleet.hosts)),
        QUEUE,
        "nursery-north",
        body,
        idempotent=idempotent,
        deadline_s=deadline_s,
    )


def ending(outcome):
    if pipeline.is_successful(outcome):
        return "own answer" if outcome.unwrap().body == b"done:x" else "other"
    return outcome.failure().verdict.value


def count_grants(fleet):
    """Returns the list of grants that the entry host gets from now on."""
    (name, parts), grants = next(iter(fleet.hosts.items())), []

    async def acquire(request):
        grants.append(await parts.submission_ports.acquire(request))
        return grants[-1]

    ports = parts.submission_ports._replace(acquire=acquire)
    fleet.hosts[name] = parts._replace(submission_ports=ports)
    return grants


def run_on_keep_alive_connection(context, disturb):
    """Sends three requests; `disturb` sends the second one."""

    async def main():
        fleet = memory_fleet.MemoryFleet(PLAN, seed=context.seed)
        await fleet.start()
        state = fleet.upstreams[f"{QUEUE}-0"]
        first = await submit(fleet, b"first")
        assert pipeline.is_successful(first), first
        before = len(state.received)
        context.outcome = await disturb(fleet, state)
        state.failure = ""
        context.received = state.received[before:]
        context.grants = count_grants(fleet)
        context.last = await submit(fleet, b"last")
        await fleet.stop()

    virtual_time.run_virtual(main(), context.seed)


@behave.given("a fleet with one upstream and a keep-alive connection to it")
def step(context):
    pass


@behave.when('the upstream fails a non-idempotent request with "{failure}"')
def step(context, failure):
    async def disturb(fleet, state):
        state.failure = failure
        outcome = await submit(fleet, b"x")
        await asyncio.sleep(0.05)
        return outcome

    run_on_keep_alive_connection(context, disturb)


@behave.when("a request runs longer than its deadline")
def step(context):
    async def disturb(fleet, state):
        state.run_s = 1.0
        outcome = await submit(fleet, b"x", deadline_s=0.9)
        state.run_s = 0.02
        return outcome

    run_on_keep_alive_connection(context, disturb)


@behave.when("the upstream closes all its idle connections")
def step(context):
    async def disturb(fleet, state):
        fleet.network.reset_place(f"{QUEUE}-0")

    run_on_keep_alive_connection(context, disturb)


@behave.given("an upstream on a free port of loopback")
def step(context):
    ports = free_ports.reserve_ports(1)
    context.add_cleanup(ports.release)
    context.address = types.Address(free_ports.LOOPBACK, ports.base)


@behave.when("it closes a keep-alive connection after reading a request")
def step(context):
    async def main():
        state = upstream_stand_in.UpstreamState(run_s=0.0)
        server = await http_server.serve(
            upstream_stand_in.build_handler(state), *context.address
        )
        clock = types.Clock(time.monotonic, time.time)
        pools = pool.UpstreamPools(clock, http_exchange.dial)
        upstream = types.Upstream("worker", "a", context.address)

        async def send(name):
            now_s = clock.monotonic()
            request = types.Request(
                *(name, QUEUE, "", b"x", "text/plain", types.Size()),
                now_s + 5.0,
                False,
            )
            grant = types.Grant("g", name, "d", upstream, now_s + 1.0, 2.0)
            return await pool.send(pools, request, grant, clock)

        first = await send("first")
        assert ending(first) == "own answer", first
        state.failure = "unread"
        context.outcome = await send("second")
        context.received = state.received[1:]
        pools.close()
        server.close()
        await asyncio.sleep(0.01)

    asyncio.run(main())


@behave.then('the connection\'s request ends as "{expected}"')
def step(context, expected):
    assert ending(context.outcome) == expected, context.outcome


@behave.then("the upstream received the request once")
def step(context):
    assert len(context.received) == 1, context.received


@behave.then("the next request gets its own answer")
def step(context):
    assert context.last.unwrap().body == b"done:last", context.last


@behave.then("it took one attempt")
def step(context):
    assert len(context.grants) == 1, context.grants
