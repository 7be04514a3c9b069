"""Runs of tasks on workers, and how they end."""

import enum
import typing

from chervillead.jobs import model


class EndKind(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lease-expired"
    GANG_BROKEN = "gang-broken"
    GANG_INCOMPLETE = "gang-incomplete"
    VANISHED = "vanished"


class RunPhase(enum.Enum):
    """What the owner knows of a run on a worker."""

    STARTING = "starting"
    RUNNING = "running"
    UNCERTAIN = "uncertain"
    STOPPING = "stopping"


class Run:
    """One run of a task on one worker, as its owner knows it."""

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
        self.phase = phase
        # Readings of the worker's clock: the answer to the start, the answer
        # to a stop, and the last time at which an unanswered start may begin.
        self.started_clock_ms: int | None = None
        self.stopped_clock_ms: int | None = None
        self.start_by_clock_ms = 0
        self.ticket = ""
        self.stop_requested = False
        self.stop_reason = ""
        self.usage = 0
        self.progress_percent = 0
        self.progress_since_s = started_s
        self.pace_percent = 100
        self.checkpoint = ""

    @property
    def key(self) -> "RunKey":
        """Name of the run on its worker."""
        return RunKey(self.job_id, self.task, self.number)


class RunKey(typing.NamedTuple):
    """Name of a run."""

    job_id: str
    task: model.TaskKey
    number: int


class RunEnd(typing.NamedTuple):
    """The end of a run as its worker reports it."""

    run: RunKey
    kind: EndKind
    checkpoint: str = ""
