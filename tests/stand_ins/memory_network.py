"""In-memory network between named places, with seeded faults.

Bytes arrive in order, as with TCP, after a delay. A cut link delivers nothing
until it is healed, as when packets are dropped; a reset ends connections at
once. A `place` is the node of a socket: an entry host, upstream or platform.
The link of a place can be given a rate, which its connections share.
"""

import asyncio
import collections
from collections import abc
import functools
import random
import typing

from chervillead import http_exchange
from chervillead import types

# A link of limited rate carries its connections' bytes in turns of this size.
LINK_TURN_BYTES = 16 * 1024


class Listener(typing.NamedTuple):
    """A listening socket."""

    place: str
    serve: http_exchange.ServeStreams


class _MemoryWriter:
    """Writer of one direction of a connection."""

    def __init__(
        self, network: "MemoryNetwork", source: str, target: str
    ) -> None:
        self._network = network
        self._source = source
        self._target = target
        self._closed = False
        self.is_silent = False
        # Set once the receiver has closed the connection.
        self.is_abandoned = False
        self._arrival_s = 0.0
        self._unread_bytes = 0
        self.peer_reader = asyncio.StreamReader()
        self.reverse: _MemoryWriter | None = None

    def write(self, data: bytes) -> None:
        if not self._closed and data:
            self._unread_bytes += len(data)
            for piece in self._network.split(self._target, data):
                self._deliver(functools.partial(self._feed, piece), len(piece))

    async def drain(self) -> None:
        if self._closed:
            raise ConnectionResetError("connection is closed")
        await asyncio.sleep(0)

    def close(self) -> None:
        if not self._closed:
            self._closed = True
            self._deliver(self._feed_end)

    def is_closing(self) -> bool:
        return self._closed

    async def wait_closed(self) -> None:
        await asyncio.sleep(0)

    @property
    def transport(self) -> "_MemoryWriter":
        return self

    def get_write_buffer_size(self) -> int:
        return self._unread_bytes

    def get_extra_info(self, name: str) -> tuple[str, int] | None:
        return (self._target, 0) if name == "peername" else None

    def abort(self) -> None:
        """Closes this end at once; the peer sees the end after the delay."""
        if not self._closed:
            self._closed = True
            self._deliver(self._feed_end)
        if self.reverse is not None:
            self.reverse.reset()

    def reset(self) -> None:
        """Ends this direction at once and drops the bytes in transit."""
        self._closed = True
        self.is_abandoned = True
        self._feed_end()

    def _feed(self, data: bytes) -> None:
        self._unread_bytes -= len(data)
        if not self.peer_reader.at_eof() and not self.peer_reader._eof:
            self.peer_reader.feed_data(data)

    def _feed_end(self) -> None:
        if not self.peer_reader._eof:
            self.peer_reader.feed_eof()
        if self.reverse is not None:
            self.reverse._closed = True
            self.reverse.is_abandoned = True

    def _deliver(self, action: abc.Callable[[], None], size: int = 0) -> None:
        self._network.deliver(self, self._source, self._target, action, size)


class _Transmission(typing.NamedTuple):
    """Bytes that wait for a link, and what happens once they have passed."""

    size: int
    passed: abc.Callable[[], None]


