"""Steps of tests/pools/run_times.feature."""

import asyncio

import behave

from chervillead.jobs import job_state
from chervillead.jobs import learned_times
from chervillead.jobs import model
from chervillead.jobs import partition_records
from chervillead.jobs import task_runs
from chervillead.pools import pool_partitions
from stand_ins import memory_partition
from stand_ins import platform_fleet
from stand_ins import platform_scenarios
from stand_ins import platform_store

ADDRESS = "jobs.example/billing/"
STEP = model.Step(1, model.Resources(1000, 100), 1000, checkpointing=True)
PARTITION = pool_partitions.partition_of(
    platform_fleet.POOL, platform_store.PARTITIONS
)
QUEUE_ADDRESS = platform_fleet.QUEUE_HOST + platform_fleet.QUEUE_PATH


@behave.given("the owner of a queue {kind} a target and 2 workers")
def step(context, kind):
    target_ms = 600 if kind == "with" else 0
    context.configuration = model.FleetConfiguration(
        1,
        {
            "queue-1": model.Queue(
                "queue-1",
                "jobs.example",
                "/billing/",
                memory_partition.POOL,
                target_ms=target_ms,
            )
        },
        {memory_partition.POOL: model.Pool(memory_partition.POOL)},
        {},
        {},
        0,
    )


@behave.when("a task estimated at 1 s is started, {kind}")
def step(context, kind):
    context.kind = kind


@behave.when("its run completes after {seconds:g} s")
def step(context, seconds):
    async def play():
        spec = model.JobSpec(
            "0" * 16, "queue-1", memory_partition.POOL, "", "", (STEP,)
        )
        job = job_state.JobState(spec, accepted_s=memory_partition.START_S)
        workers = [
            memory_partition.make_worker(f"i-{n}", model.Resources(8000, 900))
            for n in range(2)
        ]
        partition = memory_partition.MemoryPartition(
            context.configuration, workers, [job]
        )
        if context.kind == "by a previous owner":
            key = task_runs.RunKey(spec.job_id, model.TaskKey(0, 0, 0), 7)
            partition.report("i-0", found=key)
        else:
            partition.run_pass()
        run = apply_kind(partition, job, context.kind)
        partition.now_s += seconds
        partition.report(run.worker_id, run.key)
        assert job.is_completed
        await partition.close()
        context.expected_s = partition.state.run_times.expected_s(
            context.configuration.queues["queue-1"].address, STEP
        )

    asyncio.run(play())


def apply_kind(partition, job, kind):
    """Makes the job's run of a kind; returns the run that is to end."""
    (run,) = job.active_runs()
    view = partition.state.watches[run.worker_id].view
    run.phase = task_runs.RunPhase.RUNNING
    if kind == "on a slow worker":
        for _ in range(4):
            view.health.record_success(5.0)
    elif kind == "from a checkpoint":
        run.resumed_from = "half"
    elif kind == "and is paced for a while":
        watch = partition.state.watches[run.worker_id]
        watch.pace(run, 30)
        watch.pace(run, 100)
    elif kind == "as a copy of another run":
        other = next(i for i in partition.state.watches if i != run.worker_id)
        copy = task_runs.Run(
            run.job_id,
            run.task,
            run.number + 1,
            other,
            reserved=run.reserved,
            started_s=partition.now_s,
        )
        job.add_run(copy)
        partition.state.track_run(partition.state.watches[other].view, copy)
        return copy
    return run


@behave.then("the owner expects the next task to take {expected}")
def step(context, expected):
    if expected == "1 s":
        assert context.expected_s == 1.0, context.expected_s
    else:
        assert 1.0 < context.expected_s < 8.0, context.expected_s


async def submit_jobs(fleet, count, interval_s=0.0):
    for number in range(count):
        await asyncio.sleep(interval_s)
        await fleet.submit(
            platform_fleet.job_id(100 + number), [platform_fleet.step(4)]
        )


@behave.when(
    "{count:d} jobs of tasks estimated at 0.5 s have completed, 1 s apart"
)
def step(context, count):
    async def complete(fleet):
        await submit_jobs(fleet, count, interval_s=1.0)
        await asyncio.sleep(2.0 * context.work_s)

    platform_scenarios.add_action(context, complete)
    context.last_action = read_expected(context)


@behave.when(
    "{count:d} jobs of tasks estimated at 0.5 s are submitted and the store is "
    "down when they end"
)
def step(context, count):
    async def complete(fleet):
        await submit_jobs(fleet, count)
        fleet.store.is_down = True
        await asyncio.sleep(context.work_s + 0.3)

    platform_scenarios.add_action(context, complete)
    context.last_action = read_expected(context)


def read_expected(context):
    async def read(fleet):
        host = fleet.hosts[fleet.owner_host()]
        state = host.ownership.owner_of(PARTITION).state
        context.known = len(state.run_times)
        context.expected_s = state.run_times.expected_s(
            QUEUE_ADDRESS, model.Step(1, model.Resources(), 500)
        )
        context.stored = [
            key
            for key in fleet.store.keys(pool_partitions.JOBS_TOPIC)
            if key.startswith("r")
        ]

    return read


@behave.then("the new owner expects tasks to take {low:g} to {high:g} s")
def step(context, low, high):
    platform_scenarios.run_once(context)
    assert low < context.expected_s < high, context.expected_s


@behave.then(
    "no run time is stored, and the owner expects tasks to take {low:g} to "
    "{high:g} s"
)
def step(context, low, high):
    platform_scenarios.run_once(context)
    assert low < context.expected_s < high, context.expected_s
    assert not context.stored, context.stored


@behave.when("unreadable and impossible run times are stored")
def step(context):
    possible = learned_times.Moments(5.0, 0.0, 1.0)
    impossible = partition_records.LearnedRunTime(
        "a",
        "b",
        learned_times.LearnedTimes(
            possible, possible._replace(mean=float("nan"))
        ),
        0,
    )
    context.records = {
        partition_records.run_time_key(QUEUE_ADDRESS, ""): b"\x93\x01",
        partition_records.key_of(impossible): partition_records.encode(
            impossible
        ),
    }

    async def store(fleet):
        fleet.store.put_records(
            pool_partitions.JOBS_TOPIC, PARTITION, context.records
        )

    platform_scenarios.add_action(context, store)


@behave.then("both run times were logged as unreadable and skipped")
def step(context):
    fleet = platform_scenarios.run_once(context).fleet
    logged = {
        line["key"]
        for line in fleet.logs
        if line["message_type"] == "record:unreadable"
    }
    assert logged == set(context.records), logged
