"""Runs of an in-memory fleet with a spare pool and a pool of varying load."""

import asyncio
from collections import abc
import typing

from chervillead.fleet import records
from stand_ins import local_fleet
from stand_ins import maintenance_run
from stand_ins import virtual_time

MEAN_RUN_S = 4.0
SLOTS = maintenance_run.PLAN.slots * maintenance_run.PLAN.upstreams_per_queue

# Requested fraction of the pool's slots by seconds since the start of the load.
Load = abc.Callable[[float], float]
Fault = abc.Callable[
    [maintenance_run.MaintenanceRun],
    abc.Coroutine[typing.Any, typing.Any, None],
]


def bursts(at_s: float) -> float:
    """Returns five times 0.45 for 6 s of every 30 s, else 0.05 times 0.45."""
    return 0.45 * (5.0 if at_s % 30.0 < 6.0 else 0.05)


async def no_fault(run: maintenance_run.MaintenanceRun) -> None:
    """Injects no fault."""


async def run_load(
    run: maintenance_run.MaintenanceRun,
    load: Load,
    duration_s: float,
    fault: Fault = no_fault,
) -> dict[str, list[str]]:
    """Sends the load to one queue and returns the violations by check."""
    await run.fleet.start(run.first_records())
    background = asyncio.ensure_future(run.sync_upstreams())
    tasks = [asyncio.ensure_future(fault(run))]
    start_s, number = run.now_s, 0
    while (at_s := run.now_s - start_s) < duration_s:
        await asyncio.sleep(0.05)
        # Mean number of requests in the interval.
        arrivals = 0.05 * load(at_s) * SLOTS / MEAN_RUN_S
        while run.random.random() < arrivals:
            tasks.append(asyncio.ensure_future(_submit(run, number)))
            number += 1
            arrivals -= 1.0
    await asyncio.gather(*tasks)
    violations = run.find_violations()
    background.cancel()
    await run.fleet.stop()
    return violations


async def _submit(run: maintenance_run.MaintenanceRun, number: int) -> None:
    host = run.random.choice(list(run.fleet.hosts))
    team = run.random.choice(list(local_fleet.TEAM_KEYS))
    run_s = run.random.uniform(0.5, 1.5) * MEAN_RUN_S
    try:
        await run.fleet.submit(
            host,
            maintenance_run.QUEUE,
            team,
            f"run={run_s:.3f};{number}".encode(),
            idempotent=True,
            deadline_s=60.0,
        )
    except asyncio.CancelledError:
        return


def accepted_moves(
    run: maintenance_run.MaintenanceRun,
) -> list[tuple[float, str, str, str]]:
    """Returns time, host, next pool and state of each accepted record."""
    accepted = []
    for step in run.steps():
        entry = run.fleet.platform.entries[step.result.offset]
        record = records.decode_record(entry[1]).unwrap()
        if (
            record.kind == records.MOVE
            and step.result.outcome.value == "accepted"
        ):
            accepted.append(
                (
                    run.appended_s[step.result.offset],
                    record.subject,
                    record.fields["to_pool"],
                    record.fields["state"],
                )
            )
    return accepted


def start_run(
    seed: int, load: Load, duration_s: float, fault: Fault = no_fault
) -> tuple[maintenance_run.MaintenanceRun, dict[str, list[str]]]:
    """Runs one seed on a virtual clock; returns the run and its violations."""
    run = maintenance_run.MaintenanceRun(seed)
    return run, virtual_time.run_virtual(
        run_load(run, load, duration_s, fault), seed
    )