class _Link:
    """Incoming link of a place; its connections share the rate in turns."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._waiting: collections.OrderedDict[
            _MemoryWriter, collections.deque[_Transmission]
        ] = collections.OrderedDict()
        self._is_busy = False
        self._passed_bytes = 0

    @property
    def passed_bytes(self) -> int:
        """Number of bytes that have passed the link."""
        return self._passed_bytes

    def add(
        self, writer: _MemoryWriter, size: int, passed: abc.Callable[[], None]
    ) -> None:
        """Queues bytes of a connection; `passed` is called once they passed."""
        queue = self._waiting.setdefault(writer, collections.deque())
        queue.append(_Transmission(size, passed))
        if not self._is_busy:
            self._start_next()

    def _start_next(self) -> None:
        self._is_busy = bool(self._waiting)
        if not self._waiting:
            return
        writer, queue = self._waiting.popitem(last=False)
        transmission = queue.popleft()
        if queue:
            self._waiting[writer] = queue
        # A sender stops sending on a connection that its receiver has closed.
        size = 0 if writer.is_abandoned else transmission.size
        self._passed_bytes += size
        asyncio.get_running_loop().call_later(
            size / self._bytes_per_s, self._finish, transmission
        )

    def _finish(self, transmission: _Transmission) -> None:
        transmission.passed()
        self._start_next()


class MemoryNetwork:
    """Listeners, connections and the active faults."""

    def __init__(self, *, delay_s: float = 0.0005, seed: int = 0) -> None:
        self._delay_s = delay_s
        self._random = random.Random(seed)
        self._listeners: dict[types.Address, Listener] = {}
        self._cuts: set[frozenset[str]] = set()
        self._silenced: set[str] = set()
        self._held_deliveries: list[
            tuple[str, str, abc.Callable[[], None]]
        ] = []
        self._writers: list[tuple[str, str, _MemoryWriter]] = []
        self._tasks: set[asyncio.Future[None]] = set()
        self._links: dict[str, _Link] = {}
        self._is_down: dict[str, abc.Callable[[], bool]] = {}

    def refuse_while(self, place: str, is_down: abc.Callable[[], bool]) -> None:
        """Refuses connections to a place while its process is down."""
        self._is_down[place] = is_down

    def limit_incoming(self, place: str, bytes_per_s: float) -> None:
        """Limits the rate at which bytes arrive at a place."""
        self._links[place] = _Link(bytes_per_s)

    def is_limited(self, place: str) -> bool:
        """Returns whether the incoming link of a place has a rate."""
        return place in self._links

    def received_bytes(self, place: str) -> int:
        """Returns the number of bytes that have passed a limited link."""
        return self._links[place].passed_bytes

    def split(self, target: str, data: bytes) -> abc.Iterator[bytes]:
        """Yields the parts in which bytes pass the link of their target."""
        if target not in self._links:
            yield data
            return
        for start in range(0, len(data), LINK_TURN_BYTES):
            yield data[start : start + LINK_TURN_BYTES]

    def dial_from(self, place: str) -> http_exchange.Dial:
        """Returns the function that opens connections from `place`."""

        async def dial(address: types.Address) -> http_exchange.Streams:
            listener = self._listeners.get(address)
            target = "" if listener is None else listener.place
            await asyncio.sleep(2 * self._delay_s)
            while listener is not None and self.is_cut(place, target):
                await asyncio.sleep(0.05)
            is_down = self._is_down.get(target, bool)
            if listener is None or address not in self._listeners or is_down():
                raise ConnectionRefusedError(f"nothing listens at {address}")
            return self._connect(place, listener)

        return dial

    def listen_at(self, place: str) -> http_exchange.Listen:
        """Returns the function that accepts connections at `place`."""

        async def listen(
            address: types.Address, serve: http_exchange.ServeStreams
        ) -> None:
            self._listeners[address] = Listener(place, serve)
            try:
                await asyncio.Event().wait()
            finally:
                del self._listeners[address]

        return listen

    def is_cut(self, place: str, other: str) -> bool:
        """Returns whether the link between two places is cut."""
        return frozenset((place, other)) in self._cuts

    def cut(self, places: abc.Iterable[str], others: abc.Iterable[str]) -> None:
        """Cuts all links between two groups of places; bytes are held."""
        others = tuple(others)
        self._cuts.update(
            frozenset((place, other)) for place in places for other in others
        )

    def hold_outgoing(self, source: str) -> None:
        """Holds the bytes that a place sends, while it still receives."""
        self._silenced.add(source)

    def heal(self) -> None:
        """Ends all cuts and delivers the held bytes in order."""
        self._cuts.clear()
        self._silenced.clear()
        held_deliveries, self._held_deliveries = self._held_deliveries, []
        for _, _, action in held_deliveries:
            action()

    def reset_place(self, place: str) -> None:
        """Resets all connections of a place, as when its process dies."""
        for source, target, writer in self._writers:
            if place in (source, target):
                writer.reset()

    def silence_place(self, place: str) -> None:
        """Drops all further bytes on the open connections of a place."""
        for source, target, writer in self._writers:
            if place in (source, target):
                writer.is_silent = True

    def deliver(
        self,
        writer: _MemoryWriter,
        source: str,
        target: str,
        action: abc.Callable[[], None],
        size: int = 0,
    ) -> None:
        """Runs `action` after all earlier deliveries, the link and the delay.

        Args:
            writer: The direction of the connection.
            source: Place that sends.
            target: Place that receives.
            action: What the delivery does at the target.
            size: Number of bytes, for a link of limited rate.
        """
        link = self._links.get(target)
        if link is not None:
            link.add(
                writer,
                size,
                lambda: self._delay(writer, source, target, action),
            )
        else:
            self._delay(writer, source, target, action)

    def _delay(
        self,
        writer: _MemoryWriter,
        source: str,
        target: str,
        action: abc.Callable[[], None],
    ) -> None:
        loop = asyncio.get_running_loop()
        due_s = loop.time() + self._delay_s * self._random.uniform(0.5, 1.5)
        due_s = writer._arrival_s = max(due_s, writer._arrival_s)

        def arrive() -> None:
            if writer.is_silent:
                return
            if source in self._silenced or self.is_cut(source, target):
                self._held_deliveries.append((source, target, action))
            else:
                action()

        loop.call_at(due_s, arrive)

    def _connect(self, place: str, listener: Listener) -> http_exchange.Streams:
        forward = _MemoryWriter(self, place, listener.place)
        backward = _MemoryWriter(self, listener.place, place)
        forward.reverse, backward.reverse = backward, forward
        self._writers.append((place, listener.place, forward))
        self._writers.append((listener.place, place, backward))
        serving = asyncio.ensure_future(
            listener.serve(
                forward.peer_reader, typing.cast(asyncio.StreamWriter, backward)
            )
        )
        self._tasks.add(serving)
        serving.add_done_callback(self._tasks.discard)
        return backward.peer_reader, typing.cast(asyncio.StreamWriter, forward)
