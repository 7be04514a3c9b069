"""Steps of tests/store/slow_link.feature."""

import asyncio

import behave
from returns import pipeline

from chervillead import types
from chervillead.platform import store_client
from chervillead.store import group_commit
from stand_ins import http_server
from stand_ins import memory_network
from stand_ins import platform_store
from stand_ins import virtual_time

ADDRESS = types.Address("10.0.0.1", 9000)
TOPIC = "keyed.jobs"
GIVE_UP_S = 60.0


class SlowStore:
    """A store behind a slow link, with one optional failure of a page."""

    def __init__(self, rate):
        self.stand_in = platform_store.StoreStandIn()
        self.network = memory_network.MemoryNetwork()
        for place in ("store", "host"):
            self.network.limit_incoming(place, rate)
        self.failing_page = 0
        self.pages = []

    async def connect(self):
        """Returns a client behind the link and the task of the server."""
        answer = self.stand_in.handler_for("host")

        async def handle(request, writer):
            if request.path == "/log-newest":
                self.pages.append(request.query.get("After", ""))
                if len(self.pages) == self.failing_page:
                    return http_server.Reply(503)
            return await answer(request, writer)

        serve = http_server.serve_connections(handle)
        listen = self.network.listen_at("store")
        listening = asyncio.create_task(listen(ADDRESS, serve))
        await asyncio.sleep(0)
        client = store_client.connect_store(
            ADDRESS, lambda *labels: None, dial=self.network.dial_from("host")
        )
        return client, listening


@behave.given("a store behind a link of {rate:d} KB a second")
def step(context, rate):
    context.slow_store = SlowStore(1000 * rate)


@behave.given("the second page of the latest records fails once")
def step(context):
    context.slow_store.failing_page = 2


async def read_changes(client, expected):
    offset, seen = 0, 0
    while seen < expected:
        read = await client.read(TOPIC, 0, offset, 0)
        if pipeline.is_successful(read):
            seen += len(read.unwrap().records)
            offset = read.unwrap().next_offset
    return seen


async def read_latest(client, expected):
    while True:
        latest = await client.read_latest(TOPIC, 0)
        if pipeline.is_successful(latest):
            return len(latest.unwrap().records)


async def append(client, records):
    writer = group_commit.PartitionWriter(client, TOPIC, 0, 1)
    assert await writer.open() is None
    sending = asyncio.create_task(writer.run())
    stored = [writer.append(key, value) for key, value in records.items()]
    await asyncio.gather(*stored)
    sending.cancel()
    return len(stored)


async def transfer(context, kind, size):
    store = context.slow_store
    records = {
        f"j{number:016x}": b"x" * 700 for number in range(1000 * size // 700)
    }
    if kind != "appends":
        store.stand_in.put_records(TOPIC, 0, records)
    client, listening = await store.connect()
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    try:
        async with asyncio.timeout(GIVE_UP_S):
            if kind == "appends":
                context.arrived = await append(client, records)
            elif kind == "reads the latest":
                context.arrived = await read_latest(client, len(records))
            else:
                context.arrived = await read_changes(client, len(records))
    finally:
        listening.cancel()
    context.expected = len(records)
    context.duration_s = loop.time() - started_s


@behave.when("a host {kind} {size:d} KB in records of 700 bytes")
def step(context, kind, size):
    virtual_time.run_virtual(transfer(context, kind, size), context.seed)


@behave.then("all records have arrived within {limit:d} s")
def step(context, limit):
    assert context.arrived == context.expected, context.arrived
    assert context.duration_s <= limit, context.duration_s


@behave.then("no page was read again after it had arrived")
def step(context):
    pages = context.slow_store.pages
    assert len(pages) == len(set(pages)) + 1, pages
