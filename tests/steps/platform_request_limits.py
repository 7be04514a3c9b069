"""Steps of tests/platform/request_limits.feature."""

import asyncio
import collections
import contextlib
import pathlib
import re
import tempfile
import time

import behave
import psutil

from chervillead import http_exchange
from stand_ins import hostile_clients
from stand_ins import local_platform

# A fraction of a real machine's, so that few clients reach the limits.
LIMITS = {"MemoryMb": 48, "MaxFds": 400}
REQUEST_LIMITS = {"BodyTimeoutS": 4.0}
# Longer than the time limit of a body.
RESPONSE_WITHIN_S = 6.0
# Bytes and connections of an idle process: the one that reads the page.
AT_REST = [0.0, 1.0]
SAMPLE_INTERVAL_S = 0.02
# Within this time an ordinary request is answered, with repetitions where it
# is refused.
ANSWER_WITHIN_S = 15.0


def peak_memory_mb(pid):
    """Returns the largest resident memory of a process since its start."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmHWM:"))
    return int(line.split()[1]) / 1024


async def sample_descriptors(pid, counts):
    """Appends the number of open descriptors until cancelled."""
    process = psutil.Process(pid)
    with contextlib.suppress(psutil.Error):
        while True:
            counts.append(process.num_fds())
            await asyncio.sleep(SAMPLE_INTERVAL_S)


async def submit_until_answered(local):
    """Repeats an ordinary request; returns the statuses that it got."""
    ends_s = time.monotonic() + ANSWER_WITHIN_S
    statuses = []
    while time.monotonic() < ends_s:
        status = 0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(5.0):
                status = await local.submit_job(len(statuses) + 1)
        statuses.append(status)
        if statuses[-1] == 200:
            break
        await asyncio.sleep(0.3)
    return statuses


async def read_status(connection):
    """Returns the status of the response to a client, or None."""
    try:
        response = await http_exchange.read_response(connection.reader)
    except (OSError, http_exchange.IncompleteResponseError):
        return None
    return response.status


async def within(reading):
    """Returns the status that a client reads in time, or None."""
    try:
        async with asyncio.timeout(RESPONSE_WITHIN_S):
            return await reading
    except TimeoutError:
        return None


async def read_held(local):
    """Returns the bytes and connections that the metrics page shows."""
    try:
        response = await http_exchange.call_once(
            http_exchange.dial,
            local.metrics_address(0),
            http_exchange.HttpRequest("GET", "/metrics"),
        )
    except (OSError, http_exchange.IncompleteResponseError):
        return None
    found = re.findall(
        rb"^chervillead_request_(?:bytes_held|connections) (\S+)$",
        response.body,
        re.MULTILINE,
    )
    return [float(value) for value in found]


async def held_at_rest(local):
    """Returns the counts once they are those of an idle process, or later."""
    ends_s = time.monotonic() + ANSWER_WITHIN_S
    held = None
    while held != AT_REST and time.monotonic() < ends_s:
        await asyncio.sleep(0.1)
        held = await read_held(local)
    return held


def describe_process(local, folder):
    """Returns what shows why the counts of a process aren't those at rest."""
    accepted = {}
    if local.is_running(0):
        found = psutil.Process(local.process_id(0)).net_connections()
        listening = {x.laddr.port for x in found if not x.raddr}
        accepted = collections.Counter(
            (x.laddr.port, x.status) for x in found if x.laddr.port in listening
        )
    log = (pathlib.Path(folder) / "host-0.log").read_text(errors="replace")
    return (
        f"runs: {local.is_running(0)}, connections: {dict(accepted)}, "
        f"its page: port {local.metrics_address(0).port}, "
        f"last lines: {[line[:200] for line in log.splitlines()[-5:]]}"
    )


async def run(context, folder, pattern, clients, port="callers"):
    """Runs the clients against one host and records what it used."""
    local = local_platform.LocalPlatform(
        pathlib.Path(folder),
        hosts=1,
        limits=LIMITS,
        request_limits=REQUEST_LIMITS if context.reads_responses else {},
    )
    addresses = {
        "callers": local.callers_address(0),
        "entries": local.internal_address(0),
        "metrics": local.metrics_address(0),
    }
    context.descriptors = []
    statuses = []

    def read_response(connection):
        # Read while the client sends, as clients do: once sending has failed,
        # a StreamReader raises that error in place of what it has received.
        if context.reads_responses:
            statuses.append(asyncio.create_task(read_status(connection)))

    try:
        await local.start()
        usage = (await local.wait_until_ready())[0]
        pid = local.process_id(0)
        sampling = asyncio.create_task(
            sample_descriptors(pid, context.descriptors)
        )
        opened = await hostile_clients.attack(
            addresses[port],
            hostile_clients.PATTERNS[pattern],
            clients,
            read_response,
        )
        await asyncio.sleep(1.0)
        context.is_running = local.is_running(0)
        context.statuses = await submit_until_answered(local)
        context.is_running = context.is_running and local.is_running(0)
        context.growth_mb = (
            peak_memory_mb(pid) - usage.memory_mb
            if context.is_running
            else float("inf")
        )
        sampling.cancel()
        if context.reads_responses:
            context.responses = collections.Counter(
                await asyncio.gather(*map(within, statuses))
            )
        for connection in opened:
            connection.writer.transport.abort()
        context.held = await held_at_rest(local)
        context.held_report = (
            "" if context.held == AT_REST else describe_process(local, folder)
        )
    finally:
        await local.stop()


@behave.given("an entry host process with lowered request limits")
def step(context):
    context.reads_responses = "learns" in context.scenario.name


@behave.when("{clients:d} clients send {pattern}")
def step(context, clients, pattern):
    attack(context, clients, pattern, "callers")


@behave.when("{clients:d} clients of its {port} port send {pattern}")
def step(context, clients, port, pattern):
    attack(context, clients, pattern, port)


def attack(context, clients, pattern, port):
    """Runs the clients and prints what the process used."""
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(run(context, folder, pattern, clients, port))
    print(
        f"{pattern}: {context.growth_mb:.1f} MB more, at most "
        f"{max(context.descriptors)} descriptors, "
        f"statuses {context.statuses}"
    )


@behave.then(
    "the process is alive and has used at most {memory:d} MB and "
    "{descriptors:d} descriptors"
)
def step(context, memory, descriptors):
    assert context.is_running
    assert context.growth_mb <= memory, context.growth_mb
    assert max(context.descriptors) <= descriptors, max(context.descriptors)


@behave.then(
    "an ordinary request was answered while those clients stayed connected"
)
def step(context):
    assert context.statuses[-1:] == [200], context.statuses


@behave.then("the clients got responses only with status {statuses}")
def step(context, statuses):
    found = {key for key in context.responses if key is not None}
    expected = set(map(int, statuses.split(" and ")))
    assert found == expected, context.responses


@behave.then("nothing was counted as held after those clients had gone")
def step(context):
    assert context.held == AT_REST, (context.held, context.held_report)
