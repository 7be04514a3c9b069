"""Where a task may run, and which of these places is best.

Answers the pattern of bursts that ask more than a pool holds: tasks are packed
by all their resources, and serving tasks are spread, since those that fill or
serve beside them slow them down.
"""

from collections import abc
import typing

from chervillead.jobs import model


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
        used = 1 - site.free.millicores / max(1, site.capacity.millicores)
        return (site.risk, far, disturbed + disturbing, used)

    return min(allowed, key=rank, default=None)
