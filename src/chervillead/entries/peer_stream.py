"""Open stream to a peer: outgoing frames and pending replies."""

import asyncio
import itertools

import eliot

from chervillead import types
from chervillead.entries import codec
from chervillead.entries import messages

# The stream to a peer that reads too slowly is closed. The limit leaves room
# for two frames of the maximum size.
MAX_UNSENT_BYTES = 8 * 1024 * 1024


class PeerStream:
    """An open stream to one peer and its pending replies."""

    def __init__(
        self, peer: str, writer: asyncio.StreamWriter, clock: types.Clock
    ) -> None:
        self._peer = peer
        self._writer = writer
        self._clock = clock
        self._numbers = itertools.count(1)
        self._pending_replies: dict[int, asyncio.Future[messages.Message]] = {}
        self._outgoing: list[bytes] = []
        self._closed = False
        self._last_heard_s = clock.monotonic()
        self._unanswered_since_s: float | None = None

    @property
    def peer(self) -> str:
        """Name of the host at the other end; empty before its hello."""
        return self._peer

    def set_peer(self, peer: str) -> None:
        """Sets the name from the peer's hello."""
        self._peer = peer

    @property
    def last_heard_s(self) -> float:
        """Monotonic time at which the peer's last frame arrived."""
        return self._last_heard_s

    @property
    def silence_s(self) -> float:
        """Seconds for which calls have waited without any frame of the peer.

        Calls that timed out count until the peer is heard again, since their
        replies would still arrive on a working connection.
        """
        if self._unanswered_since_s is None:
            return 0.0
        return self._clock.monotonic() - self._unanswered_since_s

    @property
    def has_pending_replies(self) -> bool:
        """Whether a call is waiting for its reply."""
        return bool(self._pending_replies)

    @property
    def is_closed(self) -> bool:
        """Whether this host has closed the stream."""
        return self._closed

    def post(self, message: messages.Message, reply_to: int = 0) -> int:
        """Queues a frame and returns its number.

        All frames of one iteration of the event loop go out in one write, which
        saves system calls when many requests are in progress.
        """
        number = next(self._numbers)
        data = codec.encode_frame(codec.Frame(number, reply_to, message))
        if len(data) > codec.MAX_FRAME_BYTES:
            # The peer would close the stream, which carries other messages
            # too.
            eliot.log_message(
                "entries:frame-too-large",
                peer=self._peer,
                kind=type(message).__name__,
                bytes=len(data),
            )
            return number
        if not self._outgoing:
            asyncio.get_running_loop().call_soon(self._flush)
        self._outgoing.append(data)
        return number

    async def ask(
        self, message: messages.Message, timeout_s: float
    ) -> messages.Message:
        """Sends `message` and returns the peer's reply.

        Raises:
            TimeoutError: No reply came in time.
            ConnectionError: The stream is closed, or was closed while waiting.
        """
        if self._closed:
            raise ConnectionResetError("stream closed")
        future = asyncio.get_running_loop().create_future()
        number = self.post(message)
        self._pending_replies[number] = future
        if self._unanswered_since_s is None:
            self._unanswered_since_s = self._clock.monotonic()
        try:
            async with asyncio.timeout(timeout_s):
                reply: messages.Message = await future
                return reply
        finally:
            self._pending_replies.pop(number, None)

    def receive_frame(self, frame: codec.Frame) -> bool:
        """Delivers a reply; returns whether a call was waiting for the frame.

        The handler gets a reply whose call has timed out, since a grant in it
        must be released.
        """
        self._last_heard_s = self._clock.monotonic()
        self._unanswered_since_s = (
            self._last_heard_s if self._is_waiting_after(frame) else None
        )
        future = self._pending_replies.get(frame.reply_to)
        if future is None or future.done():
            return False
        future.set_result(frame.message)
        return True

    def _is_waiting_after(self, frame: codec.Frame) -> bool:
        return any(number != frame.reply_to for number in self._pending_replies)

    def close(self) -> None:
        """Closes the stream and fails the pending calls on it.

        Unsent frames are discarded: waiting for an unresponsive peer to read
        them would keep the connection and its task forever.
        """
        self._closed = True
        self._writer.transport.abort()
        for future in self._pending_replies.values():
            if not future.done():
                future.set_exception(ConnectionResetError("stream closed"))

    def _flush(self) -> None:
        data = b"".join(self._outgoing)
        self._outgoing.clear()
        if self._closed or self._writer.is_closing():
            return
        self._writer.write(data)
        if self._writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            eliot.log_message("entries:send-buffer-full", peer=self._peer)
            self.close()
