"""Measures the offered load of a pool and the work of its unfinished jobs."""

from collections import abc

from chervillead.jobs import expected_work
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import ordering
from chervillead.jobs import quotas
from chervillead.jobs import readiness
from chervillead.jobs import required_capacity
from chervillead.pools import owner_state
from chervillead.workers import watch as watch_module


def record_offered(
    state: owner_state.OwnerState, job: job_state.JobState
) -> None:
    """Counts an accepted job in the offered load of its pool.

    Jobs with a schedule or with long-running tasks don't come as a rate.
    """
    spec = job.spec
    if not state.ports.sizes_by_offered_load:
        return
    if spec.schedule.repeats or ordering.is_long_running(spec):
        return
    configuration = state.ports.configuration()
    is_limited = (
        configuration is not None
        and quotas.quota_of(configuration, spec.account) is not None
    )
    state.offered_load(spec.pool).record(
        expected_work.job_work(job),
        # Accounts without a quota needn't be told apart.
        spec.account if is_limited else "",
        state.now_s(),
    )


def measure(
    state: owner_state.OwnerState,
    pool: str,
    watches: abc.Collection[watch_module.WorkerWatch],
    waiting: abc.Iterable[job_state.JobState],
    ready: abc.Iterable[readiness.ReadyStep],
    arrivals_s: abc.Iterable[float],
) -> required_capacity.Demand | None:
    """Returns the work of a pool, or None while its offered load is unknown.

    It is also None where pools aren't sized by it.

    Args:
        state: State of the pool's owner.
        pool: Name of the pool.
        watches: Its workers.
        waiting: Its unfinished jobs with pending tasks.
        ready: Steps with tasks that wait only for room.
        arrivals_s: When each host that is on its way should start tasks.
    """
    if not state.ports.sizes_by_offered_load:
        return None
    now_s = state.now_s()
    limits = _quota_limits(state)
    rates = state.offered_load(pool).rates(now_s, limits)
    if rates is None:
        return None
    lead_s = state.ports.limits.host_lead_time_s
    running = expected_work.running_work(_running_tasks(state, watches))
    works = _waiting_jobs(state, waiting, running.elapsed_s)
    kept = running.kept
    for step in ready:
        if step.step.long_running:
            size = step.step.reserved.times(len(step.tasks))
            kept = kept.plus(size)
    return required_capacity.Demand(
        rates=rates,
        backlog=expected_work.backlog(works, limits),
        running=running.work,
        kept=kept,
        arriving_s=sum(
            min(lead_s, max(0.0, now_s + lead_s - at_s)) for at_s in arrivals_s
        ),
        lead_time_s=lead_s,
    )


def _running_tasks(
    state: owner_state.OwnerState,
    watches: abc.Iterable[watch_module.WorkerWatch],
) -> abc.Iterator[expected_work.RunningTask]:
    now_s = state.now_s()
    for watch in watches:
        for run in watch.view.runs.values():
            yield expected_work.RunningTask(
                state.jobs.get(run.job_id),
                run.task,
                run.reserved,
                now_s - run.started_s,
            )


def _waiting_jobs(
    state: owner_state.OwnerState,
    jobs: abc.Iterable[job_state.JobState],
    elapsed_s: abc.Mapping[expected_work.StepKey, float],
) -> abc.Iterator[expected_work.WaitingJob]:
    """Yields what the backlog counts of jobs with pending tasks."""
    now_s = state.now_s()
    now_unix_ms = 1000 * state.ports.clock.wall()
    with_runs = {job_id for job_id, _, _ in elapsed_s}
    for job in jobs:
        if now_s < job.recovering_until_s:
            continue
        terms = state.terms_of(job)
        slack_s = None
        if terms.target_ms or terms.stretch > 1:
            slack_s = ordering.latest_start_s(job, terms) - now_s
        elapsed = elapsed_s if job.spec.job_id in with_runs else {}
        work = expected_work.pending_work(job, elapsed, now_unix_ms)
        yield expected_work.WaitingJob(job.spec.account, slack_s, work)


def _quota_limits(
    state: owner_state.OwnerState,
) -> dict[str, model.Resources]:
    """Returns what each account with a quota may use in this partition."""
    configuration = state.ports.configuration()
    limits: dict[str, model.Resources] = {}
    if configuration is None:
        return limits
    for account in configuration.accounts:
        quota = quotas.quota_of(configuration, account)
        if quota is not None:
            share = max(
                state.shares.held(account), state.shares.target(account)
            )
            limits[account] = model.Resources(
                *(
                    # An amount of 0 would mean no limit.
                    max(1, amount * share // quotas.WHOLE) if amount else 0
                    for amount in quota
                )
            )
    return limits
