"""Steps of tests/entries/escrow.feature."""

import asyncio

import behave
import hypothesis
from hypothesis import stateful

from chervillead.entries import escrow
from chervillead.fleet import records
from chervillead.fleet import team_units
from stand_ins import dispatch_zones
from stand_ins import escrow_machine
from stand_ins import local_fleet
from stand_ins import memory_fleet
from stand_ins import reproducible_draws
from stand_ins import virtual_time


def run_machine(context, machine, examples, phases):
    """Runs a state machine; the same orders each time."""
    try:
        with reproducible_draws.without_source_constants():
            stateful.run_state_machine_as_test(
                machine,
                settings=hypothesis.settings(
                    max_examples=examples,
                    stateful_step_count=40,
                    deadline=None,
                    database=None,
                    derandomize=True,
                    phases=phases,
                    suppress_health_check=list(hypothesis.HealthCheck),
                ),
            )
        context.violation = None
    except AssertionError as error:
        context.violation = error


@behave.when(
    "zones, transfers, takeovers and limits act in {count:d} random orders"
)
def step(context, count):
    phases = tuple(hypothesis.Phase)
    run_machine(context, escrow_machine.UnitsMachine, count, phases)


@behave.when(
    "a lender that deducts after the append acts in {count:d} random orders"
)
def step(context, count):
    # The shortest order isn't needed, and takes minutes to find.
    phases = (hypothesis.Phase.generate,)
    run_machine(context, escrow_machine.LateDeductionMachine, count, phases)


@behave.then("no order exceeds the limit")
def step(context):
    if context.violation is not None:
        raise context.violation


@behave.then("an order exceeds the limit")
def step(context):
    assert context.violation is not None


@behave.given(
    "a zone with {units:d} units, {running:d} running and {waiting:d} waiting"
)
def step(context, units, running, waiting):
    context.need = escrow.TeamDemand(units, running, waiting)


@behave.given("a past peak of {peak:d} in a zone that is {status}")
def step(context, peak, status):
    context.peak, context.is_in = peak, status == "in"


@behave.when("another zone lacks {short:d} units")
def step(context, short):
    spare = escrow.spare_units(
        context.need, context.peak, is_zone_in_service=context.is_in
    )
    context.gift = escrow.plan_transfer(
        {"a": spare}, {"z1": {"a": short}}, ["z1"], source_is_in=context.is_in
    )


@behave.then("it gives {count:d} units")
def step(context, count):
    given = 0 if context.gift is None else context.gift.units["a"]
    assert given == count, context.gift


@behave.when(
    "two zones take turns of {turn:d} s with {load:d} of {units:d} units for "
    "{time_s:d} s"
)
def step(context, turn, load, units, time_s):
    units_of = [units // 2, units // 2]
    parts = [escrow.Escrow(lambda record: True) for _ in range(2)]
    context.moved = 0
    for second in range(time_s):
        busy = second // turn % 2
        for zone, part in enumerate(parts):
            running = min(load, units_of[zone]) if zone == busy else 0
            need = escrow.TeamDemand(units_of[zone], running, 0)
            short = max(0, load - units_of[busy]) if zone != busy else 0
            gift = escrow.plan_transfer(
                part.spare({"a": need}, is_zone_in_service=True),
                {"other": {"a": short}},
                ["other"],
                source_is_in=True,
            )
            if gift is not None:
                context.moved += gift.units["a"]
                units_of[zone] -= gift.units["a"]
                units_of[1 - zone] += gift.units["a"]


@behave.then("at most {count:d} units move to and fro")
def step(context, count):
    assert context.moved <= count, context.moved


@behave.when(
    "a zone gave away {given:d} units and the limit falls from 8 to {limit:d}"
)
def step(context, given, limit):
    configuration = dispatch_zones.make_configuration(
        zones=4, teams={"a": (1, limit)}
    )
    moved = {"a": {"z0": given, "z3": -given}}
    context.configuration = configuration._replace(moved_units=moved)


@behave.then("the parts of all zones add up to {limit:d}")
def step(context, limit):
    parts = [
        team_units.zone_units(context.configuration, "a", zone)
        for zone in context.configuration.zones
    ]
    assert sum(parts) == limit and min(parts) >= 0, parts


@behave.given(
    "a fleet in memory with a team limit of {limit:d} and {out:d} of 4 zones "
    "out"
)
def step(context, limit, out):
    context.limit, context.out = limit, out


@behave.when("{count:d} requests arrive and {time_s:d} s pass")
def step(context, count, time_s):
    async def main():
        fleet = memory_fleet.MemoryFleet(
            local_fleet.FleetPlan(), seed=context.seed
        )
        await fleet.start()
        team = "nursery-north"
        fleet.publish_change(records.TEAM, team, share=1.0, limit=context.limit)
        for index, zone in enumerate(local_fleet.ZONES[-context.out :]):
            fleet.publish_change(
                records.ZONE,
                zone,
                index=index + len(local_fleet.ZONES) - context.out,
                status="out",
            )
        requests = [
            asyncio.ensure_future(
                fleet.submit(
                    f"entry-{local_fleet.ZONES[number % 4]}0",
                    local_fleet.QUEUES[0],
                    team,
                    b"run=9",
                    idempotent=True,
                    deadline_s=20.0,
                )
            )
            for number in range(count)
        ]
        await asyncio.sleep(time_s)
        context.running = sum(len(u.running) for u in fleet.upstreams.values())
        for request in requests:
            request.cancel()
        await asyncio.gather(*requests, return_exceptions=True)
        await fleet.stop()

    virtual_time.run_virtual(main(), context.seed)


@behave.then("all {count:d} requests run at the same time")
def step(context, count):
    assert context.running == count, context.running
