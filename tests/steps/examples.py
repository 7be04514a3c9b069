"""Steps of tests/examples.feature."""

import contextlib
import io
import pathlib
import runpy

import behave

EXAMPLES = pathlib.Path(__file__).parents[2] / "docs" / "examples"


@behave.when("docs/examples/{name}.py is run")
def step(context, name):
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        runpy.run_path(str(EXAMPLES / f"{name}.py"), run_name="__main__")
    context.lines = output.getvalue().splitlines()


@behave.then(
    "the example prints five accepted records and a refusal by the budget"
)
def step(context):
    outcomes = [line.split()[2] for line in context.lines]
    assert outcomes == ["accepted"] * 5 + ["refused"], context.lines
    assert "availability budget" in context.lines[-1], context.lines


@behave.then("the example prints units that always add up to the limit")
def step(context):
    given, moved, refused = context.lines
    assert given.startswith("units [2, 2] sum 4: accepted"), given
    assert moved.startswith("units [0, 4] sum 4: accepted"), moved
    assert refused.startswith("units [0, 4] sum 4: refused"), refused


@behave.then("the example prints three attempts under one id and the answer")
def step(context):
    attempts = [f"attempt {n}, same id: True" for n in (1, 2, 3)]
    assert context.lines == [*attempts, "invoiced"], context.lines
