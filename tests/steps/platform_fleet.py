"""Steps of the features that run entry hosts on the platform's stand-ins.

The steps record and run the actions as stand_ins.platform_scenarios tells.
"""

import asyncio
import collections
import itertools

import behave
import msgspec
from returns import pipeline

from chervillead import verdicts
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import partition_records
from chervillead.jobs import records as job_records
from chervillead.pools import pool_partitions
from stand_ins import platform_fleet
from stand_ins import platform_scenarios
from stand_ins import platform_store
from stand_ins import platform_worker

POOL_PARTITION = pool_partitions.partition_of(
    platform_fleet.POOL, platform_store.PARTITIONS
)


@behave.given("a platform fleet of {hosts:d} hosts and {workers:d} worker")
@behave.given("a platform fleet of {hosts:d} hosts and {workers:d} workers")
def step(context, hosts, workers):
    context.hosts, context.workers = hosts, workers
    context.work_s = 0.5
    context.actions = []


@behave.given(
    "a platform fleet of {hosts:d} hosts and {workers:d} workers of which "
    "{off:d} are turned off"
)
def step(context, hosts, workers, off):
    context.hosts, context.workers, context.turned_off = hosts, workers, off
    context.work_s = 0.5
    context.actions = []


@behave.given("a long-running task of another job is running")
def step(context):
    async def submit_other(fleet):
        other_job = platform_fleet.job_id(2)
        for worker in fleet.workers.values():
            worker.long_running.add(other_job)
        await fleet.submit(
            other_job, [platform_fleet.step(1, LongRunning=True)]
        )
        await asyncio.sleep(1)

    platform_scenarios.add_action(context, submit_other)


@behave.given("the second worker belongs to another pool")
def step(context):
    context.other_pool_workers = {"i-1"}


@behave.given("the links of all hosts carry {kilobytes:d} KB a second")
def step(context, kilobytes):
    context.link_rate = 1000 * kilobytes


@behave.when(
    "the pool's partition holds {jobs:d} finished jobs of {size:d} bytes"
)
def step(context, jobs, size):
    async def fill(fleet):
        records = {}
        for number in range(1000, 1000 + jobs):
            spec = model.JobSpec(
                platform_fleet.job_id(number),
                "queue-1",
                platform_fleet.POOL,
                "account-1",
                "x" * size,
                (model.Step(1, model.Resources(1000, 100)),),
            )
            job = job_state.JobState(spec, accepted_s=0.0)
            job.cancel(0.0)
            records[job_records.spec_key(spec.job_id)] = (
                job_records.encode_spec(spec)
            )
            records[job_records.progress_key(spec.job_id)] = (
                job_records.encode_progress(job)
            )
        partition = fleet.hosts[fleet.owner_host()].partition_of(
            platform_fleet.POOL
        )
        fleet.store.put_records(pool_partitions.JOBS_TOPIC, partition, records)

    platform_scenarios.add_action(context, fill)


@behave.when("operators publish a wave over all hosts with a cap of {cap:d}")
def step(context, cap):
    platform_scenarios.add_action(
        context, platform_scenarios.publish_wave, cap=cap
    )


@behave.when("the owner takes a host down and is killed")
def step(context):
    async def kill(fleet):
        await platform_scenarios.wait_until(
            lambda: fleet.hosts_service.maintenance_records
        )
        await fleet.kill_host(fleet.owner_host())
        live_members = {
            str(host.ownership.member) for host in fleet.hosts.values()
        }
        members = set(fleet.store.assignments("pool-owners").values())
        for member in members - live_members:
            fleet.store.remove_member("pool-owners", member)

    platform_scenarios.add_action(context, kill)


@behave.when(
    "a job of {tasks:d} long-running tasks of which {unavailable:d} may be "
    "unavailable is submitted"
)
def step(context, tasks, unavailable):
    _submit_long_running(context, tasks, MayMiss=unavailable)


@behave.when(
    "a job of {tasks:d} long-running tasks, at most {limit:d} on a worker, of "
    "which {unavailable:d} may be unavailable is submitted"
)
def step(context, tasks, limit, unavailable):
    _submit_long_running(
        context, tasks, MayMiss=unavailable, AntiAffinity=limit
    )


def _submit_long_running(context, tasks, **fields):
    async def submit(fleet):
        for worker in fleet.workers.values():
            worker.long_running.add(platform_scenarios.JOB)
        steps = [platform_fleet.step(tasks, LongRunning=True, **fields)]
        return await platform_scenarios.submit(fleet, steps)

    platform_scenarios.add_action(context, submit)


