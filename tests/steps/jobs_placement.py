"""Steps of tests/jobs/placement.feature."""

import behave

from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import ordering
from chervillead.jobs import pacing
from chervillead.jobs import placement
from chervillead.jobs import speculation
from chervillead.jobs import task_runs

KEY = ("0" * 16, 0, 0)


def worker_snapshot(worker_id, rack, cores, **changes):
    found = placement.WorkerSnapshot(
        worker_id,
        rack,
        frozenset({rack, "x"}),
        model.Resources(1000 * cores, 1000),
        model.Resources(8000, 1000),
        {},
    )
    return found._replace(**changes)


def step_of_cores(count, **changes):
    return model.Step(1, model.Resources(1000 * count), **changes)


@behave.given(
    "a worker with 4 free cores, label x and {present:d} tasks of the step"
)
def step(context, present):
    context.workers = [
        worker_snapshot("i-1", "r1", 4, step_tasks={KEY: present})
    ]


@behave.when(
    'a task of 2 cores requires label "{label}" and at most {maximum:d} a '
    "worker"
)
@behave.when(
    'a task of 2 cores requires label "" and at most {maximum:d} a worker'
)
def step(context, maximum, label=""):
    requested = step_of_cores(2, required_label=label, max_per_worker=maximum)
    context.chosen = placement.select_worker(context.workers, requested, KEY)


@behave.then("the worker is considered {verdict}")
def step(context, verdict):
    assert (context.chosen is not None) == (verdict == "feasible")


@behave.given("workers in racks r1 and r2 with 8 free cores each")
def step(context):
    context.workers = [
        worker_snapshot("i-1", "r1", 8),
        worker_snapshot("i-2", "r2", 8),
    ]


@behave.given("the worker in rack r1 fails most of its tasks")
def step(context):
    context.workers[0] = context.workers[0]._replace(penalty=0.8)


@behave.when("a task whose data is in rack r2 is placed")
def step(context):
    requested = step_of_cores(2, data_rack="r2")
    context.chosen = placement.select_worker(context.workers, requested, KEY)


@behave.when("a task without data is placed")
def step(context):
    context.chosen = placement.select_worker(
        context.workers, step_of_cores(2), KEY
    )


@behave.then("it is placed in rack {rack}")
def step(context, rack):
    assert context.chosen.rack == rack


@behave.when("a gang of {members:d} tasks of 2 cores is placed in {racks}")
def step(context, members, racks):
    requested = step_of_cores(2, gang=True, same_rack=racks == "one rack")
    context.worker_ids = placement.select_gang_workers(
        context.workers, requested, KEY, members
    )


@behave.then("{placed:d} of them are placed in {used:d} racks")
def step(context, placed, used):
    worker_ids = context.worker_ids or []
    assert (len(worker_ids), len(set(worker_ids))) == (placed, used), worker_ids


@behave.given(
    "a full worker with batch runs of 2 cores started 5 s, 3 s and 1 s ago"
)
def step(context):
    context.workers = [worker_snapshot("i-1", "r1", 0)]
    context.runs = [
        task_runs.Run(
            KEY[0],
            model.TaskKey(0, 0, number),
            1,
            "i-1",
            reserved=model.Resources(2000),
            started_s=-started_s,
        )
        for number, started_s in enumerate((5, 3, 1))
    ]


@behave.when("a long-running task of 3 cores needs room there")
def step(context):
    context.victims = placement.select_preemption_victims(
        context.workers[0], step_of_cores(3), KEY, context.runs, 0.0
    )


@behave.when("a long-running task of 3 cores may only use {rule} there")
def step(context, rule):
    step = step_of_cores(3)
    worker = context.workers[0]
    if rule == "workers with another label":
        step = step._replace(required_label="other")
    else:
        step = step._replace(max_per_worker=1)
        worker = worker._replace(step_tasks={KEY: 1})
    context.victims = placement.select_preemption_victims(
        worker, step, KEY, context.runs, 0.0
    )


@behave.then("no run is stopped there")
def step(context):
    assert context.victims is None, context.victims


@behave.then("the runs started 1 s and 3 s ago are stopped")
def step(context):
    assert [run.started_s for run in context.victims] == [-1, -3]


@behave.when(
    "best-effort tasks at {current:d} percent meet a tail latency of "
    "{latency:d} of 100 ms"
)
def step(context, current, latency):
    context.percent = pacing.next_pace_percent(current, latency, 100)


@behave.then("they continue at {percent:d} percent")
def step(context, percent):
    assert context.percent == percent


@behave.given(
    "a step that {allows} speculation with 3 tasks completed in 1 s each"
)
def step(context, allows):
    requested = step_of_cores(1, speculative=allows == "allows")._replace(
        tasks=4
    )
    spec = model.JobSpec(KEY[0], "queue", "pool", "", "", (requested,))
    context.job = job_state.JobState(spec, accepted_s=0.0)
    for number in range(3):
        context.job.record_duration(model.TaskKey(0, 0, number), 1.0)


@behave.when("a fourth task has run for {seconds:g} s")
def step(context, seconds):
    context.job.add_run(
        task_runs.Run(
            KEY[0],
            model.TaskKey(0, 0, 3),
            1,
            "i-1",
            reserved=model.Resources(),
            started_s=-seconds,
            phase=task_runs.RunPhase.RUNNING,
        )
    )


@behave.then("it gets {runs:d} speculative runs")
def step(context, runs):
    found = list(speculation.stragglers(context.job, 0.0))
    assert len(found) == runs


@behave.when(
    "jobs have waited for {waits} s with a target of 2 s and 1 s of work"
)
def step(context, waits):
    queue = model.Queue("queue", "", "", "pool", stretch=1.0, target_ms=1000)
    requested = step_of_cores(1)._replace(estimate_ms=1000)
    spec = model.JobSpec(KEY[0], "queue", "pool", "", "", (requested,))
    jobs = [
        job_state.JobState(spec, accepted_s=-float(wait))
        for wait in waits.split(",")
    ]
    context.order = sorted(
        range(len(jobs)),
        key=lambda index: ordering.sort_key(
            jobs[index], queue.terms, now_s=0.0, share_usage=0.0
        ),
    )


@behave.then("they are placed in the order {order}")
def step(context, order):
    assert context.order == list(map(int, order.split(","))), context.order
