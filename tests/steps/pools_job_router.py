"""Steps of tests/pools/job_router.feature."""

import asyncio
import types as std_types
import typing

import behave
from returns import pipeline
from returns import result

from chervillead import types
from chervillead import verdicts
from chervillead.callers import request_limiter
from chervillead.entries import job_messages
from chervillead.entries import job_streams
from chervillead.pools import group_members
from chervillead.pools import job_router
from chervillead.pools import job_service
from chervillead.store import interface
from stand_ins import memory_network
from stand_ins import owner_states
from stand_ins import virtual_time

HOST = types.Address("10.0.0.1", 1)
OWNER = types.Address("10.0.0.2", 1)
PARTITION = 3
CALL_TIMEOUT_S = 2.0
ACCEPTED = job_messages.JobReply(verdicts.Verdict.RAN.value)
NOT_OWNER = job_service.refusal_reply(
    verdicts.not_run(job_service.NOT_OWNER, 503, retry_after_s=1.0)
)


class Answered(typing.NamedTuple):
    """Outcome of a call and how long it took."""

    call: job_messages.JobCall
    outcome: job_router.ReplyOutcome
    duration_s: float

    @property
    def refusal(self):
        """The refusal, or None if the call succeeded."""
        if pipeline.is_successful(self.outcome):
            return job_service.reply_refusal(self.outcome.unwrap())
        return self.outcome.failure()


class Owner:
    """A stand-in of an owner that counts its calls in progress.

    Attributes:
        answer: Answers a call; called with its number, from 1 on.
        calls: Number of calls.
        most_in_progress: Highest number of calls in progress.
        most_unanswered: The same, before the first answer.
    """

    def __init__(self, answer):
        self.answer = answer
        self.calls = 0
        self.most_in_progress = 0
        self.most_unanswered = 0
        self._in_progress = 0
        self._has_answered = False

    async def serve(self, call):
        """Answers a call and counts it while it is in progress."""
        self.calls += 1
        self._in_progress += 1
        self.most_in_progress = max(self.most_in_progress, self._in_progress)
        if not self._has_answered:
            self.most_unanswered = self.most_in_progress
        try:
            # The calling host has given up on a call after this time.
            async with asyncio.timeout(CALL_TIMEOUT_S):
                reply = await self.answer(self.calls)
            self._has_answered = True
            return reply
        finally:
            self._in_progress -= 1


def build_router(network):
    """Returns the router of a host that owns nothing."""

    async def owners(group):
        member = group_members.Member(OWNER, "1", "owner", "zone-a")
        return result.Success({PARTITION: str(member)})

    async def serve_host_call(call):
        raise AssertionError(f"unexpected call about hosts: {call}")

    nothing_owned = std_types.SimpleNamespace(
        owner_of=lambda partition: None,
        owners={},
        member=group_members.Member(HOST, "1", "host", "zone-a"),
        is_confirmed=lambda: True,
    )
    clock = virtual_time.clock()
    return job_router.JobRouter(
        interface.Store(None, None, None, None, None, owners),
        job_streams.JobStreams(clock, dial=network.dial_from("host")),
        nothing_owned,
        clock,
        lambda message_type, **fields: None,
        serve_host_call,
    )


def submission(number):
    spec = owner_states.job(number)
    return job_messages.SubmitJob(PARTITION, spec, int(1000 * CALL_TIMEOUT_S))


async def run_calls(context):
    network = memory_network.MemoryNetwork(seed=context.seed)
    now_s = asyncio.get_running_loop().time
    owner = Owner(context.answer)
    router = build_router(network)
    background = [
        asyncio.create_task(router.refresh_owners()),
        asyncio.create_task(
            network.listen_at("owner")(
                OWNER,
                job_streams.serve_calls(
                    owner.serve,
                    virtual_time.clock(),
                    request_limiter.unlimited(),
                ),
            )
        ),
    ]
    await asyncio.sleep(0.01)

    async def send(call, at_s):
        await asyncio.sleep(at_s)
        began_s = now_s()
        outcome = await router.call(call, CALL_TIMEOUT_S)
        return Answered(call, outcome, now_s() - began_s)

    answered = await asyncio.gather(
        *(send(call, at_s) for call, at_s in context.calls)
    )
    for task in background:
        task.cancel()
    return owner, answered


def run_once(context):
    """Runs the scenario on the first call; returns owner and calls."""
    if not hasattr(context, "owner_and_calls"):
        context.owner_and_calls = virtual_time.run_virtual(
            run_calls(context), context.seed
        )
    return context.owner_and_calls


