"""Moves best-effort tasks that can't work beside latency-sensitive ones.

A move is a stop within the usual rules. The task waits once its worker has
reported the end, and is placed like any other, so it never runs twice.
"""

from collections import abc
import itertools
import typing

from chervillead.jobs import crash_evidence
from chervillead.jobs import interference
from chervillead.jobs import model
from chervillead.jobs import placement
from chervillead.jobs import room_index
from chervillead.jobs import task_runs
from chervillead.pools import owner_state
from chervillead.pools import run_stopping

# A task that was stopped for less time may soon go on where it is.
MIN_STOPPED_S = 2.0
# Least time between two moves in a pool.
MOVE_INTERVAL_S = 1.0
CHECK_INTERVAL_S = 0.25
# Runs that one check looks at; the others have their turn in the next ones.
MAX_CHECKED_RUNS = 20
REASON = "it can't work beside latency-sensitive tasks"

# Returns the workers of a pool with room.
RoomIn = abc.Callable[[str], room_index.RoomIndex]


class _Stopped(typing.NamedTuple):
    """A run that is paced to 0, and since when."""

    run: task_runs.Run
    since_s: float


class _Move(typing.NamedTuple):
    """A better worker for a run, and the rises to expect on both."""

    worker_id: str
    rise: float
    rise_there: float


class InterferenceMoves:
    """Best-effort runs that are paced to 0, and the last moves."""

    def __init__(self, state: owner_state.OwnerState, room_in: RoomIn) -> None:
        self._state = state
        self._room_in = room_in
        self._stopped: dict[task_runs.RunKey, _Stopped] = {}
        self._moved_s: dict[str, float] = {}
        self._checked_s = float("-inf")

    def record_pace(self, run: task_runs.Run, percent: int) -> None:
        """Records that the pace of a best-effort run is set."""
        if percent:
            self._stopped.pop(run.key, None)
        else:
            stopped = _Stopped(run, self._state.now_s())
            self._stopped.setdefault(run.key, stopped)

    def check(self) -> None:
        """Stops runs that could work on other workers."""
        state, now_s = self._state, self._state.now_s()
        if not self._stopped or now_s - self._checked_s < CHECK_INTERVAL_S:
            return
        self._checked_s = now_s
        if not state.has_authority() or not state.may_start():
            return
        for key in list(itertools.islice(self._stopped, MAX_CHECKED_RUNS)):
            stopped = self._stopped.pop(key)
            watch = state.watches.get(stopped.run.worker_id)
            if watch is None or watch.view.runs.get(key) is not stopped.run:
                continue
            self._stopped[key] = stopped
            if now_s - stopped.since_s > MIN_STOPPED_S:
                self._consider(stopped.run)

    def _consider(self, run: task_runs.Run) -> None:
        """Stops a run if it may move and there is a better worker for it."""
        state = self._state
        step = state.step_of(run)
        if step is None or not self._is_movable(run, step):
            return
        pool = state.jobs[run.job_id].spec.pool
        last_s = self._moved_s.get(pool, float("-inf"))
        if state.now_s() - last_s < MOVE_INTERVAL_S:
            return
        move = self._find(run, step, pool)
        if move is None:
            return
        if step.long_running:
            run_stopping.stop_within_budget(state, run, REASON)
        else:
            run_stopping.stop_run(state, run, REASON)
        if not run.stop_requested:
            # The availability budget of its step is used up.
            return
        self._moved_s[pool] = state.now_s()
        state.ports.increment("chervillead_interference", "moved")
        state.log_run(
            "run:moving",
            run,
            to=move.worker_id,
            rise_percent=round(move.rise),
            rise_percent_there=round(move.rise_there),
        )

    def _is_movable(self, run: task_runs.Run, step: model.Step) -> bool:
        job = self._state.jobs[run.job_id]
        return (
            step.checkpointing
            and not step.gang
            and run.phase is task_runs.RunPhase.RUNNING
            and not run.stop_requested
            and not job.is_finished
            and job.runs.get(run.task) == [run]
            and self._state.in_contact(run.worker_id)
            # Workers for these are chosen by other rules.
            and self._state.terms_of(job).advice is None
            and not crash_evidence.needs_isolation(job, run.task)
        )

    def _find(
        self, run: task_runs.Run, step: model.Step, pool: str
    ) -> _Move | None:
        """Returns where placement would start the task now, if it is better."""
        job = self._state.jobs[run.job_id]
        address = self._state.terms_of(job).queue_address
        rise = self._state.interference.rise_beside(
            step, interference.image_of(step, address)
        )
        best: placement.WorkerSnapshot | None = self._room_in(pool).select(
            step,
            (run.job_id, run.task.occurrence, run.task.step),
            rise=rise,
        )
        if best is None or best.penalty:
            return None
        if best.worker_id in job.failed_workers.get(run.task, set()):
            return None
        here = self._state.watches[run.worker_id].view.as_snapshot()
        if rise(best) >= rise(here):
            return None
        return _Move(best.worker_id, rise(here), rise(best))
