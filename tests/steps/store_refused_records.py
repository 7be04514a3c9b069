"""Steps of tests/store/refused_records.feature."""

import asyncio
import re

import behave
from returns import pipeline

from chervillead import types
from chervillead.platform import store_client
from chervillead.store import group_commit
from stand_ins import http_server
from stand_ins import memory_network
from stand_ins import platform_fleet
from stand_ins import platform_scenarios
from stand_ins import platform_store
from stand_ins import virtual_time

ADDRESS = types.Address("10.0.0.1", 9000)
TOPIC = "keyed.jobs"
LATER = "later"
GIVE_UP_S = 10.0


def numbers(text):
    """Returns the numbers in a text such as "3, 4 and 30" or "none"."""
    return {int(number) for number in re.findall(r"\d+", text)}


@behave.given("a store that accepts records of {size:d} bytes")
def step(context, size):
    context.store = platform_store.StoreStandIn()
    context.store.max_record_bytes = size
    context.busy_status, context.busy_until_s = 0, 0.0


@behave.given("a store that answers appends with {status:d} for {seconds:g} s")
def step(context, status, seconds):
    context.store = platform_store.StoreStandIn()
    context.busy_status, context.busy_until_s = status, seconds


@behave.given("a host that takes the limit to be {size:d} bytes")
def step(context, size):
    context.limit = size


async def write(context, records):
    """Queues records, then one more; returns what became of them."""
    loop = asyncio.get_running_loop()
    respond = context.store.handler_for("host")

    async def handle(request, writer):
        if loop.time() < context.busy_until_s:
            return http_server.Reply(context.busy_status, b"{}")
        return await respond(request, writer)

    network = memory_network.MemoryNetwork()
    serve = http_server.serve_connections(handle)
    listening = asyncio.create_task(network.listen_at("store")(ADDRESS, serve))
    await asyncio.sleep(0)
    client = store_client.connect_store(
        ADDRESS,
        lambda *labels: None,
        dial=network.dial_from("host"),
        max_record_bytes=context.limit,
    )
    writer = group_commit.PartitionWriter(client, TOPIC, 0, 1)
    while await writer.open() is not None:
        await asyncio.sleep(0.1)
    context.refused = []
    writer.on_refused(lambda record, detail: context.refused.append(record.key))
    running = asyncio.create_task(writer.run())
    began_s = loop.time()
    futures = [writer.append(key, value) for key, value in records]
    await asyncio.wait(futures, timeout=GIVE_UP_S)
    context.took_s = loop.time() - began_s
    later = writer.append(LATER, b"x")
    await asyncio.wait([later], timeout=GIVE_UP_S)
    for task in (running, listening):
        task.cancel()
    return [*futures, later]


@behave.when(
    "{count:d} records are queued, of which number {which} has {size:d} bytes"
)
def step(context, count, which, size):
    large = numbers(which)
    queue(
        context,
        [
            (f"k{number:03}", b"x" * (size if number in large else 20))
            for number in range(count)
        ],
    )


@behave.when(
    "{count:d} records are queued, of which number {which} has a key of "
    "{size:d} characters"
)
def step(context, count, which, size):
    large = numbers(which)
    queue(
        context,
        [
            (f"k{number:03}".ljust(size if number in large else 0, "y"), b"x")
            for number in range(count)
        ],
    )


def queue(context, records):
    context.keys = [key for key, _ in records]
    context.futures = virtual_time.run_virtual(
        write(context, records), context.seed
    )


@behave.then(
    "all records but number {which} are stored within {seconds:g} s, in order"
)
def step(context, which, seconds):
    kept = [
        key
        for number, key in enumerate(context.keys)
        if number not in numbers(which)
    ]
    stored = [
        record[1 : 1 + record[0]].decode()
        for record in context.store._partition(TOPIC, 0).records
    ]
    assert [key for key in stored if key in context.keys] == kept, stored
    assert context.took_s <= seconds, context.took_s


@behave.then("number {which} fails as refused, for certain not stored")
def step(context, which):
    for number in numbers(which):
        error = context.futures[number].exception()
        assert isinstance(error, group_commit.RefusedError), error
        assert not error.may_be_stored
    keys = [context.keys[number] for number in sorted(numbers(which))]
    assert context.refused == keys, context.refused


@behave.then("the store rejected at most {count:d} appends")
def step(context, count):
    assert context.store.refused_appends <= count, context.store.refused_appends


@behave.then("records that are queued afterwards are stored")
def step(context):
    assert group_commit.is_stored(context.futures[-1])
    assert context.store.value(TOPIC, 0, LATER) == b"x"


@behave.given("records of the fleet may have at most {size:d} bytes")
def step(context, size):
    async def lower(fleet):
        fleet.store.max_record_bytes = size

    platform_scenarios.add_action(context, lower)


@behave.when("another job with a text of {size:d} characters is submitted")
def step(context, size):
    async def submit(fleet):
        context.outcome = await fleet.submit(
            platform_fleet.job_id(50), [platform_fleet.step(1)], Spec="y" * size
        )

    platform_scenarios.add_action(context, submit)


@behave.then("that job is refused as too large, for certain not run")
def step(context):
    platform_scenarios.run_once(context)
    assert not pipeline.is_successful(context.outcome)
    refusal = context.outcome.failure()
    assert refusal.reason == "job-too-large", refusal
    assert (refusal.verdict.value, refusal.status) == ("not-run", 413), refusal
    assert refusal.retry_after_s is None, refusal


@behave.then("the log names the refused record of kind {kind}")
def step(context, kind):
    fleet = platform_scenarios.run_once(context).fleet
    kinds = {
        line["kind"]
        for line in fleet.logs
        if line["message_type"] == "record:refused"
    }
    assert kinds == {kind}, kinds
