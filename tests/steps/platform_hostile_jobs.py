"""Steps of tests/platform/hostile_jobs.feature."""

import asyncio
import collections
import contextlib
import pathlib
import tempfile
import time

import behave
import psutil

from stand_ins import hostile_jobs
from stand_ins import local_platform
from stand_ins import platform_fleet

OTHER_KEY = "key-2"
# Two accounts, so that one of them may be at its limit.
ACCOUNTS = {
    "Tenants": [
        {
            "Name": name,
            "ApiKeys": [key],
            "Weight": 1,
            "Cap": {"Cpu": 0, "MemMb": 0, "Gpu": 0},
        }
        for name, key in (
            ("team-1", platform_fleet.KEY),
            ("team-2", OTHER_KEY),
        )
    ]
}
SAMPLE_INTERVAL_S = 0.02
# Within this time an ordinary request is answered, with repetitions where it
# is refused.
ANSWER_WITHIN_S = 15.0
CALL_TIMEOUT_S = 5.0


async def sample(local, host, usage):
    """Records the memory and descriptors of a host until cancelled."""
    with contextlib.suppress(OSError, StopIteration, psutil.Error):
        while True:
            usage.append(
                (local.peak_memory_mb(host), local.open_descriptors(host))
            )
            await asyncio.sleep(SAMPLE_INTERVAL_S)


@contextlib.asynccontextmanager
async def observed(context, local, host):
    """Records what a host uses, and whether it is alive at the end."""
    sampling = asyncio.create_task(sample(local, host, context.usage))
    try:
        yield
    finally:
        sampling.cancel()
        context.is_running = local.is_running(host)


async def submit_until_answered(local, host, key):
    """Repeats an ordinary request; returns the statuses that it got."""
    ends_s = time.monotonic() + ANSWER_WITHIN_S
    statuses = []
    while time.monotonic() < ends_s and statuses[-1:] != [200]:
        status = 0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CALL_TIMEOUT_S):
                status = await local.submit_job(
                    len(statuses) + 1, host=host, key=key
                )
        statuses.append(status)
        await asyncio.sleep(0.3)
    return statuses


def run(context, act):
    """Runs hosts and clients; prints what the observed host used."""
    context.usage = []
    context.crowd_statuses = []

    async def run_hosts(folder):
        local = local_platform.LocalPlatform(
            pathlib.Path(folder),
            hosts=len(context.machines),
            host_limits=dict(enumerate(context.machines)),
            operator_fields=ACCOUNTS,
            late_hosts=len(context.machines) - 1,
        )
        try:
            await local.start()
            await local.wait_until_ready()
            await act(local)
        finally:
            await local.stop()

    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(run_hosts(folder))
    memory, descriptors = map(max, zip(*context.usage, strict=True))
    print(
        f"{context.pattern}: at most {memory:.1f} MB and {descriptors} "
        f"descriptors, ordinary caller {context.statuses}, clients "
        f"{dict(collections.Counter(context.crowd_statuses))}"
    )


@behave.given(
    "an entry host on a machine of {memory:d} MB and {descriptors:d} "
    "descriptors"
)
def step(context, memory, descriptors):
    context.machines = [{"MemoryMb": memory, "MaxFds": descriptors}]


@behave.given("a host with {first:d} MB, and one with {second:d} MB")
def step(context, first, second):
    context.machines = [
        {"MemoryMb": memory, "MaxFds": 400} for memory in (first, second)
    ]


@behave.when(
    "{clients:d} clients send {pattern} until an ordinary caller is answered"
)
def step(context, clients, pattern):
    assert clients == hostile_jobs.CLIENTS
    context.pattern = pattern

    async def act(local):
        attack = asyncio.create_task(
            hostile_jobs.attack(
                local.callers_address(0),
                hostile_jobs.REFUSED[pattern],
                context.crowd_statuses,
            )
        )
        async with observed(context, local, 0):
            await asyncio.sleep(3.0)
            context.statuses = await submit_until_answered(local, 0, OTHER_KEY)
        attack.cancel()
        await asyncio.gather(attack, return_exceptions=True)

    run(context, act)


@behave.when("{clients:d} clients submit {count:d} {pattern} each")
def step(context, clients, count, pattern):
    assert clients == hostile_jobs.CLIENTS
    assert count == hostile_jobs.JOBS_PER_CLIENT
    context.pattern = pattern
    if len(context.machines) > 1:
        return

    async def act(local):
        async with observed(context, local, 0):
            await submit_crowd(context, local)
            context.statuses = await submit_until_answered(local, 0, OTHER_KEY)

    run(context, act)


async def submit_crowd(context, local):
    """Submits the jobs of all clients to the first host."""
    context.crowd_statuses += await hostile_jobs.submit_all(
        local.callers_address(0), hostile_jobs.ACCEPTED[context.pattern]
    )


@behave.when("the host that accepted them is killed")
def step(context):
    async def act(local):
        await submit_crowd(context, local)
        await local.start_host(1)
        async with observed(context, local, 1):
            await local.wait_until_ready()
            await local.kill_host(0)
            context.statuses = await submit_until_answered(local, 1, OTHER_KEY)

    run(context, act)


@behave.then(
    "the host is alive and has used at most {memory:d} MB and "
    "{descriptors:d} descriptors"
)
@behave.then(
    "the other host is alive and has used at most {memory:d} MB and "
    "{descriptors:d} descriptors"
)
def step(context, memory, descriptors):
    assert context.is_running
    for used_mb, used_descriptors in context.usage:
        assert used_mb <= memory, used_mb
        assert used_descriptors <= descriptors, used_descriptors


@behave.then("the ordinary caller was answered while those clients came back")
@behave.then("an ordinary caller of another account is answered afterwards")
def step(context):
    assert context.statuses[-1:] == [200], context.statuses
