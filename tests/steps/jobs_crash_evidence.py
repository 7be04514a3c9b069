"""Steps of tests/jobs/crash_evidence.feature."""

import collections

import behave

from chervillead import types
from chervillead.jobs import crash_evidence
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import records
from chervillead.jobs import task_runs

JOB_ID = "0" * 16
TASK = model.TaskKey(0, 0, 0)
NOW_S = 100.0
ADDRESS = types.Address("10.1.0.1", 8000)


def new_job(tasks=1, **fields):
    step = model.Step(tasks, model.Resources(), **fields)
    spec = model.JobSpec(JOB_ID, "queue-1", "billing", "", "x", (step,))
    return job_state.JobState(spec, accepted_s=0.0)


def new_run(number, age_s=0.1, task=TASK):
    return task_runs.Run(
        JOB_ID,
        task,
        number,
        "i-0",
        reserved=model.Resources(),
        started_s=NOW_S - age_s,
        phase=task_runs.RunPhase.RUNNING,
    )


def lose_workers(job, count):
    """Records crashes that don't show which task caused them."""
    job.highest_run[TASK] = count
    for number in range(1, 1 + count):
        run, other = new_run(number), new_run(number)
        crash = crash_evidence.Crash([run, other], NOW_S, ADDRESS)
        crash_evidence.apply_crash(job, run, crash, NOW_S)


def state_of(job):
    if job.is_failed:
        return "given up"
    is_suspected = crash_evidence.needs_isolation(job, TASK)
    return "suspected" if is_suspected else "clear"


@behave.given("a task that has lost {count:d} workers")
def step(context, count):
    context.job = new_job()
    lose_workers(context.job, count)


@behave.given("a long-running task that has lost {count:d} workers")
def step(context, count):
    context.job = new_job(long_running=True)
    lose_workers(context.job, count)


@behave.given(
    "a run of it that is {start}, {age:g} s old at the worker's last answer"
)
def step(context, start, age):
    context.run = new_run(10, age)
    if "unconfirmed" in start:
        context.run.phase = task_runs.RunPhase.UNCERTAIN
    if "isolated" in start:
        context.run.isolated_until_s = crash_evidence.isolation_ends_s(
            context.job, TASK, context.run.started_s
        )


@behave.given("other runs there that are {ages} s old")
def step(context, ages):
    context.beside = [
        new_run(1, float(age)) for age in ages.replace("none", "").split()
    ]


@behave.given(
    "a run there of a task that has lost {count:d} workers, {age:g} s old"
)
def step(context, count, age):
    other = new_run(1, age, TASK._replace(number=1))
    context.beside = [other]
    own = len(context.job.crashed_runs.get(TASK, ()))
    context.earlier = {context.run.key: own, other.key: count}


@behave.given("a task that has lost {count:d} workers beside others")
def step(context, count):
    context.job = new_job()
    context.job.crashed_runs[TASK] = set(range(1, 1 + count))
    context.job.suspected_s[TASK] = NOW_S


@behave.when(
    "a new owner knows of {count:d} other tasks that lost {crashes:d} workers"
)
def step(context, count, crashes):
    others = collections.Counter({crashes: count})
    own = crash_evidence.stored_crashes([context.job])
    crash_evidence.apply_stored_crashes(context.job, NOW_S, own + others)


@behave.when("the worker crashes")
def step(context):
    crash = crash_evidence.Crash(
        [context.run, *context.beside],
        NOW_S,
        ADDRESS,
        earlier_crashes=getattr(context, "earlier", {}),
    )
    crash_evidence.apply_crash(context.job, context.run, crash, NOW_S)


@behave.when("the worker crashes {seconds:g} s after it had crashed")
def step(context, seconds):
    crash = crash_evidence.Crash(
        [context.run, *context.beside], NOW_S, ADDRESS, NOW_S - seconds
    )
    crash_evidence.apply_crash(context.job, context.run, crash, NOW_S)


@behave.then("the task has lost {count:d} workers and is {state}")
def step(context, count, state):
    lost = len(context.job.crashed_runs.get(TASK, ()))
    assert (lost, state_of(context.job)) == (count, state)


@behave.given("a gang of {count:d} tasks")
def step(context, count):
    context.job = new_job(count, gang=True)
    context.next_run = 1


@behave.when("workers crash under both members of {count:d} run")
@behave.when("workers crash under both members of {count:d} runs")
def step(context, count):
    for _ in range(count):
        members = [
            new_run(context.next_run, task=TASK._replace(number=member))
            for member in range(2)
        ]
        for run in members:
            crash = crash_evidence.Crash([run], NOW_S, ADDRESS)
            crash_evidence.apply_crash(context.job, run, crash, NOW_S)
        context.next_run += 1


@behave.then("the gang has lost {count:d} workers and gets another run")
def step(context, count):
    assert len(context.job.crashed_runs[TASK]) == count
    assert not context.job.is_failed


@behave.then("the gang is given up")
def step(context):
    assert context.job.is_failed


@behave.when("its progress is stored and restored")
def step(context):
    value = records.encode_progress(context.job)
    context.job = new_job()
    records.apply_progress(context.job, value, NOW_S)


@behave.when("its next run has lasted {seconds:g} s")
def step(context, seconds):
    run = new_run(10, seconds)
    crash_evidence.clear_long_run(context.job, run, NOW_S)


@behave.when("another member reports the end of each run")
def step(context):
    member = TASK._replace(number=1)
    for number in range(1, context.next_run):
        crash_evidence.retract_crash(context.job, member, number)


@behave.when("its worker reports the end of run {number:d}")
def step(context, number):
    crash_evidence.retract_crash(context.job, TASK, number)


@behave.then("it may run again after {pause:g} s")
def step(context, pause):
    assert context.job.retry_at_s.get(TASK, NOW_S) - NOW_S == pause, (
        context.job.retry_at_s
    )


@behave.then("the job goes on with a new owner")
def step(context):
    restored = new_job(long_running=True)
    value = records.encode_progress(context.job)
    records.apply_progress(restored, value, NOW_S)
    assert not crash_evidence.apply_stored_crashes(restored, NOW_S)
    assert not restored.is_finished and not context.job.is_finished
