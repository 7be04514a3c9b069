"""Steps of tests/pools/overload_refusals.feature."""

import asyncio
import math
import random

import behave
from returns import result

from chervillead import verdicts
from chervillead.jobs import admission
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import waiting_jobs
from chervillead.jobs import workload
from chervillead.pools import job_operations
from chervillead.pools import overload_control
from stand_ins import owner_states
from stand_ins import virtual_time

QUEUE = model.Queue(
    "queue-1", "", "", "pool-1", stretch=1.6, target_ms=600, max_attempts=3
)
CONFIGURATION = owner_states.CONFIGURATION._replace(
    queues={"queue-1": QUEUE},
    accounts={"account-1": model.Account("account-1", 1.0, model.Resources())},
)
STEP = model.Step(10, model.Resources(1000, 100), estimate_ms=1000)
MILLICORES = 10_000
# Waits for 1.15 s of the pool each, with the headroom for packing.
ACCEPTED = 35
ANY_TIME = model.Schedule()
FAR_AWAY = model.Schedule(2, 2**50, 1000)
NEW = 1000


def spec_of(context, number):
    steps = (STEP._replace(long_running=context.is_long_running),)
    spec = owner_states.job(number)._replace(steps=steps)
    return spec._replace(schedule=context.schedule)


def accept(state, number, now_s, schedule=ANY_TIME):
    spec = owner_states.job(number)._replace(steps=(STEP,), schedule=schedule)
    state.jobs[spec.job_id] = job_state.JobState(
        spec, accepted_s=now_s, terms=QUEUE.terms
    )


def refresh(state, waiting, millicores):
    """Does what the placement scheduler does before a pass."""
    now_s = state.now_s()
    for job in state.jobs.values():
        order = state.jobs.order_of(job.spec.job_id)
        waiting.put(job, job.terms, order=order, now_s=now_s)
        state.overload.backlog.put(job, job.terms, order=order, now_s=now_s)
    state.overload.refresh(waiting, lambda pool: millicores)


@behave.given(
    "an owner whose pool has 40 s of work within the rate of its account"
)
def step(context):
    context.configuration = CONFIGURATION
    context.accepted = ACCEPTED
    context.scheduled = 0
    context.begun_s_ago = 10.0
    context.is_long_running = False
    context.schedule = model.Schedule()
    context.is_replaced = False
    context.millicores = MILLICORES
    context.learned_s = None


@behave.given(
    "an owner with {count:d} scheduled jobs whose next time is far away"
)
def step(context, count):
    context.execute_steps(
        "Given an owner whose pool has 40 s of work within the rate of its "
        "account"
    )
    context.accepted, context.scheduled = 0, count


@behave.given("the job is long-running")
def step(context):
    context.is_long_running = True


@behave.given("the job has a schedule")
def step(context):
    context.schedule = model.Schedule(2, 1000, 1000)


@behave.given("overload has begun 3 s ago in a fleet with spare hosts")
def step(context):
    pools = {"spare": model.Pool("spare", is_spare=True)}
    context.configuration = CONFIGURATION._replace(
        pools=CONFIGURATION.pools | pools
    )
    context.begun_s_ago = 3.0


@behave.given("the tasks of its queue take 30 s, and are estimated at 1 s")
def step(context):
    context.learned_s = 30.0


@behave.given("none of the hosts of the pool can take tasks")
def step(context):
    context.millicores = 0


@behave.when("another host becomes the owner")
def step(context):
    context.is_replaced = True


