"""Paces tasks that interfere, and reports what is learned about them."""

from collections import abc

from chervillead.jobs import task_runs
from chervillead.pools import interference_moves
from chervillead.pools import owner_state
from chervillead.workers import pacing
from chervillead.workers import watch as watch_module


class InterferenceTracking:
    """Feeds the statuses of workers to the owner's estimates."""

    def __init__(
        self,
        state: owner_state.OwnerState,
        room_in: interference_moves.RoomIn,
    ) -> None:
        self._state = state
        self._moves = interference_moves.InterferenceMoves(state, room_in)
        self._pacing = pacing.WorkerPacing(
            state.interference,
            state.step_of,
            state.image_of,
            self._record_pace,
        )

    def update(self, watches: abc.Iterable[watch_module.WorkerWatch]) -> None:
        """Applies what changed on some workers."""
        state = self._state
        self._pacing.pace_workers(watches, state.now_s())
        self._moves.check()
        change = state.interference.refresh(state.now_s())
        if change is None:
            return
        state.log(
            "interference:learned",
            interfering=change.interfering,
            affected=change.affected,
            is_confident=change.is_confident,
            rise=round(change.estimate.rise, 3),
            deviation=round(change.estimate.deviation, 3),
            samples=round(change.estimate.samples, 1),
            known_pairs=state.interference.known_pairs,
        )

    def _record_pace(self, run: task_runs.Run, percent: int) -> None:
        self._moves.record_pace(run, percent)
        if percent < run.pace_percent:
            self._state.ports.increment("chervillead_interference", "paced")
