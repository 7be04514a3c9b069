"""Steps of tests/pools/job_operations.feature."""

import asyncio
import typing

import behave
from returns import result

from chervillead import verdicts
from chervillead.jobs import model
from chervillead.pools import job_operations
from chervillead.pools import owner_state
from chervillead.pools import ports
from chervillead.store import group_commit
from chervillead.store import interface
from stand_ins import platform_fleet
from stand_ins import virtual_time

NO_REPLY = interface.StoreFailure(verdicts.Verdict.MAY_HAVE_RUN, "no reply")
NOT_ACCEPTED = interface.StoreFailure(verdicts.Verdict.NOT_RUN, "503")
FENCED = interface.StoreFailure(
    verdicts.Verdict.NOT_RUN, "409", interface.RejectionReason.FENCED
)
WRONG_SEQUENCE = interface.StoreFailure(
    verdicts.Verdict.NOT_RUN,
    "409",
    interface.RejectionReason.OUT_OF_SEQUENCE,
    7,
)
UNKNOWN_REASON = interface.StoreFailure(
    verdicts.Verdict.NOT_RUN, "409", interface.RejectionReason.NOT_A_MEMBER
)
APPEND_S = 0.01
# Failures of the appends in order; the last one repeats.
BEHAVIOURS = {
    "rejects appends as fenced": [FENCED],
    "first gives no reply, then rejects them as fenced": [NO_REPLY, FENCED],
    "first rejects the sequence, then the fenced append": [
        WRONG_SEQUENCE,
        FENCED,
    ],
    "rejects appends without naming a known reason": [UNKNOWN_REASON],
    "accepts nothing for now": [NOT_ACCEPTED],
}


class Submission(typing.NamedTuple):
    """Outcome of a submission and how long it took."""

    refusal: verdicts.Refusal
    duration_s: float


def job(number):
    return model.JobSpec(
        platform_fleet.job_id(number),
        "queue-1",
        "pool-1",
        "account-1",
        "x",
        (model.Step(1, model.Resources(1000, 100)),),
    )


def build_state(append):
    """Returns an owner's state whose writer appends with a function."""
    store = interface.Store(append, None, None, None, None, None)
    owner_ports = ports.OwnerPorts(
        store=store,
        open_worker=None,
        clock=virtual_time.clock(),
        limits=ports.Limits(),
        configuration=lambda: None,
        zones_out=frozenset,
        log=lambda message_type, **fields: None,
        increment=lambda *labels: None,
        observe=lambda name, seconds: None,
    )
    return owner_state.OwnerState(
        0,
        1,
        group_commit.PartitionWriter(store, "keyed.jobs", 0, 1),
        owner_ports,
        owner_state.OwnershipStatus(lambda: True, lambda: False),
    )


async def run_submissions(context):
    failures = list(getattr(context, "failures", ()))

    async def append(topic, partition, records, producer):
        await asyncio.sleep(context.append_s)
        if not failures:
            return result.Success(0)
        return result.Failure(
            failures.pop(0) if len(failures) > 1 else failures[0]
        )

    state = build_state(append)
    operations = job_operations.JobOperations(state)
    writing = asyncio.create_task(state.writer.run())
    now_s = asyncio.get_running_loop().time

    async def submit(number, delay_s):
        await asyncio.sleep(delay_s)
        began_s = now_s()
        outcome = await operations.submit(job(number), 1.0)
        return Submission(outcome.failure(), now_s() - began_s)

    async def replace_owner():
        await asyncio.sleep(context.replaced_after_s)
        writing.cancel()
        state.writer.close()

    replacing = (
        [replace_owner()] if hasattr(context, "replaced_after_s") else []
    )
    outcomes = await asyncio.gather(
        *(submit(number, delay_s) for number, delay_s in context.jobs),
        *replacing,
    )
    writing.cancel()
    return outcomes[: len(context.jobs)]


def run_once(context):
    """Runs the scenario on the first call; returns its submissions."""
    if not hasattr(context, "submissions"):
        context.submissions = virtual_time.run_virtual(
            run_submissions(context), context.seed
        )
    return context.submissions


@behave.given("the store takes {seconds:d} s for an append")
def step(context, seconds):
    context.append_s = seconds


@behave.given("the store {behaviour}")
def step(context, behaviour):
    context.append_s = APPEND_S
    context.failures = BEHAVIOURS[behaviour]


@behave.when("a job is submitted with 1 s to wait")
def step(context):
    context.jobs = [(1, 0.0)]


@behave.when("another job is submitted {seconds:g} s later")
def step(context, seconds):
    context.jobs.append((2, seconds))


@behave.when("the same job is submitted {seconds:g} s later")
def step(context, seconds):
    context.jobs.append((1, seconds))


@behave.when("the owner is replaced {seconds:g} s later")
def step(context, seconds):
    context.replaced_after_s = context.jobs[-1][1] + seconds


@behave.then("the submission is refused as {verdict} with status {status:d}")
def step(context, verdict, status):
    check_refusal(run_once(context)[0], verdict, status)


@behave.then(
    "the other submission is refused as {verdict} with status {status:d}"
)
def step(context, verdict, status):
    check_refusal(run_once(context)[1], verdict, status)


def check_refusal(submission, verdict, status):
    refusal = submission.refusal
    assert (refusal.verdict.value, refusal.status) == (verdict, status), refusal


@behave.then("the refusal came within {seconds:g} s")
def step(context, seconds):
    longest_s = max(found.duration_s for found in run_once(context))
    assert longest_s <= seconds, run_once(context)