@behave.then("every host was maintained once, at most {cap:d} at a time")
def step(context, cap):
    hosts_service = platform_scenarios.run_once(context).fleet.hosts_service
    done = [record.host for record in hosts_service.maintenance_records]
    assert sorted(done) == sorted(hosts_service.names), (
        hosts_service.maintenance_records
    )
    assert hosts_service.max_hosts_down() <= cap, (
        hosts_service.maintenance_records
    )


def pool_hosts(fleet):
    """Returns the number of hosts in the pool."""
    pools = fleet.hosts_service.pools.values()
    return sum(pool == platform_fleet.POOL for pool in pools)


@behave.when("at least {hosts:d} hosts are in the pool by then")
def step(context, hosts):
    async def check(fleet):
        assert pool_hosts(fleet) >= hosts, fleet.hosts_service.pools

    platform_scenarios.add_action(context, check)


@behave.when("operators take the zone of all workers out of service")
def step(context):
    async def take_zone_out(fleet):
        fleet.store.put("keyed.op", "evacuate/zone-a", b"{}")

    platform_scenarios.add_action(context, take_zone_out)


@behave.when("moves are executed {seconds:d} s late and get no reply")
def step(context, seconds):
    async def delay(fleet):
        fleet.hosts_service.delayed_moves_s = seconds

    platform_scenarios.add_action(context, delay)


@behave.when("turning off a host has failed")
def step(context):
    async def wait(fleet):
        await platform_scenarios.wait_until(
            lambda: any(
                line["message_type"] == "pool:turn-off-failed"
                for line in fleet.logs
            )
        )

    platform_scenarios.add_action(context, wait)


@behave.when("hosts have just been moved")
def step(context):
    async def wait(fleet):
        await platform_scenarios.wait_until(
            lambda: fleet.hosts_service.commands
        )

    platform_scenarios.add_action(context, wait)


@behave.when("the owner of the hosts partition is killed")
def step(context):
    async def kill(fleet):
        owner = next(
            name
            for name, host in fleet.hosts.items()
            if host.ownership.owner_of(pool_partitions.HOSTS_PARTITION)
            is not None
        )
        await fleet.kill_host(owner)

    platform_scenarios.add_action(context, kill)


@behave.then("{hosts:d} hosts are in the pool")
def step(context, hosts):
    assert pool_hosts(platform_scenarios.run_once(context).fleet) == hosts


@behave.then("at most {hosts:d} hosts are in the pool")
def step(context, hosts):
    assert pool_hosts(platform_scenarios.run_once(context).fleet) <= hosts


@behave.then("each host gets commands from one owner at a time")
def step(context):
    commands = platform_scenarios.run_once(context).fleet.hosts_service.commands
    assert commands
    for host in {command.host for command in commands}:
        host_commands = [
            command for command in commands if command.host == host
        ]
        for earlier, later in itertools.pairwise(host_commands):
            changed = earlier.holder != later.holder
            assert earlier.token <= later.token, host_commands
            assert changed == (earlier.token != later.token), host_commands
            assert not changed or later.at_s - earlier.at_s >= 3.0, (
                host_commands
            )


@behave.when("the maintenance records are lost")
def step(context):
    async def delete_records(fleet):
        for name in fleet.hosts_service.names:
            fleet.store.put("keyed.upkeep", f"1/{name}", b"")

    platform_scenarios.add_action(context, delete_records)


@behave.when("a worker with tasks is cut off from all hosts but the owner")
def step(context):
    async def cut(fleet):
        await asyncio.sleep(0.3)
        node, worker = next(
            found for found in fleet.workers.items() if found[1].running()
        )
        fleet.unlisted.add(worker.worker_id)
        others = set(fleet.hosts) - {fleet.owner_host()}
        fleet.network.cut([node], others)

    platform_scenarios.add_action(context, cut)


@behave.then("the wave is reported as completed")
def step(context):
    value = platform_scenarios.run_once(context).fleet.store.value(
        "keyed.status", 0, "wave/1"
    )
    assert value and msgspec.json.decode(value) == {"State": "completed"}


@behave.then(
    "at most {unavailable:d} task of the job was unavailable at a time"
)
def step(context, unavailable):
    runs = platform_scenarios.run_once(context).runs
    tasks = {run.task for run in runs}
    for run in runs:
        if run.how != "stopped":
            continue
        # Just after a task was stopped, the others must be available.
        available = {
            other.task
            for other in runs
            if other.began_s + platform_worker.STARTUP_S
            <= run.ended_s
            < other.ended_s
        }
        assert len(tasks - available) <= unavailable, (run, runs)


