"""Steps of tests/entries/claims.feature."""

import behave

from chervillead import types
from chervillead import verdicts
from chervillead.callers import request_ids
from chervillead.entries import claim_holders
from chervillead.entries import claims
from chervillead.entries import messages
from chervillead.fleet import configuration

START_S = 1_800_000_000.0


def new_table(context, **limits):
    context.now_s = START_S
    clock = types.Clock(lambda: context.now_s, lambda: context.now_s)
    return claims.ClaimTable(clock, **limits)


def claim(context, request_id):
    return context.claim_table.claim(messages.Claim(request_id, 1, "owner"))


@behave.given("a claim table that became complete 10 s ago")
def step(context):
    context.claim_table = new_table(context)
    context.claim_table.activate(START_S - 10.0, had_complete_handover=False)


@behave.then(
    "an id created 9 s ago is reported as lost by a claim and a look-up"
)
def step(context):
    request_id = request_ids.new_request_id(START_S - 9.0)
    lookup = context.claim_table.lookup(messages.Lookup(request_id))
    assert claim(context, request_id).state == messages.CLAIM_LOST
    assert lookup.state == messages.CLAIM_LOST


@behave.then("an id created 7 s ago is accepted")
@behave.then("it accepts an id created 7 s ago")
def step(context):
    state = claim(context, request_ids.new_request_id(START_S - 7.0)).state
    assert state == messages.CLAIM_ACCEPTED, state


@behave.when("an id created 2 s ahead of the holder's clock is claimed")
def step(context):
    context.request_id = request_ids.new_request_id(START_S + 1.9)
    assert claim(context, context.request_id).state == messages.CLAIM_ACCEPTED


@behave.then(
    "a second claim is not accepted while ids of that age are accepted"
)
def step(context):
    # An entry host whose clock lags accepts the id for longer.
    context.now_s = START_S + request_ids.MAX_AGE_S + 1.5
    assert claim(context, context.request_id).state == messages.CLAIM_RUNNING


@behave.given(
    "a claim table limited to {count:d} claims and {length:d} bytes of answers"
)
def step(context, count, length):
    context.claim_table = new_table(
        context, max_claims=count, max_answers_bytes=length
    )


@behave.when("4 ids are claimed and the first 3 finish with 60 bytes each")
def step(context):
    ids = [request_ids.new_request_id(START_S) for _ in range(4)]
    context.states = [claim(context, request_id) for request_id in ids]
    context.ids = ids[:3]
    answer = types.Answer(200, "text/plain", b"x" * 60)
    for request_id in context.ids:
        context.claim_table.finish(
            messages.Finished(request_id, verdicts.Verdict.RAN, answer)
        )


@behave.then("the fourth claim is refused as claim-unavailable")
def step(context):
    refusal = context.states[3]
    assert isinstance(refusal, messages.Refused), refusal
    assert refusal.reason == "claim-unavailable"
    assert refusal.retry_after_ms > 0


@behave.then("only the first answer is stored and all three requests ran")
def step(context):
    states = [
        context.claim_table.lookup(messages.Lookup(i)) for i in context.ids
    ]
    assert [s.answer is not None for s in states] == [True, False, False]
    assert {s.verdict for s in states} == {verdicts.Verdict.RAN}


@behave.when("its claims are handed over in batches to a new holder")
def step(context):
    answer = types.Answer(200, "text/plain", b"x" * 60_000)
    for _ in range(50):
        request_id = request_ids.new_request_id(START_S)
        claim(context, request_id)
        context.claim_table.finish(
            messages.Finished(request_id, verdicts.Verdict.RAN, answer)
        )
    claim(context, request_ids.new_request_id(START_S))
    context.expected = [
        e for batch in context.claim_table.handover_batches() for e in batch
    ]
    batches = list(context.claim_table.handover_batches())
    assert len(batches) > 1, "the test needs more than one batch"
    context.claim_table = new_table(context)
    for batch in batches[:-1]:
        context.claim_table.restore(batch, -1.0)
    context.claim_table.restore(batches[-1], 10.0)
    context.claim_table.activate(START_S, had_complete_handover=True)


@behave.then("the new holder has the same claims")
def step(context):
    known = [
        e for batch in context.claim_table.handover_batches() for e in batch
    ]
    assert known == context.expected, (len(known), len(context.expected))


def configuration_with_holders(holders):
    # Declared out of order, since the index decides.
    zones = {f"z{n}": configuration.Zone(n) for n in (2, 0, 1)}
    seats = {
        f"z{number}/0": configuration.Seat(
            f"z{number}", 0, host, types.Address("127.0.0.1", 1)
        )
        for number, host in enumerate(holders)
    }
    return configuration.EMPTY._replace(zones=zones, seats=seats)


@behave.given("claim holders in the zones with index 0 to 2")
def step(context):
    context.holders = ["h0", "h1", "h2"]
    context.configuration = configuration_with_holders(context.holders)
    context.claim_holders = claim_holders.ClaimHolders(
        lambda: context.configuration
    )


@behave.when("another host becomes the claim holder of zone 1")
def step(context):
    context.holders = ["h0", "other", "h2"]
    context.configuration = configuration_with_holders(context.holders)


@behave.then(
    "ids with each claim byte and of any age map to the zone of their byte"
)
def step(context):
    for byte in range(256):
        for age_s in (0.0, 2 * request_ids.MAX_AGE_S):
            request_id = request_ids.new_request_id(START_S - age_s, byte)
            held_by = context.claim_holders.of_request(request_id)
            assert held_by == context.holders[byte % 3], (byte, held_by)
