"""Paces tasks that interfere, and reports what is learned about them."""

from collections import abc

from chervillead.pools import owner_state
from chervillead.workers import pacing
from chervillead.workers import watch as watch_module


class InterferenceTracking:
    """Feeds the statuses of workers to the owner's estimates."""

    def __init__(self, state: owner_state.OwnerState) -> None:
        self._state = state
        self._pacing = pacing.WorkerPacing(
            state.interference,
            state.step_of,
            state.image_of,
            lambda: state.ports.increment("chervillead_interference", "paced"),
        )

    def update(self, watches: abc.Iterable[watch_module.WorkerWatch]) -> None:
        """Applies what changed on some workers."""
        state = self._state
        self._pacing.pace_workers(watches, state.now_s())
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
