"""Bounds on what a caller's connection may cost before it is a request.

uvicorn has no timeout for the head of a request and no bound on its length, so
its protocol class is extended here. Everything else about a connection is
uvicorn's.
"""

import asyncio
from collections import abc

from uvicorn.protocols.http import httptools_impl

from chervillead import verdicts
from chervillead.callers import problems

HEAD_TIMEOUT_S = 5.0
MAX_HEAD_BYTES = 32 * 1024
MAX_HEADERS = 64
# Time in which the rest of a refused body is read and dropped. A connection
# closed with unread bytes is reset, and the caller could miss the refusal.
LINGER_S = 2.0


class CallerConnection(httptools_impl.HttpToolsProtocol):
    """One connection of a caller."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the timeout of the first head."""
        self._head_bytes = 0
        self._head_is_open = False
        self._body_is_open = False
        self._refusal: verdicts.Refusal | None = None
        self._timer: asyncio.TimerHandle | None = None
        super().connection_made(transport)  # type: ignore[arg-type]
        self._expect_head()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the timeouts."""
        self._stop_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parses what came, and refuses a head beyond the bounds."""
        if self._refusal is not None:
            return
        if not self._head_is_open and not self._body_is_open:
            self._expect_head()
        self._head_bytes += len(data)
        super().data_received(data)
        if self._refusal is not None or not self._head_is_open:
            return
        if self._head_bytes > MAX_HEAD_BYTES:
            self._refuse(_head_too_large(f"more than {MAX_HEAD_BYTES} bytes"))

    def on_message_begin(self) -> None:
        """Starts the timeout of a head that follows a whole request."""
        super().on_message_begin()
        if not self._head_is_open:
            self._expect_head()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header; too many of them end the parsing."""
        super().on_header(name, value)
        if len(self.headers) > MAX_HEADERS:
            self._refusal = _head_too_large(f"more than {MAX_HEADERS} headers")
            raise ValueError(self._refusal.detail)

    def on_headers_complete(self) -> None:
        """Starts the request; from here on the body has its own timeout."""
        self._stop_timer()
        self._head_is_open = False
        self._body_is_open = True
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Ends the dropping of a refused body."""
        self._body_is_open = False
        super().on_message_complete()
        if self.cycle.response_complete:
            self._stop_timer()

    def on_response_complete(self) -> None:
        """Drops the rest of a body that was refused unread."""
        super().on_response_complete()
        if self._body_is_open and not self.transport.is_closing():
            self._start_timer(LINGER_S, self.transport.close)

    def send_400_response(self, msg: str) -> None:
        """Refuses what isn't HTTP; uvicorn calls this for parser errors."""
        self._refuse(
            self._refusal
            or verdicts.not_run(
                "malformed-http", 400, "the bytes are not an HTTP/1.1 request"
            )
        )

    def _expect_head(self) -> None:
        self._head_is_open = True
        self._head_bytes = 0
        self._start_timer(HEAD_TIMEOUT_S, self._head_timed_out)

    def _head_timed_out(self) -> None:
        if self._head_bytes == 0:
            self.transport.close()
            return
        # The id is unknown here, and the balancer may have sent the same
        # request to another host, so "not run" can't be claimed.
        self._refuse(
            verdicts.may_have_run(
                "head-timeout",
                408,
                f"{self._head_bytes} bytes of headers came within "
                f"{HEAD_TIMEOUT_S} s",
            )
        )

    def _refuse(self, refusal: verdicts.Refusal) -> None:
        """Answers with a problem and closes the connection."""
        self._refusal = refusal
        self._stop_timer()
        problems.log_refusal(refusal, "")
        if self._is_answering():
            # Bytes written now would be read as part of the answer to an
            # earlier request of this connection.
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

    def _is_answering(self) -> bool:
        """Returns whether a whole request waits for its answer."""
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
        f"the headers have {found}, allowed are {MAX_HEADERS} headers and "
        f"{MAX_HEAD_BYTES} bytes",
    )
