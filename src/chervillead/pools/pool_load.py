"""Measures the load of a pool, the input of autoscaling."""

from collections import abc

from chervillead.jobs import autoscaling
from chervillead.jobs import model
from chervillead.jobs import quotas
from chervillead.jobs import readiness
from chervillead.pools import owner_state
from chervillead.workers import watch as watch_module


def measure(
    state: owner_state.OwnerState, pool: str
) -> autoscaling.PoolLoad | None:
    """Returns the load of a pool, or None if it can't be measured.

    Without a host that takes tasks, the capacity of a host is unknown.
    """
    watches = watches_of(state, pool)
    zones_out = state.ports.zones_out()
    hosts = [w.view for w in watches if w.view.may_start(zones_out)]
    configuration = state.ports.configuration()
    if not hosts or configuration is None:
        return None
    total = _sum(view.registration.capacity for view in hosts)
    mean_capacity = model.Resources(*(amount // len(hosts) for amount in total))
    demand = list(
        _within_quotas(
            configuration,
            _usage_by_account(state, watches),
            _ready_tasks(state, pool),
        )
    )
    free = [view.registration.capacity.minus(view.reserved()) for view in hosts]
    return autoscaling.PoolLoad(
        hosts=len(hosts),
        host_capacity=mean_capacity,
        used=_sum(watch.view.reserved() for watch in watches),
        pending=_sum(task.step.reserved for task in demand),
        min_hosts=_min_hosts(demand),
        is_fragmented=any(
            mean_capacity.covers(need)
            and not any(resources.covers(need) for resources in free)
            for need in {task.step.reserved for task in demand}
        ),
    )


def watches_of(
    state: owner_state.OwnerState, pool: str
) -> list[watch_module.WorkerWatch]:
    """Returns the watched workers of a pool."""
    return [
        watch
        for watch in state.watches.values()
        if watch.view.registration.pool == pool
    ]


def _ready_tasks(
    state: owner_state.OwnerState, pool: str
) -> abc.Iterator[readiness.ReadyTask]:
    now_unix_ms = 1000 * state.ports.clock.wall()
    for job in state.jobs.values():
        may_be_pending = job.spec.pool == pool and any(
            job.pending_tasks.values()
        )
        if may_be_pending and not job.is_finished:
            yield from readiness.ready_tasks(job, state.now_s(), now_unix_ms)


def _usage_by_account(
    state: owner_state.OwnerState,
    watches: abc.Iterable[watch_module.WorkerWatch],
) -> dict[str, model.Resources]:
    """Returns the resources that each account uses on some workers."""
    usage: dict[str, model.Resources] = {}
    for watch in watches:
        for run in watch.view.runs.values():
            job = state.jobs.get(run.job_id)
            if job is not None:
                used_before = usage.get(job.spec.account, model.Resources())
                usage[job.spec.account] = used_before.plus(run.reserved)
    return usage


def _within_quotas(
    configuration: model.FleetConfiguration,
    usage: dict[str, model.Resources],
    ready: abc.Iterable[readiness.ReadyTask],
) -> abc.Iterator[readiness.ReadyTask]:
    """Yields the tasks that fit into the quotas along with all before them.

    More hosts would not help a task that exceeds the quota of its account.
    """
    for task in ready:
        account, need = task.job.spec.account, task.step.reserved
        if quotas.is_within_quota(configuration, account, usage, need):
            used_before = usage.get(account, model.Resources())
            usage[account] = used_before.plus(need)
            yield task


def _min_hosts(ready: abc.Iterable[readiness.ReadyTask]) -> int:
    """Returns the hosts needed by steps with a limit of tasks per worker."""
    return max(
        (
            -(-task.step.tasks // task.step.max_per_worker)
            for task in ready
            if task.step.max_per_worker
        ),
        default=0,
    )


def _sum(amounts: abc.Iterable[model.Resources]) -> model.Resources:
    total = model.Resources()
    for amount in amounts:
        total = total.plus(amount)
    return total
