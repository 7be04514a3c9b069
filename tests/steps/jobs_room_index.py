"""Steps of tests/jobs/room_index.feature."""

import behave
import hypothesis
from hypothesis import strategies

from chervillead.jobs import job_state
from chervillead.jobs import job_table
from chervillead.jobs import model
from chervillead.jobs import ordering
from chervillead.jobs import placement
from chervillead.jobs import readiness
from chervillead.jobs import room_index
from chervillead.jobs import task_runs
from chervillead.jobs import waiting_jobs
from chervillead.pools import account_usage
from chervillead.workers import load

RACKS = ("r1", "r2", "r3")
STEP_KEYS = tuple((f"{number:016x}", 0, 0) for number in range(2))

amounts = strategies.builds(
    model.Resources,
    strategies.sampled_from((0, 500, 1000, 2000, 4000, 9000)),
    strategies.sampled_from((0, 100, 1000)),
    strategies.sampled_from((0, 1)),
)
steps = strategies.builds(
    # Fields that aren't given keep their defaults.
    lambda **fields: model.Step(**fields),
    tasks=strategies.integers(1, 4),
    size=amounts,
    same_rack=strategies.booleans(),
    required_label=strategies.sampled_from(("", "", "gpu")),
    data_rack=strategies.sampled_from(("", *RACKS)),
    max_per_worker=strategies.integers(0, 2),
    long_running=strategies.booleans(),
    latency_target_ms=strategies.sampled_from((0, 100)),
    fills=strategies.booleans(),
)
image_counts = strategies.dictionaries(
    strategies.sampled_from("ab"), strategies.integers(1, 2)
).map(lambda counts: tuple(counts.items()))
workers = strategies.builds(
    placement.WorkerSnapshot,
    worker_id=strategies.sampled_from([f"i-{n}" for n in range(8)]),
    rack=strategies.sampled_from(RACKS),
    labels=strategies.sampled_from((frozenset(), frozenset({"gpu"}))),
    free=amounts.map(lambda free: free.minus(model.Resources(500))),
    capacity=strategies.sampled_from(
        (model.Resources(0), model.Resources(4000), model.Resources(9000))
    ),
    step_tasks=strategies.dictionaries(
        strategies.sampled_from(STEP_KEYS), strategies.integers(1, 3)
    ),
    latency_sensitive_images=image_counts,
    best_effort_images=image_counts,
    penalty=strategies.sampled_from((0.0, 0.0, 2.0, 100.0)),
)


def check(count, function, *arguments):
    """Runs a function on random arguments that are the same in each run."""
    hypothesis.settings(
        max_examples=count,
        deadline=None,
        derandomize=True,
        database=None,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )(hypothesis.given(*arguments)(function))()


@behave.when("{count:d} random tasks are placed by the index and by a scan")
def step(context, count):
    context.choices = []

    def place(updates, step, rack, rises):
        index, known, orders = room_index.RoomIndex(), {}, {}
        for worker, is_gone in updates:
            worker_id = worker.worker_id
            # No worker has more free than its capacity.
            free = model.Resources(*map(min, worker.free, worker.capacity))
            worker = worker._replace(free=free)
            if is_gone:
                index.discard(worker_id)
                known.pop(worker_id, None)
            else:
                order = orders.setdefault(worker_id, len(orders))
                index.put(worker, order)
                known[worker_id] = worker
            scanned = [known[i] for i in sorted(known, key=orders.get)]
            assert index.workers == scanned, (index.workers, scanned)
            arguments = step, STEP_KEYS[0]
            preferences = {"preferred_rack": rack, "rise": rise_by(rises)}
            context.choices.append(
                (
                    index.select(*arguments, **preferences),
                    placement.select_worker(scanned, *arguments, **preferences),
                )
            )

    updates = strategies.tuples(workers, strategies.sampled_from((0, 0, 0, 1)))
    check(
        count,
        place,
        strategies.lists(updates, min_size=1, max_size=30),
        steps,
        strategies.sampled_from(("", *RACKS)),
        strategies.none()
        | strategies.fixed_dictionaries(
            dict.fromkeys("ab", strategies.sampled_from((0, 5, 50)))
        ),
    )


def rise_by(rises):
    """Returns the interference with neighbors by their images, if any."""
    if rises is None:
        return None
    return lambda worker: sum(
        rises[image] * count for image, count in worker.best_effort_images
    )


@behave.then("both choose the same worker each time")
def step(context):
    assert any(scanned for _, scanned in context.choices)
    for indexed, scanned in context.choices:
        assert indexed == scanned, (indexed, scanned)


