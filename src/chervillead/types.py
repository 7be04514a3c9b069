"""Values that cross package boundaries.

Times named `*_s` are in seconds, `*_ms` in milliseconds. A `deadline_s` is a
time of the local monotonic clock and is never sent to another host; messages
carry the remaining time instead, because the monotonic clocks of two hosts
can't be compared.
"""

from collections import abc
import ipaddress
import typing

from returns import result

from chervillead import error_texts

MAX_PORT = 65535


class Address(typing.NamedTuple):
    """IP address and port of a listening socket."""

    host: str
    port: int


def parse_address(text: str) -> result.Result[Address, str]:
    """Parses "IP:PORT" such as "127.0.0.1:17000"; fails with a message."""
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
        # The scope of an IPv6 address may contain any characters.
        is_plain = host.isascii() and host.isprintable()
        number = int(port) if is_plain else 0
    except ValueError:
        number = 0
    if not 1 <= number <= MAX_PORT:
        return result.Failure(
            f"got {error_texts.shorten(text)}, expected an IP address and a "
            f"port from 1 to {MAX_PORT}, such as '127.0.0.1:17000'"
        )
    return result.Success(Address(host, number))


class Size(typing.NamedTuple):
    """Resources that a request declares or a worker offers."""

    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


class Request(typing.NamedTuple):
    """A request of a caller, which runs as a task on an upstream.

    Attributes:
        request_id: UUIDv7 in canonical form; see `callers.request_ids`.
        queue: Name of the queue that the request is submitted to.
        team: Team of the API key of the request; empty on a queue that is open
            to all.
        body: Payload, passed to the upstream unchanged.
        content_type: Media type of the payload.
        size: Declared resources.
        deadline_s: Local monotonic time by which the caller needs the answer.
        idempotent: Whether running the request twice is harmless.
        run_s: Declared run time in seconds, or None.
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
    """A complete answer of an upstream; truncated ones become refusals."""

    status: int
    content_type: str
    body: bytes


class Upstream(typing.NamedTuple):
    """Service endpoint of a worker, to which requests are sent."""

    name: str
    zone: str
    address: Address


class Grant(typing.NamedTuple):
    """Permission to start one request on one slot of an upstream.

    Attributes:
        grant_id: Unique id, assigned by the dispatcher.
        request_id: The request that may start.
        dispatcher: Entry host that granted the slot and that it is released to.
        upstream: Where the request may start.
        start_by_s: Local monotonic time after which it must not start.
        lease_s: Duration of the lease, renewed while the request runs.
    """

    grant_id: str
    request_id: str
    dispatcher: str
    upstream: Upstream
    start_by_s: float
    lease_s: float


class Clock(typing.NamedTuple):
    """Sources of time, passed in so that tests can use a virtual clock.

    Attributes:
        monotonic: Returns seconds since an arbitrary time; never decreases.
        wall: Returns seconds since the Unix epoch.
    """

    monotonic: abc.Callable[[], float]
    wall: abc.Callable[[], float]
