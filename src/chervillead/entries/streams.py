"""Streams between entry hosts: one task for each connection.

Each host dials every other host. The dialled stream carries its own questions;
the accepted stream carries the peer's. Both can carry notices.
"""

import asyncio
from collections import abc
import itertools
import random

import eliot
from returns import result

from chervillead import http_exchange
from chervillead import types
from chervillead import verdicts
from chervillead.entries import codec
from chervillead.entries import messages

DIAL_TIMEOUT_S = 0.25
MAX_REDIAL_S = 1.0
HELLO_TIMEOUT_S = 1.0

# Returns the reply to a message from a peer, or None where none is due.
Handler = abc.Callable[[str, messages.Message], messages.Message | None]


class PeerStream:
    """An open stream to one peer and the replies that are due on it."""

    def __init__(
        self, peer: str, writer: asyncio.StreamWriter, clock: types.Clock
    ) -> None:
        self._peer = peer
        self._writer = writer
        self._clock = clock
        self._numbers = itertools.count(1)
        self._replies: dict[int, asyncio.Future[messages.Message]] = {}
        self._outgoing: list[bytes] = []
        self._last_heard_s = clock.monotonic()

    @property
    def peer(self) -> str:
        """Name of the host at the other end."""
        return self._peer

    @property
    def last_heard_s(self) -> float:
        """Monotonic time of the last frame from the peer."""
        return self._last_heard_s

    def post(self, message: messages.Message, reply_to: int = 0) -> int:
        """Queues a frame and returns its number.

        Frames of one turn of the event loop leave in one write, which saves a
        system call for each when many requests are under way.
        """
        number = next(self._numbers)
        if not self._outgoing:
            asyncio.get_running_loop().call_soon(self._flush)
        self._outgoing.append(
            codec.encode_frame(codec.Frame(number, reply_to, message))
        )
        return number

    async def ask(
        self, message: messages.Message, timeout_s: float
    ) -> messages.Message:
        """Sends `message` and returns the peer's reply.

        Raises:
            TimeoutError: No reply came in time.
            ConnectionError: The stream was closed meanwhile.
        """
        future = asyncio.get_running_loop().create_future()
        number = self.post(message)
        self._replies[number] = future
        try:
            async with asyncio.timeout(timeout_s):
                reply: messages.Message = await future
                return reply
        finally:
            self._replies.pop(number, None)

    def take_frame(self, frame: codec.Frame) -> bool:
        """Notes a frame; returns whether it was the reply to a question."""
        self._last_heard_s = self._clock.monotonic()
        if not frame.reply_to:
            return False
        future = self._replies.get(frame.reply_to)
        if future is not None and not future.done():
            future.set_result(frame.message)
        return True

    def close(self) -> None:
        """Closes the stream and fails the questions that wait on it."""
        self._writer.close()
        for future in self._replies.values():
            if not future.done():
                future.set_exception(ConnectionResetError("stream closed"))

    def _flush(self) -> None:
        data = b"".join(self._outgoing)
        self._outgoing.clear()
        if not self._writer.is_closing():
            self._writer.write(data)


class PeerStreams:
    """The open streams of this host, by peer."""

    def __init__(self, hello: messages.Hello, clock: types.Clock) -> None:
        self._hello = hello
        self._clock = clock
        self._dialled: dict[str, PeerStream] = {}
        self._accepted: dict[str, PeerStream] = {}
        self._zones: dict[str, str] = {}

    @property
    def hello(self) -> messages.Hello:
        """What this host says of itself first on a stream."""
        return self._hello

    @property
    def connected_peers(self) -> frozenset[str]:
        """Peers to which a dialled stream is open."""
        return frozenset(self._dialled)

    def zone_of(self, peer: str) -> str | None:
        """Returns the zone that the peer named, if it ever said hello."""
        return self._zones.get(peer)

    def open_streams(self) -> list[PeerStream]:
        """Returns all open streams, dialled and accepted."""
        return [*self._dialled.values(), *self._accepted.values()]

    def post(self, peer: str, message: messages.Message) -> bool:
        """Sends a notice; returns False if no stream to the peer is open."""
        stream = self._dialled.get(peer) or self._accepted.get(peer)
        if stream is None:
            return False
        stream.post(message)
        return True

    async def ask(
        self, peer: str, message: messages.Message, timeout_s: float
    ) -> result.Result[messages.Message, verdicts.Refusal]:
        """Sends `message` to `peer` and returns its reply."""
        stream = self._dialled.get(peer)
        if stream is None:
            return result.Failure(
                verdicts.not_run(
                    "peer-unreachable", 503, f"no stream to {peer}"
                )
            )
        try:
            return result.Success(await stream.ask(message, timeout_s))
        except (TimeoutError, ConnectionError) as error:
            detail = f"{peer}: {type(error).__name__}"
            return result.Failure(verdicts.not_run("peer-silent", 503, detail))

    async def serve_stream(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handle: Handler,
        *,
        dialled: bool,
    ) -> None:
        """Says hello, then reads frames until the stream ends."""
        stream = PeerStream("", writer, self._clock)
        stream.post(self._hello)
        frames = codec.read_frames(reader)
        streams = self._dialled if dialled else self._accepted
        peer = ""
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                hello = (await anext(frames)).message
            if not isinstance(hello, messages.Hello):
                raise codec.MalformedFrameError("the first frame isn't hello")
            peer = stream._peer = hello.host
            self._zones[peer] = hello.zone
            streams[peer] = stream
            async for frame in frames:
                if stream.take_frame(frame):
                    continue
                reply = handle(peer, frame.message)
                if reply is not None:
                    stream.post(reply, frame.number)
        except (
            StopAsyncIteration,
            TimeoutError,
            ConnectionError,
            codec.MalformedFrameError,
        ) as error:
            eliot.log_message(
                "entries:stream-failed", peer=peer, error=repr(error)
            )
        finally:
            if streams.get(peer) is stream:
                del streams[peer]
            stream.close()


async def keep_dialled(
    streams: PeerStreams,
    address: types.Address,
    handle: Handler,
    *,
    dial: http_exchange.Dial = http_exchange.dial,
) -> None:
    """Keeps one stream to the peer at `address` open until cancelled."""
    failures = 0
    while True:
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                reader, writer = await dial(address)
        except (OSError, TimeoutError):
            failures += 1
        else:
            failures = 0
            await streams.serve_stream(reader, writer, handle, dialled=True)
        # Full jitter: hosts that lost each other together must not redial in
        # step when the network returns.
        ceiling = min(MAX_REDIAL_S, 0.05 * 2**failures)
        await asyncio.sleep(random.uniform(0, ceiling))
