"""The `chervillead` command."""

from collections import abc
import pathlib
import sys
import typing

import cyclopts
from returns import pipeline
import uvloop

from chervillead import daemon
from chervillead import logs
from chervillead import settings as settings_module
from chervillead.operators import change_commands
from chervillead.operators import fleet_commands
from chervillead.operators import host_commands
from chervillead.operators import key_commands
from chervillead.operators import publishing
from chervillead.operators import report_commands
from chervillead.operators import view_commands

app = cyclopts.App(
    name="chervillead",
    help="Fleet capacity and maintenance manager for small operations teams.",
)
settings_app = cyclopts.App(name="settings", help="Checks settings files.")
for sub_app in (
    settings_app,
    change_commands.publish_app,
    fleet_commands.zone_app,
    fleet_commands.rollout_app,
    host_commands.drain_app,
    host_commands.move_app,
    key_commands.key_app,
    report_commands.report_app,
):
    app.command(sub_app)
app.command(
    view_commands.show, help_epilogue="Example: `chervillead show hosts`"
)
app.command(
    view_commands.status,
    help_epilogue="Example: `chervillead status --entry 127.0.0.1:17100`",
)
app.register_install_completion_command()


@app.command(
    help_epilogue="Example: `chervillead entry --settings entry-a0.yaml`"
)
def entry(
    *, settings: typing.Annotated[pathlib.Path, cyclopts.Parameter()]
) -> int:
    """Runs an entry host until SIGTERM.

    Args:
        settings: YAML file with the settings of the entry host.
    """
    checked = settings_module.load_settings(settings)
    if not pipeline.is_successful(checked):
        _print_problems(checked.failure())
        return publishing.EXIT_REFUSED
    logs.write_logs_to(sys.stderr)
    return uvloop.run(daemon.serve(checked.unwrap()))


@settings_app.command(
    help_epilogue="Example: `chervillead settings check entry-a0.yaml`"
)
def check(file: pathlib.Path) -> int:
    """Checks a settings file and prints all problems.

    Args:
        file: YAML file to check.
    """
    checked = settings_module.load_settings(file)
    if not pipeline.is_successful(checked):
        _print_problems(checked.failure())
        return publishing.EXIT_REFUSED
    print(f"{file}: settings are valid")
    return 0


def _print_problems(problems: list[settings_module.SettingProblem]) -> None:
    for problem in problems:
        print(problem, file=sys.stderr)


def run(arguments: abc.Sequence[str]) -> int:
    """Runs one command and returns its exit status.

    The exit status is 0 for success or an accepted change, 1 for a refused one,
    2 for a usage error and 3 for an unknown outcome.
    """
    try:
        status = app(
            arguments, exit_on_error=False, result_action="return_value"
        )
    except cyclopts.CycloptsError:
        # cyclopts has already printed the error.
        return publishing.EXIT_USAGE
    return status if isinstance(status, int) else 0


def main() -> None:
    """Runs the command line and exits with its status."""
    sys.exit(run(sys.argv[1:]))
