"""Steps of tests/pools/job_operations.feature."""

import asyncio
import typing

import behave
from returns import result

from chervillead import verdicts
from chervillead.pools import job_operations
from chervillead.pools import job_refusals
from stand_ins import owner_states
from stand_ins import virtual_time

SUCCESS = result.Success(None)
APPEND_S = 0.01
# Failures of the appends in order; the last one repeats.
BEHAVIOURS = {
    "rejects appends as fenced": [owner_states.FENCED],
    "first gives no reply, then rejects them as fenced": [
        owner_states.NO_REPLY,
        owner_states.FENCED,
    ],
    "first rejects the sequence, then the fenced append": [
        owner_states.WRONG_SEQUENCE,
        owner_states.FENCED,
    ],
    "rejects appends without naming a known reason": [
        owner_states.UNKNOWN_REASON
    ],
    "accepts nothing for now": [owner_states.NOT_ACCEPTED],
}


class Submission(typing.NamedTuple):
    """Outcome of a submission and how long it took.

    The refusal is None if the job was accepted.
    """

    refusal: verdicts.Refusal | None
    duration_s: float


async def run_submissions(context):
    failures = list(getattr(context, "failures", ()))

    async def append(topic, partition, records, producer):
        await asyncio.sleep(context.append_s)
        if not failures:
            return result.Success(0)
        return result.Failure(
            failures.pop(0) if len(failures) > 1 else failures[0]
        )

    def loop_lag_s():
        is_late = now_s() >= getattr(context, "late_from_s", 0.0)
        return getattr(context, "lag_s", 0.0) if is_late else 0.0

    now_s = asyncio.get_running_loop().time
    state = owner_states.build_state(
        append,
        loop_lag_s,
        getattr(context, "configuration", owner_states.CONFIGURATION),
    )
    operations = job_operations.JobOperations(state)
    writing = asyncio.create_task(state.writer.run())

    async def submit(number, delay_s):
        await asyncio.sleep(delay_s)
        began_s = now_s()
        outcome = await operations.submissions.submit(
            owner_states.job(number), 1.0
        )
        refusal = None if outcome == SUCCESS else outcome.failure()
        return Submission(refusal, now_s() - began_s)

    async def cancel(after_s):
        await asyncio.sleep(after_s)
        context.cancellation = await operations.cancel(
            owner_states.job(1).job_id,
            getattr(context, "cancelling_account", "account-1"),
            1.0,
            confirm_unknown=True,
        )

    async def find(after_s):
        await asyncio.sleep(after_s)
        began_s = now_s()
        outcome = await operations.find(
            owner_states.job(1).job_id, confirm_unknown=True
        )
        refusal = None if outcome == SUCCESS else outcome.failure()
        context.found = Submission(refusal, now_s() - began_s)

    async def replace_owner():
        await asyncio.sleep(context.replaced_after_s)
        writing.cancel()
        state.writer.close()

    others = []
    if hasattr(context, "replaced_after_s"):
        others.append(replace_owner())
    if hasattr(context, "cancelled_s"):
        others.append(cancel(context.cancelled_s))
    if hasattr(context, "looked_for_s"):
        others.append(find(context.looked_for_s))
    outcomes = await asyncio.gather(
        *(submit(number, delay_s) for number, delay_s in context.jobs),
        *others,
    )
    # An append that was under way is stored a moment later.
    await asyncio.sleep(2 * context.append_s)
    context.known = state.jobs.get(owner_states.job(1).job_id)
    writing.cancel()
    return outcomes[: len(context.jobs)]


def run_once(context):
    """Runs the scenario on the first call; returns its submissions."""
    if not hasattr(context, "submissions"):
        context.submissions = virtual_time.run_virtual(
            run_submissions(context), context.seed
        )
    return context.submissions


@behave.given("the store takes {seconds:g} s for an append")
def step(context, seconds):
    context.append_s = seconds


@behave.given("the store {behaviour}")
def step(context, behaviour):
    context.append_s = APPEND_S
    context.failures = BEHAVIOURS[behaviour]


@behave.given("an owner whose event loop runs {lag:g} s late")
def step(context, lag):
    context.append_s = APPEND_S
    context.lag_s = lag


@behave.given(
    "an owner whose event loop begins to run late after {seconds:g} s"
)
def step(context, seconds):
    context.append_s = APPEND_S
    context.lag_s = 1.0
    context.late_from_s = seconds


@behave.when("the job is cancelled {seconds:g} s after it was submitted")
def step(context, seconds):
    context.cancelled_s = seconds


@behave.when("the job is cancelled first")
def step(context):
    context.cancelled_s = 0.0


@behave.when("another client account cancels the job")
def step(context):
    context.cancelled_s = 0.0
    context.cancelling_account = "account-2"


@behave.when(
    "another client account cancels the job {seconds:g} s after it was "
    "submitted"
)
def step(context, seconds):
    context.cancelled_s = seconds
    context.cancelling_account = "account-2"


@behave.when("the job is looked for {seconds:g} s after it was submitted")
def step(context, seconds):
    context.looked_for_s = seconds


@behave.when("a job is submitted with 1 s to wait {seconds:g} s later")
def step(context, seconds):
    context.jobs = [(1, seconds)]


@behave.then("the cancellation succeeds")
def step(context):
    run_once(context)
    assert context.cancellation == SUCCESS, context.cancellation


@behave.then("the cancellation may have been stored")
def step(context):
    run_once(context)
    refusal = context.cancellation.failure()
    assert refusal.verdict is verdicts.Verdict.MAY_HAVE_RUN, refusal


@behave.then("the job is known as cancelled")
def step(context):
    run_once(context)
    assert context.known is not None and context.known.is_cancelled


@behave.then("the cancellation is refused as unknown")
def step(context):
    run_once(context)
    assert context.cancellation.failure().status == 410, context.cancellation


@behave.then("the cancellation is refused with status {status:d}")
def step(context, status):
    run_once(context)
    assert context.cancellation.failure().status == status, context.cancellation


@behave.then("the other submission is accepted")
def step(context):
    assert run_once(context)[1].refusal is None, run_once(context)


@behave.then(
    "it is refused as {verdict} with status {status:d} within {seconds:g} s"
)
def step(context, verdict, status, seconds):
    run_once(context)
    check_refusal(context.found, verdict, status)
    assert context.found.duration_s <= seconds, context.found


@behave.when("{count:d} jobs are submitted to the owner at once")
def step(context, count):
    context.jobs = [(number, 0.0) for number in range(count)]


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


@behave.then("the submission is accepted")
def step(context):
    assert run_once(context)[0].refusal is None, run_once(context)


@behave.then("the submission is refused for overload")
def step(context):
    submission = run_once(context)[0]
    check_refusal(submission, "not-run", 503)
    assert submission.refusal.reason == job_refusals.OWNER_OVERLOADED
    assert submission.duration_s < APPEND_S, submission


@behave.then("both submissions and the cancellation succeed")
def step(context):
    refusals = [submission.refusal for submission in run_once(context)]
    assert refusals == [None, None], refusals
    assert context.cancellation == SUCCESS, context.cancellation


@behave.then(
    "their callers are told to return between {least:g} s and {most:g} s later"
)
def step(context, least, most):
    times_s = [found.refusal.retry_after_s for found in run_once(context)]
    assert least <= min(times_s) < least + 0.5, times_s
    assert most - 0.5 < max(times_s) <= most, times_s
