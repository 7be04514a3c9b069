"""Steps of tests/upstreams/connection_pool.feature."""

import asyncio
import collections
import random

import behave
from returns import pipeline

from chervillead import http_exchange
from chervillead import types
from chervillead.upstreams import connection_pool
from chervillead.upstreams import connections
from stand_ins import http_server
from stand_ins import memory_network
from stand_ins import upstream as upstream_stand_in
from stand_ins import virtual_time

ADDRESS = types.Address("127.0.0.1", 17300)
START_BY_S = 1.0


class PoolBench:
    """A pool on a memory network, with an upstream at its other end."""

    def __init__(self, context, choose=None):
        self.state = upstream_stand_in.UpstreamState(slots=100)
        self.network = memory_network.MemoryNetwork(seed=context.seed)
        self.peak = 0
        handler = upstream_stand_in.build_handler(self.state)

        async def handle(request, writer):
            fault = choose() if choose else ""
            if fault == "close":
                writer.close()
                return None
            reply = await handler(request, writer)
            if fault == "close-after":
                asyncio.get_running_loop().call_later(0.004, writer.close)
            return reply

        self.listening = asyncio.ensure_future(
            self.network.listen_at("upstream")(
                ADDRESS, http_server.serve_connections(handle)
            )
        )
        network_dial = self.network.dial_from("entry")

        async def dial(address):
            self.peak = max(self.peak, self.pool.open_connections)
            if context.connecting_fails or (choose and choose() == "refuse"):
                await asyncio.sleep(0.1)
                raise ConnectionRefusedError("refused by the test")
            return await network_dial(address)

        self.pool = connection_pool.ConnectionPool(
            ADDRESS, virtual_time.clock(), dial, lambda: context.limit
        )

    def start(self, number, run_s=0.02, deadline_s=5.0):
        """Starts the call of a task that runs `run_s`."""
        now_s = asyncio.get_running_loop().time()
        return self.pool.start(
            http_exchange.HttpRequest(
                "POST",
                "/tasks",
                (
                    ("chervillead-request-id", str(number)),
                    ("chervillead-lease-ms", "9000"),
                ),
                f"run={run_s}".encode(),
            ),
            now_s + deadline_s,
            request_id=str(number),
            start_by_s=now_s + START_BY_S,
        )


def measure(context, drive, choose=None):
    """Runs `drive`; stores the outcomes and end times of its calls."""

    async def main():
        loop = asyncio.get_running_loop()
        bench = PoolBench(context, choose)
        await asyncio.sleep(0.01)
        started_s = loop.time()
        calls = await drive(bench)
        refused_s = context.refused_s = []
        for call in calls:
            call.outcome.add_done_callback(
                lambda future: (
                    pipeline.is_successful(future.result())
                    or refused_s.append(loop.time() - started_s)
                )
            )
        _, pending = await asyncio.wait([c.outcome for c in calls], timeout=60)
        context.took_s = loop.time() - started_s
        context.pending = len(pending)
        # A call that is written after its end would arrive in this time.
        await asyncio.sleep(0.1)
        context.outcomes = [c.outcome.result() for c in calls if not pending]
        context.received = bench.state.received
        context.peak = bench.peak
        bench.pool.close()

    virtual_time.run_virtual(main(), context.seed)


@behave.given("a connection pool of at most {limit:d} connections")
def step(context, limit):
    context.limit, context.connecting_fails = limit, False


@behave.given(
    "a connection pool of at most {limit:d} connections that cannot connect"
)
def step(context, limit):
    context.limit, context.connecting_fails = limit, True


@behave.given(
    "a connection pool of at most {limit:d} connections with random faults of "
    "sequence {sequence:d}"
)
def step(context, limit, sequence):
    context.limit, context.connecting_fails, context.sequence = (
        limit,
        False,
        sequence,
    )


@behave.when("{count:d} calls are started on the pool")
def step(context, count):
    async def drive(bench):
        return [bench.start(number) for number in range(count)]

    measure(context, drive)


@behave.when("a call that runs {run_s:g} s is started before {count:d} calls")
def step(context, run_s, count):
    async def drive(bench):
        first = bench.start("first", run_s)
        return [first] + [bench.start(number) for number in range(count)]

    measure(context, drive)


@behave.when("a call is cancelled {after_s:g} s after its start")
def step(context, after_s):
    async def drive(bench):
        call = bench.start("x", 2.0)
        await asyncio.sleep(after_s)
        connections.cancel(call)
        return [call]

    measure(context, drive)


@behave.when("the pool closes {after_s:g} s after the start of {count:d} calls")
def step(context, after_s, count):
    async def drive(bench):
        calls = [bench.start(number, 2.0) for number in range(count)]
        await asyncio.sleep(after_s)
        bench.pool.close()
        return calls

    measure(context, drive)


@behave.when("{count:d} calls are started at random times")
def step(context, count):
    source = random.Random(context.seed + context.sequence)

    def choose():
        faults = ["close", "close-after", "refuse"]
        return source.choices(["", *faults], [6, 1, 1, 1])[0]

    async def drive(bench):
        calls = []
        for number in range(count):
            calls.append(bench.start(number, source.uniform(0, 0.05)))
            if source.random() < 0.1:
                connections.cancel(source.choice(calls))
            await asyncio.sleep(source.choice((0, 0.001, 0.01, 0.03)))
        return calls

    measure(context, drive, choose)


@behave.then('the calls end as "{expected}" within {limit_s:g} s')
def step(context, expected, limit_s):
    assert not context.pending, f"{context.pending} calls never ended"
    endings = collections.Counter(
        "answered"
        if pipeline.is_successful(outcome)
        else outcome.failure().verdict.value
        for outcome in context.outcomes
    )
    found = ", ".join(f"{n} {name}" for name, n in sorted(endings.items()))
    assert found == expected, found
    assert context.took_s <= limit_s, context.took_s


@behave.then("the last refusal came within {limit_s:g} s")
def step(context, limit_s):
    assert max(context.refused_s) <= limit_s, context.refused_s


@behave.then("the upstream of the pool received {count:d} requests")
def step(context, count):
    assert len(context.received) == count, context.received


@behave.then("the pool never had more than {count:d} connections")
def step(context, count):
    assert 1 <= context.peak <= count, context.peak


@behave.then("every call ended by its deadline")
def step(context):
    assert not context.pending, f"{context.pending} calls never ended"
    answered = sum(pipeline.is_successful(o) for o in context.outcomes)
    assert answered > len(context.outcomes) / 2, answered
    assert len(context.received) == len(set(context.received)), "sent twice"
