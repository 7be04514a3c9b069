"""Limits what clients make a host hold: bytes of requests, and connections.

Decides without I/O. Connections report what they hold; the limiter names the
one that gives way when the limits are exceeded. docs/design/request-limits.md
explains the rules.
"""

import collections
from collections import abc
import sys
import typing

from chervillead import verdicts
from chervillead.callers import largest_first

# Memory that a request takes besides its body: its headers and the objects of
# the HTTP library. Measured as 2 to 5 KB.
REQUEST_BYTES = 4096
RETRY_AFTER_S = 1.0

TOO_LARGE = "body-too-large"
NO_MEMORY = "bodies-too-large"
NO_CONNECTIONS = "too-many-connections"


class Limits(typing.NamedTuple):
    """Limits of one host.

    Attributes:
        memory_bytes: Bytes of all requests that are received or handled.
        connections: Open connections of clients and of other hosts.
        head_timeout_s: Time in which a request head must be complete.
        body_timeout_s: Time in which a body or frame must be complete.
        write_timeout_s: Time in which a client must read what waits for it.
    """

    memory_bytes: int = 64 * 1024 * 1024
    connections: int = 2048
    head_timeout_s: float = 5.0
    body_timeout_s: float = 10.0
    write_timeout_s: float = 10.0


GiveWay = abc.Callable[[verdicts.Refusal], None]
# Called for each refusal with the address of its client.
Report = abc.Callable[[verdicts.Refusal, str], None]


class Reservation:
    """What one request holds, until its last user releases it."""

    def __init__(
        self,
        limiter: "RequestLimiter",
        client: str,
        give_way: GiveWay,
        extra_bytes: int = 0,
    ) -> None:
        self._limiter = limiter
        self._users = 1
        self.client = client
        self.extra_bytes = extra_bytes
        self.give_way = give_way
        self.held_bytes = 0
        self.is_complete = False
        self.refusal: verdicts.Refusal | None = None

    @property
    def is_released(self) -> bool:
        """Whether nothing is held any more."""
        return not self._users or self.refusal is not None

    @property
    def limits(self) -> Limits:
        """Limits of the host."""
        return self._limiter.limits

    def resize(self, held_bytes: int) -> bool:
        """Sets the number of bytes held; returns False if it is refused."""
        if not self.is_released:
            self._limiter.update(self, held_bytes)
        return self.refusal is None

    def complete(self) -> None:
        """Marks the request as received; from now on it may run."""
        if not self.is_released:
            self._limiter.withdraw(self)
            self.is_complete = True

    def refuse(self, refusal: verdicts.Refusal) -> None:
        """Refuses the request and releases all that it holds."""
        if self.refusal is None and self._users:
            self._limiter.free(self)
            self.refusal = refusal
            self._limiter.report(refusal, self.client)

    def hold(self) -> None:
        """Adds a user, who must call `release`."""
        self._users += 1

    def release(self) -> None:
        """Ends one use; has no effect after the last one."""
        if self._users == 1 and self.refusal is None:
            self._limiter.free(self)
        self._users = max(0, self._users - 1)


class Connection:
    """An open connection that counts against the limit."""

    def __init__(
        self, limiter: "RequestLimiter", client: str, give_way: GiveWay
    ) -> None:
        self._limiter = limiter
        self.client = client
        self.give_way = give_way
        self.is_open = True

    def set_waiting(self, *, waiting: bool) -> None:
        """Sets whether the host waits for a complete request."""
        if self.is_open:
            self._limiter.set_waiting(self, waiting=waiting)

    def reserve(
        self, give_way: GiveWay, *, extra_bytes: int = 0
    ) -> Reservation:
        """Returns the reservation of a new request, which holds nothing yet.

        Args:
            give_way: Refuses the request by calling `Reservation.refuse`.
            extra_bytes: Bytes beyond the limit that all requests together may
                hold when this one grows.
        """
        return Reservation(self._limiter, self.client, give_way, extra_bytes)

    def close(self) -> None:
        """Ends the connection; has no effect when repeated."""
        if self.is_open:
            self.set_waiting(waiting=False)
            self.is_open = False
            self._limiter.forget(self)


def unlimited() -> "RequestLimiter":
    """Returns a limiter for peers that are known, such as those of tests."""
    largest = sys.maxsize
    return RequestLimiter(Limits(largest, largest), lambda: largest)


