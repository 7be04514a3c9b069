"""Steps of tests/invariants.feature."""

import functools

import behave

from stand_ins import fault_run
from stand_ins import seed_pool


@behave.given('a fleet under load with the faults "{names}"')
def step(context, names):
    context.faults = names.split(", ")


@behave.when("it runs with {count:d} seeds")
def step(context, count):
    seeds = range(context.seed, context.seed + count)
    run = functools.partial(fault_run.find_violations, context.faults)
    context.found = seed_pool.run_seeds(run, seeds)


@behave.then("every invariant holds in every run")
def step(context):
    lines = [
        f"seed {seed}: {name}: {len(violations)}, first: {violations[0]}"
        for seed, found in context.found.items()
        for name, violations in found.items()
    ]
    assert not lines, "\n".join(lines)
