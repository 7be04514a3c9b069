"""Streams between entry hosts: one task for each connection.

A host sends calls on the streams that it dialled; calls of its peers arrive on
the accepted streams. One-way messages go over either.
"""

import asyncio
from collections import abc
import random

import eliot
from returns import result

from chervillead import http_exchange
from chervillead import types
from chervillead import verdicts
from chervillead.callers import request_limiter
from chervillead.entries import codec
from chervillead.entries import limited_frames
from chervillead.entries import messages
from chervillead.entries import peer_stream

DIAL_TIMEOUT_S = 0.25
MAX_REDIAL_S = 1.0
HELLO_TIMEOUT_S = 1.0
# A stream that lasted this long resets the back-off between dial attempts.
BACKOFF_RESET_S = 1.0
# Covers the time until the next attempt, so that an address without a listener
# counts as refusing throughout.
REFUSAL_VALID_S = MAX_REDIAL_S + 2 * DIAL_TIMEOUT_S

# Returns the reply to a message from a peer, or None if it needs none.
Handler = abc.Callable[[str, messages.Message], messages.Message | None]


class PeerStreams:
    """Open streams of this host, by peer."""

    def __init__(
        self,
        hello: messages.Hello,
        clock: types.Clock,
        limiter: request_limiter.RequestLimiter,
    ) -> None:
        self._hello = hello
        self._limiter = limiter
        self._clock = clock
        self._dialled: dict[str, peer_stream.PeerStream] = {}
        self._accepted: dict[str, peer_stream.PeerStream] = {}
        self._zones: dict[str, str] = {}
        self._all: set[peer_stream.PeerStream] = set()
        self._open_counts: dict[str, int] = {}
        self._refused_s: dict[types.Address, float] = {}

    @property
    def hello(self) -> messages.Hello:
        """First message of this host on each stream."""
        return self._hello

    @property
    def connected_peers(self) -> frozenset[str]:
        """Peers to which a dialled stream is open."""
        return frozenset(self._dialled)

    @property
    def known_peers(self) -> frozenset[str]:
        """Peers that have ever sent a hello."""
        return frozenset(self._zones)

    def zone_of(self, peer: str) -> str | None:
        """Returns the zone in the peer's last hello; None if there was none."""
        return self._zones.get(peer)

    def times_opened(self, peer: str) -> int:
        """Returns how many streams to or from a peer have been opened."""
        return self._open_counts.get(peer, 0)

    def is_connected(self, peer: str) -> bool:
        """Returns whether any stream to or from a peer is open."""
        return peer in self._dialled or peer in self._accepted

    def refuses_connections(self, address: types.Address) -> bool:
        """Returns whether an address refused a recent connection attempt."""
        refused_s = self._refused_s.get(address, float("-inf"))
        return self._clock.monotonic() - refused_s <= REFUSAL_VALID_S

    def record_dial(self, address: types.Address, *, refused: bool) -> None:
        """Records the outcome of an attempt to connect to an address."""
        if refused:
            self._refused_s[address] = self._clock.monotonic()
        else:
            self._refused_s.pop(address, None)

    def close(self) -> None:
        """Closes all streams, also those still waiting for a hello."""
        for stream in list(self._all):
            stream.close()

    def open_streams(self) -> list[peer_stream.PeerStream]:
        """Returns all open streams, dialled and accepted."""
        return [*self._dialled.values(), *self._accepted.values()]

    def post(self, peer: str, message: messages.Message) -> bool:
        """Sends a one-way message; returns False if no stream is open."""
        stream = self._dialled.get(peer) or self._accepted.get(peer)
        if stream is None:
            return False
        stream.post(message)
        return True

    async def ask(
        self, peer: str, message: messages.Message, timeout_s: float
    ) -> result.Result[messages.Message, verdicts.Refusal]:
        """Sends `message` to `peer` and returns the reply.

        A failure has the reason peer-unreachable without a stream, and
        peer-silent if no reply came in time.
        """
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
        expected: str | None = None,
    ) -> None:
        """Sends a hello, then handles frames until the stream ends.

        Args:
            reader: Incoming bytes.
            writer: Outgoing bytes.
            handle: Handles messages that no call waits for.
            dialled: Whether this host opened the connection.
            expected: Name that the peer must send; None accepts any name.
        """
        connection = limited_frames.accept(
            self._limiter if not dialled else request_limiter.unlimited(),
            writer,
        )
        if connection is None:
            return
        stream = peer_stream.PeerStream("", writer, self._clock)
        self._all.add(stream)
        stream.post(self._hello)
        try:
            frames = limited_frames.read_frames(
                reader, connection, stream.close
            )
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                hello, reservation = await anext(frames)
            reservation.release()
            self._open(stream, hello.message, expected, dialled=dialled)
            # A stream of a known host isn't closed in favour of others.
            connection.set_waiting(waiting=False)
            async for frame, reservation in frames:
                # Handlers keep no part of a frame beyond their limits.
                reservation.release()
                # Frames that were in transit when this host closed the stream
                # don't show that the peer is alive.
                if stream.is_closed:
                    break
                if stream.receive_frame(frame):
                    continue
                reply = handle(stream.peer, frame.message)
                if reply is not None:
                    stream.post(reply, frame.number)
        except (
            StopAsyncIteration,
            TimeoutError,
            ConnectionError,
            codec.MalformedFrameError,
        ) as error:
            eliot.log_message(
                "entries:stream-failed", peer=stream.peer, error=repr(error)
            )
        finally:
            connection.close()
            self._discard(stream)

    def _open(
        self,
        stream: peer_stream.PeerStream,
        hello: messages.Message,
        expected: str | None,
        *,
        dialled: bool,
    ) -> None:
        """Checks a peer's hello and makes its stream the current one.

        Raises:
            MalformedFrameError: The first message is not a hello, or it has an
                unexpected host name.
        """
        if not isinstance(hello, messages.Hello):
            raise codec.MalformedFrameError("the first frame is not a hello")
        if hello.host == self._hello.host:
            raise codec.MalformedFrameError(
                f"the peer uses this host's name, {hello.host}"
            )
        if expected is not None and hello.host != expected:
            raise codec.MalformedFrameError(
                f"the peer's name is {hello.host}, expected {expected}"
            )
        stream.set_peer(hello.host)
        self._zones[hello.host] = hello.zone
        self._open_counts[hello.host] = self.times_opened(hello.host) + 1
        streams = self._dialled if dialled else self._accepted
        older = streams.get(hello.host)
        streams[hello.host] = stream
        if older is not None:
            # The peer has abandoned the older stream, or has restarted.
            older.close()

    def _discard(self, stream: peer_stream.PeerStream) -> None:
        self._all.discard(stream)
        for streams in (self._dialled, self._accepted):
            if streams.get(stream.peer) is stream:
                del streams[stream.peer]
        stream.close()


async def keep_connected(
    streams: PeerStreams,
    address: types.Address,
    handle: Handler,
    *,
    expected: str | None = None,
    dial: http_exchange.Dial = http_exchange.dial,
) -> None:
    """Keeps one stream to the peer at `address` open until cancelled."""
    failures = 0
    while True:
        started_s = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                reader, writer = await dial(address)
        except (OSError, TimeoutError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            streams.record_dial(address, refused=refused)
        else:
            streams.record_dial(address, refused=False)
            await streams.serve_stream(
                reader, writer, handle, dialled=True, expected=expected
            )
        lasted_s = asyncio.get_running_loop().time() - started_s
        failures = 0 if lasted_s > BACKOFF_RESET_S else min(failures + 1, 10)
        # Full jitter, so that hosts which lost their streams at the same time
        # don't reconnect in lockstep.
        ceiling = min(MAX_REDIAL_S, 0.05 * 2**failures)
        await asyncio.sleep(random.uniform(0, ceiling))
