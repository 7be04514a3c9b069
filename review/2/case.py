"""A job is shown as completed, is lost with two machines, and runs again."""

import asyncio
import pathlib
import sys

from lab import deployment as deployment_module

from stand_ins import platform_fleet

JOB = platform_fleet.job_id(0xA1)
PATH = f"/billing/{JOB}"
WORK_S = 1.0
# The owner is cut from the store this long after the task's start.
CUT_AFTER_S = 0.6
# The length of `core_cut` in the site file.
CUT_S = 5.5
# RULES.md: "over a second after ... the submission was shown as completed".
SHOWN_SLACK_S = 1.0


async def play(
    deployment: deployment_module.Deployment, makes_trouble: bool
) -> bool:
    """Returns whether no task started again after the job was shown as done."""
    for worker in deployment.workers.values():
        worker.work_s = WORK_S
    owner = deployment.owner_of("billing")
    asked = next(host for host in range(3) if host != owner)
    job = {"Spec": "one task", "Phases": [platform_fleet.step(1)]}
    status, _ = await deployment.call(asked, "POST", PATH, job)
    if status != 200:
        raise deployment_module.CouldNotRunError("the job was not accepted")
    (worker, run), *_ = await deployment.wait_for_runs(JOB, 1)
    deployment.note(f"{run.task} runs on {worker.worker_id}")
    await asyncio.sleep(CUT_AFTER_S)
    cut_s = asyncio.get_running_loop().time()
    if makes_trouble:
        deployment.cut_from_store.add(owner)
        deployment.note(f"host-{owner}, the owner, is cut from the store")
    shown_s = await _wait_until_completed(deployment, asked)
    if makes_trouble:
        await asyncio.sleep(0.2)
        worker.stop_process()
        deployment.note(f"{worker.worker_id} crashes and is gone")
    await asyncio.sleep(CUT_S - (asyncio.get_running_loop().time() - cut_s))
    deployment.cut_from_store.clear()
    deployment.note("the cut is over")
    await asyncio.sleep(8.0)
    await deployment.call(asked, "GET", PATH)
    deployment.note_logs(f'"{JOB}"', "owner:", "recover")
    again = [
        record
        for _, record in deployment.runs_of(JOB)
        if record.began_s > shown_s + SHOWN_SLACK_S
    ]
    for record in again:
        deployment.note(
            f"{record.task} started again as run {record.run}, "
            f"{record.began_s - shown_s:.2f} s after the job was shown as "
            "completed"
        )
    return not again


async def _wait_until_completed(
    deployment: deployment_module.Deployment, host: int
) -> float:
    """Asks for the job's state until it is completed; returns that time."""
    for _ in range(100):
        status, answer = await deployment.call(host, "GET", PATH)
        if status == 200 and answer["State"] == "completed":
            return asyncio.get_running_loop().time()
        await asyncio.sleep(0.05)
    raise deployment_module.CouldNotRunError("the job was not completed")


if __name__ == "__main__":
    folder = pathlib.Path(__file__).resolve().parent
    sys.exit(
        deployment_module.run_case(
            lambda: deployment_module.Deployment(
                folder, hosts=3, pools={"billing": 4}
            ),
            play,
        )
    )
