"""Steps of tests/pools/accepted_terms.feature."""

import asyncio

import behave
import msgspec

from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import records
from chervillead.pools import pool_partitions
from stand_ins import owner_states
from stand_ins import platform_fleet
from stand_ins import platform_scenarios
from stand_ins import platform_store

PARTITION = pool_partitions.partition_of(
    platform_fleet.POOL, platform_store.PARTITIONS
)
OTHER_JOB = platform_fleet.job_id(0xABC)


@behave.when("a job of 1 task that always fails is submitted")
def step(context):
    async def submit(fleet):
        for worker in fleet.workers.values():
            worker.failing.add(platform_scenarios.JOB)
        outcome = await platform_scenarios.submit(
            fleet, [platform_fleet.step(1)]
        )
        await asyncio.sleep(0.1)
        return outcome

    async def read_phase(fleet):
        host = fleet.hosts[fleet.owner_host()]
        owner = host.ownership.owner_of(PARTITION)
        context.owner_phase = owner.state.jobs[platform_scenarios.JOB].phase

    platform_scenarios.add_action(context, submit)
    context.last_action = read_phase


@behave.when("operators remove its queue")
def step(context):
    async def remove(fleet):
        changed = platform_fleet.configuration(2, Routes=[])
        fleet.store.put("keyed.op", "config", changed)

    platform_scenarios.add_action(context, remove)


@behave.when("operators allow jobs of its queue {attempts:d} attempt")
def step(context, attempts):
    async def change(fleet):
        fields = msgspec.json.decode(platform_fleet.configuration(2))
        fields["Routes"][0]["MaxAttempts"] = attempts
        fleet.store.put("keyed.op", "config", msgspec.json.encode(fields))

    platform_scenarios.add_action(context, change)


@behave.when("an earlier build has stored the job and its owner is killed")
def step(context):
    async def forget_terms(fleet):
        await asyncio.sleep(0.1)
        name = fleet.owner_host()
        await fleet.kill_host(name)
        key = records.terms_key(platform_scenarios.JOB)
        fleet.store.put_records(
            pool_partitions.JOBS_TOPIC, PARTITION, {key: b""}
        )
        await asyncio.sleep(5.0)

    platform_scenarios.add_action(context, forget_terms)


@behave.when("terms of another job are stored without it")
def step(context):
    async def store(fleet):
        terms = records.encode_terms(model.JobTerms())
        fleet.store.put_records(
            pool_partitions.JOBS_TOPIC,
            PARTITION,
            {records.terms_key(OTHER_JOB): terms},
        )

    platform_scenarios.add_action(context, store)


@behave.then("the task ran {count:d} times")
def step(context, count):
    runs = platform_scenarios.run_once(context).runs
    assert len(runs) == count, runs


@behave.then("the owner takes the job as failed")
def step(context):
    platform_scenarios.run_once(context)
    assert context.owner_phase is job_state.Phase.FAILED, context.owner_phase


@behave.then("only the job's own terms are stored")
def step(context):
    store = platform_scenarios.run_once(context).fleet.store

    def is_stored(job):
        key = records.terms_key(job)
        return store.value(pool_partitions.JOBS_TOPIC, PARTITION, key)

    assert is_stored(platform_scenarios.JOB)
    assert not is_stored(OTHER_JOB)


@behave.when("a job is encoded")
def step(context):
    spec = owner_states.job(1)
    job = job_state.JobState(spec, accepted_s=0.0, terms=model.JobTerms())
    job.failed_runs[model.TaskKey(0, 0, 0)] = {1}
    job.highest_run[model.TaskKey(0, 0, 0)] = 1
    context.spec = msgspec.msgpack.decode(records.encode_spec(spec))
    context.progress = msgspec.msgpack.decode(records.encode_progress(job))


@behave.then(
    "its spec has {spec:d} fields and its progress {progress:d} with {task:d} "
    "for each task"
)
def step(context, spec, progress, task):
    found = (
        len(context.spec),
        len(context.progress),
        {len(fields) for fields in context.progress[1]},
    )
    assert found == (spec, progress, {task}), found


@behave.given("an owner whose configuration lacks the queue")
def step(context):
    context.append_s = 0.01
    context.configuration = owner_states.CONFIGURATION._replace(queues={})
