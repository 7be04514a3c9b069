"""Random faults against entry hosts on the platform's stand-ins.

A run injects a sequence of faults with pauses between them. After all faults
have ended, it checks the invariants: no two runs of a task at a time, no start
after a recorded end, and every accepted job is completed.
"""

import asyncio
from collections import abc
import typing

from returns import pipeline

from stand_ins import platform_fleet
from stand_ins import virtual_time

HOSTS = 3
WORKERS = 4
WORK_S = 3.0
TASKS = 16
# Longer than the longest lease on the slowest clock plus the time to detect its
# expiry.
RECOVERY_S = 25.0

Fault = abc.Callable[
    [platform_fleet.PlatformFleet], abc.Coroutine[typing.Any, typing.Any, None]
]


class Outcome(typing.NamedTuple):
    """Result of a run: invariant violations and the phase of each job."""

    violations: list[str]
    phases: dict[str, str]


async def kill_owner(fleet: platform_fleet.PlatformFleet) -> None:
    """Kills the owner's host and restarts it."""
    name = owner_or_any(fleet)
    await fleet.kill_host(name)
    await asyncio.sleep(0.6)
    fleet.start_host(name)


async def kill_all(fleet: platform_fleet.PlatformFleet) -> None:
    """Kills all hosts and restarts them."""
    names = list(fleet.hosts)
    for name in names:
        await fleet.kill_host(name)
    await asyncio.sleep(0.6)
    for name in names:
        fleet.start_host(name)


async def reject_owner(fleet: platform_fleet.PlatformFleet) -> None:
    """Makes the store reject the owner's calls for 4 s."""
    name = owner_or_any(fleet)
    fleet.store.rejected_hosts.add(name)
    await asyncio.sleep(4.0)
    fleet.store.rejected_hosts.discard(name)


async def stop_store(fleet: platform_fleet.PlatformFleet) -> None:
    """Takes the store down for 3 s."""
    fleet.store.is_down = True
    await asyncio.sleep(3.0)
    fleet.store.is_down = False


async def drop_store_replies(fleet: platform_fleet.PlatformFleet) -> None:
    """Makes the store execute calls without a reply for 1 s."""
    fleet.store.dropping_replies = True
    await asyncio.sleep(1.0)
    fleet.store.dropping_replies = False


async def isolate_worker(fleet: platform_fleet.PlatformFleet) -> None:
    """Cuts a busy worker off from all hosts and the list of workers."""
    worker = busy_worker(fleet)
    node = next(n for n, w in fleet.workers.items() if w is worker)
    fleet.unlisted.add(worker.worker_id)
    fleet.network.cut([node], fleet.hosts)
    await asyncio.sleep(5.0)
    fleet.unlisted.discard(worker.worker_id)
    fleet.network.heal()


async def restart_worker(fleet: platform_fleet.PlatformFleet) -> None:
    """Restarts a busy worker under the same id."""
    worker = busy_worker(fleet)
    node = next(n for n, w in fleet.workers.items() if w is worker)
    worker.restart()
    fleet.network.reset_place(node)


async def delay_starts(fleet: platform_fleet.PlatformFleet) -> None:
    """Delays the next start on each worker, which gets no reply."""
    for worker in fleet.workers.values():
        worker.starts_to_drop, worker.delayed_starts_s = 1, 1.0


async def rebalance_partitions(fleet: platform_fleet.PlatformFleet) -> None:
    """Moves all partitions to other hosts at once."""
    fleet.store.rebalance("pool-owners")


async def silence_owner(fleet: platform_fleet.PlatformFleet) -> None:
    """Makes all open connections of the owner stop delivering data."""
    fleet.network.silence_place(owner_or_any(fleet))


async def submit_another(fleet: platform_fleet.PlatformFleet) -> None:
    """Submits another job."""
    await submit(fleet, len(fleet.accepted_jobs) + 1)


FAULTS: tuple[Fault, ...] = (
    kill_owner,
    kill_all,
    reject_owner,
    stop_store,
    drop_store_replies,
    isolate_worker,
    restart_worker,
    delay_starts,
    rebalance_partitions,
    silence_owner,
    submit_another,
)


def owner_or_any(fleet: platform_fleet.PlatformFleet) -> str:
    """Returns the host of the owner, or any host if there is no owner."""
    try:
        return fleet.owner_host()
    except StopIteration:
        return next(iter(fleet.hosts))


def busy_worker(
    fleet: platform_fleet.PlatformFleet,
) -> typing.Any:
    """Returns a worker that runs tasks, or any worker if none does."""
    workers = list(fleet.workers.values())
    return next((w for w in workers if w.running()), workers[0])


async def submit(fleet: platform_fleet.PlatformFleet, number: int) -> None:
    """Submits a job of two steps and records its id if accepted."""
    steps = [
        platform_fleet.step(TASKS),
        platform_fleet.step(2, After=[0]),
    ]
    job_id = platform_fleet.job_id(number)
    host = next(iter(fleet.hosts), None)
    if host is None:
        return
    outcome = await fleet.submit(job_id, steps, host=host)
    if pipeline.is_successful(outcome):
        fleet.accepted_jobs.append(job_id)


async def run_faults(
    faults: abc.Sequence[tuple[int, float]], first_s: float
) -> Outcome:
    """Injects faults, given as (index in `FAULTS`, pause before it).

    Args:
        faults: The faults.
        first_s: Pause before the first job, in seconds.
    """
    fleet = platform_fleet.PlatformFleet(hosts=HOSTS, workers=WORKERS)
    for worker in fleet.workers.values():
        worker.work_s = WORK_S
    await fleet.start()
    await asyncio.sleep(first_s)
    await submit(fleet, 1)
    tasks = []
    for index, pause_s in faults:
        await asyncio.sleep(pause_s)
        tasks.append(asyncio.create_task(FAULTS[index](fleet)))
        await asyncio.sleep(0)
    await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.sleep(RECOVERY_S)
    phases = {
        job_id: await fleet.phase(job_id) for job_id in fleet.accepted_jobs
    }
    await fleet.stop()
    return Outcome(list(fleet.violations()), phases)


def run_seeded(
    faults: abc.Sequence[tuple[int, float]], seed: int, first_s: float = 0.0
) -> Outcome:
    """Injects faults on a virtual clock."""
    outcome: Outcome = virtual_time.run_virtual(
        run_faults(faults, first_s), seed
    )
    return outcome
