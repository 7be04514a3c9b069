"""Hooks of behave: each scenario runs on a virtual clock with a seed."""

import os

from behave import model
from behave import runner

from stand_ins import run_features

DEFAULT_SEED = 20261204
MAX_REASON_CHARACTERS = 2000


def before_scenario(context: runner.Context, scenario: model.Scenario) -> None:
    """Gives the scenario its seed; CHERVILLEAD_SEED repeats a run."""
    context.seed = int(os.environ.get("CHERVILLEAD_SEED", DEFAULT_SEED))


def after_step(context: runner.Context, step: model.Step) -> None:
    """Prints why a step failed, which the formatter `progress` leaves out."""
    if step.exception is not None:
        reason = " ".join(repr(step.exception).split())
        print(
            f"\n{run_features.FAILED_STEP}{step.location} {step.name}: "
            f"{reason[:MAX_REASON_CHARACTERS]}"
        )


def after_scenario(context: runner.Context, scenario: model.Scenario) -> None:
    """Prints how to repeat a failed scenario."""
    if scenario.status in (model.Status.failed, model.Status.error):
        print(
            f"repeat: CHERVILLEAD_SEED={context.seed} make test "
            f"FEATURES={scenario.location}"
        )
