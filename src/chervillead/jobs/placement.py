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


class Site(typing.NamedTuple):
    """A worker as placement sees it.

    Attributes:
        worker_id: Its id.
        rack: Its rack.
        labels: Its labels, the rack among them.
        free: What is not reserved.
        capacity: What it has.
        step_tasks: Tasks of each (job, occurrence, step) on it.
        serving: Long-running tasks with a latency target on it.
        filling: Tasks that fill on it.
        risk: 0 for a worker that ends its tasks well, up to 1.
    """

    worker_id: str
    rack: str
    labels: frozenset[str]
    free: model.Resources
    capacity: model.Resources
    step_tasks: abc.Mapping[tuple[str, int, int], int]
    serving: int = 0
    filling: int = 0
    risk: float = 0.0


def may_run(
    site: Site, step: model.Step, step_key: tuple[str, int, int]
) -> bool:
    """Returns whether a worker may run one more task of a step now."""
    if step.required_label and step.required_label not in site.labels:
        return False
    if not site.free.covers(step.reserved):
        return False
    on_site = site.step_tasks.get(step_key, 0)
    return not step.max_per_worker or on_site < step.max_per_worker


def best_site(
    sites: abc.Iterable[Site],
    step: model.Step,
    step_key: tuple[str, int, int],
    *,
    preferred_rack: str = "",
) -> Site | None:
    """Returns the best worker for a task, or None if none may run it.

    Args:
        sites: The workers of the pool that take work.
        step: The step of the task.
        step_key: Job, occurrence and step.
        preferred_rack: Rack where the other tasks of the step run, for steps
            that are slower across racks.
    """
    wanted_rack = step.data_rack or preferred_rack
    allowed = (site for site in sites if may_run(site, step, step_key))

    def rank(site: Site) -> tuple[float, ...]:
        far = bool(wanted_rack) and site.rack != wanted_rack
        disturbed = site.serving if step.fills else 0
        disturbing = site.filling if step.latency_target_ms else 0
        crowded = (
            step.long_running
            and 2 * site.step_tasks.get(step_key, 0) >= step.tasks
        )
        room = site.free.millicores / max(1, site.capacity.millicores)
        return (site.risk, far, disturbed + disturbing, crowded, room)

    return min(allowed, key=rank, default=None)


def gang_sites(
    sites: abc.Sequence[Site],
    step: model.Step,
    step_key: tuple[str, int, int],
    count: int,
) -> list[str] | None:
    """Returns a worker for each member of a gang, or None if not all fit.

    A gang that is slower across racks goes to one rack if any has room for all
    of it.
    """
    racks = sorted({site.rack for site in sites})
    if step.same_rack:
        for rack in racks:
            inside = [site for site in sites if site.rack == rack]
            chosen = _fill(inside, step, step_key, count)
            if chosen is not None:
                return chosen
    return _fill(sites, step, step_key, count)


def _fill(
    sites: abc.Sequence[Site],
    step: model.Step,
    step_key: tuple[str, int, int],
    count: int,
) -> list[str] | None:
    """Places equal tasks one after the other on copies of the sites."""
    left = list(sites)
    chosen: list[str] = []
    for _ in range(count):
        site = best_site(left, step, step_key)
        if site is None:
            return None
        chosen.append(site.worker_id)
        tasks = dict(site.step_tasks)
        tasks[step_key] = tasks.get(step_key, 0) + 1
        taken = site._replace(
            free=site.free.minus(step.reserved), step_tasks=tasks
        )
        left = [taken if other is site else other for other in left]
    return chosen


def victims(
    site: Site,
    step: model.Step,
    runs: abc.Collection[task_runs.Run],
    now_s: float,
) -> list[task_runs.Run] | None:
    """Returns the fewest batch runs whose room a task needs, or None.

    Runs that began last go first, as they lose the least work. What is being
    stopped already counts as room that comes.
    """
    if not site.capacity.covers(step.reserved):
        return None
    free = site.free
    stopping = [run for run in runs if run.stop_wanted]
    others = sorted(
        (run for run in runs if not run.stop_wanted),
        key=lambda run: now_s - run.begun_s,
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
