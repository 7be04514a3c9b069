"""Steps of tests/pools/many_ends.feature."""

import asyncio
import collections

import behave
import msgspec
from returns import pipeline

from chervillead import types
from chervillead.platform import host_client
from chervillead.platform import store_client
from stand_ins import http_server
from stand_ins import memory_network
from stand_ins import platform_fleet
from stand_ins import platform_scenarios
from stand_ins import virtual_time

ADDRESS = types.Address("10.0.0.1", 9000)


@behave.given("workers have room for {tasks:d} tasks")
def step(context, tasks):
    context.task_cpu = 8000 // tasks

    async def enlarge(fleet):
        for worker in fleet.workers.values():
            worker.cpu = tasks * context.task_cpu

    platform_scenarios.add_action(context, enlarge)


@behave.when("{jobs:d} jobs of {tasks:d} tasks are submitted and have started")
def step(context, jobs, tasks):
    context.job_ids = [platform_fleet.job_id(100 + n) for n in range(jobs)]

    async def submit(fleet):
        small = platform_fleet.step(tasks, Cpu=context.task_cpu, MemMb=1)
        for job in context.job_ids:
            assert pipeline.is_successful(await fleet.submit(job, [small]))
        while True:
            runs = [r for job in context.job_ids for r in fleet.runs(job)]
            if len(runs) == jobs * tasks:
                break
            await asyncio.sleep(0.01)
        assert not any(run.how for run in runs), "a run has ended too soon"

    async def ask(fleet):
        context.phases_of_jobs = {
            await fleet.phase(job, host=host)
            for host in fleet.hosts
            for job in context.job_ids
        }

    platform_scenarios.add_action(context, submit)
    context.last_action = ask


@behave.when("the worker is cut off for {seconds:d} s")
def step(context, seconds):
    async def cut(fleet):
        fleet.network.cut(list(fleet.workers), fleet.hosts)
        await asyncio.sleep(seconds)
        fleet.network.heal()

    platform_scenarios.add_action(context, cut)


@behave.when(
    "both workers are lost once they have listed some ends, and another comes"
)
def step(context):
    async def lose(fleet):
        def is_listing():
            return any(
                line["message_type"] == "worker:more-ends"
                for line in fleet.logs
            )

        async with asyncio.timeout(5.0):
            while not is_listing():
                await asyncio.sleep(0.001)
        first, second = fleet.workers.values()
        for worker in (first, second):
            worker.silent = True
            worker._end_all("gone", list_ends=False)
        await asyncio.sleep(8.0)
        second.restart()
        second.silent = False

    platform_scenarios.add_action(context, lose)


@behave.then("each task of these jobs ran once")
def step(context):
    fleet = platform_scenarios.run_once(context).fleet
    counts = collections.Counter(
        run.task for job in context.job_ids for run in fleet.runs(job)
    )
    again = [task for task, count in counts.items() if count > 1]
    assert counts and not again, (len(again), again[:5])


@behave.then("every host reports these jobs as completed")
def step(context):
    platform_scenarios.run_once(context)
    assert context.phases_of_jobs == {"completed"}, context.phases_of_jobs


@behave.given("a service that hands out a list of {what} in pages")
def step(context, what):
    context.what = what


@behave.when("a page is empty and says that more exist")
def step(context):
    _list_from(context, {"items": [], "HasMore": True, "End": 1})


@behave.when("the pages never end")
def step(context):
    _list_from(context, {"Machines": [], "NextPageToken": "next"})


def _list_from(context, page):
    async def handle(request, writer):
        del request, writer
        return http_server.Reply(200, msgspec.json.encode(page))

    async def read():
        network = memory_network.MemoryNetwork(seed=context.seed)
        serve = http_server.serve_connections(handle)
        task = asyncio.create_task(network.listen_at("s")(ADDRESS, serve))
        await asyncio.sleep(0.01)
        dial = network.dial_from("host")
        if context.what == "records":
            store = store_client.connect_store(
                ADDRESS, lambda *_: None, dial=dial
            )
            outcome = await store.read_latest("keyed.jobs", 0)
        else:
            client = host_client.connect_hosts_service(
                ADDRESS, "host", lambda *_: None, dial=dial
            )
            outcome = await client.list_hosts()
        task.cancel()
        return outcome

    context.listed = virtual_time.run_virtual(read(), context.seed)


@behave.then("the list can't be read")
def step(context):
    assert not pipeline.is_successful(context.listed)
