"""Keep-alive HTTP/1.1 connections to one server.

A request is sent at most once and never retried here. The outcome says whether
any byte of it may have been sent.
"""

import asyncio
import typing

from returns import result

from chervillead import http_exchange
from chervillead import types
from chervillead import verdicts

CONNECT_TIMEOUT_S = 0.5


class CallFailure(typing.NamedTuple):
    """A call that got no complete response.

    Attributes:
        verdict: Whether the server may have received the request.
        detail: Explanation for logs.
        is_refused: Whether nothing listened at the address.
    """

    verdict: verdicts.Verdict
    detail: str
    is_refused: bool = False


CallOutcome = result.Result[http_exchange.HttpResponse, CallFailure]


class HttpConnection:
    """One connection to a server, opened on demand; calls are serialised."""

    def __init__(
        self,
        address: types.Address,
        *,
        dial: http_exchange.Dial = http_exchange.dial,
        max_response_bytes: int = http_exchange.MAX_RESPONSE_BYTES,
    ) -> None:
        self._address = address
        self._dial = dial
        self._max_response_bytes = max_response_bytes
        self._streams: http_exchange.Streams | None = None
        self._lock = asyncio.Lock()

    @property
    def is_open(self) -> bool:
        """Whether the next call reuses the open connection."""
        if self._streams is None:
            return False
        reader, writer = self._streams
        # After a reset the reader isn't at EOF, but writes would fail.
        return not reader.at_eof() and not writer.is_closing()

    @property
    def is_busy(self) -> bool:
        """Whether a call is in progress."""
        return self._lock.locked()

    async def call(
        self,
        request: http_exchange.HttpRequest,
        timeout_s: float,
        transfer_timeout_s: float | None = None,
    ) -> CallOutcome:
        """Sends a request once and returns the response or the failure.

        Args:
            request: The request.
            timeout_s: Longest time from connecting to the complete response.
                Connecting is bounded by the lesser of it and
                `CONNECT_TIMEOUT_S`.
            transfer_timeout_s: For a large response: the longest time to the
                complete response, while `timeout_s` bounds only the time
                without any byte. How long a transfer takes depends on the
                link, so it doesn't show that the server has failed.
        """
        try:
            data = http_exchange.encode_request(self._address, request)
        except http_exchange.UnsendableRequestError as error:
            return result.Failure(
                CallFailure(verdicts.Verdict.NOT_RUN, self._describe(error))
            )
        async with self._lock:
            try:
                async with asyncio.timeout(min(CONNECT_TIMEOUT_S, timeout_s)):
                    reader, writer = await self._open()
            except (OSError, TimeoutError) as error:
                return result.Failure(
                    CallFailure(
                        verdicts.Verdict.NOT_RUN,
                        self._describe(error),
                        isinstance(error, ConnectionRefusedError),
                    )
                )
            keep_open = False
            try:
                async with asyncio.timeout(transfer_timeout_s or timeout_s):
                    writer.write(data)
                    response = await http_exchange.read_response(
                        reader,
                        stall_timeout_s=timeout_s
                        if transfer_timeout_s
                        else None,
                        max_bytes=self._max_response_bytes,
                    )
                keep_open = response.keep_alive
                return result.Success(response)
            except (
                OSError,
                TimeoutError,
                http_exchange.IncompleteResponseError,
            ) as error:
                return result.Failure(
                    CallFailure(
                        verdicts.Verdict.MAY_HAVE_RUN, self._describe(error)
                    )
                )
            finally:
                if not keep_open:
                    self.close()

    def close(self) -> None:
        """Closes the connection; the next call opens a new one."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def _open(self) -> http_exchange.Streams:
        if not self.is_open:
            self.close()
        if self._streams is None:
            self._streams = await self._dial(self._address)
        return self._streams

    def _describe(self, error: Exception) -> str:
        host, port = self._address
        return f"{host}:{port}: {str(error) or type(error).__name__}"


class HttpConnectionPool:
    """Connection pool of one server, as large as the peak concurrency."""

    def __init__(
        self,
        address: types.Address,
        *,
        dial: http_exchange.Dial = http_exchange.dial,
        max_response_bytes: int = http_exchange.MAX_RESPONSE_BYTES,
    ) -> None:
        self._address = address
        self._dial = dial
        self._max_response_bytes = max_response_bytes
        self._idle: list[HttpConnection] = []

    async def call(
        self,
        request: http_exchange.HttpRequest,
        timeout_s: float,
        transfer_timeout_s: float | None = None,
    ) -> CallOutcome:
        """Sends a request once, on an idle or a new connection.

        The arguments are those of `HttpConnection.call`.
        """
        connection = (
            self._idle.pop()
            if self._idle
            else HttpConnection(
                self._address,
                dial=self._dial,
                max_response_bytes=self._max_response_bytes,
            )
        )
        try:
            return await connection.call(request, timeout_s, transfer_timeout_s)
        finally:
            if connection.is_open:
                self._idle.append(connection)
            else:
                connection.close()
