"""Closes connections of callers whose requests are refused.

Adds to uvicorn's protocol class what a refusal needs: reading that stops for
good, a response that the client can still read before the connection is closed,
and a limit on the time for which written bytes wait.
"""

import asyncio
from collections import abc
import typing

from uvicorn.protocols.http import flow_control
from uvicorn.protocols.http import httptools_impl

from chervillead import verdicts
from chervillead.callers import problems
from chervillead.callers import request_limiter

# Closing a connection with unread bytes resets it, and the caller could miss
# the refusal. The socket's buffer holds the bytes for that time.
REFUSED_CLOSE_S = 1.0


def unverified(refusal: verdicts.Refusal) -> verdicts.Refusal:
    """Returns a refusal of a request whose id has not been looked up.

    An earlier submission of the same id may have run on any host.
    """
    return refusal._replace(verdict=verdicts.Verdict.MAY_HAVE_RUN)


class StoppableFlow(flow_control.FlowControl):
    """Flow control that can stop reading, for good or for a time.

    Attributes:
        is_held: Whether nothing is read until received bytes are parsed.
    """

    _is_stopped = False
    # Whether uvicorn waits for the application to take what it holds.
    _is_full = False
    is_held = False

    def stop_reading(self) -> None:
        """Stops reading, whatever the application asks for."""
        self._is_stopped = True
        super().pause_reading()

    def hold_reading(self) -> None:
        """Stops reading until `release_reading`."""
        self.is_held = True
        super().pause_reading()

    def release_reading(self) -> None:
        """Ends the effect of `hold_reading`."""
        self.is_held = False
        self._resume()

    def pause_reading(self) -> None:
        """Stops reading while the application is late."""
        self._is_full = True
        super().pause_reading()

    def resume_reading(self) -> None:
        """Resumes reading unless there is another reason against it."""
        self._is_full = False
        self._resume()

    def _resume(self) -> None:
        if not (self._is_stopped or self.is_held or self._is_full):
            super().resume_reading()


class _LingeringTransport:
    """Transport of a refused request: closes after its response was read."""

    def __init__(self, connection: "RefusableConnection") -> None:
        self._connection = connection

    def write(self, data: bytes) -> None:
        """Writes part of the response."""
        self._connection.transport.write(data)

    def is_closing(self) -> bool:
        """Returns whether the connection is closed."""
        return self._connection.transport.is_closing()

    def close(self) -> None:
        """Closes the connection once the client could read the response."""
        self._connection.close_refused()


