"""Hooks of behave: each scenario runs on a virtual clock with a seed."""

import os

from behave import model
from behave import runner

DEFAULT_SEED = 20261204


def before_scenario(context: runner.Context, scenario: model.Scenario) -> None:
    """Gives the scenario its seed; CHERVILLEAD_SEED repeats a run."""
    context.seed = int(os.environ.get("CHERVILLEAD_SEED", DEFAULT_SEED))


def after_scenario(context: runner.Context, scenario: model.Scenario) -> None:
    """Prints how to repeat a failed scenario."""
    if scenario.status == model.Status.failed:
        print(
            f"repeat: CHERVILLEAD_SEED={context.seed} make test "
            f"FEATURES={scenario.location}"
        )
