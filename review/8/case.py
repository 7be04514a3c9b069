"""Case 8: an accepted submission is shown as failed, though no run failed.

The worker that runs its only task crashes several times. The owner counts the
crashes and gives the submission up.
"""

import asyncio
import pathlib
import sys

import msgspec
from stage import deployment
from stage import record as record_module
from stage import script
from stage import workers

JOB = "7a21d94b36f85c0e"
POOL = "service-a"
WORKERS = 8
WORK_S = 15.0
# The task has been at work for longer than this at each crash.
AT_WORK_S = 2.0
DOWN_S = 2.0
CRASHES = 4
START_TIMEOUT_S = 8.0
END_TIMEOUT_S = 40.0


def make_workers(
    record: record_module.Record,
) -> dict[str, list[workers.Worker]]:
    """Makes the workers of one pool in two racks."""
    return {
        POOL: [
            workers.Worker(
                f"{POOL}-{number}",
                record,
                work_s=WORK_S,
                rack=f"rack-{number % 2}",
            )
            for number in range(WORKERS)
        ]
    }


async def find_busy(fleet: deployment.Deployment) -> workers.Worker | None:
    """Waits for the worker that runs the task, or returns None."""
    for _ in range(int(START_TIMEOUT_S / 0.05)):
        for worker in fleet.workers:
            if worker.is_up and worker.running():
                return worker
        await asyncio.sleep(0.05)
    return None


async def play(
    fleet: deployment.Deployment, record: record_module.Record
) -> script.Outcome:
    """Submits a job of one task and lets its worker crash again and again."""
    await fleet.start(3, POOL)
    step = {"Count": 1, "Cpu": 4000, "MemMb": 500, "EstimateMs": 15000}
    body = msgspec.json.encode({"Spec": "one task", "Phases": [step]})
    if (await fleet.call(0, "POST", JOB, body)).status != 200:
        return script.Outcome.NOT_RUN
    for number in range(CRASHES if script.has_trouble() else 0):
        busy = await find_busy(fleet)
        if busy is None:
            record.write(f"nothing runs before crash {number + 1}")
            break
        await asyncio.sleep(AT_WORK_S)
        await busy.crash_for(DOWN_S)
    ends_s = record.now_s() + END_TIMEOUT_S
    state = ""
    while record.now_s() < ends_s:
        answer = await fleet.call(1, "GET", JOB)
        state = answer.fields.get("State", "")
        if state in ("completed", "failed", "cancelled"):
            break
        await asyncio.sleep(1.0)
    failures = [
        run for run in workers.started(fleet.workers) if run.how == "failed"
    ]
    record.write(f"shown as {state!r}; runs that ended failed: {len(failures)}")
    if state == "failed" and not failures:
        return script.Outcome.BROKEN
    return (
        script.Outcome.HELD if state == "completed" else script.Outcome.NOT_RUN
    )


if __name__ == "__main__":
    sys.exit(
        script.run(pathlib.Path(__file__).resolve().parent, make_workers, play)
    )
