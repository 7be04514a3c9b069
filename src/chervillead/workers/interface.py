"""What the product needs of workers, as types and functions."""

from collections import abc
import enum
import typing

from returns import result

from chervillead import types
from chervillead import verdicts
from chervillead.jobs import model
from chervillead.jobs import task_runs


class Registration(typing.NamedTuple):
    """What a worker says of itself through the store.

    Attributes:
        worker_id: Its id; a new life of a process may come back under it.
        pool: Pool that it belongs to.
        address: Where it takes calls.
        zone: Its availability zone.
        rack: Its rack; empty if it names none.
        labels: Its labels, the rack among them.
        capacity: What it has.
        is_draining: Whether it is about to leave.
        incarnation: Start of its process; differs between two lives.
    """

    worker_id: str
    pool: str
    address: types.Address
    zone: str
    rack: str
    labels: frozenset[str]
    capacity: model.Resources
    is_draining: bool
    incarnation: int


class RunStatus(typing.NamedTuple):
    """A run that a worker lists.

    Attributes:
        run: The run.
        checkpoint: Its newest checkpoint; empty for none.
        progress_percent: How far the run is; a lasting task is at work at 100.
        usage: Tail latency in milliseconds of a task that serves users,
            millicores in use of any other, over the last half second.
    """

    run: task_runs.RunKey
    checkpoint: str
    progress_percent: int
    usage: int


class EndedRun(typing.NamedTuple):
    """An end that a worker lists, with its number on that worker."""

    number: int
    end: task_runs.RunEnd


class WorkerStatus(typing.NamedTuple):
    """What a worker runs and which ends it remembers.

    Attributes:
        clock_ms: Reading of the worker's clock.
        incarnation: Start of its process.
        running: Runs under way.
        ended: Ends that haven't been acknowledged.
    """

    clock_ms: int
    incarnation: int
    running: tuple[RunStatus, ...]
    ended: tuple[EndedRun, ...]


class RejectionReason(enum.Enum):
    """Why a worker refused an order, which then was not carried out."""

    FENCED = "fenced"
    OUTDATED_RUN = "outdated-run"
    LATE = "late"
    NO_ROOM = "no-room"
    BAD_TICKET = "bad-ticket"
    UNHEALTHY = "unhealthy"
    OTHER_INSTANCE = "other-instance"
    INVALID = "invalid"


class WorkerCallFailure(typing.NamedTuple):
    """A call to a worker that didn't succeed.

    Attributes:
        verdict: Whether the order may have been carried out, or may yet be.
        detail: Explanation for logs.
        rejection: Why the worker refused it; None if it didn't answer.
        clock_ms: Reading of the worker's clock, if it answered.
    """

    verdict: verdicts.Verdict
    detail: str
    rejection: RejectionReason | None = None
    clock_ms: int | None = None


class StartCommand(typing.NamedTuple):
    """Order to start a run.

    Attributes:
        run: The run.
        payload: Text of the job.
        start_by_clock_ms: Worker's time after which it must not start.
        checkpoint: Checkpoint to resume from; empty for none.
        ticket: Ticket of the queue's advisory service; empty for none.
    """

    run: task_runs.RunKey
    payload: str
    start_by_clock_ms: int
    checkpoint: str = ""
    ticket: str = ""


class PollRequest(typing.NamedTuple):
    """Order to extend the lease of all runs and to list them.

    Attributes:
        acknowledged_end: Number of the last end that has been recorded.
        lease_until_clock_ms: Worker's time at which the lease ends; None
            leaves the lease as it is.
        wait_ms: How long the worker may wait for an end.
    """

    acknowledged_end: int
    lease_until_clock_ms: int | None
    wait_ms: int


CommandOutcome = result.Result[int, WorkerCallFailure]


class WorkerCalls(typing.NamedTuple):
    """Calls to one worker under one fencing token; none is ever repeated.

    Attributes:
        poll: Extends the lease and lists runs.
        start: Starts a run; returns the worker's clock.
        stop: Stops a run; returns the worker's clock.
        pace: Lets a run work at a share in percent.
        close: Closes the connections.
    """

    poll: abc.Callable[
        [PollRequest],
        abc.Awaitable[result.Result[WorkerStatus, WorkerCallFailure]],
    ]
    start: abc.Callable[[StartCommand], abc.Awaitable[CommandOutcome]]
    stop: abc.Callable[[task_runs.RunKey], abc.Awaitable[CommandOutcome]]
    pace: abc.Callable[[task_runs.RunKey, int], abc.Awaitable[CommandOutcome]]
    close: abc.Callable[[], None]


# Opens calls to a worker under a fencing token.
OpenWorker = abc.Callable[[Registration, int], WorkerCalls]
