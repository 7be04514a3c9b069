"""A runner restarts while idle, gets a lease too long; its zone is cut off."""

import asyncio
import pathlib
import sys

from lab import deployment as deployment_module

from stand_ins import platform_fleet

RUNNERS = 4
WARM_UP = platform_fleet.job_id(0xB1)
JOB = platform_fleet.job_id(0xB2)
# How long the runners have been up, and idle, before they restart.
UPTIME_S = 8.0
DOWN_S = 2.0
# The length of `zone_cut` with `reset` in the site file.
CUT_S = 6.3
CUT_AFTER_S = 0.9


async def play(
    deployment: deployment_module.Deployment, makes_trouble: bool
) -> bool:
    """Returns whether no two runs of the task ran at the same time."""
    for worker in deployment.workers.values():
        worker.long_running.add(JOB)
    # The only runner of its rack and zone; the hosts are in the other zone.
    remote = next(iter(deployment.workers.values()))
    await asyncio.sleep(UPTIME_S)
    await _submit(deployment, WARM_UP, RUNNERS, AntiAffinity=1)
    await deployment.wait_for_runs(WARM_UP, RUNNERS)
    await asyncio.sleep(2.0)
    if makes_trouble:
        remote.stop_process()
        deployment.note(f"{remote.worker_id} crashes; it runs nothing")
        await asyncio.sleep(DOWN_S)
        await remote.start_process()
        deployment.note(f"{remote.worker_id} is back under its id")
    await asyncio.sleep(2.0)
    await _submit(deployment, JOB, 1, LongRunning=True)
    (worker, run), *_ = await deployment.wait_for_runs(JOB, 1)
    deployment.note(f"{run.task} runs on {worker.worker_id}")
    if worker is not remote:
        raise deployment_module.CouldNotRunError("it runs in the other zone")
    await asyncio.sleep(CUT_AFTER_S)
    deployment.note(
        f"its lease ends in {worker.lease_until_ms - worker.clock_ms()} ms"
    )
    if makes_trouble:
        remote.begin_resets()
        deployment.note(f"zone-b, with {remote.worker_id}, is cut off")
    await asyncio.sleep(CUT_S)
    remote.end_resets()
    deployment.note("the cut is over")
    await asyncio.sleep(4.0)
    deployment.note_logs(f'"{JOB}"', "unreachable")
    return not _overlaps(deployment)


async def _submit(
    deployment: deployment_module.Deployment,
    job: str,
    tasks: int,
    **fields: object,
) -> None:
    body = {"Spec": "tasks", "Phases": [platform_fleet.step(tasks, **fields)]}
    status, _ = await deployment.call(0, "POST", f"/billing/{job}", body)
    if status != 200:
        raise deployment_module.CouldNotRunError("the job was not accepted")


def _overlaps(deployment: deployment_module.Deployment) -> bool:
    """Notes and returns whether two runs of the task overlapped."""
    runs = [record for _, record in deployment.runs_of(JOB)]
    found = False
    for number, first in enumerate(runs):
        for second in runs[number + 1 :]:
            until_s = min(first.ended_s, second.ended_s)
            if second.began_s < until_s:
                found = True
                deployment.note(
                    f"{first.task} ran as run {first.run} on {first.worker_id} "
                    f"and as run {second.run} on {second.worker_id} at the "
                    f"same time for {until_s - second.began_s:.2f} s"
                )
    return found


def _deployment(folder: pathlib.Path) -> deployment_module.Deployment:
    deployment = deployment_module.Deployment(
        folder, hosts=2, pools={"billing": RUNNERS}
    )
    remote = next(iter(deployment.workers.values()))
    remote.zone, remote.rack = "zone-b", "r2-0"
    return deployment


if __name__ == "__main__":
    folder = pathlib.Path(__file__).resolve().parent
    sys.exit(deployment_module.run_case(lambda: _deployment(folder), play))
