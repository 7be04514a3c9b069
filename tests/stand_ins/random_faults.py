"""Random faults against entry hosts on the platform's stand-ins.

A run is a list of faults with pauses between them. Afterwards everything heals,
and the promises are checked: no two runs of a task at a time, no start after a
recorded end, and every job that was accepted is completed.
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
# Longer than the longest lease on the slowest clock, and the time to notice.
HEAL_S = 25.0

Fault = abc.Callable[
    [platform_fleet.PlatformFleet], abc.Coroutine[typing.Any, typing.Any, None]
]


class Outcome(typing.NamedTuple):
    """What a run showed: broken promises, and the phase of each job."""

    violations: list[str]
    phases: dict[str, str]


async def kill_owner(fleet: platform_fleet.PlatformFleet) -> None:
    """Kills the owner and starts it again."""
    name = owner_or_any(fleet)
    await fleet.kill_host(name)
    await asyncio.sleep(0.6)
    fleet.start_host(name)


async def kill_all(fleet: platform_fleet.PlatformFleet) -> None:
    """Kills all hosts and starts them again."""
    names = list(fleet.hosts)
    for name in names:
        await fleet.kill_host(name)
    await asyncio.sleep(0.6)
    for name in names:
        fleet.start_host(name)


async def turn_owner_away(fleet: platform_fleet.PlatformFleet) -> None:
    """Lets the store turn the owner away for a while."""
    name = owner_or_any(fleet)
    fleet.store.rejected_hosts.add(name)
    await asyncio.sleep(4.0)
    fleet.store.rejected_hosts.discard(name)


async def take_store_down(fleet: platform_fleet.PlatformFleet) -> None:
    """Takes the store down for a while."""
    fleet.store.is_down = True
    await asyncio.sleep(3.0)
    fleet.store.is_down = False


async def lose_answers(fleet: platform_fleet.PlatformFleet) -> None:
    """Lets the store carry calls out without answering them."""
    fleet.store.dropping_replies = True
    await asyncio.sleep(1.0)
    fleet.store.dropping_replies = False


async def cut_worker(fleet: platform_fleet.PlatformFleet) -> None:
    """Cuts a busy worker off from all hosts and from the store's list."""
    worker = busy_worker(fleet)
    place = next(n for n, w in fleet.workers.items() if w is worker)
    fleet.unlisted.add(worker.worker_id)
    fleet.network.cut([place], fleet.hosts)
    await asyncio.sleep(5.0)
    fleet.unlisted.discard(worker.worker_id)
    fleet.network.heal()


async def restart_worker(fleet: platform_fleet.PlatformFleet) -> None:
    """Ends a busy worker and starts it again under its id."""
    worker = busy_worker(fleet)
    place = next(n for n, w in fleet.workers.items() if w is worker)
    worker.restart()
    fleet.network.reset_place(place)


async def starts_to_drop(fleet: platform_fleet.PlatformFleet) -> None:
    """Lets the next start on each worker be carried out late, unanswered."""
    for worker in fleet.workers.values():
        worker.starts_to_drop, worker.delayed_starts_s = 1, 1.0


async def deal_anew(fleet: platform_fleet.PlatformFleet) -> None:
    """Deals all partitions to other hosts at once."""
    fleet.store.rebalance("pool-owners")


async def silence_owner(fleet: platform_fleet.PlatformFleet) -> None:
    """Lets all open connections of the owner deliver nothing any more."""
    fleet.network.silence_place(owner_or_any(fleet))


async def submit_more(fleet: platform_fleet.PlatformFleet) -> None:
    """Submits one more job."""
    await submit(fleet, len(fleet.accepted) + 1)


FAULTS: tuple[Fault, ...] = (
    kill_owner,
    kill_all,
    turn_owner_away,
    take_store_down,
    lose_answers,
    cut_worker,
    restart_worker,
    starts_to_drop,
    deal_anew,
    silence_owner,
    submit_more,
)


def owner_or_any(fleet: platform_fleet.PlatformFleet) -> str:
    """Returns the owner's host, or any while there is none."""
    try:
        return fleet.owner_host()
    except StopIteration:
        return next(iter(fleet.hosts))


def busy_worker(
    fleet: platform_fleet.PlatformFleet,
) -> typing.Any:
    """Returns a worker that runs tasks, or any."""
    workers = list(fleet.workers.values())
    return next((w for w in workers if w.running()), workers[0])


async def submit(fleet: platform_fleet.PlatformFleet, number: int) -> None:
    """Submits a job of two steps; keeps its id if it was accepted."""
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
        fleet.accepted.append(job_id)


async def run_faults(faults: abc.Sequence[tuple[int, float]]) -> Outcome:
    """Runs faults, named by their place in `FAULTS`, each after a pause."""
    fleet = platform_fleet.PlatformFleet(hosts=HOSTS, workers=WORKERS)
    for worker in fleet.workers.values():
        worker.work_s = WORK_S
    await fleet.start()
    await submit(fleet, 1)
    tasks = []
    for place, pause_s in faults:
        await asyncio.sleep(pause_s)
        tasks.append(asyncio.create_task(FAULTS[place](fleet)))
        await asyncio.sleep(0)
    await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.sleep(HEAL_S)
    phases = {job_id: await fleet.phase(job_id) for job_id in fleet.accepted}
    await fleet.stop()
    return Outcome(list(fleet.violations()), phases)


def run_seeded(faults: abc.Sequence[tuple[int, float]], seed: int) -> Outcome:
    """Runs faults on a virtual clock."""
    outcome: Outcome = virtual_time.run_virtual(run_faults(faults), seed)
    return outcome
