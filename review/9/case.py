"""Case 9: an accepted submission never runs in a pool of more than 30 workers.

The owner asks for advice about the first 30 workers only, and about the same
ones again when the advice has expired. The policy allows others.
"""

import asyncio
import pathlib
import sys

import msgspec
from stage import advice
from stage import deployment
from stage import record as record_module
from stage import script
from stage import workers

JOB = "e7a21d94b36f85c0"
POOL = "service-a"
WORKERS = 40
ALLOWED = 8
WORK_S = 1.0
# Many times the validity of the advice, and longer than `finish_s` and 3 s.
WAIT_S = 40.0


def make_workers(
    record: record_module.Record,
) -> dict[str, list[workers.Worker]]:
    """Makes the workers of one pool."""
    made = [
        workers.Worker(
            f"i-{number:02}", record, work_s=WORK_S, rack=f"rack-{number // 12}"
        )
        for number in range(WORKERS)
    ]
    for worker in made:
        worker.ticket = advice.ticket_of(worker.worker_id)
    return {POOL: made}


async def play(
    fleet: deployment.Deployment, record: record_module.Record
) -> script.Outcome:
    """Submits a job of one task to a queue with advice."""
    ids = [worker.worker_id for worker in fleet.workers]
    allowed = ids[-ALLOWED:] if script.has_trouble() else ids
    fleet.advice = advice.AdvisoryService(record, allowed)
    record.write(f"policy: allows {allowed}")
    await fleet.start(3, POOL)
    step = {"Count": 1, "Cpu": 1000, "MemMb": 500, "EstimateMs": 1000}
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
