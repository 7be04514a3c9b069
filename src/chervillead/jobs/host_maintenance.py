"""Which hosts go down for upkeep next, and which of their tasks may be stopped.

Answers the pattern of a wave that falls into the bursts of a pool: upkeep waits
for hosts that are idle anyhow, until the time that is left forces it. The
availability budgets hold throughout.
"""

from collections import abc
import typing

from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import task_runs

# Time that is kept free at the end of a wave.
WAVE_END_MARGIN_S = 3.0


class Candidate(typing.NamedTuple):
    """A host that is due and up.

    Attributes:
        machine: Its name.
        batch_tasks: Tasks on it that end by themselves.
        long_running_tasks: Tasks on it that run until their job is cancelled.
    """

    machine: str
    batch_tasks: int
    long_running_tasks: int


def split_cap(
    cap: int,
    hosts_by_pool: abc.Mapping[str, int],
    finished: abc.Container[str] = (),
) -> dict[str, int]:
    """Returns how many hosts of each pool may be down at once.

    Every owner computes the same split from what operators published, so the
    cap of a wave holds without agreement. A pool whose part is 0 waits until
    those that have one are finished.

    Args:
        cap: Hosts that may be down at once, over all pools.
        hosts_by_pool: Hosts of the wave in each pool, done or not.
        finished: Pools whose hosts are all up again.
    """
    counts = {
        pool: count for pool, count in sorted(hosts_by_pool.items()) if count
    }
    while counts:
        parts = _proportional(cap, counts)
        served = [pool for pool, part in parts.items() if part]
        if any(pool not in finished for pool in served):
            return parts
        for pool in served:
            del counts[pool]
        if not served:
            break
    return {}


def _proportional(cap: int, counts: abc.Mapping[str, int]) -> dict[str, int]:
    """Splits a cap by largest remainders."""
    total = sum(counts.values())
    parts = {pool: cap * count // total for pool, count in counts.items()}
    left = cap - sum(parts.values())
    by_remainder = sorted(
        counts, key=lambda pool: (-(cap * counts[pool] % total), pool)
    )
    for pool in by_remainder[: max(0, left)]:
        parts[pool] += 1
    return {pool: min(part, counts[pool]) for pool, part in parts.items()}


def is_urgent(
    *, due: int, slots: int, time_left_s: float, cycle_s: float
) -> bool:
    """Returns whether upkeep can't wait for idle hosts any more.

    Args:
        due: Hosts of the pool that are still due.
        slots: Hosts that may be down at once.
        time_left_s: Time to the end of the wave.
        cycle_s: Time from the choice of a host to its return.
    """
    rounds = -(-due // max(1, slots))
    return time_left_s - WAVE_END_MARGIN_S <= rounds * cycle_s


def select_hosts(
    candidates: abc.Iterable[Candidate],
    *,
    slots: int,
    urgent: bool,
    pending_tasks: int,
) -> list[str]:
    """Returns the hosts to empty now, idle ones first.

    Args:
        candidates: Hosts that are due and up.
        slots: How many more hosts may be emptied.
        urgent: Whether upkeep can't wait for idle hosts.
        pending_tasks: Tasks that wait for room in the pool.
    """
    if pending_tasks and not urgent:
        return []
    ranked = sorted(
        candidates,
        key=lambda c: (c.batch_tasks, c.long_running_tasks, c.machine),
    )
    allowed = (c for c in ranked if urgent or not c.batch_tasks)
    return [c.machine for c in allowed][: max(0, slots)]


def is_available(run: task_runs.Run) -> bool:
    """Returns whether a run of a lasting task serves."""
    return (
        run.phase is task_runs.RunPhase.RUNNING
        and not run.stop_requested
        and run.progress_percent >= 100
        and run.pace_percent == 100
    )


def may_disrupt(
    job: job_state.JobState,
    task: model.TaskKey,
    in_contact: abc.Callable[[str], bool],
) -> bool:
    """Returns whether a lasting task may be away by an order of ours.

    Args:
        job: The job.
        task: The task that would be stopped.
        in_contact: Whether a worker has answered just now: one that is silent
            may have crashed, and its tasks with it.
    """
    step = job.step(task)
    if step.max_unavailable is None:
        return True
    away = sum(
        not any(
            is_available(run) and in_contact(run.worker_id)
            for run in job.runs.get(task._replace(number=number), ())
        )
        for number in range(step.tasks)
        if number != task.number
    )
    return away < step.max_unavailable
