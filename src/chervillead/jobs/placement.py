"""Placement: feasible workers for a task, and the best of them.

Tasks are bin-packed on few workers, so that the hosts of the others can move to
another pool that has a burst. Latency-sensitive tasks are kept apart from
best-effort tasks, which slow them down. At most half of the tasks of a
long-running step should go to one worker, so that the others survive its crash.
"""

from collections import abc
import typing

from chervillead.jobs import model
from chervillead.jobs import task_runs


class WorkerSnapshot(typing.NamedTuple):
    """State of a worker at the time of a placement decision.

    Attributes:
        worker_id: Its id.
        rack: Its rack.
        labels: Its labels, including the rack.
        free: Capacity that is not reserved.
        capacity: Its total capacity.
        step_tasks: Number of its tasks by (job id, occurrence, step).
        latency_sensitive_images: Numbers of its tasks with a latency target,
            by image.
        best_effort_images: Numbers of its best-effort tasks, by image.
        penalty: 0 for a healthy worker; workers with a higher one are used
            last.
    """

    worker_id: str
    rack: str
    labels: frozenset[str]
    free: model.Resources
    capacity: model.Resources
    step_tasks: abc.Mapping[tuple[str, int, int], int]
    latency_sensitive_images: tuple[tuple[str, int], ...] = ()
    best_effort_images: tuple[tuple[str, int], ...] = ()
    penalty: float = 0.0


# Returns how much a task and its neighbors would interfere on a worker; 0 for
# not at all.
NeighborRise = abc.Callable[[WorkerSnapshot], float]


def is_suitable(worker: WorkerSnapshot, step: model.Step) -> bool:
    """Returns whether an idle worker could take a task of a step.

    Checks the required label and the total capacity.
    """
    if step.required_label and step.required_label not in worker.labels:
        return False
    return worker.capacity.covers(step.reserved)


def is_feasible(
    worker: WorkerSnapshot, step: model.Step, step_key: tuple[str, int, int]
) -> bool:
    """Returns whether a worker can take one more task of a step.

    Checks the required label, the free capacity and the limit per worker.
    """
    if not is_suitable(worker, step) or not worker.free.covers(step.reserved):
        return False
    return is_below_limit(worker, step, step_key)


def is_below_limit(
    worker: WorkerSnapshot, step: model.Step, step_key: tuple[str, int, int]
) -> bool:
    """Returns whether the step's limit per worker allows a further task."""
    on_worker = worker.step_tasks.get(step_key, 0)
    return not step.max_per_worker or on_worker < step.max_per_worker


def select_worker(
    workers: abc.Iterable[WorkerSnapshot],
    step: model.Step,
    step_key: tuple[str, int, int],
    *,
    preferred_rack: str = "",
    rise: NeighborRise | None = None,
) -> WorkerSnapshot | None:
    """Returns the best feasible worker for a task, or None if there is none.

    Args:
        workers: The schedulable workers of the pool.
        step: The step of the task.
        step_key: Job id, occurrence and step.
        preferred_rack: Rack of the other tasks of the step, for steps that are
            slower across racks; empty for no preference.
        rise: Expected interference with its neighbors; None for the number of
            neighbors that interfere.
    """
    rank = _ranking(step, step_key, preferred_rack, rise)
    allowed = (
        worker for worker in workers if is_feasible(worker, step, step_key)
    )
    return min(
        allowed,
        key=lambda worker: (worker.penalty, *rank(worker), free_share(worker)),
        default=None,
    )


def select_isolated_worker(
    workers: abc.Iterable[WorkerSnapshot],
    step: model.Step,
    step_key: tuple[str, int, int],
    *,
    accept_busy: bool,
) -> WorkerSnapshot | None:
    """Returns the worker for a task that may crash it and all runs there.

    Args:
        workers: The schedulable workers of the pool.
        step: The step of the task.
        step_key: Job id, occurrence and step.
        accept_busy: Whether the emptiest worker will do if none is idle.
    """
    feasible = [
        worker for worker in workers if is_feasible(worker, step, step_key)
    ]
    idle = [worker for worker in feasible if not worker.step_tasks]
    if idle or not accept_busy:
        return select_worker(idle, step, step_key)
    return max(feasible, key=free_share, default=None)


def select_least_suspected_worker(
    workers: abc.Iterable[WorkerSnapshot],
    step: model.Step,
    step_key: tuple[str, int, int],
    suspects_on: abc.Callable[[WorkerSnapshot], int],
) -> WorkerSnapshot | None:
    """Returns the worker for a task that may crash it, beside other tasks.

    Args:
        workers: The schedulable workers of the pool.
        step: The step of the task.
        step_key: Job id, occurrence and step.
        suspects_on: Returns how many other such tasks run on a worker.
    """
    feasible = (
        worker for worker in workers if is_feasible(worker, step, step_key)
    )
    return min(
        feasible,
        key=lambda worker: (suspects_on(worker), -free_share(worker)),
        default=None,
    )


