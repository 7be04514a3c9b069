"""Steps of tests/callers/submission.feature."""

import asyncio
import collections

import behave
from returns import pipeline
from returns import result

from chervillead import types
from chervillead import verdicts
from chervillead.callers import request_ids
from chervillead.callers import submission
from chervillead.entries import claims
from chervillead.entries import messages
from stand_ins import local_fleet
from stand_ins import memory_fleet
from stand_ins import virtual_time


@behave.given("a fleet in memory with {count:d} entry hosts")
def step(context, count):
    context.plan = local_fleet.FleetPlan(entry_hosts=count)


@behave.when(
    "{count:d} non-idempotent requests are submitted through all entry hosts"
)
def step(context, count):
    async def main():
        fleet = memory_fleet.MemoryFleet(context.plan, seed=context.seed)
        await fleet.start()
        hosts = list(fleet.hosts)
        teams = list(local_fleet.TEAM_KEYS)
        outcomes = await asyncio.gather(
            *(
                fleet.submit(
                    hosts[number % len(hosts)],
                    local_fleet.QUEUES[number % len(local_fleet.QUEUES)],
                    teams[number % len(teams)],
                    f"request {number}".encode(),
                )
                for number in range(count)
            )
        )
        await fleet.stop()
        return outcomes, fleet.executions()

    context.outcomes, context.executions = virtual_time.run_virtual(
        main(), context.seed
    )


@behave.when(
    "the same non-idempotent request is submitted through two entry hosts"
)
def step(context):
    async def main():
        fleet = memory_fleet.MemoryFleet(context.plan, seed=context.seed)
        await fleet.start()
        request_id = request_ids.new_request_id(virtual_time.clock().wall())
        outcomes = []
        for host in list(fleet.hosts)[:2]:
            outcomes.append(
                await fleet.submit(
                    host,
                    local_fleet.QUEUES[0],
                    "nursery-north",
                    b"once",
                    request_id=request_id,
                )
            )
            # The report of the outcome must reach the claim holder first.
            await asyncio.sleep(0.1)
        await fleet.stop()
        return outcomes, fleet.executions()

    context.outcomes, context.executions = virtual_time.run_virtual(
        main(), context.seed
    )


@behave.then("every request has its own answer")
def step(context):
    bodies = [
        outcome.unwrap().body if pipeline.is_successful(outcome) else outcome
        for outcome in context.outcomes
    ]
    expected = [f"done:request {n}".encode() for n in range(len(bodies))]
    assert bodies == expected, bodies


@behave.then("both submissions have the same answer")
def step(context):
    first, second = context.outcomes
    assert pipeline.is_successful(second), second
    assert first.unwrap() == second.unwrap(), context.outcomes


@behave.then("every request ran once")
def step(context):
    runs = collections.Counter(e.request_id for e in context.executions)
    assert runs, "nothing ran"
    assert set(runs.values()) == {1}, runs.most_common(3)


def run_scenario(context, scenario):
    """Runs `scenario(fleet)` on a started fleet and stores its outcome."""

    async def main():
        fleet = memory_fleet.MemoryFleet(context.plan, seed=context.seed)
        await fleet.start()
        context.outcome = await scenario(fleet)
        await fleet.stop()
        return fleet.executions()

    context.executions = virtual_time.run_virtual(main(), context.seed)


def new_id(claim_byte=0):
    """Returns a request id whose claim is in the zone of index `claim_byte`."""
    wall_s = virtual_time.clock().wall()
    return request_ids.new_request_id(wall_s, claim_byte)


@behave.when("a caller submits while the holder of its claim is unreachable")
def step(context):
    async def scenario(fleet):
        request_id = new_id(1)
        holder = fleet.hosts["entry-a0"].entry.claim_holder(request_id)
        fleet.network.cut(["entry-a0"], [holder])
        return await fleet.submit(
            "entry-a0",
            local_fleet.QUEUES[0],
            "nursery-north",
            b"x",
            request_id=request_id,
        )

    run_scenario(context, scenario)