@behave.given("tasks run for {seconds:g} s")
def step(context, seconds):
    context.work_s = seconds


@behave.when("a job of {tasks:d} task is submitted")
@behave.when("a job of {tasks:d} tasks is submitted")
def step(context, tasks):
    context.tasks = tasks
    platform_scenarios.add_action(
        context, platform_scenarios.submit, steps=[platform_fleet.step(tasks)]
    )


@behave.when("a job of {first:d} tasks and then {second:d} tasks is submitted")
def step(context, first, second):
    steps = [
        platform_fleet.step(first),
        platform_fleet.step(second, After=[0]),
    ]
    platform_scenarios.add_action(
        context, platform_scenarios.submit, steps=steps
    )


@behave.when(
    "a job of {first:d} short tasks and {second:d} tasks of {seconds:d} s "
    "is submitted"
)
def step(context, first, second, seconds):
    async def submit_both(fleet):
        for worker in fleet.workers.values():
            worker.work_s_by_step["1"] = seconds
        steps = [platform_fleet.step(first), platform_fleet.step(second)]
        return await platform_scenarios.submit(fleet, steps)

    platform_scenarios.add_action(context, submit_both)


@behave.when("workers take {milliseconds:d} ms for a start")
def step(context, milliseconds):
    async def slow_down(fleet):
        for worker in fleet.workers.values():
            worker.start_delay_s = milliseconds / 1000

    platform_scenarios.add_action(context, slow_down)


@behave.when("a job of {tasks:d} small tasks is submitted")
def step(context, tasks):
    platform_scenarios.add_action(
        context,
        platform_scenarios.submit,
        steps=[platform_fleet.step(tasks, Cpu=100)],
    )


@behave.when("the store takes {milliseconds:d} ms for an append")
def step(context, milliseconds):
    async def slow_down(fleet):
        fleet.store.append_s = milliseconds / 1000

    platform_scenarios.add_action(context, slow_down)


@behave.when("a job of {tasks:d} tasks with at most 1 per worker is submitted")
def step(context, tasks):
    platform_scenarios.add_action(
        context,
        platform_scenarios.submit,
        steps=[platform_fleet.step(tasks, AntiAffinity=1)],
    )


@behave.when("a job of {tasks:d} tasks that always fail is submitted")
def step(context, tasks):
    async def fail_and_submit(fleet):
        for worker in fleet.workers.values():
            worker.failing.add(platform_scenarios.JOB)
        return await platform_scenarios.submit(
            fleet, [platform_fleet.step(tasks)]
        )

    platform_scenarios.add_action(context, fail_and_submit)


@behave.when("a job of {tasks:d} tasks that fail at first is submitted")
def step(context, tasks):
    submit_failing_at_first(context, platform_fleet.step(tasks))


@behave.when(
    "a job of 1 task that requires label {label} and fails at first "
    "is submitted"
)
def step(context, label):
    submit_failing_at_first(context, platform_fleet.step(1, Requirements=label))


def submit_failing_at_first(context, fields):
    async def fail_and_recover(fleet):
        for worker in fleet.workers.values():
            worker.failing.add(platform_scenarios.JOB)
        outcome = await platform_scenarios.submit(fleet, [fields])
        await asyncio.sleep(0.7)
        for worker in fleet.workers.values():
            worker.failing.clear()
        return outcome

    platform_scenarios.add_action(context, fail_and_recover)


@behave.when("a job of {tasks:d} long-running tasks is submitted")
def step(context, tasks):
    async def submit_long_running(fleet):
        for worker in fleet.workers.values():
            worker.long_running.add(platform_scenarios.JOB)
        steps = [platform_fleet.step(tasks, LongRunning=True)]
        return await platform_scenarios.submit(fleet, steps)

    platform_scenarios.add_action(context, submit_long_running)


@behave.when("a job of {tasks:d} task is submitted with an unknown key")
def step(context, tasks):
    platform_scenarios.add_action(
        context,
        platform_scenarios.submit,
        steps=[platform_fleet.step(tasks)],
        key="no-such-key",
    )


@behave.when("a job of {tasks:d} task is submitted through that host")
def step(context, tasks):
    platform_scenarios.add_action(
        context,
        platform_scenarios.submit,
        steps=[platform_fleet.step(tasks)],
        host=lambda fleet: context.rejected_host,
    )


