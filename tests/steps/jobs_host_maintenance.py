"""Steps of tests/jobs/host_maintenance.feature."""

import behave

from chervillead.jobs import host_maintenance
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import task_runs

POOLS = "abcdefgh"


@behave.when("a wave with a cap of {cap:d} has due hosts in pools {due}")
def step(context, cap, due):
    context.due = dict(zip(POOLS, map(int, due.split(",")), strict=False))
    context.parts = host_maintenance.split_cap(cap, context.due)


@behave.when(
    "a wave with a cap of {cap:d} has hosts in pools {due} and pools "
    "{finished} have finished"
)
def step(context, cap, due, finished):
    context.due = dict(zip(POOLS, map(int, due.split(",")), strict=False))
    context.parts = host_maintenance.split_cap(cap, context.due, set(finished))


@behave.then("the parts are {parts}")
def step(context, parts):
    found = [context.parts.get(pool, 0) for pool in context.due]
    assert found == list(map(int, parts.split(","))), found


def long_running_run(number, progress):
    run = task_runs.Run(
        "0" * 16,
        model.TaskKey(0, 0, number),
        1,
        f"i-{number}",
        reserved=model.Resources(),
        started_s=0.0,
        phase=task_runs.RunPhase.RUNNING,
    )
    run.progress_percent = progress
    return run


@behave.given(
    "a long-running step of {tasks:d} tasks with at most {budget} unavailable"
)
def step(context, tasks, budget):
    found = model.Step(
        tasks,
        model.Resources(1000),
        long_running=True,
        max_unavailable=None if budget == "none" else int(budget),
    )
    spec = model.JobSpec("0" * 16, "queue", "pool", "", "", (found,))
    context.job = job_state.JobState(spec, accepted_s=0.0)
    context.silent = set()
    for number in range(tasks):
        context.job.add_run(long_running_run(number, 100))


@behave.given("task 1 is {state}")
def step(context, state):
    (run,) = context.job.runs[model.TaskKey(0, 0, 1)]
    if state == "not running":
        context.job.remove_run(run)
    if state == "starting":
        run.progress_percent = 0
    if state == "on a silent worker":
        context.silent.add(run.worker_id)


@behave.when("task 0 is to be stopped for maintenance")
def step(context):
    context.allowed = host_maintenance.may_disrupt(
        context.job,
        model.TaskKey(0, 0, 0),
        lambda worker_id: worker_id not in context.silent,
    )


@behave.then("stopping it is {verdict}")
def step(context, verdict):
    assert context.allowed == (verdict == "allowed")


@behave.given(
    "hosts that are due for maintenance with {batch} batch tasks each"
)
def step(context, batch):
    context.candidates = [
        host_maintenance.Candidate(f"m-{place}", int(tasks), 0)
        for place, tasks in enumerate(batch.split(","))
    ]


@behave.when("{pending:d} tasks are pending and maintenance {urgency} urgent")
def step(context, pending, urgency):
    context.chosen = host_maintenance.select_hosts(
        context.candidates,
        slots=2,
        urgent=urgency == "is",
        pending_tasks=pending,
    )


@behave.then("{count:d} hosts are selected for 2 slots")
def step(context, count):
    assert len(context.chosen) == count, context.chosen
