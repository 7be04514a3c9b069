"""Steps of tests/pools/placement_pass.feature."""

import asyncio

import behave
import hypothesis
from hypothesis import strategies

from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import placement
from chervillead.jobs import quotas
from chervillead.jobs import readiness
from chervillead.jobs import task_runs
from stand_ins import memory_partition

QUEUES = {
    name: model.Queue(
        name,
        "",
        "",
        memory_partition.POOL,
        priority=priority,
        max_attempts=2,
        target_ms=500,
    )
    for priority, name in enumerate(("urgent", "usual"))
}
CONFIGURATION = model.FleetConfiguration(
    version=1,
    queues=QUEUES,
    pools={memory_partition.POOL: model.Pool(memory_partition.POOL)},
    accounts={
        "free": model.Account("free", 1.0, model.Resources()),
        "small": model.Account("small", 1.0, model.Resources(9_000)),
    },
    account_of_key={},
    max_body_bytes=0,
)

sizes = strategies.builds(
    lambda millicores, memory_mb: model.Resources(millicores, memory_mb),
    strategies.sampled_from((500, 1_000, 3_000, 5_000)),
    strategies.sampled_from((0, 100, 900)),
)
step_lists = strategies.lists(
    strategies.builds(
        # Fields that aren't given keep their defaults.
        lambda **fields: model.Step(**fields),
        tasks=strategies.integers(1, 4),
        size=sizes,
        estimate_ms=strategies.sampled_from((100, 2_000)),
        required_label=strategies.sampled_from(("", "", "", "gpu")),
        max_per_worker=strategies.sampled_from((0, 0, 0, 1)),
        fills=strategies.sampled_from((False, False, False, True)),
        same_rack=strategies.booleans(),
    ),
    min_size=1,
    max_size=3,
)
job_shapes = strategies.tuples(
    step_lists,
    strategies.booleans(),
    strategies.sampled_from(tuple(QUEUES)),
    strategies.sampled_from(("free", "free", "small")),
)
worker_shapes = strategies.tuples(
    strategies.sampled_from((4_000, 6_000, 8_000)),
    strategies.sampled_from(("r1", "r2")),
    strategies.booleans(),
)
events = strategies.tuples(
    strategies.sampled_from(
        ("end",) * 6
        + ("fail", "submit", "submit", "cancel", "drain", "undrain")
    ),
    strategies.integers(0, 11),
)


def make_job(number, shape):
    steps, is_chained, queue, account = shape
    if is_chained:
        steps = [
            one._replace(depends_on=(index - 1,) if index else ())
            for index, one in enumerate(steps)
        ]
    spec = model.JobSpec(
        f"{number:016x}",
        queue,
        memory_partition.POOL,
        account,
        "",
        tuple(steps),
    )
    return job_state.JobState(spec, accepted_s=memory_partition.START_S)


def make_workers(shapes):
    return [
        memory_partition.make_worker(
            f"i-{number}",
            model.Resources(millicores, 1_000),
            rack=rack,
            labels=frozenset({"gpu"} if has_label else ()),
        )
        for number, (millicores, rack, has_label) in enumerate(shapes)
    ]


def apply_event(partition, event, waiting_jobs):
    """Applies an event; numbers beyond what there is take the rest."""
    kind, number = event
    state = partition.state
    runs = [(i, key) for i in state.watches for key in partition.runs_on(i)]
    view = list(state.watches.values())[number % len(state.watches)].view
    if kind in ("end", "fail") and runs:
        worker_id, key = runs[number % len(runs)]
        ends = task_runs.EndKind
        end = ends.DONE if kind == "end" else ends.FAILED
        partition.report(worker_id, key, end)
    elif kind == "submit" and waiting_jobs:
        job = waiting_jobs.pop()
        state.jobs[job.spec.job_id] = job
    elif kind == "cancel" and state.jobs:
        list(state.jobs.values())[number % len(state.jobs)].cancel(
            partition.now_s
        )
    elif kind in ("drain", "undrain"):
        view.cordoned_for = "test" if kind == "drain" else ""
        state.changed_workers.add(view.worker_id)


def startable_tasks(partition):
    """Returns the waiting tasks that fit, by a look at all workers."""
    state, now_s = partition.state, partition.now_s
    found = []
    for job in state.jobs.values():
        for ready in readiness.ready_steps(job, now_s, 1000 * now_s):
            key = job.spec.job_id, ready.occurrence, ready.number
            size = ready.step.size
            account = job.spec.account
            if is_allowed(state, account, size):
                found += [
                    (ready.ready_tasks(), watch.view.worker_id)
                    for watch in allowed_watches(state, ready, now_s)
                    if placement.is_feasible(
                        watch.view.as_snapshot(), ready.step, key
                    )
                ]
    return found


def is_allowed(state, account, size):
    quota = quotas.quota_of(CONFIGURATION, account)
    used = summed_usage(state).get(account, model.Resources())
    return quota is None or quotas.allows(quota, quotas.WHOLE, used, size)


def allowed_watches(state, ready, now_s):
    """Returns the workers on which no task of a step has failed."""
    failed = {
        worker_id
        for task in ready.ready_tasks()
        for worker_id in ready.job.failed_workers.get(task.task, ())
    }
    return [
        watch
        for watch in state.watches.values()
        if watch.view.is_schedulable(now_s, frozenset())
        and watch.view.worker_id not in failed
    ]


def summed_usage(state):
    usage = {}
    for watch in state.watches.values():
        for run in watch.view.runs.values():
            account = state.jobs[run.job_id].spec.account
            used = usage.get(account, model.Resources())
            usage[account] = used.plus(state.step_of(run).size)
    return usage


