"""Steps of tests/operators/pool_report.feature."""

import contextlib
import io
import pathlib
import tempfile

import behave

from chervillead import command_line
from chervillead.operators import pool_report

LINE = (
    '{"host":"a","spare":2,"pools":{"billing":[4,3,9,12,12,7]},'
    '"timestamp":1000.0,"message_type":"hosts:allocated"}\n'
)


@behave.given("these log lines of entry hosts")
def step(context):
    context.lines = context.text.splitlines()


@behave.when("the report on pools is made of them")
def step(context):
    context.rows = list(pool_report.read_rows(context.lines))
    context.rendered = list(pool_report.render(context.rows))


@behave.then(
    "it has a row for {pool} with {hosts:d} hosts, {needed:d} needed, "
    "{lacking:d} lacking"
)
def step(context, pool, hosts, needed, lacking):
    header, *lines = context.rendered
    line = next(line for line in lines if f" {pool} " in line)
    found = dict(zip(header.split(), line.split(), strict=True))
    expected = {"hosts": hosts, "needed": needed, "lacks": lacking}
    assert expected == {name: int(found[name]) for name in expected}, found


@behave.then("it has {count:d} rows")
def step(context, count):
    assert len(context.rows) == count, context.rows


@behave.then(
    "`report pools` prints the table of a file and refuses a missing one"
)
def step(context):
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder) / "entry.log"
        file.write_text(LINE)
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            status = command_line.run(["report", "pools", str(file)])
        assert (status, "billing" in output.getvalue()) == (0, True)
        with contextlib.redirect_stderr(io.StringIO()):
            missing = command_line.run(["report", "pools", f"{file}.gone"])
        assert missing == 2, missing
