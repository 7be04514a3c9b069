"""Applies the limits on requests to the connections of callers.

uvicorn limits neither the time in which a request arrives, nor its length, nor
how many requests wait on a connection, so its protocol class is extended here.
docs/design/request-limits.md explains the limits. A refused request is answered
by the application, which knows whether an earlier submission of it has run;
only a request without a complete head is answered here.
"""

import asyncio
import functools
import typing

from uvicorn.protocols.http import httptools_impl

from chervillead import verdicts
from chervillead.callers import bodies
from chervillead.callers import parse_turns
from chervillead.callers import refusable_connection
from chervillead.callers import request_limiter
from chervillead.callers import turn_connection

MAX_HEAD_BYTES = 32 * 1024
MAX_HEADERS = 64
# Requests that wait on a connection while an earlier one runs. uvicorn parses
# all that a read returns, which was 8,000 requests and 90 MB for one client.
MAX_PIPELINED = 32
RESERVED_STEP_BYTES = 4096
# Time for which the rest of a body is read and discarded whose request has been
# answered. Closing a connection with unread bytes resets it, and the caller
# could miss the response.
LINGERING_CLOSE_S = 2.0


class CallerConnection(turn_connection.TurnConnection):
    """Server side of one HTTP connection of a caller."""

    def __init__(
        self,
        *arguments: typing.Any,
        **named: typing.Any,
    ) -> None:
        super().__init__(*arguments, **named)
        self._body_bytes = 0
        # Size of the body up to which memory is reserved.
        self._checked_body_bytes = 0
        self._head_refusal: verdicts.Refusal | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts the connection and starts the timeout for the first head."""
        super().connection_made(transport)
        self._connection = self._limiter.connect(
            self._client_address, self._give_way
        )
        if self._connection is None:
            refusal = self._limiter.connections_refusal()
            self._write_refusal(refusable_connection.unverified(refusal))
            self.transport.close()
            return
        self._start_timer(self._limits.head_timeout_s, self._on_head_timeout)

    def connection_lost(self, exc: Exception | None) -> None:
        """Releases what no handler uses and cancels the timeouts."""
        if self._is_reading_head and self._reservation is not None:
            self._reservation.release()
        # Requests that wait for an earlier one are never started now.
        for cycle, _ in self.pipeline:
            bodies.reservation_in(cycle.scope).release()
        super().connection_lost(exc)

    def _reserve_waiting(self) -> None:
        """Counts the bytes that wait to be parsed as held."""
        if self._is_reading_head and self._reservation is not None:
            self._reservation.resize(self._unparsed_bytes + len(self._waiting))
        elif self._is_reading_body:
            self._reserve_body()

    def _parse(self, data: bytes) -> None:
        """Parses bytes and applies the limits."""
        if not self._is_reading_head and not self._is_reading_body:
            self._start_head()
        self._unparsed_bytes += len(data)
        super()._parse(data)
        if self._is_refused or self.transport.is_closing():
            return
        if self._unparsed_bytes > MAX_HEAD_BYTES and (
            self._is_reading_head or self._is_reading_body
        ):
            # In a body, these are an endless chunk header or trailer.
            self._refuse(_head_too_large(f"more than {MAX_HEAD_BYTES} bytes"))
        elif self._is_reading_head and self._reservation is not None:
            self._reservation.resize(self._unparsed_bytes)
        elif self._is_reading_body and self._timer is None:
            self._start_timer(
                self._limits.body_timeout_s, self._on_body_timeout
            )
        elif not (
            self._is_reading_head
            or self._is_reading_body
            or self._has_response_pending()
        ):
            # The end of a body that was answered before. uvicorn starts this
            # timeout only with an answer, and ends it with each byte.
            self._unset_keepalive_if_required()
            self.timeout_keep_alive_task = self.loop.call_later(
                self.timeout_keep_alive, self.timeout_keep_alive_handler
            )

    def on_message_begin(self) -> None:
        """Starts the head of a further request.

        Raises:
            ValueError: If too many requests wait; it stops the parser.
        """
        if len(self.pipeline) >= MAX_PIPELINED:
            self._head_refusal = _too_many_pipelined()
            raise ValueError(self._head_refusal.detail)
        super().on_message_begin()
        if not self._is_reading_head:
            self._start_head()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header.

        Raises:
            ValueError: If there are too many headers; it stops the parser.
        """
        super().on_header(name, value)
        if len(self.headers) > MAX_HEADERS:
            self._head_refusal = _head_too_large(f"more than {MAX_HEADERS}")
            raise ValueError(self._head_refusal.detail)

    def on_headers_complete(self) -> None:
        """Starts the request, and refuses a body that is declared too large."""
        reservation = self._reservation
        if reservation is None or reservation.is_released:
            raise ValueError("the request is refused")
        bodies.attach_reservation(
            typing.cast("dict[str, typing.Any]", self.scope), reservation
        )
        # Raises an error for an invalid address. Until then `cycle` is that of
        # the request before this one, so the head counts as incomplete.
        super().on_headers_complete()
        self._stop_timer()
        self._is_reading_head = False
        self._is_reading_body = True
        self._unparsed_bytes = 0
        self._body_bytes = 0
        self._checked_body_bytes = 0
        reservation.resize(request_limiter.REQUEST_BYTES)
        declared = dict(self.headers).get(b"content-length", b"0")
        refusal = reservation.refusal or self._limiter.body_refusal(
            int(declared)
        )
        if refusal is not None:
            self._refuse_body(refusal)

    def on_body(self, body: bytes) -> None:
        """Collects a part of a body unless it exceeds a limit.

        Raises:
            ValueError: If the request is refused; it stops the parser.
        """
        self._unparsed_bytes = 0
        self._body_bytes += len(body)
        if self._body_bytes > self._checked_body_bytes:
            self._check_body()
        if self._is_refused:
            raise ValueError("the request is refused")
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Marks the request as received, so that it can't be refused."""
        if self._is_refused:
            raise ValueError("the request is refused")
        self._is_reading_body = False
        self._stop_timer()
        if self._reservation is not None:
            self._reservation.complete()
        if self._connection is not None and not self.cycle.response_complete:
            self._connection.set_waiting(waiting=False)
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Limits the time in which the rest of a request is discarded."""
        super().on_response_complete()
        if self.transport.is_closing():
            self._limit_flush()
        if self._is_refused or self.transport.is_closing():
            return
        if self._connection is not None and not self._has_response_pending():
            self._connection.set_waiting(waiting=True)
        if self._is_reading_body:
            self._start_timer(LINGERING_CLOSE_S, self.transport.close)

    def send_400_response(self, msg: str) -> None:
        """Refuses malformed HTTP; uvicorn calls this on parser errors."""
        if self._is_refused:
            return
        self._refuse(
            self._head_refusal
            or verdicts.not_run(
                "malformed-http",
                400,
                "the received bytes are not an HTTP/1.1 request",
            )
        )

    def _start_asgi_task(
        self, cycle: httptools_impl.RequestResponseCycle, app: typing.Any
    ) -> None:
        """Runs the application, and then releases what the request holds."""

        async def run(*arguments: typing.Any) -> None:
            try:
                await app(*arguments)
            finally:
                bodies.reservation_in(cycle.scope).release()

        super()._start_asgi_task(cycle, run)

    def _check_body(self) -> None:
        """Reserves memory for a body that has grown, or refuses it.

        Reserves in steps: for each byte of a body that comes in chunks of one,
        it would take longer than parsing it.
        """
        refusal = self._limiter.body_refusal(self._body_bytes)
        if refusal is not None:
            self._refuse_body(refusal)
            return
        self._checked_body_bytes = min(
            self._body_bytes + RESERVED_STEP_BYTES,
            self._limiter.max_body_bytes(),
        )
        self._reserve_body()

    def _reserve_body(self) -> None:
        """Reserves what the body in progress and unparsed bytes hold."""
        if self._reservation is not None and not self.cycle.response_complete:
            self._reservation.resize(
                request_limiter.REQUEST_BYTES
                + self._checked_body_bytes
                + len(self._waiting)
            )

    def _start_head(self) -> None:
        self._is_reading_head = True
        self._unparsed_bytes = 0
        if self._connection is not None:
            self._reservation = self._connection.reserve(self._give_way)
        self._start_timer(self._limits.head_timeout_s, self._on_head_timeout)

    def _on_head_timeout(self) -> None:
        if self._unparsed_bytes == 0:
            self.transport.close()
            return
        # The request id isn't known yet, and the load balancer may have sent
        # the same request to another host, so "not run" may be wrong.
        self._refuse(
            verdicts.may_have_run(
                "head-timeout",
                408,
                f"{self._unparsed_bytes} bytes of headers received within "
                f"{self._limits.head_timeout_s} s",
            )
        )

    def _on_body_timeout(self) -> None:
        self._timer = None
        if self._stoppable_flow.is_held:
            self._refuse_body(bodies.turn_refusal(self._limits.body_timeout_s))
            return
        if self.flow.read_paused:
            # The application is late, not the client.
            self._start_timer(
                self._limits.body_timeout_s, self._on_body_timeout
            )
            return
        timeout_s = self._limits.body_timeout_s
        self._refuse_body(bodies.timeout_refusal(self._body_bytes, timeout_s))


def protocol_class(
    limiter: request_limiter.RequestLimiter,
) -> type[asyncio.Protocol]:
    """Returns what uvicorn calls for each connection."""
    return typing.cast(
        "type[asyncio.Protocol]",
        functools.partial(
            CallerConnection, limiter=limiter, turns=parse_turns.ParseTurns()
        ),
    )


def _head_too_large(found: str) -> verdicts.Refusal:
    return verdicts.not_run(
        "head-too-large",
        431,
        f"the request has {found}; at most {MAX_HEADERS} headers and "
        f"{MAX_HEAD_BYTES} bytes are allowed",
    )


def _too_many_pipelined() -> verdicts.Refusal:
    return verdicts.not_run(
        "too-many-pipelined",
        429,
        f"at most {MAX_PIPELINED} requests may wait on one connection",
        retry_after_s=request_limiter.RETRY_AFTER_S,
    )