def is_overloaded(view):
    reserved = model.Resources()
    for run in view.runs.values():
        reserved = reserved.plus(run.reserved)
    return not view.registration.capacity.covers(reserved)


@behave.when("{count:d} random sequences of events reach the owner of a pool")
def step(context, count):
    context.startable, context.overloaded = [], []
    context.starts = 0

    async def play(workers, shapes, sequence):
        jobs = [make_job(number, shape) for number, shape in enumerate(shapes)]
        partition = memory_partition.MemoryPartition(
            CONFIGURATION, make_workers(workers), jobs[: len(jobs) // 2]
        )
        waiting = jobs[len(jobs) // 2 :]
        partition.run_pass()
        for event in sequence:
            partition.now_s += 0.001
            apply_event(partition, event, waiting)
            partition.run_pass()
            views = [w.view for w in partition.state.watches.values()]
            context.starts += sum(len(view.runs) for view in views)
            context.startable.append(startable_tasks(partition))
            context.overloaded += filter(is_overloaded, views)
        await partition.close()

    @hypothesis.settings(
        max_examples=count,
        deadline=None,
        derandomize=True,
        database=None,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(
        strategies.lists(worker_shapes, min_size=1, max_size=4),
        strategies.lists(job_shapes, min_size=2, max_size=10),
        strategies.lists(events, min_size=5, max_size=25),
    )
    def check(workers, shapes, sequence):
        asyncio.run(play(workers, shapes, sequence))

    check()


@behave.then("after each pass no waiting task fits on any worker")
def step(context):
    assert context.starts > 1000, context.starts
    for startable in context.startable:
        assert not startable, startable


@behave.then("no worker holds more than its capacity")
def step(context):
    assert not context.overloaded, context.overloaded


# Workers that can be sent the starts of all tasks at once.
LARGE_POOL = 400


def single_step_job(number, priority, tasks):
    """Returns a job of tasks that all fit, and the terms of its queue."""
    queue = model.Queue(
        "queue", "host", "/", memory_partition.POOL, priority=priority
    )
    spec = model.JobSpec(
        f"{number:016x}",
        queue.name,
        memory_partition.POOL,
        "account",
        "x",
        (model.Step(tasks, model.Resources(1, 1)),),
    )
    return job_state.JobState(spec, accepted_s=0.0, terms=queue.terms)


@behave.given(
    "an owner whose clock advances by {tick:g} ms whenever it is read"
)
def step(context, tick):
    context.tick_s = tick / 1000


def make_partition(context, workers, jobs):
    """Returns an owner of workers with room for all tasks of some jobs."""
    queue = model.Queue("queue", "host", "/", memory_partition.POOL)
    configuration = model.FleetConfiguration(
        1,
        {queue.name: queue},
        {memory_partition.POOL: model.Pool(memory_partition.POOL)},
        {"account": model.Account("account", 1.0, model.Resources())},
        {},
        262_144,
    )
    registrations = [
        memory_partition.make_worker(
            f"i-{number}", model.Resources(100_000, 100_000)
        )
        for number in range(workers)
    ]
    partition = memory_partition.MemoryPartition(
        configuration, registrations, jobs
    )
    partition.tick_s = context.tick_s
    return partition


async def place_large_step(context, tasks):
    """Runs passes until all tasks have started."""
    partition = make_partition(
        context, LARGE_POOL, [single_step_job(1, 1, tasks)]
    )
    urgent = single_step_job(2, 0, 1)
    context.pass_s, context.urgent_after = [], 0
    while len(context.pass_s) < 1000:
        began_s = partition.now_s
        partition.run_pass()
        context.pass_s.append(partition.now_s - began_s)
        if len(context.pass_s) == 1:
            partition.state.jobs[urgent.spec.job_id] = urgent
        if urgent.runs and not context.urgent_after:
            context.urgent_after = len(context.pass_s)
        if not any(
            job.has_pending for job in partition.state.jobs.unfinished()
        ):
            break
    await partition.close()


@behave.when(
    "a step of {tasks:d} tasks waits and an urgent job comes after the first "
    "pass"
)
def step(context, tasks):
    asyncio.run(place_large_step(context, tasks))


@behave.then("no pass takes longer than {limit:g} ms")
def step(context, limit):
    assert max(context.pass_s) <= limit / 1000, max(context.pass_s)


@behave.then("the urgent job starts in the second pass")
def step(context):
    assert context.urgent_after == 2, context.urgent_after


@behave.then("all tasks have started after {count:d} passes at most")
def step(context, count):
    assert len(context.pass_s) <= count, len(context.pass_s)


async def place_beside_suspects(context, tasks):
    """Runs passes until the job behind suspected tasks has started."""
    suspected = single_step_job(1, 0, tasks)
    usual = single_step_job(2, 1, 1)
    partition = make_partition(context, 2, [suspected, usual])
    for number in range(tasks):
        task = model.TaskKey(0, 0, number)
        suspected.crashed_runs[task] = {1}
        suspected.suspected_s[task] = partition.now_s
    context.passes = 0
    while context.passes < 50 and not usual.runs:
        partition.run_pass()
        context.passes += 1
    await partition.close()


@behave.when(
    "a step of {tasks:d} suspected tasks waits and a usual job behind it"
)
def step(context, tasks):
    asyncio.run(place_beside_suspects(context, tasks))


@behave.then("the usual job starts after {count:d} passes at most")
def step(context, count):
    assert context.passes <= count, context.passes
