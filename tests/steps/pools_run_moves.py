"""Steps of tests/pools/run_moves.feature."""

import collections

import behave

from stand_ins import platform_fleet
from stand_ins import platform_scenarios

FIRST_JOB = 200
KINDS = {
    "ordinary": {},
    "checkpointing": {"Checkpointing": True},
    "checkpointing speculative": {"Checkpointing": True, "Speculative": True},
}


@behave.when("{count:d} workers become {factor:g} times slower")
def step(context, count, factor):
    slow_down(context, count, factor, stops_to_drop=0)


@behave.when(
    "{count:d} workers become {factor:g} times slower and lose all stops"
)
def step(context, count, factor):
    slow_down(context, count, factor, stops_to_drop=1_000_000)


def slow_down(context, count, factor, stops_to_drop):
    async def change(fleet):
        for worker in fleet.workers.values():
            worker.takes_checkpoints = True
        for worker in list(fleet.workers.values())[:count]:
            worker.slowness = factor
            worker.stops_to_drop = stops_to_drop

    platform_scenarios.add_action(context, change)


@behave.when("{count:d} jobs of {tasks:d} {kind} tasks are submitted")
def step(context, count, tasks, kind):
    context.job_ids = [
        platform_fleet.job_id(FIRST_JOB + number) for number in range(count)
    ]
    context.tasks = tasks

    async def submit(fleet):
        for job_id in context.job_ids:
            await fleet.submit(
                job_id, [platform_fleet.step(tasks, **KINDS[kind])]
            )

    platform_scenarios.add_action(context, submit)


@behave.when("the owner is killed as soon as it moves a run")
def step(context):
    async def kill(fleet):
        await platform_scenarios.wait_until(
            lambda: moves(fleet), interval_s=0.001
        )
        await fleet.kill_host(fleet.owner_host())

    platform_scenarios.add_action(context, kill)


def moves(fleet):
    """Returns the log lines about moved runs."""
    return [line for line in fleet.logs if line["message_type"] == "run:moving"]


@behave.then("all tasks of these jobs have completed")
def step(context):
    fleet = platform_scenarios.run_once(context).fleet
    done = {
        record.task
        for worker in fleet.workers.values()
        for record in worker.records
        if record.how == "done"
    }
    expected = {
        f"{job_id}.0.0.{number}"
        for job_id in context.job_ids
        for number in range(context.tasks)
    }
    assert expected <= done, sorted(expected - done)


@behave.then("some of them were moved once and resumed from a checkpoint")
def step(context):
    fleet = platform_scenarios.run_once(context).fleet
    moved = collections.Counter(
        (line["job"], *line["task"]) for line in moves(fleet)
    )
    assert moved and set(moved.values()) == {1}, moved
    resumed = [
        entry for worker in fleet.workers.values() for entry in worker.resumed
    ]
    assert len(resumed) == len(moved), (resumed, moved)


@behave.then("no worker had to stop two of them at a time")
def step(context):
    fleet = platform_scenarios.run_once(context).fleet
    moving = {}
    for line in fleet.logs:
        key = line.get("job"), tuple(line.get("task", ())), line.get("run")
        worker = line.get("worker")
        if line["message_type"] == "run:moving":
            assert worker not in moving, (moving, line)
            moving[worker] = key
        elif line["message_type"] == "run:ended" and moving.get(worker) == key:
            del moving[worker]


@behave.then("no run was moved")
def step(context):
    fleet = platform_scenarios.run_once(context).fleet
    assert not moves(fleet), moves(fleet)
