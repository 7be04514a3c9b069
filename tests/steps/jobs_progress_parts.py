"""Steps of tests/jobs/progress_parts.feature."""

import asyncio
import re

import behave
import msgspec

from chervillead.jobs import job_state
from chervillead.jobs import learned_times
from chervillead.jobs import model
from chervillead.jobs import partition_records
from chervillead.jobs import records
from chervillead.jobs import task_runs
from chervillead.platform import job_bodies
from chervillead.pools import job_recorder
from chervillead.pools import takeover
from chervillead.store import interface
from stand_ins import platform_fleet

MAX_RECORD_BYTES = 262_144
JOB_ID = "0123456789abcdef"
FAILED_RUNS = {2**40, 2**40 + 1, 2**40 + 2}
HIGHEST_RUN = 2**40 + 3
# A name of the configuration has at most this many characters.
NAME = "đ" * 1000
# An owner holds at most this many jobs: 40 MB of 4,500 bytes.
MAX_JOBS = 9_300


class RecordedWriter:
    """Keeps the records that a recorder queues, in order."""

    def __init__(self):
        self.records = []

    def append(self, key, value):
        """Stores a record at once."""
        self.records.append(interface.KeyedRecord(key, value))
        stored = asyncio.get_running_loop().create_future()
        stored.set_result(None)
        return stored

    def newest(self):
        """Returns the newest record of each key."""
        return tuple({record.key: record for record in self.records}.values())


def new_job(steps, repeats=0):
    spec = model.JobSpec(
        JOB_ID, "queue", "pool", "", "x", steps, model.Schedule(repeats)
    )
    return job_state.JobState(spec, accepted_s=0.0)


def record(context, act):
    """Runs an action with a recorder; returns the records that it queues."""

    async def run():
        writer = RecordedWriter()
        context.log = []
        recorder = job_recorder.JobRecorder(
            writer,
            MAX_RECORD_BYTES,
            lambda event, **fields: context.log.append((event, fields)),
        )
        act(recorder)
        return writer

    return asyncio.run(run())


@behave.given("an unstored job of {text}")
def step(context, text):
    found = {
        unit: int(count)
        for count, unit in re.findall(r"(\d+) (tasks|steps|occurrences)", text)
    }
    steps = model.Step(found["tasks"], model.Resources(), checkpointing=True)
    context.job = new_job(
        (steps,) * found.get("steps", 1), found.get("occurrences", 0)
    )


def all_tasks(job):
    return (
        model.TaskKey(occurrence, number, index)
        for occurrence in range(job.spec.occurrences)
        for number, step in enumerate(job.spec.steps)
        for index in range(step.tasks)
    )


@behave.when(
    "all tasks have begun, failed 3 times and have checkpoints of {size:d} "
    "characters"
)
def step(context, size):
    job = context.job
    for task in all_tasks(job):
        job.highest_run[task] = HIGHEST_RUN
        job.failed_runs[task] = set(FAILED_RUNS)
        job.checkpoints[task] = "c" * size
    context.tasks = list(all_tasks(job))


@behave.when("each third task is done")
def step(context):
    for task in context.tasks[::3]:
        key = task.occurrence, task.step
        context.job.restore_done(key, (task.number,))
    context.written = record(
        context,
        lambda recorder: recorder.store_progress(context.job, context.tasks),
    )


@behave.when("each task but the first {count:d} is done")
def step(context, count):
    for task in context.tasks[count:]:
        key = task.occurrence, task.step
        context.job.restore_done(key, (task.number,))


@behave.then("each of its records has at most {size:d} bytes")
def step(context, size):
    longest = max(r.size_bytes for r in context.written.records)
    assert longest <= size, longest


def restored(context, written):
    """Returns the job that a later owner restores."""
    spec = interface.KeyedRecord(
        records.spec_key(JOB_ID), records.encode_spec(context.job.spec)
    )
    lines = []
    (job,) = takeover.restore_jobs(
        (spec, *written),
        0.0,
        0.0,
        lambda event, **fields: lines.append((event, fields)),
    )
    assert not lines, lines[0]
    return job


@behave.then(
    "a later owner restores the same progress but for {lost} checkpoints"
)
def step(context, lost):
    job, later = context.job, restored(context, context.written.newest())
    assert {k: list(v) for k, v in job.done.items() if v} == {
        k: list(v) for k, v in later.done.items() if v
    }
    begun = [task for task in context.tasks if not job.is_done(task)]
    for task in begun:
        assert later.highest_run[task] == HIGHEST_RUN, task
        assert later.failed_runs[task] == FAILED_RUNS, task
    kept = [t for t in begun if later.checkpoints.get(t) == job.checkpoints[t]]
    told = [event for event, _ in context.log]
    if lost == "no":
        assert len(kept) == len(begun), (len(kept), len(begun))
        assert not told, told
    else:
        assert len(kept) < len(begun)
        assert set(told) == {"record:without-checkpoints"}, told