def last_jobs(context, count):
    """Returns the last submissions of the scenario."""
    _, answered = run_once(context)
    jobs = [a for a in answered if isinstance(a.call, job_messages.SubmitJob)]
    return jobs[-count:]


def given_owner(context, answer):
    context.answer = answer
    context.calls = []
    context.now_s = 0.0


@behave.given("an owner that answers no call")
def step(context):
    given_owner(context, lambda number: asyncio.sleep(3600))


@behave.given("an owner that answers no call for {seconds:g} s")
def step(context, seconds):
    async def answer(number):
        if asyncio.get_running_loop().time() < seconds:
            await asyncio.sleep(3600)
        return ACCEPTED

    given_owner(context, answer)


@behave.given("an owner that takes {seconds:g} s for a call")
def step(context, seconds):
    given_owner(context, lambda number: asyncio.sleep(seconds, ACCEPTED))


@behave.given("an owner that answers all calls but the first")
def step(context):
    given_owner(
        context,
        lambda number: asyncio.sleep(3600 if number == 1 else 0.01, ACCEPTED),
    )


@behave.given("a host that answers each call as not-owner")
def step(context):
    given_owner(context, lambda number: asyncio.sleep(0, NOT_OWNER))


def add_calls(context, calls, delay_s):
    context.now_s += delay_s
    context.calls += [(call, context.now_s) for call in calls]


@behave.when("a job is submitted")
def step(context):
    add_calls(context, [submission(0)], 0.0)


@behave.when("a job is submitted {delay:g} s later")
def step(context, delay):
    add_calls(context, [submission(len(context.calls))], delay)


@behave.when("{count:d} jobs are submitted")
def step(context, count):
    add_calls(context, map(submission, range(1000, 1000 + count)), 0.0)


@behave.when("{count:d} jobs are submitted {delay:g} s later")
def step(context, count, delay):
    add_calls(context, map(submission, range(1000, 1000 + count)), delay)


@behave.when("a status call is sent")
def step(context):
    add_calls(context, [job_messages.FindJob(PARTITION, "1", True)], 0.0)


@behave.when("a status call is sent {delay:g} s later")
def step(context, delay):
    add_calls(context, [job_messages.FindJob(PARTITION, "1", True)], delay)


@behave.when(
    "{count:d} status calls and a cancel call are sent {delay:g} s later"
)
def step(context, count, delay):
    calls = [job_messages.FindJob(PARTITION, "1", True)] * count
    cancel = job_messages.CancelJob(PARTITION, "1", "", True, 1000)
    add_calls(context, [*calls, cancel], delay)


@behave.then(
    "at least {count:d} of the {sent:d} jobs are refused as {verdict} within "
    "{seconds:g} s"
)
def step(context, count, sent, verdict, seconds):
    jobs = last_jobs(context, sent)
    refused = [
        job
        for job in jobs
        if job.refusal is not None
        and job.refusal.verdict.value == verdict
        and job.refusal.status == 503
        and job.duration_s <= seconds
    ]
    assert len(refused) >= count, jobs


@behave.then("the callers are told to return at different times")
def step(context):
    times_s = [
        job.refusal.retry_after_s
        for job in last_jobs(context, 20)
        if job.refusal.retry_after_s is not None
    ]
    assert min(times_s) >= 1, times_s
    assert max(times_s) - min(times_s) >= 1, times_s


@behave.then("the owner had at most {count:d} calls in progress")
def step(context, count):
    owner, _ = run_once(context)
    assert owner.most_in_progress <= count, owner.most_in_progress


@behave.then(
    "the owner had at most {count:d} calls in progress before it answered"
)
def step(context, count):
    owner, _ = run_once(context)
    assert owner.most_unanswered <= count, owner.most_unanswered


@behave.then("all {count:d} jobs are accepted")
def step(context, count):
    jobs = last_jobs(context, count)
    assert all(job.refusal is None for job in jobs), jobs


@behave.then("all status calls and the cancel call succeed")
def step(context):
    _, answered = run_once(context)
    calls = [
        a for a in answered if not isinstance(a.call, job_messages.SubmitJob)
    ]
    assert all(call.refusal is None for call in calls), calls


@behave.then(
    "{count:d} jobs are accepted and the others refused as {verdict} within "
    "{seconds:g} s"
)
def step(context, count, verdict, seconds):
    _, answered = run_once(context)
    refused = [job for job in answered if job.refusal is not None]
    assert len(answered) - len(refused) == count, len(refused)
    assert {job.refusal.verdict.value for job in refused} == {verdict}
    assert max(job.duration_s for job in refused) <= seconds


@behave.then("the owner got at most {count:d} calls")
def step(context, count):
    owner, _ = run_once(context)
    assert owner.calls <= count, owner.calls