@behave.when("{count:d} random sequences of runs start and end on a worker")
def step(context, count):
    context.loads = []

    def change(changes):
        worker_load, usage = load.WorkerLoad(), account_usage.AccountUsage()
        active = {}
        for number, (step, account, is_known) in changes:
            run = task_runs.Run(
                STEP_KEYS[number % 2][0],
                model.TaskKey(0, 0, number),
                1,
                "i-1",
                reserved=step.reserved if is_known else model.Resources(),
                started_s=0.0,
            )
            if run.key in active:
                del active[run.key]
                worker_load.remove(run.key)
                usage.remove("i-1", run.key)
            else:
                active[run.key] = run, step if is_known else None, account
                image = "ab"[number % 2]
                worker_load.add(run, step if is_known else None, image)
                if is_known:
                    usage.add(run, account, step)
            context.loads.append(
                (kept_values(worker_load, usage), summed_values(active))
            )

    run_changes = strategies.tuples(
        strategies.integers(0, 5),
        strategies.tuples(
            steps, strategies.sampled_from("ab"), strategies.booleans()
        ),
    )
    check(count, change, strategies.lists(run_changes, max_size=20))


def kept_values(worker_load, usage):
    return (
        worker_load.reserved,
        worker_load.step_tasks,
        dict(worker_load.latency_sensitive_images),
        dict(worker_load.best_effort_images),
        {name: used for name, used in usage.by_account.items() if any(used)},
    )


def summed_values(active):
    reserved, step_tasks, by_account = model.Resources(), {}, {}
    latency_sensitive, best_effort = {}, {}
    for run, step, account in active.values():
        reserved = reserved.plus(run.reserved)
        key = run.job_id, run.task.occurrence, run.task.step
        step_tasks[key] = step_tasks.get(key, 0) + 1
        if step is None:
            continue
        image = "ab"[run.task.number % 2]
        if step.latency_target_ms:
            latency_sensitive[image] = latency_sensitive.get(image, 0) + 1
        if step.fills:
            best_effort[image] = best_effort.get(image, 0) + 1
        used = by_account.get(account, model.Resources()).plus(step.size)
        by_account[account] = used
    by_account = {name: used for name, used in by_account.items() if any(used)}
    return reserved, step_tasks, latency_sensitive, best_effort, by_account


@behave.then("its load always equals the sum of its runs")
def step(context):
    assert context.loads
    for kept, summed in context.loads:
        assert kept == summed, (kept, summed)


@behave.when("{count:d} random sequences of ends and cancels reach some jobs")
def step(context, count):
    context.unfinished = []

    def change(events):
        table = job_table.JobTable()
        for number in range(3):
            job_id = f"{number:016x}"
            job_steps = (
                model.Step(2, model.Resources(1000)),
                model.Step(number, model.Resources(1000), depends_on=(0,)),
            )
            spec = model.JobSpec(job_id, "queue", "pool", "", "", job_steps)
            table[job_id] = job_state.JobState(spec, accepted_s=0.0)
        for number, kind, task in events:
            job = table.get(f"{number:016x}")
            if job is None or (kind != "forget" and not job.has_task(task)):
                continue
            if kind == "forget":
                del table[job.spec.job_id]
            elif kind == "cancel":
                job.cancel(0.0)
            else:
                key = task_runs.RunKey(job.spec.job_id, task, 1)
                end = task_runs.RunEnd(key, task_runs.EndKind.DONE)
                job.apply_run_end(end, 1, 0.0)
            context.unfinished.append(
                (
                    [job.spec.job_id for job in table.unfinished()],
                    [i for i, job in table.items() if has_work_left(job)],
                )
            )

    tasks = strategies.builds(
        model.TaskKey,
        strategies.just(0),
        strategies.integers(0, 1),
        strategies.integers(0, 1),
    )
    kinds = strategies.sampled_from(("done",) * 8 + ("cancel", "forget"))
    events = strategies.tuples(strategies.integers(0, 2), kinds, tasks)
    check(count, change, strategies.lists(events, max_size=20))


def has_work_left(job):
    if job.is_cancelled or job.is_failed:
        return False
    return any(
        len(job.done.get((0, number), ())) < step.tasks
        for number, step in enumerate(job.spec.steps)
    )


@behave.then("the unfinished jobs are always those with work left")
def step(context):
    assert any(expected for _, expected in context.unfinished)
    for unfinished, expected in context.unfinished:
        assert unfinished == expected, (unfinished, expected)


QUEUES = {
    "urgent": model.Queue("urgent", "", "", "pool", stretch=2.0),
    "batch": model.Queue("batch", "", "", "pool", priority=1, target_ms=900),
}