def select_best_ranked(
    workers: abc.Iterable[WorkerSnapshot],
    step: model.Step,
    step_key: tuple[str, int, int],
    *,
    preferred_rack: str = "",
    rise: NeighborRise | None = None,
) -> WorkerSnapshot | None:
    """Returns what `select_worker` does, from workers in a known order.

    The search ends at the first worker that no later one can beat.

    Args:
        workers: Workers without a penalty, by increasing share of free CPU.
        step: The step of the task.
        step_key: Job id, occurrence and step.
        preferred_rack: As for `select_worker`.
        rise: As for `select_worker`.
    """
    rank = _ranking(step, step_key, preferred_rack, rise)
    best: WorkerSnapshot | None = None
    best_rank: tuple[float, ...] = (float("inf"),)
    for worker in workers:
        if not is_feasible(worker, step, step_key):
            continue
        worker_rank = rank(worker)
        if not any(worker_rank):
            return worker
        if worker_rank < best_rank:
            best, best_rank = worker, worker_rank
    return best


def free_share(worker: WorkerSnapshot) -> float:
    """Returns the share of a worker's CPU that is not reserved."""
    return worker.free.millicores / max(1, worker.capacity.millicores)


def count_neighbors(step: model.Step) -> NeighborRise:
    """Returns how many neighbors interfere, whatever their images are."""

    def count(worker: WorkerSnapshot) -> float:
        slowed = worker.latency_sensitive_images if step.fills else ()
        slowing = worker.best_effort_images if step.latency_target_ms else ()
        return sum(number for _, number in (*slowed, *slowing))

    return count


def _ranking(
    step: model.Step,
    step_key: tuple[str, int, int],
    preferred_rack: str,
    rise: NeighborRise | None,
) -> abc.Callable[[WorkerSnapshot], tuple[float, ...]]:
    """Returns the rank of workers for a step before their free share."""
    wanted_rack = step.data_rack or preferred_rack
    interference = rise or count_neighbors(step)

    def rank(worker: WorkerSnapshot) -> tuple[float, ...]:
        off_rack = bool(wanted_rack) and worker.rack != wanted_rack
        crowded = (
            step.long_running
            and 2 * worker.step_tasks.get(step_key, 0) >= step.tasks
        )
        return (off_rack, interference(worker), crowded)

    return rank


def select_gang_workers(
    workers: abc.Sequence[WorkerSnapshot],
    step: model.Step,
    step_key: tuple[str, int, int],
    count: int,
    rise: NeighborRise | None = None,
) -> list[str] | None:
    """Returns a worker id for each member of a gang, or None if not all fit.

    A gang that is slower across racks is placed in one rack if any rack has
    room for all its members.
    """
    racks = sorted({worker.rack for worker in workers})
    if step.same_rack:
        for rack in racks:
            in_rack = [worker for worker in workers if worker.rack == rack]
            chosen = _place_members(in_rack, step, step_key, count, rise)
            if chosen is not None:
                return chosen
    return _place_members(workers, step, step_key, count, rise)


def _place_members(
    workers: abc.Sequence[WorkerSnapshot],
    step: model.Step,
    step_key: tuple[str, int, int],
    count: int,
    rise: NeighborRise | None = None,
) -> list[str] | None:
    """Places identical tasks one by one, accounting for those before."""
    remaining = list(workers)
    chosen: list[str] = []
    for _ in range(count):
        worker = select_worker(remaining, step, step_key, rise=rise)
        if worker is None:
            return None
        chosen.append(worker.worker_id)
        tasks = dict(worker.step_tasks)
        tasks[step_key] = tasks.get(step_key, 0) + 1
        updated = worker._replace(
            free=worker.free.minus(step.reserved), step_tasks=tasks
        )
        remaining = [
            updated if other is worker else other for other in remaining
        ]
    return chosen


def select_preemption_victims(
    worker: WorkerSnapshot,
    step: model.Step,
    step_key: tuple[str, int, int],
    runs: abc.Collection[task_runs.Run],
    now_s: float,
) -> list[task_runs.Run] | None:
    """Returns the batch runs to stop to make room for a task.

    The runs that started last are stopped first, as they lose the least work,
    and no more than needed. Resources of runs that are already being stopped
    count as free.

    Returns:
        The runs, or None if the task wouldn't fit even without them.
    """
    if not is_suitable(worker, step):
        return None
    if not is_below_limit(worker, step, step_key):
        return None
    free = worker.free
    stopping = [run for run in runs if run.stop_requested]
    candidates = sorted(
        (run for run in runs if not run.stop_requested),
        key=lambda run: now_s - run.started_s,
    )
    for run in stopping:
        free = free.plus(run.reserved)
    chosen: list[task_runs.Run] = []
    for run in candidates:
        if free.covers(step.reserved):
            break
        free = free.plus(run.reserved)
        chosen.append(run)
    return chosen if free.covers(step.reserved) else None
