"""Steps of tests/entries/job_streams.feature."""

import asyncio

import behave
from returns import pipeline

from chervillead import types
from chervillead.callers import request_limiter
from chervillead.entries import job_messages
from chervillead.entries import job_streams
from chervillead.jobs import model
from stand_ins import memory_network
from stand_ins import platform_fleet
from stand_ins import virtual_time

ADDRESS = types.Address("127.0.0.1", 1)
SUBMISSION = job_messages.SubmitJob(
    0,
    model.JobSpec(
        platform_fleet.job_id(1),
        "queue-1",
        "pool-1",
        "account-1",
        "x",
        (model.Step(1, model.Resources(1000, 100)),),
    ),
    2000,
)


class CallsResult:
    """Result of a scenario: outcomes of calls, dials and open streams."""

    def __init__(self):
        self.submissions = []
        self.status_calls = []
        self.dials = 0
        self.durations_s = []
        self.open_connections = 0
        self.open_streams = 0


def status_call(duration_s):
    """Returns a status call; the peer reads its duration from the id."""
    return job_messages.FindJob(0, f"{duration_s}", True)


def run_once(context):
    """Runs the scenario on the first call and returns its result."""
    if not hasattr(context, "calls_result"):
        context.calls_result = virtual_time.run_virtual(
            run_calls(context), context.seed
        )
    return context.calls_result


async def run_calls(context):
    found = CallsResult()
    network = memory_network.MemoryNetwork(seed=context.seed)
    answer = context.answer
    serve = job_streams.serve_calls(
        answer, virtual_time.clock(), request_limiter.unlimited()
    )

    async def accept(reader, writer):
        found.dials += 1
        found.open_connections += 1
        await serve(reader, writer)
        found.open_connections -= 1

    listening = asyncio.create_task(network.listen_at("peer")(ADDRESS, accept))
    await asyncio.sleep(0)
    streams = job_streams.JobStreams(
        virtual_time.clock(), dial=network.dial_from("host")
    )
    calls = []
    for action in context.actions:
        await action(network, streams, calls, found)
    await asyncio.gather(*calls)
    await asyncio.sleep(2)
    found.open_streams = len(streams._streams)
    listening.cancel()
    return found


def given_peer(context, answer):
    context.answer = answer
    context.actions = []


@behave.given("a peer that leaves submissions unanswered")
@behave.given("a peer that answers status calls")
def step(context):
    async def answer(call):
        if isinstance(call, job_messages.SubmitJob):
            await asyncio.sleep(3600)
        await asyncio.sleep(float(call.job_id))
        return job_messages.JobReply("ran", phase="running")

    given_peer(context, answer)


@behave.given(
    "a peer that answers everything {seconds:g} s after the first call"
)
def step(context, seconds):
    started = asyncio.Event()

    async def answer(call):
        if not started.is_set():
            started.set()
            asyncio.get_running_loop().call_later(seconds, resumed.set)
        await resumed.wait()
        return job_messages.JobReply("ran", phase="running")

    resumed = asyncio.Event()
    given_peer(context, answer)


@behave.when("a submission is sent")
def step(context):
    async def send(network, streams, calls, found):
        async def call():
            found.submissions.append(await streams.call(ADDRESS, SUBMISSION))

        calls.append(asyncio.create_task(call()))

    context.actions.append(send)


@behave.when("a status call that takes {duration:g} s is sent")
def step(context, duration):
    send_status_call(context, duration, 0.0)


@behave.when(
    "a status call that takes {duration:g} s is sent {delay:g} s later"
)
def step(context, duration, delay):
    send_status_call(context, duration, delay)


def send_status_call(context, duration_s, delay_s):
    async def send(network, streams, calls, found):
        await asyncio.sleep(delay_s)
        number = len(found.status_calls)
        found.status_calls.append(None)

        async def call():
            found.status_calls[number] = await streams.call(
                ADDRESS, status_call(duration_s)
            )

        calls.append(asyncio.create_task(call()))

    context.actions.append(send)


@behave.when("the connection goes silent")
def step(context):
    async def silence(network, streams, calls, found):
        await asyncio.gather(*calls)
        network.silence_place("peer")

    context.actions.append(silence)


@behave.when("the peer becomes unreachable")
def step(context):
    async def cut(network, streams, calls, found):
        network.cut(["peer"], ["host"])

    context.actions.append(cut)


@behave.when("{count:d} status calls are sent at once")
def step(context, count):
    async def send(network, streams, calls, found):
        now_s = asyncio.get_running_loop().time

        async def call():
            began_s = now_s()
            found.status_calls.append(
                await streams.call(ADDRESS, status_call(0))
            )
            found.durations_s.append(now_s() - began_s)

        calls.extend(asyncio.create_task(call()) for _ in range(count))

    context.actions.append(send)


@behave.when("a status call is sent and cancelled during the dial")
def step(context):
    async def send(network, streams, calls, found):
        task = asyncio.create_task(streams.call(ADDRESS, status_call(0)))
        await asyncio.sleep(0.0005)
        task.cancel()

    context.actions.append(send)


@behave.then("all status calls are refused as {verdict} within {seconds:g} s")
def step(context, verdict, seconds):
    found = run_once(context)
    verdicts = {call.failure().verdict.value for call in found.status_calls}
    assert verdicts == {verdict}, found.status_calls
    assert max(found.durations_s) <= seconds, found.durations_s


@behave.then("the submission fails as peer-silent")
def step(context):
    (submission,) = run_once(context).submissions
    assert submission.failure().reason == "peer-silent", submission


@behave.then("the status call succeeds")
def step(context):
    (call,) = run_once(context).status_calls
    assert pipeline.is_successful(call), call


@behave.then("all status calls succeed")
def step(context):
    calls = run_once(context).status_calls
    assert all(map(pipeline.is_successful, calls)), calls


@behave.then("only the first and the last status call succeed")
def step(context):
    calls = run_once(context).status_calls
    succeeded = [pipeline.is_successful(call) for call in calls]
    assert succeeded == [True, False, True], calls


@behave.then("the peer was dialled {count:d} time")
@behave.then("the peer was dialled {count:d} times")
def step(context, count):
    assert run_once(context).dials == count, run_once(context).dials


@behave.then("one stream is open")
def step(context):
    assert run_once(context).open_streams == 1


@behave.then("the replaced stream is closed")
def step(context):
    found = run_once(context)
    assert (found.open_streams, found.open_connections) == (0, 0)
