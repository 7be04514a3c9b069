"""Case 10: a cancelled submission is told to be unknown, and then runs.

The store is slow, so the submission is still being stored when its client
gives up and cancels it. The owner answers that there is no such submission,
and goes on to store and run it.
"""

import asyncio
import pathlib
import sys

import msgspec
from stage import deployment
from stage import record as record_module
from stage import script
from stage import workers

POOL = "service-a"
EARLIER_JOB = "94b36f85c0e7a21d"
JOB = "36f85c0e7a21d94b"
WORK_S = 6.0
TASKS = 2
# How many times as long an answer of the store takes while it is slow.
SLOWDOWN = 60.0
SLOW_FOR_S = 2.0
GIVE_UP_S = 0.15
# `cancel_ms`, from the acknowledgement of the cancelling.
CANCEL_S = 3.0


def make_workers(
    record: record_module.Record,
) -> dict[str, list[workers.Worker]]:
    """Makes the workers of one pool."""
    return {
        POOL: [
            workers.Worker(f"{POOL}-{number}", record, work_s=WORK_S)
            for number in (1, 2)
        ]
    }


def encode_job() -> bytes:
    """Returns the body of a submission of two steps, one after the other."""
    step = {"Count": TASKS, "Cpu": 1000, "MemMb": 500, "EstimateMs": 6000}
    return msgspec.json.encode(
        {"Spec": "two steps", "Phases": [step, step | {"After": [0]}]}
    )


async def play(
    fleet: deployment.Deployment, record: record_module.Record
) -> script.Outcome:
    """Submits a job, gives up, cancels it and looks at what starts later."""
    await fleet.start(3, POOL)
    if script.has_trouble():
        fleet.store_slowdown = SLOWDOWN
        record.write("store: slow")
    earlier = asyncio.create_task(
        fleet.call(0, "POST", EARLIER_JOB, encode_job())
    )
    await asyncio.sleep(0.05)
    await fleet.call(1, "POST", JOB, encode_job(), timeout_s=GIVE_UP_S)
    cancelled = await fleet.call(2, "DELETE", JOB)
    cancelled_s = asyncio.get_running_loop().time()
    await earlier
    if cancelled.status not in (200, 410):
        return script.Outcome.NOT_RUN
    await asyncio.sleep(SLOW_FOR_S)
    fleet.store_slowdown = 1.0
    record.write("store: as usual")
    await asyncio.sleep(WORK_S + 4.0)
    await fleet.call(0, "GET", JOB)
    late = [
        run
        for run in workers.started(fleet.workers)
        if run.task.startswith(JOB) and run.began_s > cancelled_s + CANCEL_S
    ]
    record.write(
        f"starts later than {CANCEL_S} s after the cancelling was answered "
        f"{cancelled.status}: {[run.task for run in late] or 'none'}"
    )
    return script.Outcome.BROKEN if late else script.Outcome.HELD


if __name__ == "__main__":
    sys.exit(
        script.run(pathlib.Path(__file__).resolve().parent, make_workers, play)
    )
