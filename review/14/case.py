"""One submission with many tasks at work: does its pool still take note?

Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case
couldn't run.
"""

import asyncio
import os
import pathlib
import sys
import time
import typing

from harness_3 import deployment
from harness_3 import record
from harness_3 import runner

FOLDER = pathlib.Path(__file__).resolve().parent
# Without the disruption, the same tasks come in submissions of 1,000.
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
TASKS = int(os.environ.get("TASKS", "11000"))
TASKS_EACH = TASKS if IS_TROUBLED else 1_000
WORK_S = 60.0
# A few tasks are shorter than the others.
SHORT_WORK_S = 20.0
SHORT_EACH = 97
OTHERS = [f"aaaaaaaaaaaaaaa{number}" for number in range(4)]
# Bound of the rule for cancels and ends.
ACK_S = 4.0
CANCEL_AFTER_S = 3.0
JUDGE_AFTER_S = 16.0
START_S = 45.0


def work_of(task: str) -> runner.Work:
    """Returns what a task does: a fixed time of work with checkpoints."""
    job_id, _, _, number = task.split(".")
    if job_id in OTHERS:
        return runner.Work(100.0)
    seconds = SHORT_WORK_S if int(number) % SHORT_EACH == 0 else WORK_S
    return runner.Work(seconds, checkpoint=checkpoint)


def checkpoint(task: str, count: int) -> str:
    """Returns a checkpoint of 16 characters, as PROTOCOL.md shows one."""
    return f"{count:05x}{hash(task) & 0xFFFFFFFFFFF:011x}"


def phases(count: int) -> list[dict[str, typing.Any]]:
    """Returns one step of small tasks that checkpoint."""
    return [
        {
            "Count": count,
            "Cpu": 40,
            "MemMb": 64,
            "EstimateMs": int(1000 * WORK_S),
            "Checkpointing": True,
        }
    ]


async def play(log: record.Record) -> int:
    """Plays the case and returns the exit status."""
    fleet = deployment.Deployment(log, work_of)
    try:
        await fleet.start()
        for job_id in OTHERS:
            if await fleet.submit(job_id, [{"Count": 1, "Cpu": 100}]) != 200:
                return 2
        for number in range(TASKS // TASKS_EACH):
            job_id = f"bbbbbbbbbbbbbb{number:02x}"
            if await fleet.submit(job_id, phases(TASKS_EACH)) != 200:
                return 2
        if not await _wait_for_end(fleet, log):
            return 2
        await asyncio.sleep(CANCEL_AFTER_S)
        first_s = time.monotonic()
        acked = set()
        while time.monotonic() - first_s < ACK_S + 1.0:
            for host, job_id in enumerate(set(OTHERS) - acked):
                status = await fleet.cancel(job_id, host=host % 3)
                if 200 <= status < 300 or status == 410:
                    acked.add(job_id)
            await asyncio.sleep(0.3)
        await asyncio.sleep(max(0.0, JUDGE_AFTER_S - ACK_S - 1.0))
        new = await fleet.submit("cccccccccccccccc", [{"Count": 1, "Cpu": 100}])
        return judge(fleet, log, len(acked), new)
    finally:
        await fleet.stop()


async def _wait_for_end(
    fleet: deployment.Deployment, log: record.Record
) -> bool:
    """Waits until the first run has ended; returns whether one has."""
    ends_s = time.monotonic() + START_S
    while time.monotonic() < ends_s:
        begun = sum(len(found.begun) for found in fleet.runners)
        log.write("runs begun", count=begun)
        if any(
            end.how == "done" for found in fleet.runners for end in found.ended
        ):
            return True
        await asyncio.sleep(1.0)
    return False


def judge(
    fleet: deployment.Deployment, log: record.Record, acked: int, new: int
) -> int:
    """Counts the ends that were listed long enough and not taken note of."""
    now_s = time.monotonic()
    old = sum(
        end.listed and now_s - end.at_s > ACK_S
        for found in fleet.runners
        for end in found.ended
    )
    seen = sum(found.seen_ends for found in fleet.runners)
    begun = sum(len(found.begun) for found in fleet.runners)
    missed = max(0, old - seen)
    log.write(
        "judged",
        begun=begun,
        ends_listed_before=old,
        ends_seen=seen,
        cancels_acked=acked,
        cancels=len(OTHERS),
        new_submission=new,
        records_refused=fleet.store.refused_records,
    )
    if old == 0:
        return 2
    is_broken = missed > old / 5 or len(OTHERS) - acked > len(OTHERS) / 10
    return 1 if is_broken else 0


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
