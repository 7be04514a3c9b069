"""An owner is killed while a runner has more ends than one answer lists."""

import asyncio
import collections
import pathlib
import sys

from lab import deployment as deployment_module

from stand_ins import platform_fleet

# As wide as the widest submissions of the site file.
JOBS = 25
TASKS_PER_JOB = 30
WORK_S = 2.0
KILL_AFTER_S = 0.2


async def play(
    deployment: deployment_module.Deployment, makes_trouble: bool
) -> bool:
    """Returns whether no task ran again after it had ended as done."""
    owner = deployment.owner_of("billing")
    asked = next(host for host in range(3) if host != owner)
    jobs = [platform_fleet.job_id(0xA000 + number) for number in range(JOBS)]
    step = platform_fleet.step(TASKS_PER_JOB, Cpu=50, MemMb=16)
    for job in jobs:
        status, _ = await deployment.call(
            asked,
            "POST",
            f"/billing/{job}",
            {"Spec": "tasks", "Phases": [step]},
        )
        if status != 200:
            raise deployment_module.CouldNotRunError("a job was refused")
    for job in jobs:
        await deployment.wait_for_runs(job, TASKS_PER_JOB)
    await asyncio.sleep(KILL_AFTER_S)
    if any(record.how for worker in _workers(deployment) for record in worker):
        raise deployment_module.CouldNotRunError("a task has ended too soon")
    if makes_trouble:
        deployment.kill_host(owner)
    await asyncio.sleep(12.0)
    for job in jobs:
        await deployment.call(asked, "GET", f"/billing/{job}")
    deployment.note_logs("owner:loaded", "owner:recovered", "owner:lost")
    return not _runs_after_done(deployment)


def _workers(
    deployment: deployment_module.Deployment,
) -> list[list[deployment_module.workers_module.platform_worker.RunRecord]]:
    return [worker.records for worker in deployment.workers.values()]


def _runs_after_done(deployment: deployment_module.Deployment) -> int:
    """Notes and counts the runs that began after a run had ended as done.

    Only ends that were taken note of count, which all were by now if the
    runner no longer lists them.
    """
    runs = collections.defaultdict(list)
    noted = set()
    for worker in deployment.workers.values():
        noted.update((task, run) for task, run, how in worker.acknowledged)
        for record in worker.records:
            runs[record.task].append(record)
    count = 0
    for task, records in sorted(runs.items()):
        for first in records:
            if first.how != "done" or (task, first.run) not in noted:
                continue
            for second in records:
                if second.began_s > first.ended_s:
                    count += 1
                    deployment.note(
                        f"{task} began run {second.run} "
                        f"{second.began_s - first.ended_s:.2f} s after run "
                        f"{first.run} had ended as done, an end that was "
                        "taken note of"
                    )
    deployment.note(f"{count} runs began after their task was done")
    return count


if __name__ == "__main__":
    folder = pathlib.Path(__file__).resolve().parent
    sys.exit(
        deployment_module.run_case(
            lambda: deployment_module.Deployment(
                folder,
                hosts=3,
                pools={"billing": 1},
                work_s=WORK_S,
                cpu=64_000,
                memory_mb=262_144,
            ),
            play,
        )
    )
