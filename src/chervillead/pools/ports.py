"""What an owner of pools needs from the rest of the process."""

from collections import abc
import typing

from returns import result

from chervillead import types
from chervillead.jobs import model
from chervillead.store import interface as store_interface
from chervillead.workers import interface as worker_interface


class Limits(typing.NamedTuple):
    """Bounds that the platform sets.

    Attributes:
        max_lease_ms: Longest lease that workers accept.
        state_kept_s: How long the state of an ended job must be shown.
        notice_ms: How long a task must be at work to count as available.
        upkeep_s: How long the upkeep of a host takes.
        move_s: How long a host takes to change its pool.
        host_lease_s: Time between the orders of two owners of all hosts.
        pace_ms: How long a worker takes to follow a change of pace.
    """

    max_lease_ms: int = 6000
    job_retention_s: float = 120.0
    min_ready_ms: int = 4500
    maintenance_s: float = 2.0
    move_s: float = 1.5
    host_lease_s: float = 3.0
    pace_delay_ms: int = 100


class Advice(typing.NamedTuple):
    """Workers that may run a step: tickets by worker, valid for a while."""

    tickets: dict[str, str]
    valid_s: float


class AdviceFailure(typing.NamedTuple):
    """A call for advice that brought none."""

    detail: str


# Asks which of some workers may run a step of a job's occurrence.
AskAdvice = abc.Callable[
    [str, int, int, abc.Sequence[str]],
    abc.Awaitable[result.Result[Advice, AdviceFailure]],
]


class OwnerPorts(typing.NamedTuple):
    """What an owner of pools needs.

    Attributes:
        store: The store.
        open_worker: Opens calls to a worker under a fencing token.
        clock: Source of time.
        limits: Bounds of the platform.
        configuration: Returns the newest configuration, or None.
        zones_out: Returns the availability zones that operators took out.
        log: Writes a log line.
        increment: Adds to a counter, by name and label.
        observe: Notes a duration in seconds, by name.
        ask_advice: Asks which workers may run a step; None without such a
            service.
    """

    store: store_interface.Store
    open_worker: worker_interface.OpenWorker
    clock: types.Clock
    limits: Limits
    configuration: abc.Callable[[], model.FleetConfiguration | None]
    zones_out: abc.Callable[[], frozenset[str]]
    log: abc.Callable[..., None]
    increment: abc.Callable[..., None]
    observe: abc.Callable[[str, float], None]
    ask_advice: AskAdvice | None = None
