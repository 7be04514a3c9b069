"""Steps of tests/pools/queue_assignments.feature."""

import asyncio
from unittest import mock

import behave
from returns import pipeline
from returns import result

from chervillead import verdicts
from chervillead.entries import job_messages
from chervillead.jobs import job_api
from chervillead.pools import pool_partitions
from chervillead.pools import queue_assignments
from stand_ins import moving_queue
from stand_ins import platform_fleet
from stand_ins import platform_scenarios
from stand_ins import platform_store

RAN = verdicts.Verdict.RAN.value
_partitions_of_queue = pool_partitions.partitions_of_queue
_close = queue_assignments.QueueAssignments.close


async def close_without_record(self, address, version, timeout_s):
    jobs = tuple(self._repeatable_jobs(address))
    return result.Success(job_messages.JobReply(RAN, job_ids=jobs))


async def close_without_jobs(self, address, version, timeout_s):
    outcome = await _close(self, address, version, timeout_s)
    return outcome.map(lambda reply: reply._replace(job_ids=()))


FAULTY_METHODS = {
    "know only the jobs of their partition": (
        pool_partitions,
        "partitions_of_queue",
        lambda records, address: set(),
    ),
    "close a queue without a record": (
        queue_assignments.QueueAssignments,
        "close",
        close_without_record,
    ),
    "ask by what is registered before them": (
        pool_partitions,
        "partitions_of_queue",
        lambda records, address: set(
            sorted(_partitions_of_queue(records, address))[:1]
        ),
    ),
    "don't say which jobs they have": (
        queue_assignments.QueueAssignments,
        "close",
        close_without_jobs,
    ),
}


@behave.given("owners that {fault}")
def step(context, fault):
    patch = mock.patch.object(*FAULTY_METHODS[fault])
    patch.start()
    context.add_cleanup(patch.stop)


@behave.when("a queue is moved under load in {count:d} random runs")
def step(context, count):
    context.outcomes = {
        seed: moving_queue.run_seeded(seed)
        for seed in range(context.seed, context.seed + count)
    }


def jobs_in_two_partitions(context):
    return {
        (seed, job_id): partitions
        for seed, outcome in context.outcomes.items()
        for job_id, partitions in outcome.partitions_of_job.items()
        if len(partitions) > 1
    }


@behave.then("no job is stored in two partitions")
def step(context):
    found = jobs_in_two_partitions(context)
    assert not found, found


@behave.then("some job is stored in two partitions")
def step(context):
    assert jobs_in_two_partitions(context)


@behave.then("every job whose caller was told so is stored")
def step(context):
    for seed, outcome in context.outcomes.items():
        lost = outcome.accepted - set(outcome.partitions_of_job)
        assert outcome.accepted and not lost, (seed, lost)


@behave.then("no job is stored whose submissions were all refused as not run")
def step(context):
    for seed, outcome in context.outcomes.items():
        stored = outcome.refused & set(outcome.partitions_of_job)
        assert not stored, (seed, stored)


@behave.then(
    "the runs met all that can refuse a submission of a queue that moves"
)
def step(context):
    reasons = set().union(*(o.reasons for o in context.outcomes.values()))
    expected = {"owner-outdated", "queue-reassigned", "queue-moving"}
    assert expected <= reasons, reasons


def publish(fleet, version, **fields):
    fleet.store.put(
        "keyed.op",
        "config",
        platform_fleet.configuration(version, **fields),
    )


@behave.when("operators assign the queue to the other pool under another name")
def step(context):
    async def rename(fleet):
        publish(fleet, 2, pool=platform_fleet.OTHER_POOL, queue_name="queue-2")
        await asyncio.sleep(0.5)

    platform_scenarios.add_action(context, rename)


@behave.when(
    "operators assign the queue to the other pool, and back under its name"
)
def step(context):
    async def move_twice(fleet):
        publish(fleet, 2, pool=platform_fleet.OTHER_POOL)
        await asyncio.sleep(1.5)
        await platform_scenarios.submit(fleet, [platform_fleet.step(2)])
        publish(fleet, 3)
        await asyncio.sleep(0.5)

    platform_scenarios.add_action(context, move_twice)


def assigned_hosts(fleet):
    """Returns the hosts that own the first pool and the other one."""
    assigned = fleet.store.assignments(pool_partitions.OWNERS_GROUP)
    return [
        assigned[
            pool_partitions.partition_of(pool, platform_store.PARTITIONS)
        ].split("/")[2]
        for pool in (platform_fleet.POOL, platform_fleet.OTHER_POOL)
    ]


@behave.when("the host that owns the first pool stops answering the others")
def step(context):
    async def cut(fleet):
        partition = pool_partitions.partition_of(
            platform_fleet.POOL, platform_store.PARTITIONS
        )
        fleet.store.reassign(pool_partitions.OWNERS_GROUP, [partition])
        await asyncio.sleep(2.0)
        first, other = assigned_hosts(fleet)
        assert first != other
        fleet.network.cut([first], set(fleet.hosts) - {first})

    platform_scenarios.add_action(context, cut)


@behave.when("another job is submitted to the other pool")
def step(context):
    async def submit(fleet):
        now_s = asyncio.get_running_loop().time
        began_s = now_s()
        outcome = await fleet.submit(
            platform_fleet.job_id(2),
            [platform_fleet.step(1)],
            host=assigned_hosts(fleet)[1],
        )
        context.submission_s = now_s() - began_s
        return outcome

    platform_scenarios.add_action(context, submit)


@behave.then("the refusal came within {seconds:g} s of its submission")
def step(context, seconds):
    platform_scenarios.run_once(context)
    assert context.submission_s <= seconds, context.submission_s


@behave.when("{count:d} jobs are accepted")
def step(context, count):
    async def submit_all(fleet):
        for number in range(10, 10 + count):
            outcome = await fleet.submit(
                platform_fleet.job_id(number), [platform_fleet.step(1)]
            )
            assert pipeline.is_successful(outcome), outcome

    platform_scenarios.add_action(context, submit_all)


@behave.then("every host counts {count:d} pending jobs")
def step(context, count):
    async def ask_all(fleet):
        counts = []
        for host in fleet.hosts.values():
            ports = host.job_ports()
            queue = ports.configuration().queues["queue-1"]
            outcome = await job_api.count_pending(ports, queue, 3.0)
            counts.append(outcome.value_or(outcome))
        context.counts = counts

    platform_scenarios.add_action(context, ask_all)
    platform_scenarios.run_once(context)
    assert context.counts == [count] * context.hosts, context.counts
