"""A kept HTTP/1.1 connection to one server, one call at a time.

A call is written at most once. The outcome says whether a byte of it may have
left; nothing here repeats a call.
"""

import asyncio
import typing

from returns import result

from chervillead import http_exchange
from chervillead import types
from chervillead import verdicts

CONNECT_TIMEOUT_S = 0.5


class CallFailure(typing.NamedTuple):
    """A call without a response.

    Attributes:
        verdict: Whether the server may have got the call.
        detail: Explanation for logs.
    """

    verdict: verdicts.Verdict
    detail: str


CallOutcome = result.Result[http_exchange.HttpResponse, CallFailure]


class HttpConnection:
    """One connection to a server, opened when it is needed."""

    def __init__(
        self,
        address: types.Address,
        *,
        dial: http_exchange.Dial = http_exchange.dial,
    ) -> None:
        self._address = address
        self._dial = dial
        self._streams: http_exchange.Streams | None = None
        self._lock = asyncio.Lock()

    @property
    def is_open(self) -> bool:
        """Whether the next call uses a connection that is open already."""
        if self._streams is None:
            return False
        reader, writer = self._streams
        # A connection that was reset isn't at its end, but can't be written to.
        return not reader.at_eof() and not writer.is_closing()

    @property
    def is_busy(self) -> bool:
        """Whether a call is under way."""
        return self._lock.locked()

    async def call(
        self, request: http_exchange.HttpRequest, timeout_s: float
    ) -> CallOutcome:
        """Sends a request once and returns the response."""
        async with self._lock:
            try:
                async with asyncio.timeout(min(CONNECT_TIMEOUT_S, timeout_s)):
                    reader, writer = await self._open()
            except (OSError, TimeoutError) as error:
                return result.Failure(
                    CallFailure(verdicts.Verdict.NOT_RUN, self._describe(error))
                )
            keep = False
            try:
                async with asyncio.timeout(timeout_s):
                    writer.write(
                        http_exchange.encode_request(self._address, request)
                    )
                    response = await http_exchange.read_response(reader)
                keep = response.keep_alive
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
                if not keep:
                    self.close()

    def close(self) -> None:
        """Closes the connection; the next call opens another one."""
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
        return f"{host}:{port}: {error or type(error).__name__}"


class HttpConnectionPool:
    """Kept connections to one server, as many as calls are under way."""

    def __init__(
        self,
        address: types.Address,
        *,
        dial: http_exchange.Dial = http_exchange.dial,
    ) -> None:
        self._address = address
        self._dial = dial
        self._idle: list[HttpConnection] = []

    async def call(
        self, request: http_exchange.HttpRequest, timeout_s: float
    ) -> CallOutcome:
        """Sends a request once on a connection of its own."""
        channel = (
            self._idle.pop()
            if self._idle
            else HttpConnection(self._address, dial=self._dial)
        )
        try:
            return await channel.call(request, timeout_s)
        finally:
            if channel.is_open:
                self._idle.append(channel)
            else:
                channel.close()
