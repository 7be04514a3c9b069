"""Interface to the platform's hosts service, which manages hosts."""

from collections import abc
import enum
import typing

from returns import result

from chervillead import verdicts
from chervillead.jobs import model


class HostState(enum.Enum):
    """State of a host, as the hosts service reports it."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


class Host(typing.NamedTuple):
    """A host that runs a worker.

    Attributes:
        name: Its name, which never changes.
        pool: Pool that it belongs to.
        state: Its current state.
        zone: Its availability zone.
        labels: Labels of its workers.
        capacity: Its total resources.
        worker_id: Id of its worker; empty for a host that is turned off.
    """

    name: str
    pool: str
    state: HostState
    zone: str
    labels: frozenset[str]
    capacity: model.Resources
    worker_id: str

    def runs_other_worker(self, worker_id: str) -> bool:
        """Returns whether the host is up with another worker than this one.

        That one has crashed or its host was moved; tasks may run on the other.
        """
        return self.state is HostState.UP and self.worker_id != worker_id


class Wave(typing.NamedTuple):
    """A maintenance wave: hosts that are due for maintenance together.

    Attributes:
        number: Number of the wave.
        hosts: Names of the hosts.
        duration_s: Time within which the maintenance of all hosts should be
            done.
        cap: Maximum number of its hosts that may be down at once.
        first_seen_s: Time on the local monotonic clock at which this process
            first read the wave.
    """

    number: int
    hosts: tuple[str, ...]
    duration_s: float
    cap: int
    first_seen_s: float


class RejectionReason(enum.Enum):
    """Why a command to a host was rejected; the command had no effect."""

    FENCED = "fenced"
    BUSY = "busy"
    NOT_IN_WAVE = "not-in-wave"
    UNKNOWN = "unknown"
    TOO_MANY = "too-many"


class HostCallFailure(typing.NamedTuple):
    """A failed call to the hosts service.

    Attributes:
        verdict: Whether the command may have been carried out.
        detail: Explanation for logs.
        rejection: Why it was rejected; None if that is unknown, such as after a
            timeout.
    """

    verdict: verdicts.Verdict
    detail: str
    rejection: RejectionReason | None = None


ListHosts = abc.Callable[
    [], abc.Awaitable[result.Result[tuple[Host, ...], HostCallFailure]]
]


class HostServiceClient(typing.NamedTuple):
    """Client of the hosts service; commands carry a fencing token.

    Attributes:
        list_hosts: Returns all hosts.
        begin_maintenance: Starts the maintenance of a host in a wave under a
            token; a repeat after it was done has no effect.
        move: Moves a host to another pool under a token.
    """

    list_hosts: ListHosts
    begin_maintenance: abc.Callable[
        [str, int, int], abc.Awaitable[result.Result[None, HostCallFailure]]
    ]
    move: abc.Callable[
        [str, str, int], abc.Awaitable[result.Result[None, HostCallFailure]]
    ]
