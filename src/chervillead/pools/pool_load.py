"""Measures the load of a pool, the input of autoscaling."""

import bisect
from collections import abc
import functools
import itertools

from chervillead.jobs import autoscaling
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import ordering
from chervillead.jobs import quotas
from chervillead.jobs import readiness
from chervillead.pools import owner_state
from chervillead.pools import pool_work
from chervillead.workers import watch as watch_module


def measure(
    state: owner_state.OwnerState,
    pool: str,
    arrivals_s: abc.Sequence[float] = (),
) -> autoscaling.PoolLoad | None:
    """Returns the load of a pool, or None before the first configuration.

    Without a host that takes tasks, the capacity of a host is unknown and
    given as none.

    Args:
        state: State of the pool's owner.
        pool: Name of the pool.
        arrivals_s: When each host that is on its way should start tasks.
    """
    watches = watches_of(state, pool)
    zones_out = state.ports.zones_out()
    hosts = [w.view for w in watches if w.view.may_start(zones_out)]
    configuration = state.ports.configuration()
    if configuration is None:
        return None
    total = _sum(view.registration.capacity for view in hosts)
    mean_capacity = model.Resources(
        *(amount // max(1, len(hosts)) for amount in total)
    )
    waiting = [
        job
        for job in state.jobs.unfinished()
        if job.spec.pool == pool and job.has_pending
    ]
    demand = list(
        _within_quotas(state, configuration, _ready_steps(state, waiting))
    )
    offered = pool_work.measure(
        state, pool, watches, waiting, demand, arrivals_s
    )
    free = [view.registration.capacity.minus(view.reserved()) for view in hosts]
    return autoscaling.PoolLoad(
        hosts=len(hosts),
        host_capacity=mean_capacity,
        used=_sum(watch.view.reserved() for watch in watches),
        pending=_sum(
            ready.step.reserved.times(len(ready.tasks)) for ready in demand
        ),
        urgent=(
            _urgent(state, configuration, watches, demand)
            if offered is None
            else model.Resources()
        ),
        min_hosts=_min_hosts(demand),
        is_fragmented=any(
            mean_capacity.covers(need)
            and not any(resources.covers(need) for resources in free)
            for need in {ready.step.reserved for ready in demand}
        ),
        offered=offered,
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


def _ready_steps(
    state: owner_state.OwnerState, jobs: abc.Iterable[job_state.JobState]
) -> abc.Iterator[readiness.ReadyStep]:
    now_s, now_unix_ms = state.now_s(), 1000 * state.ports.clock.wall()
    for job in jobs:
        yield from readiness.ready_steps(job, now_s, now_unix_ms)


def _urgent(
    state: owner_state.OwnerState,
    configuration: model.FleetConfiguration,
    watches: abc.Iterable[watch_module.WorkerWatch],
    ready: abc.Iterable[readiness.ReadyStep],
) -> model.Resources:
    """Returns the resources of tasks that still serve a completion target."""
    now_s = state.now_s()

    @functools.cache
    def is_on_time(job_id: str, is_running: bool) -> bool:
        job = state.jobs.get(job_id)
        return job is not None and ordering.may_meet_target(
            job,
            state.terms_of(job),
            now_s,
            is_running=is_running,
        )

    running = (
        run.reserved
        for watch in watches
        for run in watch.view.runs.values()
        if is_on_time(run.job_id, True)
    )
    waiting = (
        step.step.reserved.times(len(step.tasks))
        for step in ready
        if is_on_time(step.job.spec.job_id, False)
    )
    return _sum(itertools.chain(running, waiting))


def _within_quotas(
    state: owner_state.OwnerState,
    configuration: model.FleetConfiguration,
    ready: abc.Iterable[readiness.ReadyStep],
) -> abc.Iterator[readiness.ReadyStep]:
    """Yields the tasks that fit into the quotas along with all before them.

    More hosts would not help a task that exceeds the share of its account which
    the partition holds, or could be granted.
    """
    usage = dict(state.usage_by_account)
    for step in ready:
        account, need = step.job.spec.account, step.step.reserved
        quota = quotas.quota_of(configuration, account)
        if quota is None:
            yield step
            continue
        used = usage.get(account, model.Resources())
        share = max(state.shares.held(account), state.shares.target(account))
        count = _count_allowed(quota, share, used, need, len(step.tasks))
        if count:
            usage[account] = used.plus(need.times(count))
            yield step._replace(tasks=step.tasks.first(count))


def _count_allowed(
    quota: model.Resources,
    share: int,
    used: model.Resources,
    need: model.Resources,
    tasks: int,
) -> int:
    """Returns how many of some equal tasks a share of a quota allows."""
    return bisect.bisect_left(
        range(1, tasks + 1),
        True,
        key=lambda count: (
            not quotas.allows(quota, share, used, need.times(count), count)
        ),
    )


def _min_hosts(demand: abc.Iterable[readiness.ReadyStep]) -> int:
    """Returns the hosts needed by steps with a limit of tasks per worker."""
    return max(
        (
            -(-ready.step.tasks // ready.step.max_per_worker)
            for ready in demand
            if ready.step.max_per_worker
        ),
        default=0,
    )


def _sum(amounts: abc.Iterable[model.Resources]) -> model.Resources:
    total = model.Resources()
    for amount in amounts:
        total = total.plus(amount)
    return total