@behave.when("the same job is submitted through every host")
def step(context):
    async def submit_everywhere(fleet):
        steps = [platform_fleet.step(context.tasks)]
        for host in list(fleet.hosts):
            await fleet.submit(platform_scenarios.JOB, steps, host=host)

    platform_scenarios.add_action(context, submit_everywhere)


@behave.when("the job is cancelled")
def step(context):
    async def cancel(fleet):
        await asyncio.sleep(0.5)
        outcome = await fleet.cancel(platform_scenarios.JOB)
        context.cancelled_s = asyncio.get_running_loop().time()
        return outcome

    platform_scenarios.add_action(context, cancel)


@behave.when(
    "a job of two steps is submitted and cancelled elsewhere {seconds:g} s "
    "later"
)
def step(context, seconds):
    async def cancel_unstored(fleet):
        steps = [platform_fleet.step(2), platform_fleet.step(2, After=[0])]
        submission = asyncio.create_task(
            platform_scenarios.submit(fleet, steps, host=assigned_host)
        )
        await asyncio.sleep(seconds)
        outcome = await fleet.cancel(platform_scenarios.JOB)
        context.cancelled_s = asyncio.get_running_loop().time()
        await submission
        return outcome

    platform_scenarios.add_action(context, cancel_unstored)


@behave.then("the call succeeds")
def step(context):
    outcome = platform_scenarios.run_once(context).outcomes[-1]
    assert pipeline.is_successful(outcome), outcome


@behave.then(
    "no task of the job started {seconds:g} s or more after the cancelling was "
    "answered"
)
def step(context, seconds):
    limit_s = context.cancelled_s + seconds
    late = [
        run
        for run in platform_scenarios.run_once(context).runs
        if run.began_s >= limit_s
    ]
    assert not late, late


@behave.when("all hosts restart and their wall clocks jump")
def step(context):
    async def restart(fleet):
        names = list(fleet.hosts)
        for name in names:
            await fleet.kill_host(name)
        fleet.wall_clock_ahead_s += 3600
        for name in names:
            fleet.start_host(name)
        await asyncio.sleep(3)

    platform_scenarios.add_action(context, restart)


@behave.when("the owner is killed just after it stored the job's cancelling")
def step(context):
    async def kill(fleet):
        await fleet.kill_host(fleet.owner_host())
        cancellation = partition_records.Cancellation(
            platform_scenarios.JOB, "team-1"
        )
        fleet.store.put_records(
            "keyed.jobs",
            POOL_PARTITION,
            {
                partition_records.key_of(cancellation): (
                    partition_records.encode(cancellation)
                )
            },
        )

    platform_scenarios.add_action(context, kill)


@behave.when("{seconds:d} s pass")
def step(context, seconds):
    async def wait(fleet):
        await asyncio.sleep(seconds)

    platform_scenarios.add_action(context, wait)


@behave.when("the owner is killed")
def step(context):
    async def kill(fleet):
        await asyncio.sleep(0.3)
        await fleet.kill_host(fleet.owner_host())

    platform_scenarios.add_action(context, kill)


@behave.when(
    "a worker with tasks can't be heard until {seconds:g} s after its lease"
)
def step(context, seconds):
    async def silence(fleet):
        await asyncio.sleep(0.3)
        worker_id = next(
            worker.worker_id
            for worker in fleet.workers.values()
            if worker.running()
        )
        fleet.network.hold_outgoing(worker_id)
        host = fleet.hosts[fleet.owner_host()]
        owner = host.ownership.owner_of(host.partition_of(platform_fleet.POOL))
        view = owner.state.watches[worker_id].view
        loop = asyncio.get_running_loop()
        while loop.time() < view.lease_ends_s() + seconds:
            await asyncio.sleep(0.001)
        fleet.network.heal()

    platform_scenarios.add_action(context, silence)


@behave.when("all hosts are killed and restarted")
def step(context):
    async def kill_all(fleet):
        names = list(fleet.hosts)
        for name in names:
            await fleet.kill_host(name)
        await asyncio.sleep(0.5)
        for name in names:
            fleet.start_host(name)

    platform_scenarios.add_action(context, kill_all)


@behave.when("all hosts are killed and restarted with an empty list of workers")
def step(context):
    async def kill_all(fleet):
        cut_off = set(fleet.unlisted)
        names = list(fleet.hosts)
        for name in names:
            await fleet.kill_host(name)
        fleet.unlisted.update(fleet.workers)
        await asyncio.sleep(0.5)
        for name in names:
            fleet.start_host(name)
        await asyncio.sleep(0.2)
        fleet.unlisted.intersection_update(cut_off)

    platform_scenarios.add_action(context, kill_all)


