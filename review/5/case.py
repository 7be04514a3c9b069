"""A queue is removed while a task of it fails; the task runs without limit."""

import asyncio
import pathlib
import sys

from lab import deployment as deployment_module

from stand_ins import platform_fleet

JOB = platform_fleet.job_id(0xF1)
MAX_ATTEMPTS = 3
WATCH_S = 12.0


async def play(
    deployment: deployment_module.Deployment, makes_trouble: bool
) -> bool:
    """Returns whether no run began after `MaxAttempts` ends as failed."""
    for worker in deployment.workers.values():
        worker.failing.add(JOB)
    path = f"/billing/{JOB}"
    body = {"Spec": "fails", "Phases": [platform_fleet.step(1)]}
    status, _ = await deployment.call(0, "POST", path, body)
    if status != 200:
        raise deployment_module.CouldNotRunError("the job was not accepted")
    await deployment.wait_for_runs(JOB, 1)
    await asyncio.sleep(0.1)
    if makes_trouble:
        deployment.publish_configuration(2, without="billing")
    await asyncio.sleep(WATCH_S)
    await deployment.call(0, "GET", path)
    failed = [
        record
        for _, record in deployment.runs_of(JOB)
        if record.how == "failed"
    ]
    deployment.note(
        f"{len(failed)} runs ended as failed; MaxAttempts is {MAX_ATTEMPTS}"
    )
    return len(deployment.runs_of(JOB)) <= MAX_ATTEMPTS


if __name__ == "__main__":
    folder = pathlib.Path(__file__).resolve().parent
    sys.exit(
        deployment_module.run_case(
            lambda: deployment_module.Deployment(
                folder,
                hosts=2,
                pools={"billing": 4, "receipts": 2},
            ),
            play,
        )
    )
