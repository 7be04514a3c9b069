"""Steps of tests/entries/seats.feature."""

import functools

import behave

from stand_ins import seat_run
from stand_ins import seat_scripts
from stand_ins import seed_pool


def run_script(context, script, **arguments):
    context.zone = arguments.get("zone")
    run = functools.partial(
        seat_run.run_seed, functools.partial(script, **arguments)
    )
    seeds = range(context.seed, context.seed + seat_run.SEEDS)
    context.runs = seed_pool.run_seeds(run, seeds).values()


@behave.when("the dispatcher of zone {zone} is killed under load")
def step(context, zone):
    run_script(context, seat_scripts.kill_dispatcher, zone=zone)


@behave.when("the standby of zone {zone} is killed under load")
def step(context, zone):
    run_script(context, seat_scripts.kill_standby, zone=zone)


@behave.when(
    "all hosts of zone {zone} are killed and its {role} is started again"
)
def step(context, zone, role):
    run_script(context, seat_scripts.kill_zone, zone=zone, role=role)


@behave.when(
    "the dispatcher of zone {zone} is killed while the log is down for 10 s"
)
def step(context, zone):
    run_script(context, seat_scripts.kill_during_outage, zone=zone)


@behave.when("the log is down for 20 s")
def step(context):
    run_script(context, seat_scripts.stop_log)


@behave.when(
    "the dispatcher of zone {zone} is cut off from the log and its zone"
)
def step(context, zone):
    run_script(context, seat_scripts.cut_dispatcher, zone=zone)


@behave.when("hosts are cut off, killed and restarted at random")
def step(context):
    run_script(context, seat_scripts.fault_at_random)


@behave.when("a second process with the dispatcher's name is started")
def step(context):
    run_script(context, seat_scripts.start_double)


@behave.when("the dispatcher of zone {zone} leaves under load")
def step(context, zone):
    run_script(context, seat_scripts.leave_dispatcher, zone=zone)


@behave.when(
    "the dispatcher and the next standby of zone {zone} leave at the same time"
)
def step(context, zone):
    run_script(context, seat_scripts.leave_both, zone=zone)


@behave.then(
    "the zone is without grants for at least {low:g} s and at most {high:g} s"
)
def step(context, low, high):
    gaps = {run.seed: run.gap_s(context.zone) for run in context.runs}
    print(f"time without grants by seed: {gaps}")
    assert all(low <= gap <= high for gap in gaps.values()), gaps


@behave.then("no zone is without grants")
def step(context):
    for run in context.runs:
        assert not run.gaps_s, (run.seed, run.gaps_s)


@behave.then("every request that got an outcome was answered")
def step(context):
    for run in context.runs:
        assert not run.refused, (run.seed, run.refused)


@behave.then("only the second process holds a seat")
def step(context):
    for run in context.runs:
        assert run.seats[0] == [] and run.seats[1], (run.seed, run.seats)
        assert run.active[0].endswith("-double"), (run.seed, run.active)


@behave.then("no zone ever had two dispatchers and no request ran twice")
def step(context):
    for run in context.runs:
        assert not run.doubles, (run.seed, run.doubles[:3])
        assert not run.wrong, (run.seed, run.wrong[:3])
        assert run.answered, (run.seed, run.submitted)
