"""Case 8: an accepted submission never runs, though its tenant runs nothing.

Each pool enforces an equal part of a tenant's quota. A task that needs more
than this part never starts, however far below its quota the tenant is.
"""

import asyncio
import pathlib
import sys

import msgspec
from stage import deployment
from stage import record as record_module
from stage import script
from stage import workers

JOB = "d94b36f85c0e7a21"
POOLS = ("service-a", "service-b", "service-c", "service-d")
WORKERS = 2
WORKER_CPU = 64000
USUAL_CAP_CPU = 64000
LOWER_CAP_CPU = 16000
TASK_CPU = 6000
WORK_S = 1.0
# `ConfigMs` and some slack, after which the new version is in force.
IN_FORCE_S = 3.0
# Longer than `finish_s` and 3 s.
WAIT_S = 30.0


def make_workers(
    record: record_module.Record,
) -> dict[str, list[workers.Worker]]:
    """Makes the workers of four pools."""
    return {
        pool: [
            workers.Worker(
                f"{pool}-{number}", record, work_s=WORK_S, cpu=WORKER_CPU
            )
            for number in range(WORKERS)
        ]
        for pool in POOLS
    }


async def play(
    fleet: deployment.Deployment, record: record_module.Record
) -> script.Outcome:
    """Lowers the quota and submits a job of one task that is far below it."""
    await fleet.start(3, POOLS[0], cap_cpu=USUAL_CAP_CPU)
    if script.has_trouble():
        fleet.put_configuration(POOLS[0], cap_cpu=LOWER_CAP_CPU)
        await asyncio.sleep(IN_FORCE_S)
    step = {"Count": 1, "Cpu": TASK_CPU, "MemMb": 500, "EstimateMs": 1000}
    body = msgspec.json.encode({"Spec": "one task", "Phases": [step]})
    if not await fleet.submit(0, JOB, body):
        return script.Outcome.NOT_RUN
    ends_s = record.now_s() + WAIT_S
    state = ""
    while record.now_s() < ends_s and state != "completed":
        await asyncio.sleep(2.0)
        state = (await fleet.call(1, "GET", JOB)).fields.get("State", "")
    runs = workers.started(fleet.workers)
    record.write(f"shown as {state!r} with {len(runs)} runs")
    if state == "completed":
        return script.Outcome.HELD
    return script.Outcome.NOT_RUN if runs else script.Outcome.BROKEN


if __name__ == "__main__":
    sys.exit(
        script.run(pathlib.Path(__file__).resolve().parent, make_workers, play)
    )
