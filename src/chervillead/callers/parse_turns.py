"""Turns in which connections have their received bytes parsed.

Parsing takes time by the number of chunks, in the event loop that serves all
clients, and chunks may be of one byte. So a connection parses a limited number
of bytes in a turn, and client addresses take turns.
"""

import asyncio
import collections
from collections import abc
import time
import typing

# About 1,400 chunks of one byte fit into that.
TURN_BYTES = 8192
# Turns of ordinary bytes take microseconds, so several share an iteration of
# the event loop.
MAX_STRETCH_S = 0.002


class Connection(typing.NamedTuple):
    """A connection that has bytes to parse.

    Attributes:
        client: Address of its client.
        take_turn: Parses at most `TURN_BYTES` and returns whether more wait.
    """

    client: str
    take_turn: abc.Callable[[], bool]


class ParseTurns:
    """Connections that wait for a turn, by the address of their client.

    Other tasks of the event loop run after each `MAX_STRETCH_S`, and between
    any two turns that take longer.
    """

    def __init__(self) -> None:
        self._waiting: collections.OrderedDict[
            str, collections.deque[Connection]
        ] = collections.OrderedDict()

    @property
    def is_contended(self) -> bool:
        """Whether any connection waits."""
        return bool(self._waiting)

    def join(self, connection: Connection) -> None:
        """Gives a connection turns until it has nothing left to parse."""
        if not self._waiting:
            asyncio.get_running_loop().call_soon(self._take_turns)
        queue = self._waiting.setdefault(connection.client, collections.deque())
        queue.append(connection)

    def _take_turns(self) -> None:
        """Gives turns for a limited time, and then lets other tasks run."""
        ends_s = time.perf_counter() + MAX_STRETCH_S
        try:
            while self._waiting and time.perf_counter() < ends_s:
                self._take_next()
        finally:
            if self._waiting:
                asyncio.get_running_loop().call_soon(self._take_turns)

    def _take_next(self) -> None:
        """Gives the next client's first connection its turn."""
        client, queue = next(iter(self._waiting.items()))
        self._waiting.move_to_end(client)
        connection = queue.popleft()
        try:
            if connection.take_turn():
                queue.append(connection)
        finally:
            if not queue:
                del self._waiting[client]
