"""Steps of tests/client.feature."""

import asyncio
import pathlib
import tempfile
import time

import behave
import msgspec

from chervillead import client
from chervillead import http_exchange
from chervillead import types
from stand_ins import local_fleet
from stand_ins import virtual_time

BASE_PORT = 25600
WORK = client.Work("q", b"body", key="k" * 16)


def problem(verdict, reason, status, retry_after_s=None):
    body = {
        "verdict": verdict,
        "reason": reason,
        "detail": "",
        "retry_after_s": retry_after_s,
    }
    headers = {"content-type": "application/problem+json"}
    encoded = msgspec.json.encode(body)
    return http_exchange.HttpResponse(status, headers, encoded, False)


def submit(context, replies, within_s=60):
    """Submits a request that gets `replies` in turn, then the last again."""
    context.calls = []

    async def call(request):
        now_s = asyncio.get_running_loop().time()
        context.calls.append((now_s, dict(request.headers)))
        reply = replies[min(len(context.calls), len(replies)) - 1]
        if isinstance(reply, Exception):
            raise reply
        return reply

    async def main():
        started_s = asyncio.get_running_loop().time()
        context.outcome = await client.submit(
            WORK, call, virtual_time.clock(), within_s=within_s
        )
        context.took_s = asyncio.get_running_loop().time() - started_s

    virtual_time.run_virtual(main(), context.seed)
    return context.outcome


@behave.when(
    "a request meets a lost connection, a Retry-After of 3 and an answer"
)
def step(context):
    answer = http_exchange.HttpResponse(
        200, {"content-type": "a/b"}, b"done", False
    )
    replies = [
        ConnectionResetError("lost"),
        problem("not-run", "queue-full", 503, 3.0),
        answer,
    ]
    outcome = submit(context, replies)
    assert outcome.unwrap() == types.Answer(200, "a/b", b"done"), outcome


@behave.then("all attempts carry the same id and decreasing deadlines")
def step(context):
    headers = [headers for _, headers in context.calls]
    assert len({h["chervillead-request-id"] for h in headers}) == 1, headers
    deadlines = [int(h["chervillead-deadline-ms"]) for h in headers]
    assert len(deadlines) == 3, deadlines
    assert deadlines == sorted(set(deadlines), reverse=True), deadlines


@behave.then("the attempt after the refusal is at least 3 s later")
def step(context):
    times = [at_s for at_s, _ in context.calls]
    assert times[2] - times[1] >= 3.0, times


@behave.when(
    "requests are refused for key-refused, fits-no-host, outcome-unknown"
)
def step(context):
    context.tried = []
    for verdict, reason, status in (
        ("not-run", "key-refused", 401),
        ("not-run", "fits-no-host", 422),
        ("may-have-run", "outcome-unknown", 409),
    ):
        outcome = submit(context, [problem(verdict, reason, status)])
        refusal = outcome.failure()
        assert (refusal.verdict.value, refusal.reason) == (verdict, reason)
        context.tried.append(len(context.calls))


@behave.then("each is tried once and its verdict is returned")
def step(context):
    assert context.tried == [1, 1, 1], context.tried


@behave.when(
    "every attempt is refused with Retry-After 1 for a deadline of 10 s"
)
def step(context):
    submit(context, [problem("not-run", "queue-full", 503, 1.0)], within_s=10)


@behave.then("the last refusal is returned within 10 s")
def step(context):
    assert context.outcome.failure().reason == "queue-full", context.outcome
    assert context.took_s <= 10 and len(context.calls) > 1, context.took_s


@behave.given("a fleet of one entry host for the client")
def step(context):
    plan = local_fleet.FleetPlan(
        base_port=BASE_PORT, entry_hosts=1, upstreams_per_queue=1, zones=("a",)
    )
    folder = pathlib.Path(tempfile.mkdtemp(prefix="client-"))
    context.fleet = local_fleet.start_fleet(plan, folder)
    context.add_cleanup(local_fleet.stop_fleet, context.fleet)
    asyncio.run(local_fleet.wait_until_ready(context.fleet))


@behave.when("the client submits with a valid and with an unknown key")
def step(context):
    address = context.fleet.plan.callers_address(0)

    async def call(request):
        return await http_exchange.call_once(
            http_exchange.dial, address, request
        )

    async def main():
        clock = types.Clock(time.monotonic, time.time)
        good = client.Work(
            local_fleet.QUEUES[0],
            b"run=0",
            key=local_fleet.TEAM_KEYS["nursery-north"],
        )
        bad = good._replace(key="never-granted-key-0001")
        context.outcomes = [
            await client.submit(work, call, clock, within_s=20)
            for work in (good, bad)
        ]

    asyncio.run(main())


@behave.then("the first gets the upstream's answer and the second key-refused")
def step(context):
    answered, refused = context.outcomes
    assert answered.unwrap().status == 200, answered
    assert refused.failure().reason == "key-refused", refused
