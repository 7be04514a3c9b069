"""Which workers to ask the advisory service about next.

The policy of a step doesn't change, so each worker is asked about once. Its
ticket expires, and is renewed only when the worker is about to be used.
"""

from collections import abc
import itertools
import typing

from chervillead.jobs import model
from chervillead.jobs import placement

# Each worker in a call makes the response take longer.
MAX_WORKERS_PER_CALL = 30
# Tickets that are renewed on full workers, so that a long-running task may
# preempt others there.
PREEMPTION_CHOICES = 5


class WorkerOption(typing.NamedTuple):
    """What is known of a worker that could run tasks of a step.

    Attributes:
        worker_id: Its id.
        rack: Its rack.
        slots: How many tasks of the step it has room for.
        is_known: Whether the service has answered for it.
        is_allowed: Whether it may run the step, as far as is known.
        has_ticket: Whether there is a valid ticket for it.
    """

    worker_id: str
    rack: str
    slots: int
    is_known: bool = False
    is_allowed: bool = False
    has_ticket: bool = False


def count_slots(
    worker: placement.WorkerSnapshot,
    step: model.Step,
    step_key: tuple[str, int, int],
) -> int:
    """Returns how many more tasks of a step a worker has room for."""
    slots = min(
        (
            free // need
            for free, need in zip(worker.free, step.reserved, strict=True)
            if need
        ),
        default=step.tasks,
    )
    if step.max_per_worker:
        left = step.max_per_worker - worker.step_tasks.get(step_key, 0)
        slots = min(slots, left)
    return max(0, min(slots, step.tasks))


def select_workers(
    options: abc.Sequence[WorkerOption], tasks: int, *, may_preempt: bool
) -> list[str]:
    """Returns the workers to ask about in the next call.

    Args:
        options: The workers that could run a task of the step, busy or not.
        tasks: Number of tasks that wait.
        may_preempt: Whether they may take the place of others.

    Returns:
        Ids of workers; none if enough of them may be used now, or if nothing
        can be gained before a worker has room.
    """
    missing = tasks - sum(o.slots for o in options if o.has_ticket)
    if missing <= 0:
        return []
    # Workers of one rack go together, for steps that are slower across racks.
    by_rack = sorted(options, key=lambda option: option.rack)
    renewed = list(_enough(_renewable(by_rack), missing))
    missing -= sum(option.slots for option in renewed)
    asked = renewed
    if missing > 0:
        asked = [*renewed, *_unknown(by_rack)]
    if not asked and may_preempt:
        asked = [o for o in by_rack if o.is_allowed and not o.has_ticket]
        asked = asked[:PREEMPTION_CHOICES]
    return [option.worker_id for option in asked[:MAX_WORKERS_PER_CALL]]


def _renewable(
    options: abc.Iterable[WorkerOption],
) -> abc.Iterator[WorkerOption]:
    return (o for o in options if o.is_allowed and not o.has_ticket and o.slots)


def _enough(
    options: abc.Iterable[WorkerOption], tasks: int
) -> abc.Iterator[WorkerOption]:
    """Yields workers until they have room for some tasks."""
    for option in options:
        if tasks <= 0:
            return
        tasks -= option.slots
        yield option


def _unknown(options: abc.Sequence[WorkerOption]) -> list[WorkerOption]:
    """Returns the workers that were never asked about, if that helps now.

    Full ones are asked about only while no allowed worker is known at all.
    """
    unknown = [option for option in options if not option.is_known]
    with_room = [option for option in unknown if option.slots]
    if with_room or any(option.is_allowed for option in options):
        return with_room
    return list(itertools.islice(unknown, MAX_WORKERS_PER_CALL))