@behave.when(
    "all hosts are killed and restarted while workers return one by one"
)
def step(context):
    async def kill_all(fleet):
        await asyncio.sleep(0.3)
        names = list(fleet.hosts)
        for name in names:
            await fleet.kill_host(name)
        fleet.unlisted.update(fleet.workers)
        await asyncio.sleep(0.6)
        fleet.store.truncate("keyed.servers")
        for name in names:
            fleet.start_host(name)
        for worker_id in fleet.workers:
            fleet.unlisted.discard(worker_id)
            await asyncio.sleep(1.0)

    platform_scenarios.add_action(context, kill_all)


@behave.when("the store rejects the owner")
def step(context):
    async def reject(fleet):
        await asyncio.sleep(0.3)
        fleet.store.rejected_hosts.add(fleet.owner_host())

    platform_scenarios.add_action(context, reject)


def assigned_host(fleet):
    """Returns the host to which the store has assigned the pool's partition."""
    member = fleet.store.assignments("pool-owners")[POOL_PARTITION]
    return member.split("/")[2]


@behave.when(
    "another host owns all partitions and accepts a job while joins of the "
    "owner get no answer"
)
def step(context):
    async def replace_owner(fleet):
        context.replaced_host = assigned_host(fleet)
        fleet.store.hosts_without_joins.add(context.replaced_host)
        fleet.store.rebalance("pool-owners")
        # The others renew their membership each half second.
        await asyncio.sleep(0.75)
        return await platform_scenarios.submit(
            fleet, [platform_fleet.step(2)], host=assigned_host
        )

    platform_scenarios.add_action(context, replace_owner)


async def ask_replaced_owner(context, fleet):
    ownership = fleet.hosts[context.replaced_host].ownership
    assert ownership.owner_of(POOL_PARTITION) is not None
    context.answer = await fleet.find(
        platform_scenarios.JOB, context.replaced_host
    )


@behave.when("the replaced owner is asked for the job")
def step(context):
    async def ask(fleet):
        await ask_replaced_owner(context, fleet)

    platform_scenarios.add_action(context, ask)


@behave.when("the store turns it away and it is asked")
def step(context):
    async def ask(fleet):
        fleet.store.rejected_hosts.add(context.replaced_host)
        await ask_replaced_owner(context, fleet)

    platform_scenarios.add_action(context, ask)


@behave.then("the caller is told that the job is running")
def step(context):
    platform_scenarios.run_once(context)
    assert context.answer.unwrap().phase == "running", context.answer


@behave.then("the caller is told to come back")
def step(context):
    platform_scenarios.run_once(context)
    refusal = context.answer.failure()
    assert refusal.status == 503 and refusal.retry_after_s, refusal
    assert refusal.verdict is verdicts.Verdict.NOT_RUN, refusal


@behave.when(
    "the store turns the owner away for {seconds:g} s while another host owns "
    "all partitions and accepts a job"
)
def step(context, seconds):
    async def reassign_twice(fleet):
        now_s = asyncio.get_running_loop().time
        first, ends_s = assigned_host(fleet), now_s() + seconds
        fleet.store.rejected_hosts.add(first)
        fleet.store.rebalance("pool-owners")
        # The others renew their membership each half second.
        await asyncio.sleep(0.75)
        outcome = await platform_scenarios.submit(
            fleet, [platform_fleet.step(2)], host=assigned_host
        )
        assert pipeline.is_successful(outcome), outcome
        while assigned_host(fleet) != first:
            fleet.store.rebalance("pool-owners")
        assert now_s() < ends_s
        await asyncio.sleep(ends_s - now_s())
        fleet.store.rejected_hosts.clear()

    platform_scenarios.add_action(context, reassign_twice)


@behave.when("the store rejects a host")
def step(context):
    async def reject(fleet):
        context.rejected_host = fleet.other_host()
        fleet.store.rejected_hosts.add(context.rejected_host)

    platform_scenarios.add_action(context, reject)


@behave.when("the store rejects every host")
def step(context):
    async def reject(fleet):
        context.rejected_host = fleet.other_host()
        fleet.store.rejected_hosts.update(fleet.hosts)

    platform_scenarios.add_action(context, reject)


@behave.when("the store accepts every host again")
def step(context):
    async def accept_all(fleet):
        fleet.store.rejected_hosts.clear()

    platform_scenarios.add_action(context, accept_all)


