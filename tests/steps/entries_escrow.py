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
    """Runs a state machine with reproducible random sequences."""
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
    "zones, transfers, takeovers and limits act in {count:d} random sequences"
)
def step(context, count):
    phases = tuple(hypothesis.Phase)
    run_machine(context, escrow_machine.UnitsMachine, count, phases)


@behave.when(
    "a source that deducts after the append acts in {count:d} random sequences"
)
def step(context, count):
    # Shrinking to the shortest sequence isn't needed and takes minutes.
    phases = (hypothesis.Phase.generate,)
    run_machine(context, escrow_machine.LateDeductionMachine, count, phases)


@behave.then("no sequence exceeds the limit")
def step(context):
    if context.violation is not None:
        raise context.violation


@behave.then("a sequence exceeds the limit")
def step(context):
    assert context.violation is not None


@behave.given(
    "a zone with {units:d} units, {running:d} running and {waiting:d} waiting"
)
def step(context, units, running, waiting):
    context.demand = escrow.TeamDemand(units, running, waiting)


@behave.given("a recent peak of {peak:d} in a zone that is {status}")
def step(context, peak, status):
    context.peak, context.is_in = peak, status == "in"


@behave.when("another zone has a shortage of {short:d} units")
def step(context, short):
    spare = escrow.spare_units(
        context.demand, context.peak, is_zone_in_service=context.is_in
    )
    context.planned = escrow.plan_transfer(
        {"a": spare},
        {"z1": {"a": short}},
        ["z1"],
        is_source_in_service=context.is_in,
    )


@behave.then("it transfers {count:d} units")
def step(context, count):
    moved = 0 if context.planned is None else context.planned.units["a"]
    assert moved == count, context.planned


@behave.when(
    "two zones alternate every {period:d} s with a load of {load:d} of "
    "{units:d} units for {time_s:d} s"
)
def step(context, period, load, units, time_s):
    units_of = [units // 2, units // 2]
    escrows = [escrow.Escrow(lambda record: True) for _ in range(2)]
    context.moved = 0
    for second in range(time_s):
        busy = second // period % 2
        for zone, source in enumerate(escrows):
            running = min(load, units_of[zone]) if zone == busy else 0
            demand = escrow.TeamDemand(units_of[zone], running, 0)
            shortage = max(0, load - units_of[busy]) if zone != busy else 0
            planned = escrow.plan_transfer(
                source.spare({"a": demand}, is_zone_in_service=True),
                {"other": {"a": shortage}},
                ["other"],
                is_source_in_service=True,
            )
            if planned is not None:
                context.moved += planned.units["a"]
                units_of[zone] -= planned.units["a"]
                units_of[1 - zone] += planned.units["a"]


@behave.then("at most {count:d} units are transferred")
def step(context, count):
    assert context.moved <= count, context.moved


@behave.when(
    "a zone has transferred {moved:d} units and the limit falls from 8 to "
    "{limit:d}"
)
def step(context, moved, limit):
    configuration = dispatch_zones.make_configuration(
        zones=4, teams={"a": (1, limit)}
    )
    moved_units = {"a": {"z0": moved, "z3": -moved}}
    context.configuration = configuration._replace(moved_units=moved_units)


@behave.then("the units of all zones add up to {limit:d}")
def step(context, limit):
    units = [
        team_units.zone_units(context.configuration, "a", zone)
        for zone in context.configuration.zones
    ]
    assert sum(units) == limit and min(units) >= 0, units


@behave.given(
    "a fleet in memory with a team limit of {limit:d} and {out:d} of 4 zones "
    "out of service"
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