async def run(context, numbers):
    context.stored, context.lines, context.counted = [], [], []

    async def append(topic, partition, records, producer):
        context.stored += records
        return result.Success(0)

    state = owner_states.build_state(append, lambda: 0.0, context.configuration)
    ports = state.ports._replace(
        log=lambda name, **fields: context.lines.append(name),
        increment=lambda *labels: context.counted.append(labels),
    )
    state.overload = overload_control.OverloadControl(ports)
    operations = job_operations.JobOperations(state)
    writing = asyncio.create_task(state.writer.run())
    waiting = waiting_jobs.WaitingJobs()
    for number in range(context.scheduled):
        accept(state, 2 * NEW + number, state.now_s(), FAR_AWAY)
    for number in range(context.accepted):
        accept(state, number, state.now_s())
    refresh(state, waiting, context.millicores)
    await asyncio.sleep(context.begun_s_ago)
    # Those accepted first have expired, so they are no work ahead.
    for number in range(context.accepted, 2 * context.accepted):
        accept(state, number, state.now_s())
    refresh(state, waiting, context.millicores)
    context.placed = list(waiting.batch(state.now_s(), {}))
    while state.overload.take_token("account-1"):
        pass
    if context.is_replaced:
        state.overload = overload_control.OverloadControl(ports)
    if context.learned_s is not None:
        for _ in range(200):
            state.run_times.record(
                QUEUE.address, STEP, context.learned_s, 1.0, state.now_s()
            )
    context.outcomes = [
        await operations.submissions.submit(spec_of(context, number), 1.0)
        for number in numbers
    ]
    context.job = state.jobs.get(owner_states.job(numbers[-1]).job_id)
    writing.cancel()


def submit(context, numbers):
    virtual_time.run_virtual(run(context, numbers), context.seed)


@behave.when("a new job is submitted beyond the rate")
def step(context):
    submit(context, [NEW])


@behave.when("an accepted job is submitted again")
def step(context):
    submit(context, [ACCEPTED + 3])


@behave.when("30 new jobs are submitted beyond the rate")
def step(context):
    submit(context, range(NEW, NEW + 30))


@behave.when("callers are refused at 1000 times behind a backlog of 60 s")
def step(context):
    draws = random.Random(context.seed)
    context.delays_s = []
    for _ in range(1000):
        times = admission.ReturnTimes()
        # Sums are rounded where they pass a power of 2.
        now_s = 2.0 ** draws.randrange(5, 21) - draws.uniform(0.0, 10.0)
        # The second one returns as late as possible.
        context.delays_s += [
            times.next_delay_s(
                "pool-1",
                workload.Group(0, False),
                now_s,
                ahead_s=60.0,
                jobs_per_s=0.05,
            )
            for _ in range(2)
        ]


@behave.then("all of them return after 1 s to 10 s")
def step(context):
    assert min(context.delays_s) >= 1, min(context.delays_s)
    # Rounded up as in the Retry-After header.
    assert math.ceil(max(context.delays_s)) == 10, max(context.delays_s)


def orders_on_time(context):
    """Returns the numbers of the jobs accepted last, as they are placed."""
    ids = [owner_states.job(n).job_id for n in range(2 * ACCEPTED)]
    numbers = [ids.index(job.spec.job_id) for job in context.placed]
    return [number for number in numbers if number >= ACCEPTED]


@behave.then("jobs that can be on time are placed by their latest start")
def step(context):
    found = orders_on_time(context)
    assert found == list(range(ACCEPTED, 2 * ACCEPTED)), found


@behave.then("jobs that can be on time are not placed by their latest start")
def step(context):
    found = orders_on_time(context)
    assert sorted(found) == list(range(ACCEPTED, 2 * ACCEPTED)), found
    assert found != sorted(found), found


@behave.then("it is refused as not run with status 429, and nothing is stored")
def step(context):
    refusal = context.outcomes[0].failure()
    assert refusal.verdict is verdicts.Verdict.NOT_RUN, refusal
    assert refusal.status == 429, refusal
    assert context.job is None and not context.stored, context.stored


@behave.then("its caller returns after 1 s to 10 s")
def step(context):
    delay_s = context.outcomes[0].failure().retry_after_s
    assert 1 <= delay_s <= 10, delay_s


@behave.then("it is accepted")
def step(context):
    assert context.outcomes == [result.Success(None)], context.outcomes


@behave.then("their callers return in the order in which they were refused")
def step(context):
    delays = [outcome.failure().retry_after_s for outcome in context.outcomes]
    assert delays == sorted(delays), delays
    assert min(delays) >= 1 and max(delays) <= 10, delays


@behave.then("one line is logged for them, and each counts")
def step(context):
    assert context.lines.count("job:refused-overload") == 1, context.lines
    counted = context.counted.count(
        ("chervillead_overload_refusals", "backlog")
    )
    assert counted == 30, context.counted


@behave.then("it counts as within the rate")
def step(context):
    assert not context.job.is_over_rate