@behave.when("the store goes down")
def step(context):
    async def go_down(fleet):
        fleet.store.is_down = True

    platform_scenarios.add_action(context, go_down)


@behave.when("the store leaves appends without a reply")
def step(context):
    async def hold_appends(fleet):
        fleet.store.append_s = 3600

    platform_scenarios.add_action(context, hold_appends)


@behave.when("the store stops returning the newest records")
def step(context):
    async def hold_records(fleet):
        fleet.store.newest_s = 3600

    platform_scenarios.add_action(context, hold_records)


@behave.when("the store takes {milliseconds:d} ms for the newest records")
def step(context, milliseconds):
    async def slow_down(fleet):
        fleet.store.newest_s = milliseconds / 1000

    platform_scenarios.add_action(context, slow_down)


@behave.when("a new owner has begun to load the partition")
def step(context):
    def is_loading(host):
        owner = host.ownership.owners.get(
            host.partition_of(platform_fleet.POOL)
        )
        return owner is not None and not owner.state.is_loaded

    async def wait(fleet):
        await platform_scenarios.wait_until(
            lambda: any(map(is_loading, fleet.hosts.values())), 0.01
        )

    platform_scenarios.add_action(context, wait)


@behave.when(
    "a job of {tasks:d} task is submitted through a host that isn't the owner"
)
def step(context, tasks):
    async def submit_elsewhere(fleet):
        name = _host_without_the_pool(fleet)
        now_s = asyncio.get_running_loop().time
        began_s, calls = now_s(), len(fleet.store.calls)
        outcome = await fleet.submit(
            platform_scenarios.JOB, [platform_fleet.step(tasks)], host=name
        )
        context.submission_s = now_s() - began_s
        context.store_calls = fleet.store.calls[calls:]
        return outcome

    platform_scenarios.add_action(context, submit_elsewhere)


@behave.when(
    "{count:d} jobs are submitted in turn through a host that isn't the owner"
)
def step(context, count):
    async def submit_in_turn(fleet):
        name = _host_without_the_pool(fleet)
        now_s = asyncio.get_running_loop().time
        context.timed_outcomes = []
        for number in range(count):
            began_s = now_s()
            outcome = await fleet.submit(
                platform_fleet.job_id(number),
                [platform_fleet.step(1)],
                host=name,
            )
            context.timed_outcomes.append((outcome, now_s() - began_s))

    platform_scenarios.add_action(context, submit_in_turn)


def _host_without_the_pool(fleet):
    return next(
        name
        for name, host in fleet.hosts.items()
        if host.partition_of(platform_fleet.POOL) not in host.ownership.owners
    )


@behave.then(
    "the refusal has the reason {reason} and came within {seconds:g} s"
)
def step(context, reason, seconds):
    refusal = platform_scenarios.run_once(context).outcomes[-1].failure()
    assert refusal.reason == reason, refusal
    assert context.submission_s <= seconds, context.submission_s


@behave.then("each refusal has the reason {reason} and came within {limit:g} s")
def step(context, reason, limit):
    platform_scenarios.run_once(context)
    for outcome, duration_s in context.timed_outcomes:
        assert outcome.failure().reason == reason, outcome
        assert duration_s <= limit, duration_s


@behave.then(
    "the store was asked for the owners at most {count:d} times meanwhile"
)
def step(context, count):
    platform_scenarios.run_once(context)
    asked = context.store_calls.count("/log-owners")
    assert asked <= count, context.store_calls


@behave.when("two jobs are submitted {seconds:g} s apart")
def step(context, seconds):
    async def submit_two(fleet):
        steps = [platform_fleet.step(1)]
        first = asyncio.create_task(
            fleet.submit(platform_fleet.job_id(2), steps)
        )
        await asyncio.sleep(seconds)
        outcome = await platform_scenarios.submit(fleet, steps)
        await first
        return outcome

    platform_scenarios.add_action(context, submit_two)


@behave.when("the store is down for {seconds:d} s")
def step(context, seconds):
    async def go_down(fleet):
        await asyncio.sleep(0.3)
        fleet.store.is_down = True
        await asyncio.sleep(seconds)
        fleet.store.is_down = False

    platform_scenarios.add_action(context, go_down)


@behave.when("the store drops its history")
def step(context):
    async def drop_history(fleet):
        fleet.store.truncate("keyed.servers")
        fleet.store.truncate("keyed.op")

    platform_scenarios.add_action(context, drop_history)


