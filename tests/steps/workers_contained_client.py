"""Steps of tests/workers/contained_client.feature."""

import asyncio
import unittest.mock

import behave

from chervillead import http_connection
from chervillead import types
from chervillead.pools import pool_partitions
from chervillead.pools import worker_registry
from stand_ins import platform_fleet
from stand_ins import platform_scenarios


def patch(context, target, name, replacement):
    """Replaces a method until the end of the scenario."""
    patcher = unittest.mock.patch.object(target, name, replacement)
    patcher.start()
    context.add_cleanup(patcher.stop)


@behave.when("calls to the worker {worker_id} raise {what} error")
def step(context, worker_id, what):
    number = int(worker_id.removeprefix("i-"))
    address = types.Address("10.1.0.1", platform_fleet.WORKER_PORT + number)
    if not hasattr(context, "failing_since_s"):
        context.failing_since_s = {}
        call = http_connection.HttpConnection.call

        async def call_or_raise(self, *args, **kwargs):
            if self._address in context.failing_since_s:
                raise LookupError("an error of the client")
            return await call(self, *args, **kwargs)

        patch(context, http_connection.HttpConnection, "call", call_or_raise)

    async def set_failing(fleet):
        del fleet
        now_s = asyncio.get_running_loop().time()
        if what == "an":
            context.failing_since_s[address] = now_s
        else:
            del context.failing_since_s[address]

    platform_scenarios.add_action(context, set_failing)


@behave.then(
    "the log names the error of the worker {worker_id} less than {count:d} "
    "times"
)
def step(context, worker_id, count):
    fleet = platform_scenarios.run_once(context).fleet
    lines = [
        line
        for line in fleet.logs
        if line["message_type"] == "worker:call-error"
    ]
    assert 0 < len(lines) < count, len(lines)
    assert {line["worker"] for line in lines} == {worker_id}
    assert "an error of the client" in lines[0]["error"]


@behave.then(
    "the tasks of the worker {worker_id} started again after {seconds:g} s at "
    "the earliest"
)
def step(context, worker_id, seconds):
    runs = platform_scenarios.run_once(context).runs
    (failing_s,) = context.failing_since_s.values()
    lost = {
        run.task
        for run in runs
        if run.worker_id == worker_id and run.ended_s > failing_s
    }
    restarted = [
        run for run in runs if run.task in lost and run.worker_id != worker_id
    ]
    assert restarted
    earliest_s = min(run.began_s for run in restarted)
    assert earliest_s >= failing_s + seconds, (earliest_s, failing_s)


@behave.when("updates of the first partition's owner raise an error")
def step(context):
    update = worker_registry.WorkerRegistry.update

    def update_or_raise(self, *args, **kwargs):
        if self._state.partition == pool_partitions.HOSTS_PARTITION:
            raise LookupError("an error of the owner")
        return update(self, *args, **kwargs)

    async def replace(fleet):
        del fleet
        patch(
            context, worker_registry.WorkerRegistry, "update", update_or_raise
        )

    platform_scenarios.add_action(context, replace)


@behave.when("the worker's entry returns after it was missing")
def step(context):
    async def hide(fleet):
        fleet.unlisted.add("i-0")
        await asyncio.sleep(2)
        fleet.unlisted.clear()

    platform_scenarios.add_action(context, hide)


@behave.then("no background task has ended")
def step(context):
    fleet = platform_scenarios.run_once(context).fleet
    assert not fleet.ended_tasks, fleet.ended_tasks