class RefusableConnection(httptools_impl.HttpToolsProtocol):
    """Connection that can refuse a request and stop reading."""

    def __init__(
        self,
        *arguments: typing.Any,
        limiter: request_limiter.RequestLimiter,
        **named: typing.Any,
    ) -> None:
        super().__init__(*arguments, **named)
        self._limiter = limiter
        self._limits = limiter.limits
        self._connection: request_limiter.Connection | None = None
        self._reservation: request_limiter.Reservation | None = None
        # Bytes since the parser last returned a head or a part of a body.
        self._unparsed_bytes = 0
        self._is_reading_head = False
        self._is_reading_body = False
        self._is_refused = False
        self._timer: asyncio.TimerHandle | None = None
        self._write_timer: asyncio.TimerHandle | None = None

    @property
    def _client_address(self) -> str:
        return self.client[0] if self.client else ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Replaces the flow control by one that can stop."""
        super().connection_made(transport)  # type: ignore[arg-type]
        self.flow = StoppableFlow(self.transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops counting the connection and cancels the timeouts."""
        self._stop_timer()
        self._stop_write_timer()
        if self._connection is not None:
            self._connection.close()
        super().connection_lost(exc)
        # uvicorn keeps the timer after a reset, and with it this connection.
        self._unset_keepalive_if_required()

    def pause_writing(self) -> None:
        """Limits the time in which the client reads what waits for it."""
        super().pause_writing()
        self._start_write_timer()

    def _start_write_timer(self) -> None:
        self._stop_write_timer()
        self._write_timer = self.loop.call_later(
            self._limits.write_timeout_s, self._on_write_timeout
        )

    def resume_writing(self) -> None:
        """Ends the time limit of `pause_writing`."""
        self._stop_write_timer()
        super().resume_writing()

    def timeout_keep_alive_handler(self) -> None:
        """Closes an idle connection, without waiting for its client."""
        if self.transport.get_write_buffer_size():
            self.transport.abort()
        else:
            super().timeout_keep_alive_handler()

    def close_refused(self) -> None:
        """Closes the connection after a time in which a refusal is read."""
        if self.transport.is_closing():
            return
        if self._connection is not None:
            self._connection.set_waiting(waiting=True)
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self._start_timer(REFUSED_CLOSE_S, self.transport.abort)

    def _give_way(self, refusal: verdicts.Refusal) -> None:
        """Refuses the request in progress, or closes the idle connection."""
        if self._connection is not None and not self._connection.is_open:
            # Another connection takes its place, so it can't linger.
            if self._can_write_refusal():
                self._write_refusal(unverified(refusal))
            # It isn't counted any more, so its descriptor must not wait for a
            # client that doesn't read.
            if self.transport.get_write_buffer_size():
                self.transport.abort()
            else:
                self.transport.close()
        elif self._is_reading_head:
            self._refuse(unverified(refusal))
        else:
            self._refuse_body(refusal)

    def _refuse_body(self, refusal: verdicts.Refusal) -> None:
        """Stops reading; the application answers with the refusal."""
        if self._is_refused:
            return
        self._is_refused = True
        self._stop_timer()
        self._stop_reading()
        if self._reservation is not None:
            self._reservation.refuse(refusal)
        if self.cycle.response_complete:
            self.close_refused()
            return
        self._answer_refused()

    def _refuse(self, refusal: verdicts.Refusal) -> None:
        """Sends a problem response and closes the connection."""
        if self._is_reading_body:
            self._refuse_body(refusal)
            return
        self._is_refused = True
        self._stop_timer()
        self._stop_reading()
        if self._is_reading_head and self._reservation is not None:
            self._reservation.refuse(refusal)
        else:
            self._limiter.report(refusal, self._client_address)
        problems.log_refusal(refusal, "")
        if self._has_response_pending():
            # Bytes written now would become part of the response to an earlier
            # request of this connection.
            self.cycle.keep_alive = False
            return
        self._write_refusal(refusal)
        self.close_refused()

    def _has_response_pending(self) -> bool:
        """Returns whether a complete request awaits its response."""
        return bool(self.pipeline) or (
            self.cycle is not None
            and not self.cycle.response_complete
            and not self.cycle.more_body
        )

    def _can_write_refusal(self) -> bool:
        """Returns whether a refused request has no other response yet."""
        if self._is_refused or self._has_response_pending():
            return False
        if self._is_reading_head:
            return self._unparsed_bytes > 0
        return self._is_reading_body and not self.cycle.response_started

    def _limit_flush(self) -> None:
        """Limits the time in which a closing connection sends its rest."""
        if self.transport.get_write_buffer_size() and not self._write_timer:
            self._start_write_timer()

    @property
    def _stoppable_flow(self) -> StoppableFlow:
        return typing.cast(StoppableFlow, self.flow)

    def _stop_reading(self) -> None:
        self._stoppable_flow.stop_reading()

    def _answer_refused(self) -> None:
        """Lets the application answer, and closes the connection then."""
        self.cycle.transport = typing.cast(
            asyncio.Transport, _LingeringTransport(self)
        )
        self.cycle.keep_alive = False
        self.cycle.body = bytearray()
        self.cycle.message_event.set()

    def _on_write_timeout(self) -> None:
        self._limiter.report(
            verdicts.may_have_run("response-unread", 408), self._client_address
        )
        self.transport.abort()

    def _write_refusal(self, refusal: verdicts.Refusal) -> None:
        self.transport.write(
            httptools_impl.STATUS_LINE[refusal.status]
            + b"".join(
                name + b": " + value + b"\r\n"
                for name, value in problems.closing_headers(refusal)
            )
            + b"\r\n"
            + problems.encode_problem(refusal, "")
        )

    def _start_timer(
        self, delay_s: float, action: abc.Callable[[], None]
    ) -> None:
        self._stop_timer()
        self._timer = self.loop.call_later(delay_s, action)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _stop_write_timer(self) -> None:
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None
