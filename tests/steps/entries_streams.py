"""Steps of tests/entries/streams.feature."""

import asyncio

import behave

from chervillead import types
from chervillead.callers import request_limiter
from chervillead.entries import codec
from chervillead.entries import membership
from chervillead.entries import messages
from chervillead.entries import streams
from stand_ins import memory_network
from stand_ins import virtual_time

ADDRESS = types.Address("127.0.0.1", 1)
HELLO = codec.encode_frame(codec.Frame(1, 0, messages.Hello("peer", "a")))


class Host:
    """A listening host that sends heartbeats, and its open tasks."""

    def __init__(self, seed, limiter=None):
        self.network = memory_network.MemoryNetwork(seed=seed)
        hello = messages.Hello("host", "a")
        self.streams = streams.PeerStreams(
            hello,
            virtual_time.clock(),
            limiter or request_limiter.unlimited(),
        )
        self.received = []
        self.tasks = set()
        heartbeat = messages.Heartbeat(0, 0, False, {}, {})
        self.background = [
            asyncio.ensure_future(
                self.network.listen_at("host")(ADDRESS, self.accept)
            ),
            asyncio.ensure_future(
                membership.send_heartbeats(
                    self.streams, lambda: heartbeat, virtual_time.clock()
                )
            ),
        ]

    async def accept(self, reader, writer):
        """Serves a connection and records its task while it runs."""
        self.tasks.add(asyncio.current_task())
        await self.streams.serve_stream(
            reader, writer, lambda *frame: None, dialled=False
        )
        self.tasks.discard(asyncio.current_task())

    async def connect(self, first=HELLO):
        """Connects as a peer and sends `first`."""
        reader, writer = await self.network.dial_from("peer")(ADDRESS)
        writer.write(first)
        return reader, writer


def run_host(context, script):
    async def main():
        await asyncio.sleep(0)
        host = Host(context.seed, getattr(context, "limiter", None))
        await asyncio.sleep(0.1)
        outcome = await script(host)
        for task in host.background:
            task.cancel()
        await asyncio.gather(*host.background, return_exceptions=True)
        return outcome

    context.outcome = virtual_time.run_virtual(main(), context.seed)


async def keep_beating(writer):
    frame = codec.Frame(2, 0, messages.Heartbeat(0, 0, False, {}, {}))
    while True:
        writer.write(codec.encode_frame(frame))
        await asyncio.sleep(0.25)


@behave.given(
    "a listening host with {room:d} KB for requests, of which {held:d} are held"
)
def step(context, room, held):
    context.limiter = request_limiter.RequestLimiter(
        request_limiter.Limits(1024 * room, 10), lambda: 1024
    )
    connection = context.limiter.connect("caller", lambda refusal: None)
    reservation = connection.reserve(lambda refusal: None)
    reservation.resize(1024 * held)
    reservation.complete()


@behave.when("a peer sends heartbeats and a frame of {size:d} KB")
def step(context, size):
    async def script(host):
        _, writer = await host.connect()
        beating = asyncio.ensure_future(keep_beating(writer))
        record = messages.ConfigRecords(0, [b"x" * 1024 * size])
        writer.write(codec.encode_frame(codec.Frame(3, 0, record)))
        await asyncio.sleep(2.5)
        beating.cancel()
        return host.streams.open_streams()

    run_host(context, script)


@behave.then("the stream of the peer has stayed open")
def step(context):
    assert len(context.outcome) == 1, context.outcome


@behave.when("a peer of a listening host {fault}")
def step(context, fault):
    first = {
        "never sends a hello": b"",
        "sends a frame of 100 MB": HELLO + (100_000_000).to_bytes(4, "big"),
        "sends the host's own name": codec.encode_frame(
            codec.Frame(1, 0, messages.Hello("host", "a"))
        ),
    }.get(fault, HELLO)

    async def script(host):
        reader, writer = await host.connect(first)
        is_silent = fault in ("stops sending", "never sends a hello")
        beating = asyncio.ensure_future(
            asyncio.sleep(0) if is_silent else keep_beating(writer)
        )
        await asyncio.sleep(0.1)
        if fault == "stops reading":
            # Only one direction is blocked: the peer's heartbeats still arrive.
            host.network.hold_outgoing("host")
            record = messages.ConfigRecords(0, [b"x" * 1_000_000])
            for _ in range(12):
                host.streams.post("peer", record)
                await asyncio.sleep(0.01)
        # Silence is detected after 1 s, the other faults immediately.
        await asyncio.sleep(2.5 if is_silent else 0.5)
        beating.cancel()
        return host.streams.open_streams(), host.tasks

    run_host(context, script)


@behave.then("the host has closed the stream and no task is left")
def step(context):
    assert context.outcome == ([], set()), context.outcome


@behave.when("a dialled peer sends another host name than expected")
def step(context):
    async def script(host):
        hello = messages.Hello("caller", "a")
        own = streams.PeerStreams(
            hello, virtual_time.clock(), request_limiter.unlimited()
        )
        task = asyncio.ensure_future(
            streams.keep_connected(
                own,
                ADDRESS,
                lambda *frame: None,
                expected="other",
                dial=host.network.dial_from("peer"),
            )
        )
        await asyncio.sleep(0.5)
        task.cancel()
        return own.connected_peers

    run_host(context, script)


@behave.then("the dialled peer is not connected")
def step(context):
    assert context.outcome == frozenset(), context.outcome


@behave.when("a peer opens a second stream")
def step(context):
    async def script(host):
        await host.connect()
        await asyncio.sleep(0.05)
        await host.connect()
        await asyncio.sleep(0.05)
        return len(host.streams.open_streams()), len(host.tasks)

    run_host(context, script)


@behave.then("only its second stream is open")
def step(context):
    assert context.outcome == (1, 1), context.outcome


@behave.when("a message of 5 MB is sent to a peer, and then a small one")
def step(context):
    async def script(host):
        reader, _ = await host.connect()
        await asyncio.sleep(0.05)
        large = messages.ConfigRecords(0, [b"x" * 5_000_000])
        for message in (large, messages.ConfigRequest(7)):
            host.streams.post("peer", message)
        received = []
        async for frame in codec.read_frames(reader):
            received.append(frame.message)
            if len(received) == 3:
                break
        return received

    run_host(context, script)


@behave.then("the peer has received only the small one")
def step(context):
    kinds = {type(message) for message in context.outcome}
    assert messages.ConfigRequest in kinds, kinds
    assert messages.ConfigRecords not in kinds, kinds
