"""What the owner of a pool knows of one worker."""

import typing

from chervillead.jobs import model
from chervillead.jobs import placement
from chervillead.jobs import task_runs
from chervillead.jobs import worker_health
from chervillead.workers import interface

# A worker's clock may be this much slower than ours, so that a lease lasts
# longer here than on the worker.
MIN_CLOCK_RATE = 0.98
# An unhealthy answer keeps a worker out of placement for this time.
UNHEALTHY_BACKOFF_S = 1.0


class ClockReading(typing.NamedTuple):
    """A worker's clock as read at a time of ours."""

    clock_ms: int
    at_s: float


class WorkerView:
    """One worker: its registration, clock, lease and runs."""

    def __init__(
        self, registration: interface.Registration, *, discovered_s: float
    ) -> None:
        self.registration = registration
        self.discovered_s = discovered_s
        self.is_registered = True
        # Another process answers at its address, so it has surely ended.
        self.is_replaced = False
        self.incarnation: int | None = None
        self.runs: dict[task_runs.RunKey, task_runs.Run] = {}
        self.applied_end = 0
        self.acknowledged_end = 0
        self.avoid_until_s = 0.0
        # What its host is being emptied for; empty if it takes work.
        self.cordoned_for = ""
        self.last_contact_s: float | None = None
        self.health = worker_health.WorkerHealth()
        self._clock: ClockReading | None = None
        self._lease_until_clock_ms = 0

    @property
    def worker_id(self) -> str:
        """Id of the worker."""
        return self.registration.worker_id

    @property
    def has_answered(self) -> bool:
        """Whether it has answered this owner."""
        return self.incarnation is not None

    def record_clock(self, clock_ms: int, now_s: float) -> None:
        """Notes a reading of the worker's clock."""
        if self._clock is None or clock_ms >= self._clock.clock_ms:
            self._clock = ClockReading(clock_ms, now_s)

    def clock_at(self, now_s: float) -> int | None:
        """Returns an estimate of the worker's clock, or None if unknown."""
        if self._clock is None:
            return None
        return self._clock.clock_ms + int(1000 * (now_s - self._clock.at_s))

    def extend_lease(self, until_clock_ms: int) -> None:
        """Notes that a lease was offered, whether or not it arrived."""
        self._lease_until_clock_ms = max(
            self._lease_until_clock_ms, until_clock_ms
        )

    def lease_ends_s(self) -> float:
        """Returns our time at which everything on it has surely ended."""
        if self._clock is None:
            return float("inf")
        left_ms = max(0, self._lease_until_clock_ms - self._clock.clock_ms)
        return self._clock.at_s + left_ms / 1000 / MIN_CLOCK_RATE

    def begin_incarnation(self, incarnation: int) -> list[task_runs.Run]:
        """Starts anew with another life of the worker.

        Returns:
            The runs that ended with the former life.
        """
        lost = [
            run
            for run in self.runs.values()
            if run.phase is not task_runs.RunPhase.STARTING
        ]
        self.incarnation = incarnation
        self.applied_end = 0
        self.acknowledged_end = 0
        self._clock = None
        self._lease_until_clock_ms = 0
        return lost

    def reserved(self) -> model.Resources:
        """Returns what its runs take of its capacity."""
        total = model.Resources()
        for run in self.runs.values():
            total = total.plus(run.reserved)
        return total

    def as_site(
        self, step_of: "typing.Callable[[task_runs.Run], model.Step | None]"
    ) -> placement.WorkerSnapshot:
        """Returns the worker as placement sees it."""
        step_tasks: dict[tuple[str, int, int], int] = {}
        serving = filling = 0
        for run in self.runs.values():
            key = run.job_id, run.task.occurrence, run.task.step
            step_tasks[key] = step_tasks.get(key, 0) + 1
            step = step_of(run)
            if step is not None and step.latency_target_ms:
                serving += 1
            if step is not None and step.fills:
                filling += 1
        capacity = self.registration.capacity
        return placement.WorkerSnapshot(
            self.worker_id,
            self.registration.rack,
            self.registration.labels,
            capacity.minus(self.reserved()),
            capacity,
            step_tasks,
            serving,
            filling,
            self.health.penalty,
        )

    def may_start(self, zones_out: frozenset[str]) -> bool:
        """Returns whether a start that was decided may still be sent."""
        return (
            self.is_registered
            and self.has_answered
            and not self.is_replaced
            and not self.registration.is_draining
            and not self.cordoned_for
            and self.registration.zone not in zones_out
        )

    def takes_work(self, now_s: float, zones_out: frozenset[str]) -> bool:
        """Returns whether new tasks should go to it."""
        return (
            self.may_start(zones_out)
            and self.avoid_until_s <= now_s
            and self.health.is_schedulable(now_s, is_busy=bool(self.runs))
        )
