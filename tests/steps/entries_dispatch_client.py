"""Steps of tests/entries/dispatch_client.feature."""

import asyncio

import behave
from returns import pipeline

from chervillead import types
from chervillead import verdicts
from chervillead.entries import dispatch_client
from chervillead.entries import dispatcher_choice
from chervillead.entries import messages
from chervillead.fleet import configuration as configuration_module
from stand_ins import dispatch_zones
from stand_ins import virtual_time

CLIENT = "entry-client"
OUT = configuration_module.ZoneStatus.OUT


@behave.given("{zones:d} zones of {slots:d} slots in memory, and {state}")
def step(context, zones, slots, state):
    context.setup = (zones, slots, state)
    context.after = None


def set_up(zones, slots, state):
    """Returns the zones in the given state, and the client's ports."""
    size = types.Size(4.0, 65536, 0) if "4 cores" in state else None
    parts = dispatch_zones.MemoryZones(
        dispatch_zones.make_configuration(zones=zones, slots=slots, size=size),
        delay_s=0.001,
    )
    ports = {}
    if "goes out before its grants arrive" in state:
        ports["may_start"] = lambda upstream: upstream.zone != "z0"
    client = parts.client(CLIENT, "z0", **ports)
    if "silent" in state:
        # The entry host has not detected yet that the dispatcher is lost.
        parts.lost.add("entry-z0")
        client = client._replace(
            dispatchers=lambda request: dispatcher_choice.reachable_dispatchers(
                parts.configuration,
                "z0",
                request.queue,
                parts.heartbeats.get,
                lambda peer: True,
            )
        )
    if "full" in state:
        seconds = float(state.split(" for ")[1].split()[0])
        names = ["entry-z0"] if "z0" in state else list(parts.dispatchers)
        for name in names:
            for number in range(slots):
                grant = parts.dispatchers[name].register(
                    "entry-other", dispatch_zones.register(f"{name}{number}")
                )
                asyncio.get_running_loop().call_later(
                    seconds,
                    lambda name=name, grant=grant: parts.dispatchers[
                        name
                    ].release(messages.Release(grant.grant_id, True, False, 1)),
                )
    return parts, client


def run(context, count, *, cancel_s=None, cores=0.0):
    async def main():
        parts, client = set_up(*context.setup)
        ticking = asyncio.ensure_future(parts.tick())
        await asyncio.sleep(0.01)
        started_s = parts.clock.monotonic()
        times = []

        async def wait(number):
            request = dispatch_zones.request(parts, number)
            request = request._replace(size=types.Size(cores, 0, 0))
            outcome = await dispatch_client.acquire(request, client)
            times.append(parts.clock.monotonic() - started_s)
            return outcome

        tasks = [asyncio.ensure_future(wait(n)) for n in range(count)]
        if context.after is not None:
            asyncio.get_running_loop().call_later(
                context.after[0], context.after[1], parts
            )
        if cancel_s is not None:
            await asyncio.sleep(cancel_s)
            for task in tasks:
                task.cancel()
        context.outcomes = await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(12.0)
        ticking.cancel()
        context.times = times
        context.left = {
            name: (len(part.waiting), len(part.slots.held))
            for name, part in parts.dispatchers.items()
        }

    virtual_time.run_virtual(main(), context.seed)


@behave.when("{count:d} requests wait in zone z0")
def step(context, count):
    context.run = lambda: run(context, count)


@behave.when("{count:d} requests of {cores:d} cores wait in zone z0")
def step(context, count, cores):
    context.run = lambda: run(context, count, cores=float(cores))


@behave.when(
    "{count:d} requests wait in zone z0 and are cancelled after {time_s:d} s"
)
def step(context, count, time_s):
    context.run = lambda: run(context, count, cancel_s=time_s)


@behave.when(
    "the dispatchers of all zones restart without state after {time_s:d} s"
)
def step(context, time_s):
    def replace(parts):
        for zone in parts.configuration.zones:
            parts.start_dispatcher(f"entry-{zone}", zone)

    context.after = (time_s, replace)


@behave.when("zone z0 goes out of service after {time_s:d} s")
def step(context, time_s):
    def take_out(parts):
        zones = dict(parts.configuration.zones)
        zones["z0"] = zones["z0"]._replace(status=OUT)
        parts.configuration = parts.configuration._replace(zones=zones)

    context.after = (time_s, take_out)


@behave.then("all of them are granted within {time_s:f} s, {place}")
def step(context, time_s, place):
    context.run()
    grants = [outcome.unwrap() for outcome in context.outcomes]
    assert max(context.times) <= time_s, context.times
    if place == "outside z0":
        assert all(g.upstream.zone != "z0" for g in grants), grants


@behave.then("all of them are refused as not run within {time_s:f} s")
def step(context, time_s):
    context.run()
    for outcome in context.outcomes:
        assert not pipeline.is_successful(outcome), outcome
        assert outcome.failure().verdict is verdicts.Verdict.NOT_RUN
    assert max(context.times) <= time_s, context.times


@behave.then("no registrations or grants are left besides theirs")
def step(context):
    if not hasattr(context, "left"):
        context.run()
    granted = sum(
        not isinstance(outcome, BaseException)
        and pipeline.is_successful(outcome)
        for outcome in context.outcomes
    )
    waiting = sum(count for count, _ in context.left.values())
    held = sum(count for _, count in context.left.values())
    # Slots that others use for longer than the run are not counted.
    others = 2 if "z0 is full for 30" in context.setup[2] else 0
    assert (waiting, held - others) == (0, granted), context.left


@behave.when('a grant is released as "{verdict}"')
def step(context, verdict):
    async def main():
        parts, client = set_up(*context.setup)
        grant = (
            await dispatch_client.acquire(
                dispatch_zones.request(parts, 0), client
            )
        ).unwrap()
        released_s = parts.clock.monotonic()
        dispatch_client.release(
            grant,
            client,
            verdict=verdicts.Verdict(verdict),
            failed=False,
            run_s=0.1,
        )
        held = parts.dispatchers["entry-z0"].slots.held
        while held:
            await asyncio.sleep(0.01)
        context.freed_after_s = parts.clock.monotonic() - released_s

    virtual_time.run_virtual(main(), context.seed)


@behave.then("its slot is free after {time_s:f} s and not before")
def step(context, time_s):
    after_s = context.freed_after_s
    assert time_s <= after_s <= time_s + 0.05, after_s
