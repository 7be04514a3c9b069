"""Runs of tasks on workers. A task that is retried has several runs."""

import asyncio
import enum
import typing

from chervillead.jobs import model


class EndKind(enum.Enum):
    """How a run ended; the values appear in logs and metrics."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lease-expired"
    GANG_BROKEN = "gang-broken"
    GANG_INCOMPLETE = "gang-incomplete"
    VANISHED = "vanished"
    WORKER_CRASHED = "worker-crashed"


class RunPhase(enum.Enum):
    """State of an active run as its owner knows it.

    A run is uncertain when its start command got no reply.
    """

    STARTING = "starting"
    RUNNING = "running"
    UNCERTAIN = "uncertain"
    STOPPING = "stopping"


class Run:
    """An active run of a task on one worker, as its owner knows it.

    Attributes:
        job_id: Job of the task.
        task: The task.
        number: Number of the run, counted for each task.
        worker_id: Worker that executes the run.
        reserved: Resources that the run takes of the worker's capacity.
        started_s: Time of the start command, by the owner's clock; for a run
            of a previous owner, the time at which it was discovered.
        sent_s: Time at which the start command was sent, by the owner's clock;
            None until then, and for a run of a previous owner.
        recorded: Append that must be stored before the start command is sent;
            None if there is none.
        phase: State of the run.
        started_clock_ms: Worker's clock in its reply to the start command; None
            until then.
        stopped_clock_ms: Worker's clock in its reply to the stop command; None
            until then.
        start_by_clock_ms: Latest time of the worker's clock at which a start
            command without a reply may still take effect.
        ticket: Ticket of the queue's advisory service; empty for none.
        may_be_stopping_until_ms: Time of the worker's clock by which a stop has
            ended the run that its owner doesn't know of.
        stop_requested: Whether the run is to be stopped.
        stop_reason: Why; empty if it isn't.
        needs_budget: Whether it is stopped only while the availability budget
            of its step allows.
        is_stop_sent: Whether a stop has been sent to its worker.
        usage: Usage as the worker last reported it: tail latency in
            milliseconds for a latency-sensitive task, millicores otherwise.
        progress_percent: Progress as the worker last reported it.
        progress_since_ms: Worker's clock at the start or in the first report
            with that progress; None before the first report of the run.
        reported_ms: Worker's clock in the latest report.
        pace_percent: CPU share that the run may use; 100 if it isn't paced.
        was_paced: Whether it was slowed or paused at any time.
        resumed_from: Checkpoint with which it was started; empty for none.
        checkpoint_percent: Progress at its newest checkpoint at the least; 0
            before the first.
        is_found: Whether a previous owner started it.
        is_pace_uncertain: Whether its worker may apply another pace, since the
            command failed or a previous owner may have sent one.
        is_suspected: Whether its task may have crashed another worker when it
            was started.
        isolated_until_s: Time until which no other run is started beside it, by
            the owner's clock, as its task may have crashed another worker.
    """

    def __init__(
        self,
        job_id: str,
        task: model.TaskKey,
        number: int,
        worker_id: str,
        *,
        reserved: model.Resources,
        started_s: float,
        phase: RunPhase = RunPhase.STARTING,
    ) -> None:
        self.job_id = job_id
        self.task = task
        self.number = number
        self.worker_id = worker_id
        self.reserved = reserved
        self.started_s = started_s
        self.sent_s: float | None = None
        self.recorded: asyncio.Future[None] | None = None
        self.phase = phase
        self.started_clock_ms: int | None = None
        self.stopped_clock_ms: int | None = None
        self.start_by_clock_ms = 0
        self.ticket = ""
        self.may_be_stopping_until_ms = 0
        self.stop_requested = False
        self.stop_reason = ""
        self.needs_budget = False
        self.is_stop_sent = False
        self.usage = 0
        self.progress_percent = 0
        self.progress_since_ms: int | None = None
        self.reported_ms = 0
        self.pace_percent = 100
        self.was_paced = False
        self.resumed_from = ""
        self.checkpoint_percent = 0
        self.is_found = False
        self.is_pace_uncertain = False
        self.is_suspected = False
        self.isolated_until_s = float("-inf")

    def withdraw_stop(self) -> None:
        """Takes back the request to stop it."""
        self.stop_requested = False
        self.stop_reason = ""
        self.needs_budget = False

    @property
    def key(self) -> "RunKey":
        """Identity of the run in calls to its worker."""
        return RunKey(self.job_id, self.task, self.number)


class RunKey(typing.NamedTuple):
    """Identity of a run, unique within the fleet."""

    job_id: str
    task: model.TaskKey
    number: int


class RunEnd(typing.NamedTuple):
    """The end of a run as its worker reports it.

    Attributes:
        run: The run.
        kind: How it ended.
        checkpoint: Last checkpoint of the run; empty for none.
    """

    run: RunKey
    kind: EndKind
    checkpoint: str = ""
