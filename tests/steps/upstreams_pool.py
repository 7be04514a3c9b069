"""Steps of tests/upstreams/pool.feature."""

import asyncio
import collections

import behave
from returns import pipeline

from stand_ins import local_fleet
from stand_ins import memory_fleet
from stand_ins import virtual_time

QUEUE = local_fleet.QUEUES[0]
WORKER = f"{QUEUE}-0"


def measure(context, drive):
    """Starts the fleet; stores the outcomes and the duration of `drive`."""

    async def main():
        fleet = memory_fleet.MemoryFleet(context.plan, seed=context.seed)
        await fleet.start()
        # The entry hosts join and claim their seats one after the other.
        await asyncio.sleep(context.plan.entry_hosts)
        started_s = asyncio.get_running_loop().time()
        context.outcomes = await drive(fleet)
        context.took_s = asyncio.get_running_loop().time() - started_s
        context.executions = fleet.executions()
        await fleet.stop()

    virtual_time.run_virtual(main(), context.seed)


def submit_many(fleet, hosts, count, body, **options):
    return [
        asyncio.ensure_future(
            fleet.submit(
                hosts[number % len(hosts)],
                QUEUE,
                ("nursery-north", "nursery-south")[number % 2],
                body,
                **options,
            )
        )
        for number in range(count)
    ]


@behave.given(
    "a pool test with {upstreams:d} upstreams and {hosts:d} entry hosts"
)
def step(context, upstreams, hosts):
    context.plan = local_fleet.FleetPlan(
        entry_hosts=hosts,
        upstreams_per_queue=upstreams,
        zones=local_fleet.ZONES[:1],
    )


@behave.given(
    "a pool test with {upstreams:d} upstreams of {slots:d} slots and "
    "{hosts:d} entry hosts"
)
def step(context, upstreams, slots, hosts):
    context.plan = local_fleet.FleetPlan(
        entry_hosts=hosts,
        upstreams_per_queue=upstreams,
        slots=slots,
        zones=local_fleet.ZONES[:1],
    )


@behave.when("{fault} {after_s:d} s into a task of {run_s:d} s")
def step(context, fault, after_s, run_s):
    async def drive(fleet):
        body = f"run={run_s}".encode()
        tasks = submit_many(fleet, list(fleet.hosts), 1, body, deadline_s=20)
        await asyncio.sleep(after_s)
        if fault == "all open connections go silent":
            fleet.network.silence_place(WORKER)
        else:
            fleet.network.cut(fleet.hosts, [WORKER])
        return await asyncio.gather(*tasks)

    measure(context, drive)


@behave.when(
    "an upstream ignores an idempotent request while another one is busy"
)
def step(context):
    async def drive(fleet):
        hosts = list(fleet.hosts)
        busy = submit_many(fleet, hosts, 1, b"run=0.5")
        await asyncio.sleep(0.01)
        fleet.upstreams[f"{QUEUE}-1"].failure = "silent"
        ignored = submit_many(fleet, hosts, 1, b"x", idempotent=True)
        return await asyncio.gather(*busy, *ignored)

    measure(context, drive)


@behave.when(
    "{count:d} requests of {run_s:d} s are submitted through one entry host"
)
def step(context, count, run_s):
    async def drive(fleet):
        body = f"run={run_s}".encode()
        hosts = list(fleet.hosts)[:1]
        return await asyncio.gather(
            *submit_many(fleet, hosts, count, body, deadline_s=20)
        )

    measure(context, drive)


@behave.when(
    "{count:d} requests of {run_s:d} s are submitted through all entry hosts"
)
def step(context, count, run_s):
    async def drive(fleet):
        body = f"run={run_s}".encode()
        tasks = submit_many(
            fleet, list(fleet.hosts), count, body, deadline_s=40
        )
        context.peak = 0
        while not all(task.done() for task in tasks):
            pools = [parts.pools for parts in fleet.hosts.values()]
            open_now = sum(p.open_connections for p in pools)
            context.peak = max(context.peak, open_now)
            await asyncio.sleep(0.01)
        return await asyncio.gather(*tasks)

    measure(context, drive)


@behave.then('the pool\'s requests end as "{expected}"')
def step(context, expected):
    endings = collections.Counter(
        {200: "answered"}.get(outcome.unwrap().status, "failed")
        if pipeline.is_successful(outcome)
        else outcome.failure().verdict.value
        for outcome in context.outcomes
    )
    found = ", ".join(f"{n} {name}" for name, n in sorted(endings.items()))
    assert found == expected, (found, context.outcomes[:3])


@behave.then("each pool request ran at most once")
def step(context):
    runs = collections.Counter(e.request_id for e in context.executions)
    assert set(runs.values()) == {1}, runs.most_common(3)


@behave.then("the pool's requests ended within {limit_s:d} s")
def step(context, limit_s):
    assert context.took_s <= limit_s, context.took_s


@behave.then("the upstream never had more than {count:d} connections")
def step(context, count):
    assert 1 <= context.peak <= count, context.peak
