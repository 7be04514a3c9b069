"""Steps of tests/invariants.feature."""

import functools

import behave

from stand_ins import fault_run
from stand_ins import invariants
from stand_ins import seed_pool


@behave.given('a fleet under load with the faults "{names}"')
def step(context, names):
    context.faults = names.split(", ")


@behave.when("it runs with {count:d} seeds")
def step(context, count):
    seeds = range(context.seed, context.seed + count)
    run = functools.partial(fault_run.find_violations, context.faults)
    context.found = seed_pool.run_seeds(run, seeds)


@behave.when("the product {fault} in runs with {count:d} seeds")
def step(context, fault, count):
    seeds = range(context.seed, context.seed + count)
    run = functools.partial(
        fault_run.find_violations, context.faults, fault=fault
    )
    context.found = seed_pool.run_seeds(run, seeds)


@behave.then('the check "{name}" finds it')
def step(context, name):
    found = {check for checks in context.found.values() for check in checks}
    assert name in found, f"found by {sorted(found)} only"


@behave.then("every invariant holds in every run")
def step(context):
    lines = [
        f"seed {seed}: {name}: {len(violations)}, first: {violations[0]}"
        for seed, found in context.found.items()
        for name, violations in found.items()
    ]
    assert not lines, "\n".join(lines)


SOUND = invariants.Evidence(
    executions=[
        invariants.Execution("u1", "r1", "t", "q", 20.0, 21.0),
    ],
    submissions=[
        invariants.Submission(
            *("r1", "e1", "k", "t", "q", b"x", False, 19.9, 21.1, None),
            fault_run.CONNECTION_BROKEN,
        ),
    ],
    limits=[],
    withdrawn_keys={},
    zones_out=[],
    isolated=[],
    leaving=[],
    reboots=[invariants.Interval("u2", 10.0, 15.0)],
    planned_stops=[],
    host_zones={"u1": "a", "u2": "b"},
    host_pools={"u1": [(0.0, "p")], "u2": [(0.0, "p")]},
    queue_pools={"q": "p"},
    pool_budgets={"p": 1},
    open_queues=frozenset(),
)
# One change to sound evidence for each violation.
VIOLATIONS = {
    "two reboots above a budget of one": {
        "reboots": [
            invariants.Interval("u1", 10.0, 15.0),
            invariants.Interval("u2", 11.0, 16.0),
        ]
    },
    "a start on a host of another pool": {
        "host_pools": {"u1": [(0.0, "other")], "u2": [(0.0, "p")]}
    },
    "a start on a host that left 8 s before": {
        "leaving": [invariants.Interval("u1", 12.0, 30.0)]
    },
    "a connection that a planned stop broke": {
        "planned_stops": [invariants.Interval("e1", 20.0, 25.0)]
    },
}


@behave.given("evidence of {violation}")
def step(context, violation):
    assert not invariants.violations(SOUND), invariants.violations(SOUND)
    context.evidence = SOUND._replace(**VIOLATIONS[violation])


@behave.then('only the check "{name}" reports it')
def step(context, name):
    assert list(invariants.violations(context.evidence)) == [name]
