"""Case 6: a repeated submission runs again after its queue was moved.

A host that starts after the move doesn't know the queue's previous pool, so it
takes the repeat of an accepted submission for a new one.
"""

import asyncio
import pathlib
import sys

import msgspec
from stage import deployment
from stage import record as record_module
from stage import script
from stage import workers

JOB = "5c0e7a21d94b36f8"
TASKS = 4
WORK_S = 25.0
NEW_HOST = 3
REPEAT_AFTER_S = 6.0


def make_workers(
    record: record_module.Record,
) -> dict[str, list[workers.Worker]]:
    """Makes two workers for each of two pools."""
    return {
        pool: [
            workers.Worker(f"{pool}-{number}", record, work_s=WORK_S)
            for number in (1, 2)
        ]
        for pool in ("service-a", "service-b")
    }


def find_overlap(fleet: deployment.Deployment) -> list[str]:
    """Returns the tasks of which two runs were at work at the same time."""
    runs = workers.started(fleet.workers)
    return sorted(
        {
            first.task
            for number, first in enumerate(runs)
            for second in runs[number + 1 :]
            if first.task == second.task and second.began_s < first.ended_s
        }
    )


async def play(
    fleet: deployment.Deployment, record: record_module.Record
) -> script.Outcome:
    """Submits a job, moves its queue, adds a host and repeats the call."""
    await fleet.start(3, "service-a")
    step = {"Count": TASKS, "Cpu": 1000, "MemMb": 500, "EstimateMs": 25000}
    body = msgspec.json.encode({"Spec": "one step", "Phases": [step]})
    if not await fleet.submit(0, JOB, body):
        return script.Outcome.NOT_RUN
    accepted_s = record.now_s()
    await asyncio.sleep(1.0)
    if len(workers.started(fleet.workers)) != TASKS:
        return script.Outcome.NOT_RUN
    repeat_at = 1
    if script.has_trouble():
        fleet.put_configuration("service-b")
        await asyncio.sleep(1.0)
        await fleet.start_host(NEW_HOST)
        await fleet.wait_until_ready(NEW_HOST)
        repeat_at = NEW_HOST
    await asyncio.sleep(max(0.0, accepted_s + REPEAT_AFTER_S - record.now_s()))
    await fleet.call(repeat_at, "POST", JOB, body)
    await asyncio.sleep(5.0)
    await fleet.call(0, "GET", JOB)
    overlap = find_overlap(fleet)
    record.write(f"tasks with two runs at the same time: {overlap or 'none'}")
    return script.Outcome.BROKEN if overlap else script.Outcome.HELD


if __name__ == "__main__":
    sys.exit(
        script.run(pathlib.Path(__file__).resolve().parent, make_workers, play)
    )
