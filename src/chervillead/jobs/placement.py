"""Where a task may run, and which of these places is best.

Answers the pattern of bursts in turn: tasks are packed on few workers, so that
the hosts of the others can serve another pool. Serving tasks keep away from
those that fill, which slow them down, and half of a lasting step at most goes
to one worker, so that a crash leaves the other half.
"""

from collections import abc
import typing

from chervillead.jobs import model
from chervillead.jobs import task_runs


class WorkerSnapshot(typing.NamedTuple):
    """A worker as placement sees it.

    Attributes:
        worker_id: Its id.
        rack: Its rack.
        labels: Its labels, the rack among them.
        free: What is not reserved.
        capacity: What it has.
        step_tasks: Tasks of each (job, occurrence, step) on it.
        latency_sensitive_tasks: Long-running tasks with a latency target on it.
        best_effort_tasks: Tasks that fill on it.
        penalty: 0 for a worker that ends its tasks well, up to 1.
    """

    worker_id: str
    rack: str
    labels: frozenset[str]
    free: model.Resources
    capacity: model.Resources
    step_tasks: abc.Mapping[tuple[str, int, int], int]
    latency_sensitive_tasks: int = 0
    best_effort_tasks: int = 0
    penalty: float = 0.0


def is_feasible(
    worker: WorkerSnapshot, step: model.Step, step_key: tuple[str, int, int]
) -> bool:
    """Returns whether a worker may run one more task of a step now."""
    if step.required_label and step.required_label not in worker.labels:
        return False
    if not worker.free.covers(step.reserved):
        return False
    on_site = worker.step_tasks.get(step_key, 0)
    return not step.max_per_worker or on_site < step.max_per_worker


def select_worker(
    workers: abc.Iterable[WorkerSnapshot],
    step: model.Step,
    step_key: tuple[str, int, int],
    *,
    preferred_rack: str = "",
) -> WorkerSnapshot | None:
    """Returns the best worker for a task, or None if none may run it.

    Args:
        workers: The workers of the pool that take work.
        step: The step of the task.
        step_key: Job, occurrence and step.
        preferred_rack: Rack where the other tasks of the step run, for steps
            that are slower across racks.
    """
    wanted_rack = step.data_rack or preferred_rack
    allowed = (
        worker for worker in workers if is_feasible(worker, step, step_key)
    )

    def rank(worker: WorkerSnapshot) -> tuple[float, ...]:
        far = bool(wanted_rack) and worker.rack != wanted_rack
        interfered = worker.latency_sensitive_tasks if step.fills else 0
        interfering = worker.best_effort_tasks if step.latency_target_ms else 0
        crowded = (
            step.long_running
            and 2 * worker.step_tasks.get(step_key, 0) >= step.tasks
        )
        room = worker.free.millicores / max(1, worker.capacity.millicores)
        return (worker.penalty, far, interfered + interfering, crowded, room)

    return min(allowed, key=rank, default=None)


def select_gang_workers(
    workers: abc.Sequence[WorkerSnapshot],
    step: model.Step,
    step_key: tuple[str, int, int],
    count: int,
) -> list[str] | None:
    """Returns a worker for each member of a gang, or None if not all fit.

    A gang that is slower across racks goes to one rack if any has room for all
    of it.
    """
    racks = sorted({worker.rack for worker in workers})
    if step.same_rack:
        for rack in racks:
            inside = [worker for worker in workers if worker.rack == rack]
            chosen = _fill(inside, step, step_key, count)
            if chosen is not None:
                return chosen
    return _fill(workers, step, step_key, count)


def _fill(
    workers: abc.Sequence[WorkerSnapshot],
    step: model.Step,
    step_key: tuple[str, int, int],
    count: int,
) -> list[str] | None:
    """Places equal tasks one after the other on copies of the sites."""
    left = list(workers)
    chosen: list[str] = []
    for _ in range(count):
        worker = select_worker(left, step, step_key)
        if worker is None:
            return None
        chosen.append(worker.worker_id)
        tasks = dict(worker.step_tasks)
        tasks[step_key] = tasks.get(step_key, 0) + 1
        taken = worker._replace(
            free=worker.free.minus(step.reserved), step_tasks=tasks
        )
        left = [taken if other is worker else other for other in left]
    return chosen


def select_preemption_victims(
    worker: WorkerSnapshot,
    step: model.Step,
    runs: abc.Collection[task_runs.Run],
    now_s: float,
) -> list[task_runs.Run] | None:
    """Returns the fewest batch runs whose room a task needs, or None.

    Runs that began last go first, as they lose the least work. What is being
    stopped already counts as room that comes.
    """
    if not worker.capacity.covers(step.reserved):
        return None
    free = worker.free
    stopping = [run for run in runs if run.stop_requested]
    others = sorted(
        (run for run in runs if not run.stop_requested),
        key=lambda run: now_s - run.started_s,
    )
    for run in stopping:
        free = free.plus(run.reserved)
    chosen: list[task_runs.Run] = []
    for run in others:
        if free.covers(step.reserved):
            break
        free = free.plus(run.reserved)
        chosen.append(run)
    return chosen if free.covers(step.reserved) else None
