"""Steps of tests/pools/availability_budgets.feature."""

import asyncio
import itertools

import behave

from chervillead.jobs import records
from chervillead.pools import pool_partitions
from stand_ins import platform_fleet
from stand_ins import platform_scenarios
from stand_ins import platform_store

FIRST_TASK = f"{platform_scenarios.JOB}.0.0.0"
FIRST_SHORT_JOB = 100
# Enough to lose all stops of a scenario.
MANY_STOPS = 1_000_000
# Too short for all hosts, so that maintenance can't wait for idle ones.
URGENT_WAVE_S = 4
PARTITION = pool_partitions.partition_of(
    platform_fleet.POOL, platform_store.PARTITIONS
)


def add_background(context, work):
    """Runs a coroutine function of the fleet beside the other actions."""

    async def begin(fleet):
        context.background = [
            *getattr(context, "background", []),
            asyncio.create_task(work(fleet)),
        ]

    platform_scenarios.add_action(context, begin)


def set_on_workers(context, **attributes):
    async def set_all(fleet):
        for worker in fleet.workers.values():
            for name, value in attributes.items():
                setattr(worker, name, value)

    platform_scenarios.add_action(context, set_all)


def all_stops(fleet):
    """Returns the stops that workers have received, in order."""
    return sorted(
        stop for worker in fleet.workers.values() for stop in worker.stops
    )


def worker_of(fleet, task):
    """Returns the worker on which a task runs, or None."""
    return next(
        (w for w in fleet.workers.values() if task in w.running()), None
    )


def crash_for(worker, seconds):
    worker.down_s = seconds
    worker.crash()


@behave.when("stops take {seconds:g} s")
def step(context, seconds):
    set_on_workers(context, stop_s=seconds)


@behave.when("all stops are lost")
def step(context):
    set_on_workers(context, stops_to_drop=MANY_STOPS)


@behave.when("stops are carried out again")
def step(context):
    set_on_workers(context, stops_to_drop=0)


@behave.when(
    "all partitions are rebalanced {delay:g} s after each of the next "
    "{count:d} stops"
)
def step(context, delay, count):
    async def follow_stops(fleet):
        seen = len(all_stops(fleet))
        for _ in range(count):
            while len(all_stops(fleet)) <= seen:
                await asyncio.sleep(0.005)
            await asyncio.sleep(delay)
            seen = len(all_stops(fleet))
            fleet.store.rebalance("pool-owners")

    add_background(context, follow_stops)


@behave.when(
    "the worker of the first task crashes {count:d} times, {seconds:g} s after "
    "each start"
)
def step(context, count, seconds):
    async def crash(fleet):
        for _ in range(count):
            await platform_scenarios.wait_until(
                lambda: worker_of(fleet, FIRST_TASK), 0.01
            )
            await asyncio.sleep(seconds)
            worker_of(fleet, FIRST_TASK).crash()

    platform_scenarios.add_action(context, crash)


@behave.when("a worker with tasks is missing from the list of workers")
def step(context):
    async def remove(fleet):
        worker = next(w for w in fleet.workers.values() if w.running())
        fleet.unlisted.add(worker.worker_id)
        await asyncio.sleep(1)

    platform_scenarios.add_action(context, remove)


@behave.when(
    "the owner is replaced by hosts that can't reach a worker with tasks for "
    "{seconds:g} s"
)
def step(context, seconds):
    async def replace(fleet):
        owner = fleet.owner_host()
        node = next(n for n, w in fleet.workers.items() if w.running())
        fleet.network.cut([node], set(fleet.hosts) - {owner})
        fleet.store.rebalance("pool-owners")
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, fleet.network.heal)
        # Until the owner learns of it.
        await asyncio.sleep(0.6)

    platform_scenarios.add_action(context, replace)


@behave.when("a job of {tasks:d} short tasks is submitted each {seconds:g} s")
def step(context, tasks, seconds):
    async def submit_repeatedly(fleet):
        for number in itertools.count(FIRST_SHORT_JOB):
            host = next(iter(fleet.hosts))
            steps = [platform_fleet.step(tasks, Cpu=3000)]
            await fleet.submit(platform_fleet.job_id(number), steps, host=host)
            await asyncio.sleep(seconds)

    add_background(context, submit_repeatedly)


@behave.when(
    "operators publish an urgent wave over all hosts with a cap of {cap:d}"
)
def step(context, cap):
    platform_scenarios.add_action(
        context,
        platform_scenarios.publish_wave,
        cap=cap,
        duration_s=URGENT_WAVE_S,
    )


@behave.when("a worker with tasks crashes for {seconds:d} s")
def step(context, seconds):
    async def crash(fleet):
        worker = next(w for w in fleet.workers.values() if w.running())
        crash_for(worker, seconds)

    platform_scenarios.add_action(context, crash)


@behave.when("a cordoned worker crashes for {seconds:d} s")
def step(context, seconds):
    async def crash(fleet):
        owner = fleet.hosts[fleet.owner_host()].ownership.owner_of(PARTITION)
        worker = next(
            worker
            for worker in fleet.workers.values()
            if worker.running()
            and owner.state.watches[worker.worker_id].view.cordoned_for
        )
        crash_for(worker, seconds)

    platform_scenarios.add_action(context, crash)


@behave.when(
    "a worker with tasks that aren't being stopped crashes for {seconds:d} s"
)
def step(context, seconds):
    async def crash(fleet):
        owner = fleet.hosts[fleet.owner_host()].ownership.owner_of(PARTITION)
        views = {i: watch.view for i, watch in owner.state.watches.items()}
        assert any(
            run.stop_requested
            for v in views.values()
            for run in v.runs.values()
        ), "no stop was lost"
        worker = next(
            worker
            for worker in fleet.workers.values()
            if worker.running()
            and not any(
                run.stop_requested
                for run in views[worker.worker_id].runs.values()
            )
        )
        crash_for(worker, seconds)

    platform_scenarios.add_action(context, crash)


@behave.when("the stored spec of the job becomes unreadable")
def step(context):
    async def overwrite(fleet):
        key = records.spec_key(platform_scenarios.JOB)
        fleet.store.put_records(
            pool_partitions.JOBS_TOPIC, PARTITION, {key: b"\xc1"}
        )

    platform_scenarios.add_action(context, overwrite)


@behave.when("commands for hosts are lost")
def step(context):
    async def drop(fleet):
        fleet.hosts_service.drops_commands = True

    platform_scenarios.add_action(context, drop)


@behave.when("commands for hosts are carried out again")
def step(context):
    async def accept(fleet):
        fleet.hosts_service.drops_commands = False

    platform_scenarios.add_action(context, accept)


@behave.then("no task of the job was stopped")
def step(context):
    runs = platform_scenarios.run_once(context).runs
    assert runs and not [run for run in runs if run.how == "stopped"], runs


@behave.then("no host went down under a task of the job")
def step(context):
    result = platform_scenarios.run_once(context)
    records = result.fleet.hosts_service.maintenance_records
    assert records and result.runs
    went_down = [
        (run, record)
        for run in result.runs
        for record in records
        if run.how == "gone" and abs(run.ended_s - record.began_s) < 1e-6
    ]
    assert not went_down, went_down
