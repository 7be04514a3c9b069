"""Load on a fleet of processes while one entry host is stopped."""

import asyncio
import collections
import pathlib
import signal
import time
import typing

from chervillead import http_exchange
from chervillead.callers import request_ids
from chervillead.platform import configuration as configuration_module
from chervillead.platform import fold
from chervillead.platform import log_client
from chervillead.platform import records
from stand_ins import local_fleet

TRY_TIMEOUT_S = 3.0
MAX_TRIES = 4
TAKEOVER_TIMEOUT_S = 60.0


class PausedRun(typing.NamedTuple):
    """What a run showed.

    Attributes:
        stopped: Entry host that was stopped.
        holder: Holder of the duty seat in the end.
        replies: Last reply to each request.
        runs: Executions by request id.
    """

    stopped: str
    holder: str
    replies: dict[str, http_exchange.HttpResponse]
    runs: collections.Counter[str]


def work_of(request_id: str) -> bytes:
    """Returns a body whose work is likely to be under way at the stop."""
    return b"run=0.3;" + request_id.encode()


async def run_paused(
    plan: local_fleet.FleetPlan, folder: pathlib.Path
) -> PausedRun:
    """Stops the dispatcher of zone a under load until it is replaced."""
    fleet = local_fleet.start_fleet(plan, folder)
    replies: dict[str, http_exchange.HttpResponse] = {}
    try:
        await local_fleet.wait_until_ready(fleet)
        load = asyncio.create_task(_load(plan, replies))
        await asyncio.sleep(1.0)
        stopped = await _holder(plan)
        fleet.processes[stopped].send_signal(signal.SIGSTOP)
        async with asyncio.timeout(TAKEOVER_TIMEOUT_S):
            while await _holder(plan) == stopped:
                await asyncio.sleep(0.2)
        await asyncio.sleep(4.0)
        fleet.processes[stopped].send_signal(signal.SIGCONT)
        await asyncio.sleep(4.0)
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)
        executions = await local_fleet.upstream_records(plan)
        holder = await _holder(plan)
    finally:
        local_fleet.stop_fleet(fleet)
    runs = collections.Counter(entry["request_id"] for entry in executions)
    return PausedRun(stopped, holder, replies, runs)


async def _load(
    plan: local_fleet.FleetPlan,
    replies: dict[str, http_exchange.HttpResponse],
) -> None:
    async with asyncio.TaskGroup() as tasks:
        number = 0
        while True:
            number += 1
            tasks.create_task(_submit(plan, number, replies))
            await asyncio.sleep(0.03)


async def _submit(
    plan: local_fleet.FleetPlan,
    number: int,
    replies: dict[str, http_exchange.HttpResponse],
) -> None:
    """Sends a request; repeats it elsewhere if no reply comes."""
    request_id = request_ids.new_request_id(time.time())
    for attempt in range(MAX_TRIES):
        try:
            async with asyncio.timeout(TRY_TIMEOUT_S):
                replies[request_id] = await local_fleet.send_request(
                    plan.callers_address((number + attempt) % plan.entry_hosts),
                    local_fleet.QUEUES[number % len(local_fleet.QUEUES)],
                    local_fleet.TEAM_KEYS["nursery-north"],
                    work_of(request_id),
                    request_id=request_id,
                )
                return
        except (OSError, TimeoutError, http_exchange.IncompleteResponseError):
            continue


async def _holder(plan: local_fleet.FleetPlan) -> str:
    """Returns the holder of the duty seat of zone a, by the log."""
    platform = log_client.connect_platform(plan.platform, timeout_s=2.0)
    configuration = configuration_module.EMPTY
    page = (await platform.read(0, 0.0)).unwrap()
    while page.entries:
        entries = records.decode_entries(page.entries)
        for step in fold.fold_records(configuration, entries):
            configuration = step.configuration
        page = (await platform.read(configuration.offset + 1, 0.0)).unwrap()
    return configuration.seats["a/0"].host
