"""What the watch of a worker needs from the owner of its pool."""

import asyncio
from collections import abc
import typing

from chervillead import types
from chervillead.jobs import task_runs
from chervillead.workers import interface
from chervillead.workers import view as view_module


class WatchPorts(typing.NamedTuple):
    """What the watch of a worker needs from the owner.

    Attributes:
        clock: Source of time.
        lease_ms: Length of a lease.
        max_lease_ms: Longest lease that workers accept.
        is_confirmed: Whether the ownership is certain to hold now, so that
            leases may be extended and commands sent.
        apply_status: Applies a status; returns the records that must be stored
            before its ended runs are acknowledged.
        on_start_result: Handles the outcome of a start.
        make_start_command: Returns the command for a run, or None if the run
            is obsolete.
        may_stop: Whether a stop that was queued may still be sent.
        withdraw_start: Handles a start that won't be sent.
        on_poll_failure: Handles a failed poll.
        log: Writes a log line.
    """

    clock: types.Clock
    lease_ms: int
    max_lease_ms: int
    is_confirmed: abc.Callable[[], bool]
    apply_status: abc.Callable[
        [view_module.WorkerView, interface.WorkerStatus],
        list[asyncio.Future[None]],
    ]
    on_start_result: abc.Callable[
        [view_module.WorkerView, task_runs.Run, interface.CommandOutcome], None
    ]
    make_start_command: abc.Callable[
        [view_module.WorkerView, task_runs.Run], interface.StartCommand | None
    ]
    may_stop: abc.Callable[[task_runs.Run], bool]
    withdraw_start: abc.Callable[[view_module.WorkerView, task_runs.Run], None]
    on_poll_failure: abc.Callable[
        [view_module.WorkerView, interface.WorkerCallFailure], None
    ]
    log: abc.Callable[..., None]