def terms_of(spec):
    """Returns the terms of a job; some jobs are of an unknown queue."""
    queue = QUEUES.get(spec.queue)
    return model.JobTerms() if queue is None else queue.terms


queued_jobs = strategies.builds(
    lambda queue, account, sizes, estimate_ms, long_running: model.JobSpec(
        "",
        queue,
        "pool",
        account,
        "",
        tuple(
            model.Step(
                1,
                size,
                estimate_ms=estimate_ms,
                depends_on=(number - 1,) if number else (),
                long_running=long_running,
            )
            for number, size in enumerate(sizes)
        ),
    ),
    strategies.sampled_from(("urgent", "batch", "removed")),
    strategies.sampled_from("abc"),
    strategies.lists(amounts, min_size=1, max_size=3),
    strategies.sampled_from((0, 500, 2000)),
    strategies.sampled_from((False, False, False, True)),
)


@behave.when("{count:d} random sequences of jobs wait, go on and leave")
def step(context, count):
    context.orders, context.needs = [], []

    def change(specs, events, usage, now_s):
        index, jobs = waiting_jobs.WaitingJobs(), []
        for number, (spec, accepted_s, is_over_rate) in enumerate(specs):
            spec = spec._replace(job_id=f"{number:016x}")
            jobs.append(job_state.JobState(spec, accepted_s=accepted_s))
            jobs[-1].is_over_rate = is_over_rate
            put(index, jobs, number, now_s)
        for number, event in events:
            if number >= len(jobs):
                continue
            apply_event(jobs[number], event)
            put(index, jobs, number, now_s)
            waiting = [job for job in jobs if can_start(job)]
            expected = sorted(
                waiting,
                key=lambda job: ordering.sort_key(
                    job,
                    terms_of(job.spec),
                    now_s=now_s,
                    share_usage=usage.get(job.spec.account, 0.0),
                ),
            )
            kept = [*index.long_running(), *index.batch(now_s, usage)]
            context.orders.append((kept, expected))
            context.needs.append((index.least_need("pool"), needs_of(waiting)))

    events = strategies.tuples(
        strategies.integers(0, 5),
        strategies.sampled_from(("start", "done", "done", "lost", "cancel")),
    )
    times = strategies.sampled_from((0.0, 0.5, 1.0, 1.75, 3.0))
    check(
        count,
        change,
        strategies.lists(
            strategies.tuples(queued_jobs, times, strategies.booleans()),
            min_size=1,
            max_size=6,
        ),
        strategies.lists(events, max_size=12),
        strategies.dictionaries(
            strategies.sampled_from("abc"),
            strategies.sampled_from((0.5, 1.0, 1.5, 2.0)),
        ),
        times,
    )


def put(index, jobs, number, now_s):
    terms = terms_of(jobs[number].spec)
    index.put(jobs[number], terms, order=number, now_s=now_s)


def needs_of(jobs):
    """Returns what the batch tasks that may start reserve."""
    return [
        job_step.reserved
        for job in jobs
        if not ordering.is_long_running(job.spec)
        for job_step in readiness.unblocked_steps(job)
    ]


def can_start(job):
    return not job.is_finished and any(readiness.unblocked_steps(job))


def apply_event(job, event):
    """Lets the first step that isn't done go on."""
    number = next(
        (n for n in range(len(job.spec.steps)) if not job.step_is_done(0, n)),
        None,
    )
    if event == "cancel":
        job.cancel(0.0)
    if number is None or event == "cancel":
        return
    task = model.TaskKey(0, number, 0)
    runs = job.runs.get(task, [])
    if event == "start" and not runs and not job.is_finished:
        reserved = job.step(task).reserved
        job_id = job.spec.job_id
        run = task_runs.Run(
            job_id, task, 1, "i-1", reserved=reserved, started_s=0.0
        )
        job.add_run(run)
    elif event == "done" and runs:
        end = task_runs.RunEnd(runs[0].key, task_runs.EndKind.DONE)
        job.apply_run_end(end, 1, 0.0)
        job.remove_run(runs[0])
    elif event == "lost" and runs:
        job.remove_run(runs[0])


@behave.then("they are always in the order of their sort keys")
def step(context):
    assert any(len(expected) > 1 for _, expected in context.orders)
    for kept, expected in context.orders:
        assert kept == expected, (kept, expected)


@behave.then("no task that may start needs less than the least need")
def step(context):
    assert any(batch for _, batch in context.needs)
    for least, batch in context.needs:
        assert (least is None) == (not batch), (least, batch)
        assert all(need.covers(least) for need in batch), (least, batch)
