"""Case 10: submissions that wait are missing from `Pending` after a move.

Hosts ask only the owner of the queue's present pool, which doesn't have the
submissions that were accepted for the previous one.
"""

import asyncio
import pathlib
import sys

import msgspec
from stage import deployment
from stage import record as record_module
from stage import script
from stage import workers

RUNNING_JOB = "b36f85c0e7a21d94"
WAITING_JOBS = [f"{number:016x}" for number in range(1, 11)]
WORK_S = 60.0
HOSTS = 3
# `visible_ms` and 2 s, after which a submission has to be counted.
COUNTED_AFTER_S = 5.0
# `ConfigMs` and some slack, after which the new version is in force.
IN_FORCE_S = 3.0


def make_workers(
    record: record_module.Record,
) -> dict[str, list[workers.Worker]]:
    """Makes one worker for each of two pools."""
    return {
        pool: [workers.Worker(f"{pool}-1", record, work_s=WORK_S)]
        for pool in ("service-a", "service-b")
    }


async def play(
    fleet: deployment.Deployment, record: record_module.Record
) -> script.Outcome:
    """Fills a pool, lets submissions wait, moves the queue and counts."""
    await fleet.start(HOSTS, "service-a")
    step = {"Count": 1, "Cpu": 8000, "MemMb": 500, "EstimateMs": 60000}
    body = msgspec.json.encode({"Spec": "one task", "Phases": [step]})
    for job_id in (RUNNING_JOB, *WAITING_JOBS):
        if not await fleet.submit(0, job_id, body):
            return script.Outcome.NOT_RUN
        await asyncio.sleep(0.1)
    if script.has_trouble():
        fleet.put_configuration("service-b")
    await asyncio.sleep(COUNTED_AFTER_S + IN_FORCE_S)
    await fleet.call(0, "GET", WAITING_JOBS[0])
    counts = []
    for host in range(HOSTS):
        answer = await fleet.call(host, "GET")
        if answer.status != 200:
            return script.Outcome.NOT_RUN
        counts.append(answer.fields["Pending"])
    begun = {
        run.task.partition(".")[0] for run in workers.started(fleet.workers)
    }
    waiting = [job_id for job_id in WAITING_JOBS if job_id not in begun]
    record.write(f"Pending: {counts}; {len(waiting)} have not begun")
    if min(counts) < len(waiting) / 2:
        return script.Outcome.BROKEN
    return script.Outcome.HELD


if __name__ == "__main__":
    sys.exit(
        script.run(pathlib.Path(__file__).resolve().parent, make_workers, play)
    )
