"""State of one worker as known to the owner of its partition."""

from collections import abc
import typing

from chervillead.jobs import model
from chervillead.jobs import placement
from chervillead.jobs import task_runs
from chervillead.jobs import worker_health
from chervillead.workers import interface
from chervillead.workers import load

# Lowest rate of a worker's clock relative to the owner's. A lease measured on
# a slow worker's clock lasts longer on the owner's clock.
MIN_CLOCK_RATE = 0.98
# Time without placements after the worker reported that it is unhealthy.
UNHEALTHY_BACKOFF_S = 1.0
# Starts are sent in the order of their placement, so more of them than this
# would keep an urgent one waiting for seconds if the worker responds slowly.
MAX_UNSENT_STARTS = 64


class ClockReading(typing.NamedTuple):
    """A reading of a worker's clock and the owner's time of the reading."""

    clock_ms: int
    at_s: float


class WorkerView:
    """One worker: its registration, clock, lease and runs."""

    def __init__(
        self,
        registration: interface.Registration,
        *,
        discovered_s: float,
        order: int = 0,
    ) -> None:
        self.registration = registration
        # Position among the owner's workers; breaks ties of placement.
        self.order = order
        self.discovered_s = discovered_s
        self.is_registered = True
        # Number of the renewal of the ownership that must be confirmed before
        # anything is started on its process; None if none has to be.
        self.awaited_renewal: int | None = None
        # Set when another process responds at its address: this worker has
        # certainly ended.
        self.is_replaced = False
        self.incarnation: int | None = None
        self.applied_end = 0
        self.acknowledged_end = 0
        # Whether its last answer may have left out ended runs.
        self.has_more_ends = False
        # Starts that were placed but haven't been answered yet.
        self.unsent_starts = 0
        self.avoid_until_s = 0.0
        # Reason why its host is being drained; empty if it is not cordoned.
        self.cordoned_for = ""
        self.last_contact_s: float | None = None
        # Time at which the last poll that failed was sent.
        self.failed_poll_s = float("-inf")
        # Whether nothing listened at its address at the last poll.
        self.is_refused = False
        # Whether its end had been announced when nothing listened there first;
        # None since its last answer. A later cordon says nothing about it.
        self.was_end_announced: bool | None = None
        self.health = worker_health.WorkerHealth()
        self._clock: ClockReading | None = None
        self._lease_until_clock_ms = 0
        # End of the longest lease that a reply has shown, by the owner's clock.
        self._granted_until_s = float("-inf")
        self._runs: dict[task_runs.RunKey, task_runs.Run] = {}
        # End of the isolation of its runs that don't share it with others.
        self._isolated: dict[task_runs.RunKey, float] = {}
        # Runs whose tasks were suspected when they started.
        self._suspected: set[task_runs.RunKey] = set()
        # When the last of them started.
        self.last_suspect_s = float("-inf")
        # When the last run started that doesn't share the worker.
        self.last_isolated_s = float("-inf")
        self._load = load.WorkerLoad()

    @property
    def runs(self) -> abc.Mapping[task_runs.RunKey, task_runs.Run]:
        """Runs that may be on the worker."""
        return self._runs

    @property
    def has_many_unsent_starts(self) -> bool:
        """Whether a further start would wait for long until it is sent."""
        return self.unsent_starts >= MAX_UNSENT_STARTS

    @property
    def suspected_runs(self) -> int:
        """How many of its runs are of tasks that may crash it."""
        return len(self._suspected)

    @property
    def worker_id(self) -> str:
        """Id of the worker, as registered."""
        return self.registration.worker_id

    @property
    def has_answered(self) -> bool:
        """Whether the worker has responded to this owner's polls."""
        return self.incarnation is not None

    @property
    def is_restarted(self) -> bool:
        """Whether it has registered a later process than the one that answered.

        Clock, lease and numbers of ends are those of the earlier process.
        """
        return (
            self.incarnation is not None
            and self.registration.incarnation > self.incarnation
        )

    @property
    def is_answering(self) -> bool:
        """Whether the process that answered last still answered last time."""
        return (
            self.last_contact_s is not None
            and self.failed_poll_s <= self.last_contact_s
        )

    @property
    def has_reported_all(self) -> bool:
        """Whether it has reported all that runs on it or has ended there."""
        return self.has_answered and not self.has_more_ends

    def record_clock(self, clock_ms: int, now_s: float) -> None:
        """Records a reading of the worker's clock; ignores an older one."""
        if self._clock is None or clock_ms >= self._clock.clock_ms:
            self._clock = ClockReading(clock_ms, now_s)

    def clock_at(self, now_s: float) -> int | None:
        """Returns the estimated worker's clock.

        Returns:
            The estimate, or None if there is no reading of the process that
            runs now.
        """
        if self._clock is None or self.is_restarted:
            return None
        return self._clock.clock_ms + int(1000 * (now_s - self._clock.at_s))

    def extend_lease(self, until_clock_ms: int) -> None:
        """Records an offered lease, which counts even if the call failed."""
        self._lease_until_clock_ms = max(
            self._lease_until_clock_ms, until_clock_ms
        )

    def record_grant(
        self,
        until_clock_ms: int,
        clock_ms: int,
        max_lease_ms: int,
        now_s: float,
    ) -> None:
        """Records the lease that a call has given, by the clock in its reply.

        The deadline of the call may have been reckoned by the clock of a
        process that has ended meanwhile. The next one, whose clock has just
        begun, shortens such a deadline only to the longest lease that it
        accepts.

        Args:
            until_clock_ms: Deadline that the call carried.
            clock_ms: Clock of the process that replied.
            max_lease_ms: Longest lease that workers accept.
            now_s: Time of the owner's clock at which the reply came.
        """
        left_ms = max(0, min(until_clock_ms - clock_ms, max_lease_ms))
        self._granted_until_s = max(
            self._granted_until_s, now_s + left_ms / 1000 / MIN_CLOCK_RATE
        )

    def lease_ends_s(self) -> float:
        """Returns the owner's time by which its lease has certainly expired.

        All its runs have ended by then. Infinite before the first reading of
        its clock.
        """
        if self._clock is None:
            return float("inf")
        left_ms = max(0, self._lease_until_clock_ms - self._clock.clock_ms)
        ends_s = self._clock.at_s + left_ms / 1000 / MIN_CLOCK_RATE
        return max(ends_s, self._granted_until_s)

    def has_surely_expired(self, now_s: float) -> bool:
        """Returns whether the lease has ended and the worker can't be asked.

        Its runs may have completed before the end of the lease, which only the
        worker knows, so a poll must have been sent after it and have failed.
        """
        ends_s = self.lease_ends_s()
        return now_s > ends_s and self.failed_poll_s > ends_s

    def begin_incarnation(self, incarnation: int) -> None:
        """Resets the state of the worker's process after a restart."""
        self.incarnation = incarnation
        self.applied_end = 0
        self.acknowledged_end = 0
        self.has_more_ends = False
        self._clock = None
        self._lease_until_clock_ms = 0

    def add_run(
        self, run: task_runs.Run, step: model.Step | None, image: str = ""
    ) -> None:
        """Adds a run with its image; the step of an unknown job is None."""
        self._runs[run.key] = run
        self._load.add(run, step, image)
        if run.isolated_until_s > float("-inf"):
            self._isolated[run.key] = run.isolated_until_s
            self.last_isolated_s = max(self.last_isolated_s, run.started_s)
        if run.is_suspected:
            self._suspected.add(run.key)
            self.last_suspect_s = max(self.last_suspect_s, run.started_s)

    def remove_run(self, key: task_runs.RunKey) -> task_runs.Run | None:
        """Removes a run and returns it, or None if it isn't there."""
        self._load.remove(key)
        self._isolated.pop(key, None)
        self._suspected.discard(key)
        return self._runs.pop(key, None)

    def is_isolated(self, now_s: float) -> bool:
        """Returns whether one of its runs keeps the worker for itself."""
        return any(now_s < until_s for until_s in self._isolated.values())

    @property
    def is_isolated_to_end(self) -> bool:
        """Whether one of its runs keeps the worker until the run ends."""
        return float("inf") in self._isolated.values()

    def reserved(self) -> model.Resources:
        """Returns the resources that its runs reserve."""
        return self._load.reserved

    @property
    def has_latency_sensitive(self) -> bool:
        """Whether tasks with a latency target run on it."""
        return bool(self._load.latency_sensitive_images)

    @property
    def has_long_running(self) -> bool:
        """Whether tasks run on it that don't end by themselves."""
        return len(self._runs) > self._load.ending_tasks

    def as_snapshot(self) -> placement.WorkerSnapshot:
        """Returns the snapshot of the worker that placement works on."""
        capacity = self.registration.capacity
        return placement.WorkerSnapshot(
            self.worker_id,
            self.registration.rack,
            self.registration.labels,
            capacity.minus(self._load.reserved),
            capacity,
            self._load.step_tasks,
            self._load.latency_sensitive_images,
            self._load.best_effort_images,
            self.health.penalty,
        )

    def may_start(self, zones_out: frozenset[str]) -> bool:
        """Returns whether the start of a placed run may still be sent."""
        return (
            self.is_registered
            and self.has_answered
            and not self.is_replaced
            and not self.is_restarted
            and not self.registration.is_draining
            and not self.cordoned_for
            and self.registration.zone not in zones_out
        )

    def is_schedulable(self, now_s: float, zones_out: frozenset[str]) -> bool:
        """Returns whether new runs may be placed on the worker."""
        return (
            self.may_start(zones_out)
            and self.awaited_renewal is None
            and self.is_answering
            and self.avoid_until_s <= now_s
            and not self.is_isolated(now_s)
            and not self.has_many_unsent_starts
            # Long-running tasks don't end, so they tell nothing about its
            # health.
            and self.health.is_schedulable(
                now_s, is_busy=self._load.ending_tasks > 0
            )
        )
