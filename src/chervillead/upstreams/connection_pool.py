"""A connection pool of one upstream: a queue of calls and a limit.

Invariant: for each queued call, either a connection is being opened or the pool
is at its limit and a connection that becomes free takes the call.
`_open_missing_connections` restores it when a call is added or a connection
ends.
"""

import asyncio
import collections
from collections import abc

from returns import result

from chervillead import http_exchange
from chervillead import types
from chervillead import verdicts
from chervillead.upstreams import connections


class ConnectionPool:
    """Queued calls and open connections of one upstream."""

    def __init__(
        self,
        address: types.Address,
        clock: types.Clock,
        dial: http_exchange.Dial,
        limit: abc.Callable[[], int],
    ) -> None:
        """Makes a pool without connections.

        Args:
            address: Where the upstream listens.
            clock: Source of time.
            dial: Opens connections.
            limit: Returns how many connections may be open.
        """
        self._address = address
        self._clock = clock
        self._dial = dial
        self._limit = limit
        self._calls: collections.deque[connections.Call] = collections.deque()
        self._tasks: set[asyncio.Task[None]] = set()
        self._connecting = 0
        self._closed = False
        self._callbacks = connections.PoolCallbacks(
            on_connected=self._on_connected,
            on_connect_failed=self._on_connect_failed,
            next_call=self._next_call,
            idle_timeouts=[],
            is_within_limit=lambda: len(self._tasks) <= max(1, self._limit()),
        )

    @property
    def open_connections(self) -> int:
        """Connections that are open or being opened."""
        return len(self._tasks)

    def start(
        self,
        request: http_exchange.HttpRequest,
        deadline_s: float,
        *,
        request_id: str = "",
        start_by_s: float | None = None,
        on_written: abc.Callable[[], None] = lambda: None,
    ) -> connections.Call:
        """Queues a call; see `connections.Call` for the arguments."""
        loop = asyncio.get_running_loop()
        start_by_s = min(deadline_s, start_by_s or deadline_s)
        call = connections.Call(
            request,
            request_id,
            start_by_s,
            deadline_s,
            loop.create_future(),
            asyncio.Event(),
            on_written,
        )
        timer = loop.call_later(
            max(0.0, start_by_s - self._clock.monotonic()), _expire, call
        )
        call.outcome.add_done_callback(lambda _: timer.cancel())
        if self._closed:
            connections.cancel(call)
            return call
        self._calls.append(call)
        if self._callbacks.idle_timeouts:
            connections.wake_idle_connection(self._callbacks.idle_timeouts)
        else:
            self._open_missing_connections()
        return call

    async def call(
        self,
        request: http_exchange.HttpRequest,
        timeout_s: float,
        *,
        request_id: str = "",
    ) -> connections.CallOutcome:
        """Sends `request` and returns its outcome within `timeout_s`."""
        call = self.start(
            request,
            self._clock.monotonic() + timeout_s,
            request_id=request_id,
        )
        try:
            return await call.outcome
        finally:
            connections.cancel(call)

    def close(self) -> None:
        """Closes all connections and cancels all calls.

        Calls that were written may have run; queued ones did not.
        """
        self._closed = True
        for task in self._tasks:
            task.cancel()
        while self._calls:
            connections.cancel(self._calls.popleft())

    def _next_call(self) -> connections.Call | None:
        while self._calls:
            call = self._calls.popleft()
            if call.outcome.done():
                continue
            # If the process was paused, this can run before the timer that
            # expires the call.
            if self._clock.monotonic() < call.start_by_s:
                return call
            _expire(call)
        return None

    def _open_missing_connections(self) -> None:
        while self._calls and self._calls[0].outcome.done():
            self._calls.popleft()
        limit = max(1, self._limit())
        while (
            not self._closed
            and self._connecting < len(self._calls)
            and len(self._tasks) < limit
        ):
            self._connecting += 1
            task = asyncio.get_running_loop().create_task(
                connections.run_connection(
                    self._address, self._callbacks, self._clock, dial=self._dial
                )
            )
            self._tasks.add(task)
            task.add_done_callback(self._on_connection_ended)

    def _on_connected(self) -> None:
        self._connecting -= 1

    def _on_connect_failed(self, outcome: connections.CallOutcome) -> None:
        """Fails the next call, or all of them if no connection is left."""
        self._connecting -= 1
        task = asyncio.current_task()
        if task is not None:
            self._tasks.discard(task)
        call = self._next_call()
        while call is not None:
            connections.resolve(call, outcome)
            call = None if self._tasks else self._next_call()

    def _on_connection_ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._open_missing_connections()


def _expire(call: connections.Call) -> None:
    """Fails a call that was not written by its start-by time."""
    if not call.written.is_set():
        connections.resolve(
            call,
            result.Failure(
                verdicts.not_run(
                    "grant-expired",
                    503,
                    "no connection became free in time",
                    retry_after_s=0.1,
                )
            ),
        )
