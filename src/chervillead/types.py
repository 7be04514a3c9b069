"""Values that cross package boundaries.

Times named `*_s` are seconds, `*_ms` milliseconds. A `deadline_s` is a reading
of the local monotonic clock and never leaves its host; messages carry the time
left instead, because clocks of two hosts can't be compared.
"""

from collections import abc
import ipaddress
import typing

from returns import result

MAX_PORT = 65535


class Address(typing.NamedTuple):
    """IP number and port of a listening socket."""

    host: str
    port: int


def parse_address(text: str) -> result.Result[Address, str]:
    """Returns the address in a text such as "127.0.0.1:17000"."""
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError:
        number = 0
    if not 1 <= number <= MAX_PORT:
        return result.Failure(
            f"got {text!r}, allowed is an IP number and a port from 1 to "
            f"{MAX_PORT}, such as '127.0.0.1:17000'"
        )
    return result.Success(Address(host, number))


class Size(typing.NamedTuple):
    """Resources that a request declares or a worker offers."""

    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


class Request(typing.NamedTuple):
    """One unit of work from a caller.

    Attributes:
        request_id: UUIDv7 in canonical form; see `callers.request_ids`.
        queue: Name of the class of work.
        team: Team of the key that came with the request; empty on a queue open
            to all.
        body: Payload, passed to the upstream unchanged.
        content_type: Media type of the payload.
        size: Declared resources.
        deadline_s: Local monotonic time by which the caller wants the answer.
        idempotent: Whether running the request twice is harmless.
        run_s: Declared run time, or None.
    """

    request_id: str
    queue: str
    team: str
    body: bytes
    content_type: str
    size: Size
    deadline_s: float
    idempotent: bool
    run_s: float | None = None


class Answer(typing.NamedTuple):
    """A complete answer of an upstream; truncated ones never get this far."""

    status: int
    content_type: str
    body: bytes


class Upstream(typing.NamedTuple):
    """A worker's service endpoint as the path of a request needs it."""

    name: str
    zone: str
    address: Address


class Grant(typing.NamedTuple):
    """Permission to start one request on one slot of an upstream.

    Attributes:
        grant_id: Unique id, assigned by the dispatcher.
        request_id: The request that may start.
        dispatcher: Entry host that granted the slot and gets the release.
        upstream: Where the request may start.
        start_by_s: Local monotonic time after which it must not start.
        lease_s: Duration of the lease; the holder renews it while it runs.
    """

    grant_id: str
    request_id: str
    dispatcher: str
    upstream: Upstream
    start_by_s: float
    lease_s: float


class Clock(typing.NamedTuple):
    """Sources of time, handed in so that tests can run on a virtual clock.

    Attributes:
        monotonic: Seconds from an arbitrary start; never steps back.
        wall: Seconds since the epoch.
    """

    monotonic: abc.Callable[[], float]
    wall: abc.Callable[[], float]