class RequestLimiter:
    """What all connections of one host hold."""

    def __init__(
        self,
        limits: Limits,
        max_body_bytes: abc.Callable[[], int],
        report: Report = lambda refusal, client: None,
    ) -> None:
        self.limits = limits
        self.max_body_bytes = max_body_bytes
        self.report = report
        self._held_bytes = 0
        self._connections = 0
        # Only requests that aren't complete can give way.
        self._incomplete_by_client: dict[
            str, largest_first.LargestFirst[Reservation]
        ] = {}
        self._clients_by_bytes = largest_first.LargestFirst[str]()
        self._waiting_by_client: dict[
            str, collections.OrderedDict[Connection, None]
        ] = {}
        self._clients_by_waiting = largest_first.LargestFirst[str]()

    @property
    def held_bytes(self) -> int:
        """Bytes that all requests hold."""
        return self._held_bytes

    @property
    def connections(self) -> int:
        """Open connections."""
        return self._connections

    def connect(self, client: str, give_way: GiveWay) -> Connection | None:
        """Counts a new connection.

        Args:
            client: Address of the client.
            give_way: Closes the connection in favour of another one.

        Returns:
            The connection, or None if it must be closed, as all others are
            running requests.
        """
        if self._connections >= self.limits.connections:
            largest = self._clients_by_waiting.largest()
            if largest is None:
                self.report(self.connections_refusal(), client)
                return None
            oldest = next(iter(self._waiting_by_client[largest]))
            oldest.close()
            refusal = self.connections_refusal()
            self.report(refusal, oldest.client)
            oldest.give_way(refusal)
        self._connections += 1
        connection = Connection(self, client, give_way)
        connection.set_waiting(waiting=True)
        return connection

    def connections_refusal(self) -> verdicts.Refusal:
        """Returns the refusal of a connection that gives way."""
        return verdicts.not_run(
            NO_CONNECTIONS,
            503,
            f"at most {self.limits.connections} connections may be open on "
            "this host",
            retry_after_s=RETRY_AFTER_S,
        )

    def body_refusal(self, length: int) -> verdicts.Refusal | None:
        """Returns the refusal of a body of a size; None if it is allowed."""
        allowed = self.max_body_bytes()
        if length <= allowed:
            return None
        return verdicts.not_run(
            TOO_LARGE,
            413,
            f"the body has at least {length} bytes; at most {allowed} are "
            "allowed",
        )

    def update(self, reservation: Reservation, held_bytes: int) -> None:
        """Sets what a request holds, and makes others or itself give way."""
        self._held_bytes += held_bytes - reservation.held_bytes
        reservation.held_bytes = held_bytes
        if not reservation.is_complete:
            self._rank(reservation)
        allowed = self._memory_bytes() + reservation.extra_bytes
        while self._held_bytes > allowed:
            victim = self._largest_incomplete() or reservation
            victim.give_way(self._memory_refusal())
            if not victim.is_released:
                victim.refuse(self._memory_refusal())
            if victim is reservation:
                return

    def withdraw(self, reservation: Reservation) -> None:
        """Excludes a request from those that may have to give way."""
        client = reservation.client
        ranking = self._incomplete_by_client.get(client)
        if ranking is None:
            return
        ranking.remove(reservation)
        if ranking:
            self._clients_by_bytes.set(client, ranking.total)
        else:
            del self._incomplete_by_client[client]
            self._clients_by_bytes.remove(client)

    def free(self, reservation: Reservation) -> None:
        """Subtracts all that a request holds."""
        self.withdraw(reservation)
        self._held_bytes -= reservation.held_bytes
        reservation.held_bytes = 0

    def set_waiting(self, connection: Connection, *, waiting: bool) -> None:
        """Sets whether a connection may be closed in favour of another."""
        client = connection.client
        idle = self._waiting_by_client.setdefault(
            client, collections.OrderedDict()
        )
        if waiting:
            idle[connection] = None
        else:
            idle.pop(connection, None)
        if idle:
            self._clients_by_waiting.set(client, len(idle))
        else:
            del self._waiting_by_client[client]
            self._clients_by_waiting.remove(client)

    def forget(self, connection: Connection) -> None:
        """Stops counting a connection."""
        self._connections -= 1

    def _rank(self, reservation: Reservation) -> None:
        client = reservation.client
        ranking = self._incomplete_by_client.setdefault(
            client, largest_first.LargestFirst()
        )
        ranking.set(reservation, reservation.held_bytes)
        self._clients_by_bytes.set(client, ranking.total)

    def _largest_incomplete(self) -> Reservation | None:
        client = self._clients_by_bytes.largest()
        if client is None:
            return None
        return self._incomplete_by_client[client].largest()

    def _memory_bytes(self) -> int:
        # One request within the limit of a body is always served.
        return max(
            self.limits.memory_bytes, self.max_body_bytes() + REQUEST_BYTES
        )

    def _memory_refusal(self) -> verdicts.Refusal:
        return verdicts.not_run(
            NO_MEMORY,
            503,
            "no memory for more requests: at most "
            f"{self._memory_bytes()} bytes may be held on this host",
            retry_after_s=RETRY_AFTER_S,
        )
