"""What the jobs of a pool ask of its hosts, as its owner sees it."""

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
    """Returns the load of a pool, or None if it has no host to compare with."""
    watches = watches_of(state, pool)
    zones_out = state.ports.zones_out()
    hosts = [w.view for w in watches if w.view.may_start(zones_out)]
    configuration = state.ports.configuration()
    if not hosts or configuration is None:
        return None
    total = _sum(view.registration.capacity for view in hosts)
    mean = model.Resources(*(each // len(hosts) for each in total))
    waiting = list(
        _within_caps(
            configuration, _running(state, watches), _ready_tasks(state, pool)
        )
    )
    free = [view.registration.capacity.minus(view.reserved()) for view in hosts]
    return autoscaling.PoolLoad(
        hosts=len(hosts),
        host_capacity=mean,
        used=_sum(watch.view.reserved() for watch in watches),
        pending=_sum(task.step.reserved for task in waiting),
        min_hosts=_least_hosts(waiting),
        is_fragmented=any(
            mean.covers(need) and not any(each.covers(need) for each in free)
            for need in {task.step.reserved for task in waiting}
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
        may_wait = job.spec.pool == pool and any(job.pending_tasks.values())
        if may_wait and not job.is_finished:
            yield from readiness.ready_tasks(job, state.now_s(), now_unix_ms)


def _running(
    state: owner_state.OwnerState,
    watches: abc.Iterable[watch_module.WorkerWatch],
) -> dict[str, model.Resources]:
    """Returns what each account has running on some workers."""
    running: dict[str, model.Resources] = {}
    for watch in watches:
        for run in watch.view.runs.values():
            job = state.jobs.get(run.job_id)
            if job is not None:
                before = running.get(job.spec.account, model.Resources())
                running[job.spec.account] = before.plus(run.reserved)
    return running


def _within_caps(
    configuration: model.FleetConfiguration,
    running: dict[str, model.Resources],
    ready: abc.Iterable[readiness.ReadyTask],
) -> abc.Iterator[readiness.ReadyTask]:
    """Yields the tasks that may run beside all before them.

    A task that waits for its account's cap gains nothing from more hosts.
    """
    for task in ready:
        account, need = task.job.spec.account, task.step.reserved
        if quotas.is_within_quota(configuration, account, running, need):
            before = running.get(account, model.Resources())
            running[account] = before.plus(need)
            yield task


def _least_hosts(ready: abc.Iterable[readiness.ReadyTask]) -> int:
    """Returns the hosts that steps with a limit for one worker need."""
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
