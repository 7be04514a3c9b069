"""Two runners crash under the tasks of one step: do others still start?

Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case
couldn't run.
"""

import asyncio
import os
import pathlib
import sys
import time

from harness_3 import deployment
from harness_3 import record
from harness_3 import runner

FOLDER = pathlib.Path(__file__).resolve().parent
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
TASKS = 32
WORK_S = 45.0
LARGE = "bbbbbbbbbbbbbb00"
OTHERS = [f"aaaaaaaaaaaaaa{number:02x}" for number in range(4)]
CRASHES = 2
# How long the tasks have run when their runner crashes.
CRASH_AFTER_S = 2.5
DOWN_S = 3.0
# From the start of the large submission to the other ones.
OTHERS_AFTER_S = 18.0
# Bounds of the rule.
FINISH_S = 14.0
IDLE_S = 3.0
STEP = {"Count": TASKS, "Cpu": 1900, "MemMb": 512, "EstimateMs": 45_000}


def work_of(task: str) -> runner.Work:
    """Returns what a task does."""
    return runner.Work(WORK_S if task.startswith(LARGE) else 1.0)


async def crash_runners(fleet: deployment.Deployment) -> None:
    """Crashes the runner with most tasks, some seconds after they began."""
    for _ in range(CRASHES):
        while sum(len(found.running) for found in fleet.runners) < TASKS:  # noqa: ASYNC110
            await asyncio.sleep(0.02)
        await asyncio.sleep(CRASH_AFTER_S)
        victim = max(fleet.runners, key=lambda found: len(found.running))
        victim.crash()
        await asyncio.sleep(DOWN_S)
        await victim.restart()


async def play(log: record.Record) -> int:
    """Plays the case and returns the exit status."""
    fleet = deployment.Deployment(log, work_of)
    try:
        await fleet.start()
        if await fleet.submit(LARGE, [STEP]) != 200:
            return 2
        others_s = time.monotonic() + OTHERS_AFTER_S
        if IS_TROUBLED:
            await crash_runners(fleet)
        await asyncio.sleep(max(0.0, others_s - time.monotonic()))
        for job_id in OTHERS:
            if await fleet.submit(job_id, [{"Count": 1, "Cpu": 100}]) != 200:
                return 2
        await asyncio.sleep(FINISH_S)
        return await judge(fleet, log)
    finally:
        await fleet.stop()


async def judge(fleet: deployment.Deployment, log: record.Record) -> int:
    """Watches for the bound whether a submission has nothing running.

    The submissions have one task without conditions, and no cap holds for their
    tenant. So it is only left whether less than half of the capacity is in use
    and whether a runner has room for the task twice over.
    """
    ends_s = time.monotonic() + IDLE_S
    idle = set(OTHERS)
    while time.monotonic() < ends_s:
        begun = {
            run.key[0][:16] for found in fleet.runners for run in found.begun
        }
        idle -= begun
        by_runner = [len(found.running) for found in fleet.runners]
        in_use = sum(by_runner) * STEP["Cpu"]
        log.write(
            "running",
            by_runner=by_runner,
            millicores_in_use=in_use,
            millicores=sum(found.cpu for found in fleet.runners),
            others_begun=len(begun & set(OTHERS)),
        )
        if in_use > sum(found.cpu for found in fleet.runners) / 2:
            return 2
        await asyncio.sleep(0.25)
    for job_id in OTHERS:
        await fleet.state(job_id, host=1)
    log.write("judged", never_begun=sorted(idle))
    return 1 if idle else 0


def main() -> int:
    """Runs the case and returns the exit status."""
    log = record.Record(FOLDER)
    try:
        return asyncio.run(play(log))
    except Exception as error:
        log.write("the case could not run", error=repr(error))
        return 2
    finally:
        log.close()


if __name__ == "__main__":
    sys.exit(main())
