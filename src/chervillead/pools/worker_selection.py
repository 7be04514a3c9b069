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
from chervillead.pools import isolation as isolation_module
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
        isolation: isolation_module.Isolation,
        now_s: float,
    ) -> None:
        self._state = state
        self._tickets = tickets
        self._workers = workers
        self._isolation = isolation
        self._now_s = now_s
        # Smallest amounts that found no room, by pool and required label.
        self._unplaceable: dict[tuple[str, str], list[model.Resources]] = {}

    def _index(self, ready: readiness.ReadyTask) -> room_index.RoomIndex:
        return self._workers.in_pool(ready.job.spec.pool)

    def select(self, group: list[readiness.ReadyTask]) -> list[str] | Verdict:
        """Returns a worker for each task of a group."""
        first = group[0]
        if crash_evidence.needs_isolation(first.job, first.task):
            return self._select_suspected(first)
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

    def _select_suspected(
        self, ready: readiness.ReadyTask
    ) -> list[str] | Verdict:
        """Returns a worker for a task that may crash it."""
        waited_s = crash_evidence.waiting_s(ready.job, ready.task, self._now_s)
        choices = (
            self._choices_to_keep(ready, waited_s)
            if self._isolation.may_keep(ready)
            else self._choices_beside_others(ready, waited_s)
        )
        best = next(filter(None, choices), None)
        if best is not None:
            return [best.worker_id]
        may_wait = waited_s < crash_evidence.MAX_SUSPECT_WAIT_S
        return Verdict.NO_IDLE_WORKER if may_wait else Verdict.NO_ROOM_FOR_TASK

    def _choices_to_keep(
        self, ready: readiness.ReadyTask, waited_s: float
    ) -> abc.Iterator[placement.WorkerSnapshot | None]:
        """Yields the choices of a worker to be kept for a task, best first.

        A long-running task, which isn't given up, rather runs where a worker
        has crashed under it than beside others.
        """
        candidates, others = self._candidates_of_suspect(ready)
        yield self._isolated(ready, others, accept_busy=False)
        if ready.step.long_running:
            yield self._isolated(ready, candidates, accept_busy=False)
        if waited_s >= crash_evidence.MAX_ISOLATION_WAIT_S:
            yield self._isolated(ready, others, accept_busy=True)
            yield self._isolated(ready, candidates, accept_busy=True)

    def _choices_beside_others(
        self, ready: readiness.ReadyTask, waited_s: float
    ) -> abc.Iterator[placement.WorkerSnapshot | None]:
        """Yields the choices of a worker that a task shares, best first.

        One on which no other suspect has just started tells at once which of
        them crashes it.
        """
        candidates, others = self._candidates_of_suspect(ready)
        for workers in (others, candidates):
            quiet = [w for w in workers if not self._has_new_suspect(w)]
            yield self._apart_from_suspects(ready, quiet)
        if waited_s >= crash_evidence.MAX_SUSPECT_WAIT_S:
            yield self._apart_from_suspects(ready, candidates)

    def _candidates_of_suspect(
        self, ready: readiness.ReadyTask
    ) -> tuple[list[placement.WorkerSnapshot], list[placement.WorkerSnapshot]]:
        """Returns the candidates, and those that didn't crash under the task.

        One that crashed under the task before may crash for another reason, so
        it tells little about the task and is the last choice.
        """
        candidates = self.candidates(ready)
        crashed = ready.job.crash_addresses.get(ready.task, set())
        others = [
            snapshot
            for snapshot in candidates
            if self._address_of(snapshot.worker_id) not in crashed
        ]
        return candidates, others

    def _has_new_suspect(self, worker: placement.WorkerSnapshot) -> bool:
        view = self._state.watches[worker.worker_id].view
        age_s = self._now_s - view.last_suspect_s
        return age_s < crash_evidence.MAX_CRASH_DELAY_S

    def _isolated(
        self,
        ready: readiness.ReadyTask,
        workers: list[placement.WorkerSnapshot],
        *,
        accept_busy: bool,
    ) -> placement.WorkerSnapshot | None:
        return placement.select_isolated_worker(
            workers, ready.step, step_key(ready), accept_busy=accept_busy
        )

    def _apart_from_suspects(
        self,
        ready: readiness.ReadyTask,
        workers: list[placement.WorkerSnapshot],
    ) -> placement.WorkerSnapshot | None:
        """Returns the worker with the fewest suspected tasks, if any."""
        watches = self._state.watches
        return placement.select_least_suspected_worker(
            workers,
            ready.step,
            step_key(ready),
            lambda worker: watches[worker.worker_id].view.suspected_runs,
        )

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
