"""Steps of tests/pools/crashing_tasks.feature."""

import asyncio

import behave
import msgspec

from chervillead.jobs import records
from chervillead.pools import pool_partitions
from stand_ins import platform_fleet
from stand_ins import platform_scenarios
from stand_ins import platform_store

FIRST_OTHER_JOB = 100
PARTITION = pool_partitions.partition_of(
    platform_fleet.POOL, platform_store.PARTITIONS
)


def other_jobs(context):
    """Returns the ids of the jobs that run beside the scenario's job."""
    return [
        platform_fleet.job_id(FIRST_OTHER_JOB + number)
        for number in range(context.other_jobs)
    ]


def add_crashing_job(context, fields, crash_delay_s):
    async def submit(fleet):
        for worker in fleet.workers.values():
            worker.deadly.add(f"{platform_scenarios.JOB}.0.0.0")
            worker.crash_delay_s = crash_delay_s
            if fields.get("LongRunning"):
                worker.long_running.add(platform_scenarios.JOB)
        return await platform_scenarios.submit(fleet, [fields])

    platform_scenarios.add_action(context, submit)


@behave.given("crashed workers return after {seconds:d} s")
def step(context, seconds):
    async def set_time(fleet):
        for worker in fleet.workers.values():
            worker.down_s = seconds

    platform_scenarios.add_action(context, set_time)


@behave.when("{count:d} other jobs of {tasks:d} tasks are submitted")
def step(context, count, tasks):
    context.other_jobs = count

    async def submit(fleet):
        for job_id in other_jobs(context):
            await fleet.submit(job_id, [platform_fleet.step(tasks)])

    async def read_phases(fleet):
        context.other_phases = [
            await fleet.phase(job_id) for job_id in other_jobs(context)
        ]

    platform_scenarios.add_action(context, submit)
    context.last_action = read_phases


@behave.when(
    "a job of {tasks:d} tasks is submitted whose first task crashes workers "
    "after {seconds:g} s"
)
def step(context, tasks, seconds):
    add_crashing_job(context, platform_fleet.step(tasks), seconds)


@behave.when(
    "a long-running job of {tasks:d} tasks is submitted whose first task "
    "crashes workers"
)
def step(context, tasks):
    fields = platform_fleet.step(tasks, LongRunning=True)
    add_crashing_job(context, fields, 0.01)


@behave.when(
    "a speculative job of {tasks:d} tasks is submitted whose first task "
    "crashes workers"
)
def step(context, tasks):
    # Its other tasks run on other workers, and tell how long they take.
    fields = platform_fleet.step(tasks, Speculative=True, AntiAffinity=1)
    add_crashing_job(context, fields, 0.01)


@behave.when("the workers with tasks crash")
def step(context):
    async def crash(fleet):
        for worker in fleet.workers.values():
            if worker.running():
                worker.crash()
        await asyncio.sleep(0)

    platform_scenarios.add_action(context, crash)


@behave.when(
    "the first {count:d} workers crash {times:d} times, {up:g} s after they "
    "returned"
)
def step(context, count, times, up):
    async def crash(worker):
        for _ in range(times):
            await asyncio.sleep(up)
            worker.crash()
            await asyncio.sleep(worker.down_s)

    async def begin(fleet):
        workers = list(fleet.workers.values())[:count]
        context.crashing = [asyncio.create_task(crash(w)) for w in workers]

    platform_scenarios.add_action(context, begin)


@behave.when("the task has been started again")
def step(context):
    async def wait(fleet):
        started = len(fleet.runs(platform_scenarios.JOB))
        await platform_scenarios.wait_until(
            lambda: len(fleet.runs(platform_scenarios.JOB)) > started
        )
        await asyncio.sleep(0.3)

    platform_scenarios.add_action(context, wait)


@behave.then("at most {count:d} workers crashed")
def step(context, count):
    fleet = platform_scenarios.run_once(context).fleet
    crashes = [
        crash for worker in fleet.workers.values() for crash in worker.crashes
    ]
    assert 0 < len(crashes) <= count, sorted(crashes, key=lambda c: c.at_s)