@behave.when("all partitions are rebalanced")
def step(context):
    async def rebalance(fleet):
        await asyncio.sleep(0.5)
        fleet.store.rebalance("pool-owners")

    platform_scenarios.add_action(context, rebalance)


@behave.when("operators assign the queue to the other pool")
def step(context):
    async def assign(fleet):
        pool = platform_fleet.OTHER_POOL
        fleet.store.put(
            "keyed.op", "config", platform_fleet.configuration(2, pool=pool)
        )
        await asyncio.sleep(0.5)

    platform_scenarios.add_action(context, assign)


@behave.when("operators withdraw the key")
def step(context):
    async def withdraw(fleet):
        fleet.store.put(
            "keyed.op", "config", platform_fleet.configuration(2, Tenants=[])
        )

    platform_scenarios.add_action(context, withdraw)


def first_busy_worker(fleet):
    return next(w for w in fleet.workers.values() if w.running())


@behave.when("a worker with tasks is cut off and removed from the list")
def step(context):
    async def cut(fleet):
        await asyncio.sleep(0.3)
        worker = first_busy_worker(fleet)
        fleet.unlisted.add(worker.worker_id)
        fleet.network.cut([worker.worker_id], fleet.hosts)

    platform_scenarios.add_action(context, cut)


@behave.when("a worker with tasks crashes and does not restart")
def step(context):
    async def crash(fleet):
        await asyncio.sleep(0.3)
        worker = first_busy_worker(fleet)
        worker.silent = True
        worker._end_all("gone", list_ends=False)

    platform_scenarios.add_action(context, crash)


@behave.when("all workers that are on crash and do not restart")
def step(context):
    async def crash(fleet):
        await asyncio.sleep(0.3)
        for worker in fleet.workers.values():
            if not worker.silent:
                worker.silent = True
                worker._end_all("gone", list_ends=False)

    platform_scenarios.add_action(context, crash)


@behave.when("the workers report a capacity of {millicores:d} millicores")
def step(context, millicores):
    async def change_capacity(fleet):
        for worker in fleet.workers.values():
            worker.cpu = millicores

    platform_scenarios.add_action(context, change_capacity)


@behave.when("every worker restarts")
def step(context):
    async def restart(fleet):
        await asyncio.sleep(0.5)
        for worker in fleet.workers.values():
            worker.restart()
            fleet.network.reset_place(worker.worker_id)

    platform_scenarios.add_action(context, restart)


def drop_starts(context, count, late_s):
    async def set_faults(fleet):
        for worker in fleet.workers.values():
            worker.starts_to_drop = count
            worker.delayed_starts_s = late_s

    platform_scenarios.add_action(context, set_faults)


@behave.when(
    "the next {count:d} starts on each worker get no reply and take effect "
    "{seconds:d} s late"
)
def step(context, count, seconds):
    drop_starts(context, count, seconds)


@behave.when(
    "the next {count:d} starts on each worker get no reply and are lost"
)
def step(context, count):
    drop_starts(context, count, None)


@behave.then("every host reports the job as {phase}")
def step(context, phase):
    phases = platform_scenarios.run_once(context).phases
    assert set(phases.values()) == {phase}, (
        phases,
        platform_scenarios.run_once(context).runs,
    )


@behave.then("no invariant was violated on the workers")
def step(context):
    assert not platform_scenarios.run_once(context).violations, (
        platform_scenarios.run_once(context).violations
    )


@behave.then("each task ran once")
def step(context):
    counts = collections.Counter(
        run.task for run in platform_scenarios.run_once(context).runs
    )
    assert counts and set(counts.values()) == {1}, platform_scenarios.run_once(
        context
    ).runs


@behave.then("no task of the job ran more than {count:d} times")
def step(context, count):
    counts = collections.Counter(
        run.task for run in platform_scenarios.run_once(context).runs
    )
    assert counts and max(counts.values()) <= count, counts


@behave.then("no task of the job ever ran")
def step(context):
    assert not platform_scenarios.run_once(context).runs


@behave.then("no task of the job is running")
def step(context):
    runs = platform_scenarios.run_once(context).runs
    assert runs and all(run.how for run in runs), runs


@behave.then("{count:d} tasks of the job are running")
def step(context, count):
    running = [
        run for run in platform_scenarios.run_once(context).runs if not run.how
    ]
    assert len(running) == count, platform_scenarios.run_once(context).runs


@behave.then("no step started before the steps that it depends on were done")
def step(context):
    runs = platform_scenarios.run_once(context).runs
    first_ends = [r.ended_s for r in runs if r.task.split(".")[2] == "0"]
    second_starts = [r.began_s for r in runs if r.task.split(".")[2] == "1"]
    assert second_starts and min(second_starts) >= max(first_ends), runs


