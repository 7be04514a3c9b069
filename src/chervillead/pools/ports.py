"""Dependencies of a partition's owner on the rest of the process."""

from collections import abc
import typing

from returns import result

from chervillead import types
from chervillead.jobs import held_jobs
from chervillead.jobs import job_api
from chervillead.jobs import model
from chervillead.store import interface as store_interface
from chervillead.workers import interface as worker_interface

# A host starts tasks this long after its move: its worker registers and is
# polled first.
HOST_REGISTRATION_S = 0.5


class Limits(typing.NamedTuple):
    """Limits and durations that the platform sets, and limits for its hosts.

    Attributes:
        max_lease_ms: Longest lease that workers accept.
        job_retention_s: How long the state of a finished job must be available.
        max_stop_ms: Longest time that a worker takes to end a run that it was
            told to stop.
        maintenance_s: How long the maintenance of a host takes.
        move_s: How long the move of a host to another pool takes.
        host_lease_s: Least time between the commands to hosts of an owner of
            the hosts partition and those of the next one.
        pace_delay_ms: How long a worker takes to apply a new pace.
        accepted_jobs: Limits on the memory of accepted jobs.
        max_record_bytes: Longest record that the store accepts, in bytes.
    """

    max_lease_ms: int = 6000
    job_retention_s: float = 120.0
    max_stop_ms: int = 900
    maintenance_s: float = 2.0
    move_s: float = 1.5
    host_lease_s: float = 3.0
    pace_delay_ms: int = 100
    accepted_jobs: held_jobs.Limits = held_jobs.Limits()
    max_record_bytes: int = 262_144

    @property
    def host_lead_time_s(self) -> float:
        """Time until a host that is requested now can start tasks."""
        return self.move_s + HOST_REGISTRATION_S


class Advice(typing.NamedTuple):
    """Reply of the advisory service: which workers may run a step.

    Attributes:
        tickets: Tickets of the workers that may run the step, by worker id.
        valid_s: Validity of the tickets, in seconds.
    """

    tickets: dict[str, str]
    valid_s: float


class AdviceFailure(typing.NamedTuple):
    """A failed call of the advisory service; the detail is for logs."""

    detail: str


# Asks which of some workers may run a step: job id, occurrence, number of the
# step, ids of the workers, and the timeout in seconds.
AskAdvice = abc.Callable[
    [str, int, int, abc.Sequence[str], float],
    abc.Awaitable[result.Result[Advice, AdviceFailure]],
]


class OwnerPorts(typing.NamedTuple):
    """Dependencies of a partition's owner.

    Attributes:
        store: Store for the records of jobs.
        open_worker: Opens a connection to a worker under a fencing token.
        clock: Source of time.
        limits: Limits of the platform.
        configuration: Returns the latest configuration, or None before it is
            known.
        zones_out: Returns the availability zones that operators took out.
        is_current: Whether the configuration and the zones taken out were
            confirmed recently enough to start tasks by them.
        log: Writes a log line.
        increment: Adds to a counter, by name and label.
        observe: Records a duration in seconds, by name.
        ask_advice: Asks the advisory service which workers may run a step; None
            without such a service.
        call_owner: Calls the owner of another partition; the second argument is
            the timeout in seconds.
        sizes_by_offered_load: Whether pools are sized by the load offered to
            them; otherwise by what all waiting tasks would use at once.
        loop_lag_s: Returns the highest recent lag of the event loop, in
            seconds.
        held_bytes: Returns the memory of the jobs of all partitions that this
            host owns, in bytes.
    """

    store: store_interface.Store
    open_worker: worker_interface.OpenWorker
    clock: types.Clock
    limits: Limits
    configuration: abc.Callable[[], model.FleetConfiguration | None]
    zones_out: abc.Callable[[], frozenset[str]]
    is_current: abc.Callable[[], bool]
    log: abc.Callable[..., None]
    increment: abc.Callable[..., None]
    observe: abc.Callable[[str, float], None]
    call_owner: job_api.CallOwner
    ask_advice: AskAdvice | None = None
    sizes_by_offered_load: bool = True
    loop_lag_s: abc.Callable[[], float] = lambda: 0.0
    held_bytes: abc.Callable[[], int] = lambda: 0
