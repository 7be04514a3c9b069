"""Steps of tests/pools/advice.feature."""

import collections

import behave

from chervillead.jobs import model
from stand_ins import advised_pool
from stand_ins import virtual_time

FAILING_JOB = 999
LATE_WORKER = "i-late"


@behave.given(
    "a pool of {workers:d} workers of which the policy allows the last "
    "{allowed:d}"
)
def step(context, workers, allowed):
    context.pool_size = workers, allowed
    context.run_s = 1.0
    context.has_failing_job = False
    context.waits_for_worker = False


@behave.given("runs take {seconds:d} s")
def step(context, seconds):
    context.run_s = seconds


@behave.when("calls about another job fail")
def step(context):
    context.has_failing_job = True


@behave.when("{count:d} jobs of {tasks} wait")
def step(context, count, tasks):
    is_gang = tasks.startswith("a gang of")
    number = int(tasks.split()[3] if is_gang else tasks.split()[0])
    context.job_count = count
    context.step = model.Step(number, model.Resources(1000, 100), gang=is_gang)


@behave.when("nothing starts within {seconds:d} s")
def step(context, seconds):
    context.idle_s = seconds


@behave.when("a worker joins that the policy allows")
def step(context):
    context.waits_for_worker = True


async def play(context, limit_s):
    pool = advised_pool.AdvisedPool(*context.pool_size)
    pool.run_s = context.run_s
    if context.has_failing_job:
        failing = pool.submit(FAILING_JOB, context.step)
        pool.failing_jobs.add(failing.spec.job_id)
    jobs = [pool.submit(n, context.step) for n in range(context.job_count)]
    context.bad_runs = []

    def are_started():
        context.bad_runs += [
            run
            for run in pool.started()
            if run.worker_id not in pool.allowed
            or run.ticket != f"ticket-{run.worker_id}"
        ]
        return not any(job.has_pending for job in jobs)

    if context.waits_for_worker:
        assert await pool.run_until(are_started, context.idle_s) is None
        pool.allowed.add(LATE_WORKER)
        pool.add_worker(LATE_WORKER)
    context.took_s = await pool.run_until(are_started, limit_s)
    context.calls = pool.calls
    await pool.partition.close()


@behave.then(
    "all of them start within {seconds:g} s, on allowed workers with their "
    "tickets"
)
def step(context, seconds):
    virtual_time.run_virtual(play(context, seconds), context.seed)
    assert context.took_s is not None, context.calls[-3:]
    assert not context.bad_runs, context.bad_runs[:3]


@behave.then(
    "no worker was asked about twice for a step within the life of a ticket"
)
def step(context):
    asked = collections.defaultdict(list)
    for call in context.calls:
        for worker_id in call.workers:
            asked[call.job_id, worker_id].append(call.at_s)
    again = [
        (key, times)
        for key, times in asked.items()
        if any(
            later - earlier < 2.0
            for earlier, later in zip(times, times[1:], strict=False)
        )
    ]
    assert not again, again[:3]


@behave.then("the service was asked about at most {count:d} workers")
def step(context, count):
    assert sum(len(call.workers) for call in context.calls) <= count


@behave.then("the service got at most {count:d} calls")
def step(context, count):
    assert len(context.calls) <= count, len(context.calls)
