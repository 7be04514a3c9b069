"""Steps of tests/examples.feature."""

import contextlib
import io
import pathlib
import runpy

import behave

EXAMPLES = pathlib.Path(__file__).parents[2] / "docs" / "examples"


@behave.when("docs/examples/fold_records.py is run")
def step(context):
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        runpy.run_path(str(EXAMPLES / "fold_records.py"), run_name="__main__")
    context.lines = output.getvalue().splitlines()


@behave.then(
    "the example prints five accepted records and a refusal by the budget"
)
def step(context):
    outcomes = [line.split()[2] for line in context.lines]
    assert outcomes == ["accepted"] * 5 + ["refused"], context.lines
    assert "availability budget" in context.lines[-1], context.lines
