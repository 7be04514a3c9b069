"""Selects the workers on which the tasks of a placement pass start.

Room only shrinks during a pass. So once a task finds none, the selection
refuses those that need as much or more without trying them on every worker.
"""

from collections import abc
import enum

from chervillead import types
from chervillead.jobs import crash_evidence
from chervillead.jobs import interference
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import placement
from chervillead.jobs import readiness
from chervillead.jobs import room_index
from chervillead.pools import owner_state
from chervillead.pools import schedulable_workers

Tickets = abc.Callable[
    [job_state.JobState, model.TaskKey], abc.Mapping[str, str] | None
]


class Verdict(enum.Enum):
    """What a pass found for a task or a gang."""

    STARTED = "started"
    OVER_QUOTA = "over-quota"
    # No room for any task of the step.
    NO_ROOM = "no-room"
    # No room on the workers that this task may use.
    NO_ROOM_FOR_TASK = "no-room-for-task"
    # No worker without tasks yet, for a task that may crash its worker.
    NO_IDLE_WORKER = "no-idle-worker"


class WorkerSelection:
    """Finds workers with room during one placement pass."""

    def __init__(
        self,
        state: owner_state.OwnerState,
        tickets: Tickets,
        workers: schedulable_workers.SchedulableWorkers,
        now_s: float,
    ) -> None:
        self._state = state
        self._tickets = tickets
        self._workers = workers
        self._now_s = now_s
        # Smallest amounts that found no room, by pool and required label.
        self._unplaceable: dict[tuple[str, str], list[model.Resources]] = {}

    def _index(self, ready: readiness.ReadyTask) -> room_index.RoomIndex:
        return self._workers.in_pool(ready.job.spec.pool)

    def select(self, group: list[readiness.ReadyTask]) -> list[str] | Verdict:
        """Returns a worker for each task of a group."""
        first = group[0]
        if crash_evidence.needs_isolation(first.job, first.task):
            return self._select_isolated(first)
        if len(group) == 1:
            return self._select_worker(first)
        # Asks for tickets even if there is no room yet.
        candidates = self.candidates(first)
        if self._is_unplaceable(first):
            return Verdict.NO_ROOM
        chosen = placement.select_gang_workers(
            candidates,
            first.step,
            step_key(first),
            len(group),
            self._rise(first),
        )
        return Verdict.NO_ROOM if chosen is None else chosen

    def _select_worker(self, ready: readiness.ReadyTask) -> list[str] | Verdict:
        tickets = self._tickets(ready.job, ready.task)
        if self._is_unplaceable(ready):
            return Verdict.NO_ROOM
        rack = _current_rack(self._state, ready)
        rise = self._rise(ready)
        best = self._index(ready).select(
            ready.step, step_key(ready), preferred_rack=rack, rise=rise
        )
        if best is None:
            self._record_unplaceable(ready)
            return Verdict.NO_ROOM
        excluded = _occupied_workers(ready) | ready.job.failed_workers.get(
            ready.task, set()
        )
        if tickets is not None or best.worker_id in excluded:
            best = placement.select_worker(
                self.candidates(ready),
                ready.step,
                step_key(ready),
                preferred_rack=rack,
                rise=rise,
            )
        if best is None:
            return Verdict.NO_ROOM_FOR_TASK
        if rise is not None and tickets is None:
            self._count_if_apart(ready, best, rise, rack)
        return [best.worker_id]

    def _rise(
        self, ready: readiness.ReadyTask
    ) -> placement.NeighborRise | None:
        """Returns the interference to expect; None for a task without any."""
        step = ready.step
        if not step.fills and not step.latency_target_ms:
            return None
        address = self._state.terms_of(ready.job).queue_address
        return self._state.interference.rise_beside(
            step, interference.image_of(step, address)
        )

    def _count_if_apart(
        self,
        ready: readiness.ReadyTask,
        chosen: placement.WorkerSnapshot,
        rise: placement.NeighborRise,
        rack: str,
    ) -> None:
        """Counts a task for which packing alone would choose a worse worker."""
        packed = self._index(ready).select(
            ready.step,
            step_key(ready),
            preferred_rack=rack,
            rise=lambda worker: 0,
        )
        if packed is not None and rise(packed) > rise(chosen):
            self._state.ports.increment(
                "chervillead_interference", "placed-apart"
            )

    def _select_isolated(
        self, ready: readiness.ReadyTask
    ) -> list[str] | Verdict:
        """Returns a worker for a task that may crash it.

        One that crashed under the task before may crash for another reason, so
        it tells little about the task and is the last choice; a long-running
        task, which isn't given up, rather runs there than beside others.
        """
        may_wait = crash_evidence.may_wait_for_idle_worker(
            ready.job, ready.task, self._now_s
        )
        candidates = self.candidates(ready)
        crashed = ready.job.crash_addresses.get(ready.task, set())
        others = [
            snapshot
            for snapshot in candidates
            if self._address_of(snapshot.worker_id) not in crashed
        ]
        choices = [(others, False)]
        if ready.step.long_running:
            choices.append((candidates, False))
        if not may_wait:
            choices += [(others, True), (candidates, True)]
        for workers, accept_busy in choices:
            best = placement.select_isolated_worker(
                workers,
                ready.step,
                step_key(ready),
                accept_busy=accept_busy,
            )
            if best is not None:
                return [best.worker_id]
        return Verdict.NO_IDLE_WORKER if may_wait else Verdict.NO_ROOM_FOR_TASK

    def _address_of(self, worker_id: str) -> types.Address:
        return self._state.watches[worker_id].view.registration.address

    def _is_unplaceable(self, ready: readiness.ReadyTask) -> bool:
        """Returns whether a task that needs no more has found no room."""
        key = ready.job.spec.pool, ready.step.required_label
        need = ready.step.reserved
        return any(need.covers(n) for n in self._unplaceable.get(key, ()))

    def _record_unplaceable(self, ready: readiness.ReadyTask) -> None:
        """Records that a task found no room on any worker of its pool."""
        if ready.step.max_per_worker:
            # Tasks of other steps may still fit.
            return
        key = ready.job.spec.pool, ready.step.required_label
        need = ready.step.reserved
        known = self._unplaceable.get(key, ())
        self._unplaceable[key] = [
            need,
            *(other for other in known if not other.covers(need)),
        ]

    def candidates(
        self, ready: readiness.ReadyTask
    ) -> list[placement.WorkerSnapshot]:
        """Returns the workers that could take a task once they have room.

        Workers on which the task has failed are left out while there are
        others.
        """
        occupied = _occupied_workers(ready)
        tickets = self._tickets(ready.job, ready.task)
        eligible = [
            snapshot
            for snapshot in self._index(ready).workers
            if snapshot.worker_id not in occupied
            and (tickets is None or snapshot.worker_id in tickets)
            and placement.is_suitable(snapshot, ready.step)
        ]
        avoided = ready.job.failed_workers.get(ready.task, set())
        others = [
            snapshot
            for snapshot in eligible
            if snapshot.worker_id not in avoided
        ]
        return others or eligible


def step_key(ready: readiness.ReadyTask) -> tuple[str, int, int]:
    """Returns the job id, occurrence and step of a task."""
    return ready.job.spec.job_id, ready.task.occurrence, ready.task.step


def _occupied_workers(ready: readiness.ReadyTask) -> set[str]:
    """Returns the workers on which runs of a task are active."""
    return {run.worker_id for run in ready.job.runs.get(ready.task, ())}


def _current_rack(
    state: owner_state.OwnerState, ready: readiness.ReadyTask
) -> str:
    """Returns the rack in which a rack-sensitive step runs, if any."""
    if not ready.step.same_rack:
        return ""
    for run in ready.job.active_runs():
        is_same_step = run.task.step == ready.task.step
        watch = state.watches.get(run.worker_id)
        if is_same_step and watch is not None:
            return watch.view.registration.rack
    return ""
