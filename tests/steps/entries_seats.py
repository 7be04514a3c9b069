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


@behave.when("the leader of zone {zone} is killed under load")
def step(context, zone):
    run_script(context, seat_scripts.kill_leader, zone=zone)


@behave.when("the standby of zone {zone} is killed under load")
def step(context, zone):
    run_script(context, seat_scripts.kill_standby, zone=zone)


@behave.when(
    "all hosts of zone {zone} are killed and its {role} is started again"
)
def step(context, zone, role):
    run_script(context, seat_scripts.kill_zone, zone=zone, role=role)


@behave.when(
    "the leader of zone {zone} is killed while the log is down for 10 s"
)
def step(context, zone):
    run_script(context, seat_scripts.kill_during_outage, zone=zone)


@behave.when("the log is down for 20 s")
def step(context):
    run_script(context, seat_scripts.stop_log)


@behave.when(
    "the leader of zone {zone} is disconnected from the log and its zone"
)
def step(context, zone):
    run_script(context, seat_scripts.isolate_leader, zone=zone)


@behave.when("hosts are disconnected, killed and restarted at random")
def step(context):
    run_script(context, seat_scripts.inject_random_faults)


@behave.when("a second process with the leader's host name is started")
def step(context):
    run_script(context, seat_scripts.start_double)


@behave.when("the leader of zone {zone} stops gracefully under load")
def step(context, zone):
    run_script(context, seat_scripts.stop_leader, zone=zone)


@behave.when(
    "the leader and the next standby of zone {zone} stop at the same time"
)
def step(context, zone):
    run_script(context, seat_scripts.stop_leader_and_standby, zone=zone)


@behave.then(
    "the zone is without grants for at least {low:g} s and at most {high:g} s"
)
def step(context, low, high):
    leaderless_s = {
        run.seed: run.leaderless_s(context.zone) for run in context.runs
    }
    print(f"time without grants by seed: {leaderless_s}")
    assert all(low <= gap <= high for gap in leaderless_s.values()), (
        leaderless_s
    )


@behave.then("no zone is without grants")
def step(context):
    for run in context.runs:
        assert not run.leaderless_samples, (run.seed, run.leaderless_samples)


@behave.then("every request with an outcome was answered")
def step(context):
    for run in context.runs:
        assert not run.failures, (run.seed, run.failures)


@behave.then("only the second process holds a seat")
def step(context):
    for run in context.runs:
        assert run.seats[0] == [] and run.seats[1], (run.seed, run.seats)
        assert run.active[0].endswith("-double"), (run.seed, run.active)


@behave.then("no zone ever had two leaders and no request ran twice")
def step(context):
    for run in context.runs:
        assert not run.duplicate_leaders, (run.seed, run.duplicate_leaders[:3])
        assert not run.violations, (run.seed, run.violations[:3])
        assert run.answered, (run.seed, run.submitted)