@behave.when("a caller uses the id of a running request with another body")
def step(context):
    async def scenario(fleet):
        request_id = new_id()
        first, second = (
            fleet.submit(
                host,
                local_fleet.QUEUES[0],
                "nursery-north",
                body,
                request_id=request_id,
            )
            for host, body in (("entry-a0", b"run=1"), ("entry-b0", b"run=2"))
        )
        running = asyncio.ensure_future(first)
        await asyncio.sleep(0.2)
        outcome = await second
        await running
        return outcome

    run_scenario(context, scenario)


@behave.when("a caller submits an {kind} request and its first answer is lost")
def step(context, kind):
    async def scenario(fleet):
        for upstream in fleet.upstreams.values():
            upstream.failure = "close"
            # Otherwise the lost answer could be fetched by request id.
            upstream.keeps_answers = False
        submitted = asyncio.ensure_future(
            fleet.submit(
                "entry-a0",
                local_fleet.QUEUES[0],
                "nursery-north",
                b"run=1",
                idempotent=kind == "idempotent",
            )
        )
        # The first run ends after 1 s and the second one after 2 s.
        await asyncio.sleep(1.5)
        for upstream in fleet.upstreams.values():
            upstream.failure = ""
        return await submitted

    run_scenario(context, scenario)


@behave.then('the caller gets the verdict "{verdict}" for "{reason}"')
def step(context, verdict, reason):
    refusal = context.outcome.failure()
    assert (refusal.verdict.value, refusal.reason) == (verdict, reason), refusal


@behave.then("no upstream has run anything")
def step(context):
    assert context.executions == [], context.executions


@behave.then(
    'upstreams have run it {runs:d} times and the caller gets "{verdict}"'
)
def step(context, runs, verdict):
    found = context.outcome.swap().map(lambda refusal: refusal.verdict.value)
    assert found.value_or("ran") == verdict, context.outcome
    assert len(context.executions) == runs, context.executions


@behave.given("a claim on an id that a first submission has released")
def step(context):
    context.claims = claims.ClaimTable(types.Clock(lambda: 0.0, lambda: 0.0))
    context.claims.claim(messages.Claim("id", 7, "entry-a0", "team", 1))
    context.report = messages.Finished(
        "id", verdicts.Verdict.NOT_RUN, None, attempt=1
    )
    context.claims.finish(context.report)


@behave.when(
    "a second submission claims the id and the first one reports again"
)
def step(context):
    claim = messages.Claim("id", 7, "entry-a0", "team", 2)
    state = context.claims.claim(claim)
    assert state.state == messages.CLAIM_ACCEPTED, state
    context.claims.finish(context.report)


@behave.then("the second submission still holds the claim")
def step(context):
    state = context.claims.lookup(messages.Lookup("id"))
    assert (state.state, state.attempt) == (messages.CLAIM_RUNNING, 2), state


@behave.when(
    "an idempotent request loses its first answer and then gets no slot"
)
def step(context):
    async def main():
        clock = virtual_time.clock()
        request = types.Request(
            *("id", "queue", "team", b"", "text/plain", types.Size()),
            clock.monotonic() + 10.0,
            idempotent=True,
        )
        upstream = types.Upstream("u", "a", types.Address("127.0.0.1", 1))
        grant = types.Grant("g", "id", "e", upstream, 1.0, 2.0)
        no_slot = verdicts.not_run("no-dispatcher", 503, retry_after_s=1.0)
        grants = iter((result.Success(grant), result.Failure(no_slot)))
        lost = verdicts.may_have_run("upstream-connection-lost", 502)

        async def acquire(request):
            return next(grants)

        async def send(request, grant):
            return result.Failure(lost)

        unused = dict.fromkeys(submission.SubmissionPorts._fields)
        ports = submission.SubmissionPorts(**unused)._replace(
            acquire=acquire,
            send=send,
            release=lambda *arguments: None,
            cancel_acquire=lambda request_id: None,
            spend_retry_budget=lambda: True,
            log=lambda *arguments, **fields: None,
            clock=clock,
        )
        return await submission.submit(request, ports, claimed=False)

    context.outcome = virtual_time.run_virtual(main(), context.seed)


@behave.then('its refusal "{reason}" has the verdict "{verdict}"')
def step(context, reason, verdict):
    refusal = context.outcome.failure()
    assert (refusal.reason, refusal.verdict.value) == (reason, verdict), refusal
