"""Steps of tests/command_line.feature."""

import asyncio
import contextlib
import io
import pathlib
import re
import shlex
import tempfile
import time

import behave
import msgspec

from chervillead import command_line
from stand_ins import local_fleet

BASE_PORT = 25500
# A zone's status takes effect within seconds; a loaded machine needs longer.
STATUS_TIMEOUT_S = 30.0


def commands_of(app, names=()):
    """Yields the words and the app of each command without subcommands."""
    for name in app:
        if name.startswith("-"):
            continue
        if app[name].default_command is None:
            yield from commands_of(app[name], (*names, name))
        else:
            yield (*names, name), app[name]


@behave.when("the help of every command is read")
def step(context):
    context.commands = dict(commands_of(command_line.app))


@behave.then("each ends with an example that the command line accepts")
def step(context):
    assert len(context.commands) >= 20, list(context.commands)
    for words, app in context.commands.items():
        found = re.fullmatch(r"Example: `chervillead (.+)`", app.help_epilogue)
        assert found, (words, app.help_epilogue)
        arguments = shlex.split(found[1])
        assert tuple(arguments[: len(words)]) == words, (words, arguments)
        command_line.app.parse_args(
            arguments, exit_on_error=False, print_error=False
        )


@behave.given("a fleet of one entry host for the command line")
def step(context):
    plan = local_fleet.FleetPlan(
        base_port=BASE_PORT,
        entry_hosts=1,
        upstreams_per_queue=1,
        zones=("a",),
    )
    folder = pathlib.Path(tempfile.mkdtemp(prefix="command-line-"))
    context.fleet = local_fleet.start_fleet(plan, folder)
    context.add_cleanup(local_fleet.stop_fleet, context.fleet)
    asyncio.run(local_fleet.wait_until_ready(context.fleet))


def run(context, line):
    """Returns the exit status and output of one command."""
    plan = context.fleet.plan
    platform = f"{plan.platform.host}:{plan.platform.port}"
    entry = plan.callers_address(0)
    arguments = shlex.split(line)
    if arguments[0] == "status":
        arguments += ["--entry", f"{entry.host}:{entry.port}"]
    else:
        arguments += ["--platform", platform]
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        status = command_line.run(arguments)
    return status, output.getvalue()


@behave.when(
    "operators run valid and invalid commands that show, publish and withdraw"
)
def step(context):
    expected = {
        "zone out a --dry-run": 0,
        "zone out aa": 1,
        "zone out a --record-id out-1": 0,
        "zone out a --record-id out-1 --output json": 0,
        "publish queue new": 1,
        "publish queue new --pool bank-cover --target-s 0.5": 0,
        "publish queue new --target-s soon": 2,
        "publish qeue new": 2,
        "publish queue new --remove": 0,
        "publish host bank-cover-0 --cores 8": 0,
        "publish host bank-cover-0 --address nowhere": 2,
        "key grant nursery-north --generate": 0,
        "key withdraw --hash 0123": 1,
        "drain set bank-cover-0 returned": 1,
        "show hosts bank-cover-0 --output json": 0,
        "show hosts bank-cover-9": 1,
    }
    context.expected = expected
    context.results = {line: run(context, line) for line in expected}


@behave.then("each command exits with the status of its outcome")
def step(context):
    for line, status in context.expected.items():
        assert context.results[line][0] == status, (
            line,
            context.results[line],
        )
    _, shown = context.results["show hosts bank-cover-0 --output json"]
    (host,) = msgspec.json.decode(shown)
    assert host["size"] == [8.0, 65536, 0], host


@behave.then("the status of the entry host shows the change")
def step(context):
    _, repeated = context.results["zone out a --record-id out-1 --output json"]
    offset = msgspec.json.decode(repeated)["offset"]
    deadline_s = time.monotonic() + STATUS_TIMEOUT_S
    latest_status = {"offset": -1}
    while latest_status["offset"] < offset and time.monotonic() < deadline_s:
        status, output = run(context, "status --output json")
        assert status == 0, output
        latest_status = msgspec.json.decode(output)
    assert latest_status["offset"] >= offset, (latest_status, offset)
    assert [zone["status"] for zone in latest_status["zones"]] == ["out"], (
        latest_status
    )
    assert latest_status["entry_hosts"][0]["seats"] == ["a/0"], latest_status
    status, output = run(context, "status")
    assert status == 0, output
    assert "entry-a0" in output, output