@behave.then("no worker ran {count:d} tasks of the job at once")
def step(context, count):
    assert max_concurrent_runs(context) < count, platform_scenarios.run_once(
        context
    ).runs


@behave.then("no worker ever ran more than {count:d} tasks at once")
def step(context, count):
    assert 0 < max_concurrent_runs(context) <= count


def max_concurrent_runs(context):
    """Returns the highest number of concurrent runs on any worker."""
    highest = 0
    for worker in platform_scenarios.run_once(context).fleet.workers.values():
        for run in worker.records:
            concurrent = sum(
                other.began_s <= run.began_s < other.ended_s
                for other in worker.records
            )
            highest = max(highest, concurrent)
    return highest


@behave.then("the first call is accepted")
def step(context):
    first = platform_scenarios.run_once(context).outcomes[0]
    assert pipeline.is_successful(first), first


@behave.then("the call is refused with status {status:d} as {verdict}")
def step(context, status, verdict):
    refusal = platform_scenarios.run_once(context).outcomes[-1].failure()
    found = refusal.status, refusal.verdict.value
    assert found == (status, verdict), refusal


@behave.given(
    "the first {count:d} hosts have 2 cores and the others half a core"
)
def step(context, count):
    context.host_cores = {
        f"host-{number}": 2.0 if number < count else 0.5
        for number in range(context.hosts)
    }


@behave.when("the first {count:d} hosts are killed")
def step(context, count):
    async def kill(fleet):
        await asyncio.sleep(0.3)
        for name in fleet.host_names[:count]:
            await fleet.kill_host(name)

    platform_scenarios.add_action(context, kill)


def start_hosts(fleet, count):
    for name in fleet.host_names[:count]:
        fleet.start_host(name)


@behave.when("the first {count:d} hosts are started")
def step(context, count):
    async def start(fleet):
        await asyncio.sleep(0.3)
        start_hosts(fleet, count)

    platform_scenarios.add_action(context, start)


@behave.when(
    "the first {count:d} hosts are started while answers to leaving are lost "
    "for {seconds:d} s"
)
def step(context, count, seconds):
    async def start(fleet):
        fleet.store.paths_without_reply.add("/log-leave")
        start_hosts(fleet, count)
        await asyncio.sleep(seconds)
        fleet.store.paths_without_reply.clear()

    platform_scenarios.add_action(context, start)


@behave.when("the store rejects the first {count:d} hosts")
def step(context, count):
    async def reject(fleet):
        await asyncio.sleep(0.3)
        fleet.store.rejected_hosts.update(fleet.host_names[:count])

    platform_scenarios.add_action(context, reject)


@behave.when("the last host is stopped")
def step(context):
    async def stop(fleet):
        await fleet.stop_host(fleet.host_names[-1])

    platform_scenarios.add_action(context, stop)


@behave.then("all {count:d} hosts own partitions")
def step(context, count):
    owners = platform_scenarios.run_once(context).owners
    assert len(owners) == count, owners


@behave.then("only the first {count:d} hosts own partitions")
def step(context, count):
    result = platform_scenarios.run_once(context)
    assert result.owners == set(result.fleet.host_names[:count]), result.owners


@behave.then("only the first {count:d} hosts have owned partitions")
def step(context, count):
    fleet = platform_scenarios.run_once(context).fleet
    gained = {
        line["host"]
        for line in fleet.logs
        if line["message_type"] == "owner:gained"
    }
    assert gained == set(fleet.host_names[:count]), gained


@behave.then("no host owned a partition twice with the same token")
def step(context):
    gained = [
        (line["host"], line["partition"], line["token"])
        for line in platform_scenarios.run_once(context).fleet.logs
        if line["message_type"] == "owner:gained"
    ]
    assert gained and len(gained) == len(set(gained)), gained


@behave.then("the owner has a higher token than any before")
def step(context):
    result = platform_scenarios.run_once(context)
    gained = [
        line
        for line in result.fleet.logs
        if line["message_type"] == "owner:gained"
        and line["partition"] == POOL_PARTITION
    ]
    last = max(gained, key=lambda line: line["token"])
    owners = [
        line["host"]
        for line in result.fleet.logs
        if line["message_type"] == "owner:loaded"
        and line["partition"] == POOL_PARTITION
        and line["token"] == last["token"]
    ]
    assert owners == [result.pool_owner], (owners, result.pool_owner)
