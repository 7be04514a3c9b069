"""Interface to workers: registrations, polls and commands."""

from collections import abc
import enum
import typing

from returns import result

from chervillead import types
from chervillead import verdicts
from chervillead.jobs import model
from chervillead.jobs import task_runs


class Registration(typing.NamedTuple):
    """The record that a worker publishes about itself in the store.

    Attributes:
        worker_id: Id of the worker; a restarted process may register under the
            same id.
        pool: Pool that the worker belongs to.
        address: Address at which it accepts calls.
        zone: Its availability zone.
        rack: Its rack; empty if the worker reports none.
        labels: Its labels, including the rack.
        capacity: Its total resources.
        is_draining: Whether it has announced that it will shut down.
        incarnation: Start of its process; changes with each restart.
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
    """A run in progress, as its worker reports it.

    Attributes:
        run: Key of the run.
        checkpoint: Its newest checkpoint; empty for none.
        progress_percent: Progress of the run; a long-running task is available
            once it reaches 100.
        usage: Tail latency in milliseconds for a latency-sensitive task,
            millicores in use for any other, over the last half second.
    """

    run: task_runs.RunKey
    checkpoint: str
    progress_percent: int
    usage: int


class EndedRun(typing.NamedTuple):
    """The end of a run and its sequence number on the worker."""

    number: int
    end: task_runs.RunEnd


class WorkerStatus(typing.NamedTuple):
    """Response of a worker to a poll.

    Attributes:
        clock_ms: Reading of the worker's clock.
        incarnation: Start of the worker's process.
        running: Runs in progress.
        ended: Ended runs that the owner has not acknowledged yet, in order.
        has_more_ends: Whether further runs may have ended that are listed only
            once these are acknowledged. Until then a run that is missing may
            have ended as well as one that was never started.
    """

    clock_ms: int
    incarnation: int
    running: tuple[RunStatus, ...]
    ended: tuple[EndedRun, ...]
    has_more_ends: bool = False


class RejectionReason(enum.Enum):
    """Why a worker rejected a command; the command had no effect."""

    FENCED = "fenced"
    OUTDATED_RUN = "outdated-run"
    LATE = "late"
    NO_ROOM = "no-room"
    BAD_TICKET = "bad-ticket"
    UNHEALTHY = "unhealthy"
    OTHER_INSTANCE = "other-instance"
    INVALID = "invalid"


class WorkerCallFailure(typing.NamedTuple):
    """A failed call to a worker.

    Attributes:
        verdict: Whether the command was, or may still be, carried out.
        detail: Explanation for logs.
        rejection: Why the worker rejected the call; None if it didn't respond.
        clock_ms: Reading of the worker's clock, if it responded.
        is_refused: Whether nothing listened at the worker's address: its
            process has ended, unlike that of a worker that is cut off.
    """

    verdict: verdicts.Verdict
    detail: str
    rejection: RejectionReason | None = None
    clock_ms: int | None = None
    is_refused: bool = False


class StartCommand(typing.NamedTuple):
    """Command to start a run.

    Attributes:
        run: Key of the run.
        payload: Text of the job, passed to the worker unchanged.
        start_by_clock_ms: Start deadline on the worker's clock; the worker
            rejects the command after it.
        checkpoint: Checkpoint to resume from; empty for none.
        ticket: Ticket of the queue's advisory service; empty for none.
    """

    run: task_runs.RunKey
    payload: str
    start_by_clock_ms: int
    checkpoint: str = ""
    ticket: str = ""


class PollRequest(typing.NamedTuple):
    """Request to extend the lease of all runs and to report their status.

    Attributes:
        acknowledged_end: Number of the last ended run whose record is stored.
        lease_until_clock_ms: End of the lease on the worker's clock; None
            leaves the lease unchanged.
        wait_ms: How long the worker may delay the response until a run ends.
    """

    acknowledged_end: int
    lease_until_clock_ms: int | None
    wait_ms: int


CommandOutcome = result.Result[int, WorkerCallFailure]


class WorkerClient(typing.NamedTuple):
    """Client of one worker under one fencing token; it never retries a call.

    Attributes:
        poll: Extends the lease and returns the worker's status.
        start: Starts a run; returns the worker's clock in milliseconds.
        stop: Stops a run; returns the worker's clock in milliseconds.
        pace: Limits a run to a percentage of its full speed; returns the
            worker's clock in milliseconds.
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


# Returns a client of a worker for a fencing token.
OpenWorker = abc.Callable[[Registration, int], WorkerClient]
