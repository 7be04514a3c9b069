"""Starts nothing on a new worker before the ownership has been renewed.

If another host owns the partition by now, the worker hasn't seen that owner's
fencing token, so it would carry out commands of both.
"""

from chervillead.pools import owner_state
from chervillead.workers import view as view_module


def await_renewal(
    state: owner_state.OwnerState, view: view_module.WorkerView
) -> None:
    """Starts nothing on a worker's process until the ownership is renewed."""
    view.awaited_renewal = state.ownership.request_renewal()
    state.awaiting_renewal.add(view.worker_id)


def apply_renewal(state: owner_state.OwnerState, number: int) -> None:
    """Applies a confirmed renewal of the ownership, by its number."""
    for worker_id in list(state.awaiting_renewal):
        watch = state.watches.get(worker_id)
        awaited = watch.view.awaited_renewal if watch is not None else None
        if awaited is not None and awaited > number:
            continue
        state.awaiting_renewal.discard(worker_id)
        if watch is not None:
            watch.view.awaited_renewal = None
            state.changed_workers.add(worker_id)
            state.wake()
