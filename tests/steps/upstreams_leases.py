"""Steps of tests/upstreams/leases.feature."""

import asyncio

import behave

from chervillead.upstreams import leases
from stand_ins import local_fleet
from stand_ins import memory_fleet
from stand_ins import virtual_time

QUEUE = local_fleet.QUEUES[0]


def measure(context, drive):
    """Starts a task of 20 s on each upstream, then runs `drive`."""

    async def main():
        fleet = memory_fleet.MemoryFleet(context.plan, seed=context.seed)
        await fleet.start()
        host = next(iter(fleet.hosts))
        states = [s for n, s in fleet.upstreams.items() if n.startswith(QUEUE)]
        tasks = [
            asyncio.ensure_future(
                fleet.submit(
                    host, QUEUE, "nursery-north", b"run=20", deadline_s=30
                )
            )
            for _ in states
        ]
        await asyncio.sleep(0.5)
        assert all(len(state.running) == 1 for state in states)
        context.running = fleet.hosts[host].running_tasks
        context.pools = fleet.hosts[host].pools
        await drive(fleet, host, states)
        context.ending = states[0].records[0].ending
        for task in tasks:
            task.cancel()
        await fleet.stop()

    virtual_time.run_virtual(main(), context.seed)


async def stop(context, request_id=None):
    grant = context.running.grants[0]
    context.stopped = await leases.stop_task(
        context.pools, grant, request_id or grant.request_id
    )


@behave.given("a lease test with {count:d} upstreams that run a task each")
def step(context, count):
    context.plan = local_fleet.FleetPlan(
        entry_hosts=1, upstreams_per_queue=count, zones=local_fleet.ZONES[:1]
    )


@behave.when("one upstream ignores control calls for {time_s:d} s")
def step(context, time_s):
    async def drive(fleet, host, states):
        states[0].control_failure = "silent"
        before = len(states[1].control_calls)
        await asyncio.sleep(time_s)
        context.renewals = len(states[1].control_calls) - before
        context.still_running = states[1].running

    measure(context, drive)


@behave.when("the upstream ignores a non-idempotent request")
def step(context):
    async def drive(fleet, host, states):
        states[0].failure = "silent"
        started_s = asyncio.get_running_loop().time()
        context.refused = await fleet.submit(host, QUEUE, "nursery-north", b"x")
        context.took_s = asyncio.get_running_loop().time() - started_s

    measure(context, drive)


@behave.when("the leased task is stopped")
def step(context):
    measure(context, lambda fleet, host, states: stop(context))


@behave.when("the leased task is stopped while control calls are ignored")
def step(context):
    async def drive(fleet, host, states):
        states[0].control_failure = "silent"
        await stop(context)

    measure(context, drive)


@behave.when("an unknown task is stopped")
def step(context):
    measure(context, lambda fleet, host, states: stop(context, "unknown"))


@behave.then("the other upstream got at least {count:d} renewals")
def step(context, count):
    assert context.renewals >= count, context.renewals


@behave.then("the leased task on the other upstream still runs")
def step(context):
    assert len(context.still_running) == 1, context.still_running


@behave.then('its refusal says "{verdict}" within {limit_s:g} s')
def step(context, verdict, limit_s):
    assert context.refused.failure().verdict.value == verdict, context.refused
    assert context.took_s <= limit_s, context.took_s


@behave.then(
    'the stop is confirmed as "{expected}" and the task\'s ending is "{ending}"'
)
@behave.then(
    'the stop is confirmed as "{expected}" and the task\'s ending is ""'
)
def step(context, expected, ending=""):
    assert str(context.stopped) == expected, context.stopped
    assert context.ending == ending, context.ending
