"""Parses what a connection receives in turn with other clients.

A connection that waits for a turn isn't read, so what it holds meanwhile is at
most what one read returned.
"""

import typing

from chervillead.callers import parse_turns
from chervillead.callers import refusable_connection
from chervillead.callers import request_limiter


class TurnConnection(refusable_connection.RefusableConnection):
    """Connection that parses a limited number of bytes in a turn."""

    def __init__(
        self,
        *arguments: typing.Any,
        limiter: request_limiter.RequestLimiter,
        turns: parse_turns.ParseTurns,
        **named: typing.Any,
    ) -> None:
        super().__init__(*arguments, limiter=limiter, **named)
        self._turns = turns
        # Received bytes that wait for a turn to be parsed.
        self._waiting = bytearray()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forgets the bytes that wait."""
        self._waiting.clear()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes, at once if no other connection waits."""
        if self._is_refused or self._connection is None:
            return
        if (
            len(data) <= parse_turns.TURN_BYTES
            and not self._waiting
            and not self._turns.is_contended
        ):
            self._parse(data)
            return
        if not self._is_reading_head and not self._is_reading_body:
            self._start_head()
        is_first = not self._waiting
        self._waiting += data
        self._reserve_waiting()
        if is_first and self._waiting:
            self._stoppable_flow.hold_reading()
            self._turns.join(
                parse_turns.Connection(self._client_address, self._take_turn)
            )

    def _take_turn(self) -> bool:
        """Parses some of the waiting bytes; returns whether more wait."""
        if not self._waiting:
            return False  # The connection has been lost.
        part = bytes(self._waiting[: parse_turns.TURN_BYTES])
        del self._waiting[: parse_turns.TURN_BYTES]
        try:
            self._parse(part)
        except Exception:
            # Nobody else closes it, as no transport called this.
            self.transport.abort()
            raise
        if self._is_refused or self.transport.is_closing():
            self._waiting.clear()
        if self._waiting:
            self._reserve_waiting()
        elif not self.transport.is_closing():
            self._stoppable_flow.release_reading()
        return bool(self._waiting)

    def _start_head(self) -> None:
        """Starts the head of a request, to which the next bytes belong."""

    def _reserve_waiting(self) -> None:
        """Counts the bytes that wait to be parsed as held."""

    def _parse(self, data: bytes) -> None:
        """Parses bytes."""
        super().data_received(data)
