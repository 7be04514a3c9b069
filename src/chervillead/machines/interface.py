"""What the product needs of the service that switches hosts."""

from collections import abc
import enum
import typing

from returns import result

from chervillead import verdicts
from chervillead.jobs import model


class HostState(enum.Enum):
    """What a host does."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "upkeep"
    DOWN = "down"


class Host(typing.NamedTuple):
    """A host.

    Attributes:
        name: Its name, which it keeps.
        pool: Pool that it belongs to.
        state: What it does.
        zone: Its availability zone.
        labels: Labels of its workers.
        capacity: What it has.
        worker_id: Id of its worker; empty for a host that is switched off.
    """

    name: str
    pool: str
    state: HostState
    zone: str
    labels: frozenset[str]
    capacity: model.Resources
    worker_id: str


class Wave(typing.NamedTuple):
    """Hosts that are due for upkeep.

    Attributes:
        number: Number of the wave.
        hosts: Names of the hosts.
        duration_s: Time in which all of them should be done.
        cap: Hosts that may be down at once.
        first_seen_s: Our time at which the wave was first seen.
    """

    number: int
    hosts: tuple[str, ...]
    duration_s: float
    cap: int
    first_seen_s: float


class RejectionReason(enum.Enum):
    """Why an order for a host was refused, which then was not carried out."""

    FENCED = "fenced"
    BUSY = "busy"
    NOT_IN_WAVE = "not-in-wave"
    UNKNOWN = "unknown"
    TOO_MANY = "too-many"


class HostCallFailure(typing.NamedTuple):
    """A call that didn't succeed.

    Attributes:
        verdict: Whether the order may have been carried out.
        detail: Explanation for logs.
        rejection: Why it was refused; None if there was no answer.
    """

    verdict: verdicts.Verdict
    detail: str
    rejection: RejectionReason | None = None


ListHosts = abc.Callable[
    [], abc.Awaitable[result.Result[tuple[Host, ...], HostCallFailure]]
]


class HostServiceClient(typing.NamedTuple):
    """Calls for hosts; orders name their holder's fencing token.

    Attributes:
        list_hosts: Returns all hosts.
        begin_maintenance: Starts the maintenance of a host in a wave under a
            token; a repeat after it was done has no effect.
        move: Moves a host to a pool under a token.
    """

    list_hosts: ListHosts
    begin_maintenance: abc.Callable[
        [str, int, int], abc.Awaitable[result.Result[None, HostCallFailure]]
    ]
    move: abc.Callable[
        [str, str, int], abc.Awaitable[result.Result[None, HostCallFailure]]
    ]