@behave.then(
    "each worker but the first {count:d} that crashed ran no other task"
)
def step(context, count):
    fleet = platform_scenarios.run_once(context).fleet
    crashes = sorted(
        (
            crash
            for worker in fleet.workers.values()
            for crash in worker.crashes
        ),
        key=lambda crash: crash.at_s,
    )
    deadly = (f"{platform_scenarios.JOB}.0.0.0",)
    assert all(crash.tasks == deadly for crash in crashes[count:]), crashes


@behave.then("the second task of the job ran once and is running")
def step(context):
    runs = [
        run
        for run in platform_scenarios.run_once(context).runs
        if run.task.endswith(".1")
    ]
    assert [run.how for run in runs] == [""], runs


@behave.then("the other jobs are completed")
def step(context):
    platform_scenarios.run_once(context)
    assert set(context.other_phases) == {"completed"}, context.other_phases


@behave.then("no run is reported as ended by a crash")
def step(context):
    ends = [
        line["how"]
        for line in platform_scenarios.run_once(context).fleet.logs
        if line["message_type"] == "run:ended"
    ]
    assert ends and "worker-crashed" not in ends, ends


@behave.when("the owner is killed {delay:g} s after each crash and restarted")
def step(context, delay):
    async def kill_after_crashes(fleet):
        seen = 0
        while True:
            await asyncio.sleep(0.005)
            crashes = sum(len(w.crashes) for w in fleet.workers.values())
            if crashes == seen:
                continue
            seen = crashes
            await asyncio.sleep(delay)
            owners = [
                name
                for name, host in fleet.hosts.items()
                if host.ownership.owner_of(PARTITION) is not None
            ]
            for name in owners:
                await fleet.kill_host(name)
                await asyncio.sleep(0.3)
                fleet.start_host(name)

    async def begin(fleet):
        context.killing = asyncio.create_task(kill_after_crashes(fleet))

    platform_scenarios.add_action(context, begin)


@behave.when("all workers refuse connections for {seconds:g} s")
def step(context, seconds):
    async def refuse(fleet):
        await asyncio.sleep(0.3)
        for node, worker in fleet.workers.items():
            worker.is_crashed = True
            fleet.network.reset_place(node)

        def accept():
            for worker in fleet.workers.values():
                worker.is_crashed = False

        asyncio.get_running_loop().call_later(seconds, accept)
        await asyncio.sleep(0.3)

    platform_scenarios.add_action(context, refuse)


def _stored_crashes(context):
    """Returns the numbers of the runs stored as having crashed workers."""
    fleet = platform_scenarios.run_once(context).fleet
    value = fleet.store.value(
        pool_partitions.JOBS_TOPIC,
        PARTITION,
        records.progress_key(platform_scenarios.JOB),
    )
    progress = msgspec.msgpack.decode(value)
    return [number for task in progress[1] for number in task[4]]


@behave.then("no task is stored as having crashed workers")
def step(context):
    assert not _stored_crashes(context)


@behave.when("crashed workers are cordoned {delay:g} s after their crash")
def step(context, delay):
    def cordon(fleet, worker_id):
        host = fleet.hosts[fleet.owner_host()]
        owner = host.ownership.owner_of(PARTITION)
        if worker_id in owner.state.watches:
            owner.drain.cordon(worker_id, "its pool shrinks")

    async def follow(fleet):
        loop, seen = asyncio.get_running_loop(), 0
        while True:
            crashes = [c for w in fleet.workers.values() for c in w.crashes]
            for crash in sorted(crashes, key=lambda c: c.at_s)[seen:]:
                loop.call_later(delay, cordon, fleet, crash.worker_id)
            seen = len(crashes)
            await asyncio.sleep(0.01)

    async def begin(fleet):
        context.cordoning = asyncio.create_task(follow(fleet))

    platform_scenarios.add_action(context, begin)


@behave.then(
    "the first task was started again within {seconds:g} s of its crash"
)
def step(context, seconds):
    runs = [
        run
        for run in platform_scenarios.run_once(context).runs
        if run.task.endswith(".0")
    ]
    assert len(runs) == 2, runs
    assert runs[1].began_s - runs[0].ended_s <= seconds, runs
