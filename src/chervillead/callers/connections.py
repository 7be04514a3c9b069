"""Timeouts and size limits for the head of a request.

The head is the request line and the headers. uvicorn limits neither the time in
which a head arrives nor its length, so its protocol class is extended here.
Everything else about a connection is left to uvicorn.
"""

import asyncio
from collections import abc

from uvicorn.protocols.http import httptools_impl

from chervillead import verdicts
from chervillead.callers import problems

HEAD_TIMEOUT_S = 5.0
MAX_HEAD_BYTES = 32 * 1024
MAX_HEADERS = 64
# Time for which the rest of a refused body is read and discarded. Closing a
# connection with unread bytes resets it, and the caller could miss the refusal.
LINGERING_CLOSE_S = 2.0


class CallerConnection(httptools_impl.HttpToolsProtocol):
    """Server side of one HTTP connection of a caller."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the timeout for the first head."""
        self._head_bytes = 0
        self._is_reading_head = False
        self._is_reading_body = False
        self._refusal: verdicts.Refusal | None = None
        self._timer: asyncio.TimerHandle | None = None
        super().connection_made(transport)  # type: ignore[arg-type]
        self._start_head_timeout()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the timeout in progress."""
        self._stop_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and refuses a head that is too large."""
        if self._refusal is not None:
            return
        if not self._is_reading_head and not self._is_reading_body:
            self._start_head_timeout()
        self._head_bytes += len(data)
        super().data_received(data)
        if self._refusal is not None or not self._is_reading_head:
            return
        if self._head_bytes > MAX_HEAD_BYTES:
            self._refuse(_head_too_large(f"more than {MAX_HEAD_BYTES} bytes"))

    def on_message_begin(self) -> None:
        """Starts the timeout for the head of a further request."""
        super().on_message_begin()
        if not self._is_reading_head:
            self._start_head_timeout()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header.

        Raises:
            ValueError: If there are too many headers; it stops the parser.
        """
        super().on_header(name, value)
        if len(self.headers) > MAX_HEADERS:
            self._refusal = _head_too_large(f"more than {MAX_HEADERS} headers")
            raise ValueError(self._refusal.detail)

    def on_headers_complete(self) -> None:
        """Starts the request; `bodies` applies its own timeout to the body."""
        self._stop_timer()
        self._is_reading_head = False
        self._is_reading_body = True
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Stops the timeout for the rest of a refused body."""
        self._is_reading_body = False
        super().on_message_complete()
        if self.cycle.response_complete:
            self._stop_timer()

    def on_response_complete(self) -> None:
        """Limits the time in which the rest of a refused body is discarded."""
        super().on_response_complete()
        if self._is_reading_body and not self.transport.is_closing():
            self._start_timer(LINGERING_CLOSE_S, self.transport.close)

    def send_400_response(self, msg: str) -> None:
        """Refuses malformed HTTP; uvicorn calls this on parser errors."""
        self._refuse(
            self._refusal
            or verdicts.not_run(
                "malformed-http",
                400,
                "the received bytes are not an HTTP/1.1 request",
            )
        )

    def _start_head_timeout(self) -> None:
        self._is_reading_head = True
        self._head_bytes = 0
        self._start_timer(HEAD_TIMEOUT_S, self._on_head_timeout)

    def _on_head_timeout(self) -> None:
        if self._head_bytes == 0:
            self.transport.close()
            return
        # The request id isn't known yet, and the load balancer may have sent
        # the same request to another host, so "not run" may be wrong.
        self._refuse(
            verdicts.may_have_run(
                "head-timeout",
                408,
                f"{self._head_bytes} bytes of headers received within "
                f"{HEAD_TIMEOUT_S} s",
            )
        )

    def _refuse(self, refusal: verdicts.Refusal) -> None:
        """Sends a problem response and closes the connection."""
        self._refusal = refusal
        self._stop_timer()
        problems.log_refusal(refusal, "")
        if self._has_response_pending():
            # Bytes written now would become part of the response to an earlier
            # request of this connection.
            self.cycle.keep_alive = False
            self.flow.pause_reading()
            return
        self.transport.write(
            httptools_impl.STATUS_LINE[refusal.status]
            + b"".join(
                name + b": " + value + b"\r\n"
                for name, value in problems.closing_headers(refusal)
            )
            + b"\r\n"
            + problems.encode_problem(refusal, "")
        )
        self.transport.close()

    def _has_response_pending(self) -> bool:
        """Returns whether a complete request awaits its response."""
        return bool(self.pipeline) or (
            self.cycle is not None
            and not self.cycle.response_complete
            and not self.cycle.more_body
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


def _head_too_large(found: str) -> verdicts.Refusal:
    return verdicts.not_run(
        "head-too-large",
        431,
        f"the request has {found}; at most {MAX_HEADERS} headers and "
        f"{MAX_HEAD_BYTES} bytes are allowed",
    )
