"""Steps of tests/pools/random_faults.feature."""

import re
from unittest import mock

import behave
import hypothesis
from hypothesis import strategies

from chervillead.pools import recovery
from chervillead.workers import watch
from stand_ins import random_faults
from stand_ins import reproducible_draws


def acknowledge_all(self):
    self._view.acknowledged_end = self._view.applied_end


def finish_recovery_at_once(self):
    for job_id in self._state.recovering_jobs:
        self._state.jobs[job_id].recovering_until_s = 0.0
    self._state.recovering_jobs.clear()


FAULTY_METHODS = {
    "acknowledges ends before they are stored": (
        watch.WorkerWatch,
        "_acknowledge_recorded",
        acknowledge_all,
    ),
    "starts tasks before all workers are known": (
        recovery.OwnerRecovery,
        "finish",
        finish_recovery_at_once,
    ),
}


@behave.given("an implementation that {fault}")
def step(context, fault):
    patch = mock.patch.object(*FAULTY_METHODS[fault])
    patch.start()
    context.add_cleanup(patch.stop)


@behave.when("{count:d} random sequences of up to {most:d} faults are injected")
def step(context, count, most):
    fault = strategies.tuples(
        strategies.integers(0, len(random_faults.FAULTS) - 1),
        strategies.sampled_from((0.1, 0.4, 1.0, 2.0)),
    )

    # Hypothesis seeds its draws with a digest of the source of this function.
    # Any edit of it, even of a name, changes all sequences.
    @hypothesis.settings(
        max_examples=count,
        deadline=None,
        derandomize=True,
        database=None,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(strategies.lists(fault, min_size=1, max_size=most))
    def play(faults):
        outcome = random_faults.run_seeded(faults, context.seed)
        names = [random_faults.FAULTS[place].__name__ for place, _ in faults]
        assert not outcome.violations, (names, faults, outcome)
        phases = set(outcome.phases.values())
        assert phases <= {"completed"}, (names, faults, outcome)

    context.violation = None
    try:
        with reproducible_draws.without_source_constants():
            play()
    except AssertionError as error:
        context.violation = error


@behave.when(
    "the random faults {faults} are injected {seconds:g} s after the start"
)
def step(context, faults, seconds):
    parsed = [
        (int(place), float(pause_s))
        for place, pause_s in re.findall(r"\((\d+), ([\d.]+)\)", faults)
    ]
    outcome = random_faults.run_seeded(parsed, context.seed, first_s=seconds)
    context.violation = None
    if outcome.violations or set(outcome.phases.values()) != {"completed"}:
        context.violation = AssertionError(outcome)


@behave.then("no task ran twice and every accepted job was completed")
def step(context):
    if context.violation is not None:
        raise context.violation


@behave.then("an invariant violation is found")
def step(context):
    assert context.violation is not None
