"""Steps of tests/invariants.feature."""

import concurrent.futures
import multiprocessing
import os

import behave

from stand_ins import fault_run

# Runs are independent, so seeds share the cores; each has its own process.
WORKERS = min(8, os.cpu_count() or 1)


@behave.given('a fleet under load with the faults "{names}"')
def step(context, names):
    context.faults = names.split(", ")


@behave.when("it runs with {count:d} seeds")
def step(context, count):
    seeds = range(context.seed, context.seed + count)
    with concurrent.futures.ProcessPoolExecutor(
        WORKERS, multiprocessing.get_context("spawn")
    ) as workers:
        found = workers.map(
            fault_run.find_violations, [context.faults] * count, seeds
        )
        context.found = dict(zip(seeds, found, strict=True))


@behave.then("every invariant holds in every run")
def step(context):
    lines = [
        f"seed {seed}: {name}: {len(violations)}, first: {violations[0]}"
        for seed, found in context.found.items()
        for name, violations in found.items()
    ]
    assert not lines, "\n".join(lines)
