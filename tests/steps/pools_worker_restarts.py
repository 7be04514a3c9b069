"""Steps of tests/pools/worker_restarts.feature."""

import asyncio
import collections

import behave

from stand_ins import platform_fleet
from stand_ins import platform_scenarios

SECOND_JOB = platform_fleet.job_id(2)


@behave.given("workers accept leases of {seconds:d} s")
def step(context, seconds):
    context.max_lease_ms = 1000 * seconds


@behave.when("a long-running job of 1 task is submitted")
def step(context):
    async def submit(fleet):
        for worker in fleet.workers.values():
            worker.long_running.add(platform_scenarios.JOB)
        steps = [platform_fleet.step(1, LongRunning=True)]
        await platform_scenarios.submit(fleet, steps)
        await asyncio.sleep(0.5)

    platform_scenarios.add_action(context, submit)


def _worker_with_task(fleet):
    return next(
        (node, worker)
        for node, worker in fleet.workers.items()
        if worker.running()
    )


@behave.when("the worker is given its longest lease as owners change")
def step(context):
    async def change(fleet):
        _, worker = _worker_with_task(fleet)
        worker._extend(worker.clock_ms() + context.max_lease_ms)
        fleet.store.rebalance("pool-owners")

    platform_scenarios.add_action(context, change)


@behave.when("the worker is cut off")
def step(context):
    async def cut(fleet):
        node, _ = _worker_with_task(fleet)
        fleet.network.cut([node], fleet.hosts)

    platform_scenarios.add_action(context, cut)


@behave.when("the worker is cut off once the new owner has polled it")
def step(context):
    async def cut(fleet):
        node, _ = _worker_with_task(fleet)

        def found():
            return any(
                line["message_type"] == "run:found" for line in fleet.logs
            )

        while not found():
            await asyncio.sleep(0.001)
        fleet.network.cut([node], fleet.hosts)

    platform_scenarios.add_action(context, cut)


@behave.when(
    "the worker restarts {delay:g} s after the start and is heard again "
    "{seconds:d} s later"
)
def step(context, delay, seconds):
    async def restart(fleet):
        (node, worker) = next(iter(fleet.workers.items()))
        while not worker.running():
            await asyncio.sleep(0.001)
        await asyncio.sleep(delay)
        fleet.network.cut([node], fleet.hosts)
        worker.restart()
        fleet.network.reset_place(node)
        await asyncio.sleep(seconds)
        fleet.network.heal()

    platform_scenarios.add_action(context, restart)


@behave.when(
    "a second job is submitted while the next {count:d} polls get no reply"
)
def step(context, count):
    async def submit(fleet):
        for worker in fleet.workers.values():
            worker.poll_replies_to_drop = count
        await fleet.submit(SECOND_JOB, [platform_fleet.step(1)])

    platform_scenarios.add_action(context, submit)


@behave.when("one worker falls silent")
def step(context):
    async def silence(fleet):
        context.silent_worker = next(iter(fleet.workers.values()))
        context.silent_worker.silent = True

    platform_scenarios.add_action(context, silence)


@behave.when("the silent worker answers again")
def step(context):
    async def answer(fleet):
        del fleet
        context.silent_worker.silent = False

    platform_scenarios.add_action(context, answer)


@behave.then("1 task of the job is running on another worker")
def step(context):
    runs = platform_scenarios.run_once(context).runs
    (last,) = [run for run in runs if not run.how]
    assert last.worker_id != runs[0].worker_id, runs


@behave.then("each task of the second job ran once")
def step(context):
    runs = platform_scenarios.run_once(context).fleet.runs(SECOND_JOB)
    counts = collections.Counter(run.task for run in runs)
    assert set(counts.values()) == {1}, runs


@behave.then("no start was left without a reply")
def step(context):
    unanswered = [
        line
        for line in platform_scenarios.run_once(context).fleet.logs
        if line["message_type"] == "run:start-failed"
        and line["verdict"] != "not-run"
    ]
    assert not unanswered, unanswered
