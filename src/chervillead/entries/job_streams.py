"""Streams that carry calls about jobs between entry hosts.

A host dials a peer at the first call to it and reuses the stream. One task
serves each accepted stream and another one each call on it, since a call waits
for the store.
"""

import asyncio
from collections import abc
import functools
import typing

from returns import result

from chervillead import http_exchange
from chervillead import types
from chervillead import verdicts
from chervillead.callers import request_limiter
from chervillead.entries import codec
from chervillead.entries import job_messages
from chervillead.entries import limited_frames
from chervillead.entries import messages
from chervillead.entries import peer_stream

DIAL_TIMEOUT_S = 0.4
CALL_TIMEOUT_S = 1.2
# A connection can stop delivering without an error. The limit is shorter than
# a call's timeout, so that a single call that waits in full detects it.
SILENCE_LIMIT_S = 1.1

# Reason of a call without a reply, which may have run.
PEER_SILENT = "peer-silent"

Serve = abc.Callable[[job_messages.Call], abc.Awaitable[job_messages.Reply]]
CallOutcome = result.Result[job_messages.JobReply, verdicts.Refusal]
AnyOutcome = result.Result[messages.Message, verdicts.Refusal]


class JobStreams:
    """Dialled streams of this host, by address."""

    def __init__(
        self,
        clock: types.Clock,
        *,
        dial: http_exchange.Dial = http_exchange.dial,
    ) -> None:
        self._clock = clock
        self._dial = dial
        self._streams: dict[types.Address, peer_stream.PeerStream] = {}
        self._dials: dict[
            types.Address, asyncio.Task[peer_stream.PeerStream]
        ] = {}
        self._readers: set[asyncio.Task[None]] = set()

    async def call(
        self,
        address: types.Address,
        message: job_messages.JobCall,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> CallOutcome:
        """Sends a call about a job, without a retry, and returns the reply."""
        outcome = await self.ask(address, message, timeout_s)
        return outcome.map(
            lambda reply: typing.cast(job_messages.JobReply, reply)
        )

    async def ask(
        self,
        address: types.Address,
        message: job_messages.Call,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> AnyOutcome:
        """Sends a call, without a retry, and returns the reply.

        A failure has the reason peer-unreachable if the call did not run, and
        peer-silent if it may have run. Other calls on the stream are not
        affected: one slow reply is no sign of a broken connection.
        """
        try:
            stream = await self._open(address)
        except (OSError, TimeoutError) as error:
            return result.Failure(
                verdicts.not_run(
                    "peer-unreachable",
                    503,
                    f"{address.host}:{address.port}: {error!r}",
                    retry_after_s=1.0,
                )
            )
        try:
            reply = await stream.ask(message, timeout_s)
        except (TimeoutError, ConnectionError) as error:
            if stream.silence_s >= SILENCE_LIMIT_S:
                self._forget(address, stream)
            return result.Failure(
                verdicts.may_have_run(
                    PEER_SILENT,
                    504,
                    f"{address.host}:{address.port}: {error!r}",
                )
            )
        finally:
            self._close_if_replaced(address, stream)
        return result.Success(reply)

    def close(self) -> None:
        """Closes all streams; calls in progress fail as peer-silent."""
        for dial in self._dials.values():
            dial.cancel()
        for task in self._readers:
            task.cancel()
        for stream in self._streams.values():
            stream.close()

    async def _open(self, address: types.Address) -> peer_stream.PeerStream:
        """Returns an open stream; all calls that wait for one share its dial.

        If each call dialled in turn, calls to an unreachable peer would wait
        for the timeouts of all calls before them.
        """
        stream = self._streams.get(address)
        if stream is not None and not stream.is_closed:
            return stream
        dial = self._dials.get(address)
        if dial is None:
            dial = asyncio.create_task(self._connect(address))
            self._dials[address] = dial
            dial.add_done_callback(lambda task: self._end_dial(address, task))
        # Unlike awaiting the task, this doesn't cancel it with the caller.
        await asyncio.wait([dial])
        if dial.cancelled():
            raise ConnectionAbortedError("the host is stopping")
        return dial.result()

    def _end_dial(
        self,
        address: types.Address,
        dial: asyncio.Task[peer_stream.PeerStream],
    ) -> None:
        del self._dials[address]
        if not dial.cancelled():
            # Retrieved here, as all callers may have been cancelled.
            dial.exception()

    async def _connect(self, address: types.Address) -> peer_stream.PeerStream:
        async with asyncio.timeout(DIAL_TIMEOUT_S):
            reader, writer = await self._dial(address)
        stream = peer_stream.PeerStream(
            f"{address.host}:{address.port}", writer, self._clock
        )
        self._streams[address] = stream
        task = asyncio.create_task(self._read(address, stream, reader))
        self._readers.add(task)
        task.add_done_callback(self._readers.discard)
        return stream

    async def _read(
        self,
        address: types.Address,
        stream: peer_stream.PeerStream,
        reader: asyncio.StreamReader,
    ) -> None:
        try:
            async for frame in codec.read_frames(reader):
                stream.receive_frame(frame)
        except codec.MalformedFrameError:
            pass
        finally:
            self._drop(address, stream)

    def _drop(
        self, address: types.Address, stream: peer_stream.PeerStream
    ) -> None:
        stream.close()
        self._forget(address, stream)

    def _forget(
        self, address: types.Address, stream: peer_stream.PeerStream
    ) -> None:
        """Uses the stream for no further calls."""
        if self._streams.get(address) is stream:
            del self._streams[address]

    def _close_if_replaced(
        self, address: types.Address, stream: peer_stream.PeerStream
    ) -> None:
        """Closes a stream that is no longer used, after its last call.

        Its peer may only be slow, so the calls in progress keep their time.
        """
        is_used = self._streams.get(address) is stream
        if not is_used and not stream.has_pending_replies:
            stream.close()


def serve_calls(
    serve: Serve,
    clock: types.Clock,
    limiter: request_limiter.RequestLimiter,
) -> http_exchange.ServeStreams:
    """Returns the function that serves an accepted stream with `serve`."""

    async def serve_stream(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        stream = peer_stream.PeerStream("", writer, clock)
        tasks: set[asyncio.Task[None]] = set()
        connection = limited_frames.accept(limiter, writer)
        if connection is None:
            return

        async def answer(frame: codec.Frame) -> None:
            if isinstance(frame.message, job_messages.Call):
                reply = await serve(frame.message)
                stream.post(reply, frame.number)

        def end(
            task: asyncio.Task[None], reservation: request_limiter.Reservation
        ) -> None:
            tasks.discard(task)
            reservation.release()
            connection.set_waiting(waiting=not tasks)

        try:
            async for frame, reservation in limited_frames.read_frames(
                reader, connection, stream.close
            ):
                task = asyncio.create_task(answer(frame))
                tasks.add(task)
                connection.set_waiting(waiting=False)
                task.add_done_callback(
                    functools.partial(end, reservation=reservation)
                )
        except (codec.MalformedFrameError, asyncio.CancelledError):
            # Cancellation means that the process stops; asyncio would log an
            # error if it were raised from a connection's task.
            pass
        finally:
            connection.close()
            stream.close()

    return serve_stream