@behave.then("one end writes at most {size:d} bytes")
def step(context, size):
    task = context.tasks[len(context.tasks) // 2]
    key = task.occurrence, task.step
    context.job.restore_done(key, (task.number,))
    written = record(
        context, lambda recorder: recorder.store_progress(context.job, (task,))
    )
    total = sum(r.size_bytes for r in written.records)
    assert 0 < total <= size, total


@behave.when("an earlier build stores it as one record")
def step(context):
    job = context.job
    done = bytearray((len(context.tasks) + 7) // 8)
    for number in job.done[0, 0]:
        done[number // 8] |= 1 << number % 8
    tasks = tuple(
        records.TaskProgress(
            task, tuple(sorted(FAILED_RUNS)), HIGHEST_RUN, job.checkpoints[task]
        )
        for task in context.tasks
        if not job.is_done(task)
    )
    progress = records.Progress(
        (records.StepProgress(0, 0, bytes(done)),), tasks, False, False
    )
    context.written = RecordedWriter()
    context.written.records = [
        interface.KeyedRecord(
            records.progress_key(JOB_ID),
            records._encoder.encode(progress),
        )
    ]
    context.log = []


@behave.then("it stores all {count:d} parts before it replaces that record")
def step(context, count):
    later = restored(context, context.written.newest())
    assert later.has_unsplit_progress
    written = record(context, lambda recorder: recorder.split_progress(later))
    keys = [r.key for r in written.records]
    first = records.progress_key(JOB_ID)
    assert len(keys) == count and keys[-1] == first, keys
    # A process may end after any of them.
    for stored_count in range(len(keys) + 1):
        stored = {r.key: r for r in context.written.records}
        stored |= {r.key: r for r in written.records[:stored_count]}
        again = restored(context, tuple(stored.values()))
        assert list(again.done[0, 0]) == list(later.done[0, 0]), stored_count
        assert again.failed_runs == later.failed_runs, stored_count
    assert not again.has_unsplit_progress


@behave.given("an unstored gang of {tasks:d} tasks that has ended")
def step(context, tasks):
    step = model.Step(tasks, model.Resources(), gang=True)
    later_step = model.Step(1, model.Resources(), depends_on=(0,))
    context.job = new_job((step, later_step))
    run = task_runs.RunKey(JOB_ID, model.TaskKey(0, 0, 7), 1)
    context.job.apply_run_end(
        task_runs.RunEnd(run, task_runs.EndKind.DONE), 3, 0.0
    )
    context.written = record(
        context,
        lambda recorder: recorder.store_progress(context.job, (run.task,)),
    )


@behave.when("only the first {count:d} of its records are stored")
def step(context, count):
    assert len(context.written.records) == 4, context.written.records
    context.stored = tuple(context.written.records[:count])


@behave.then("a later owner counts {count:d} of its tasks as done")
def step(context, count):
    later = restored(context, context.stored)
    assert len(later.done.get((0, 0), ())) == count


def largest_spec():
    """Returns the longest spec of a body of the usual limit."""
    step = platform_fleet.step(1) | {"Image": "i" * 130, "After": [0, 1, 2]}
    body = b""
    texts = "y" * 4000
    fields = {"Spec": texts, "Phases": [platform_fleet.step(1)] * 3}
    while len(fields["Phases"]) < 1000:
        fields["Phases"].append(step)
    body = msgspec.json.encode(fields)
    assert 200_000 < len(body) <= MAX_RECORD_BYTES, len(body)
    decoded = job_bodies.decode_job(
        body,
        job_id=JOB_ID,
        queue=model.Queue(NAME, NAME, NAME, NAME),
        account=NAME,
        now_unix_ms=2**50,
    )
    return decoded.unwrap()


def largest_progress():
    job = new_job((model.Step(100_000, model.Resources()),))
    for task in all_tasks(job):
        job.highest_run[task] = 2**60
        job.failed_runs[task] = {2**60 + number for number in range(100)}
        job.crashed_runs[task] = {2**60 + number for number in range(8)}
        job.checkpoints[task] = "c" * 200
    return records.encode_progress(job, 700)


MOMENTS = learned_times.Moments(1e300, 1e300, 1e300)
LARGEST = {
    "spec": lambda: records.encode_spec(largest_spec()),
    "terms": lambda: records.encode_terms(
        model.JobTerms(
            2**60, 9, 1e300, 2**60, model.AdvicePolicy(9, 9, 9), 2 * NAME
        )
    ),
    "progress": largest_progress,
    "cancellation": lambda: partition_records.Cancellation(JOB_ID, NAME),
    "queue": lambda: partition_records.QueueAssignment(
        2 * NAME, 2**60, True, (JOB_ID,) * MAX_JOBS, tuple(range(100))
    ),
    "quota-share": lambda: partition_records.QuotaShare(NAME, 2**60),
    "quota-grants": lambda: partition_records.QuotaGrants(
        NAME,
        dict.fromkeys(range(1000), 2**60),
        dict.fromkeys(range(1000), (2**60, 2**60)),
    ),
    "run-time": lambda: partition_records.LearnedRunTime(
        2 * NAME,
        NAME,
        learned_times.LearnedTimes(MOMENTS, MOMENTS),
        2**60,
    ),
}
KEYS = {
    "spec": records.spec_key(JOB_ID),
    "terms": records.terms_key(JOB_ID),
    "progress": records.progress_key(JOB_ID, 700),
}


@behave.then(
    "the largest {kind} record has at most {size:d} bytes with its key"
)
def step(context, kind, size):
    value, key = LARGEST[kind](), KEYS.get(kind)
    if not isinstance(value, bytes):
        value, key = (
            partition_records.encode(value),
            partition_records.key_of(value),
        )
    assert job_recorder.kind_of(key) == kind, key
    found = interface.KeyedRecord(key, value).size_bytes
    assert found <= size, found
