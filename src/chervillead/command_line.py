"""The `chervillead` command."""

import pathlib
import sys
import typing

import cyclopts
from returns import pipeline
import uvloop

from chervillead import daemon
from chervillead import logs
from chervillead import settings as settings_module

EXIT_REFUSED = 1

app = cyclopts.App(
    name="chervillead",
    help="Fleet capacity and maintenance manager for small operations teams.",
)
settings_app = cyclopts.App(name="settings", help="Work on settings files.")
app.command(settings_app)


@app.command
def entry(
    *, settings: typing.Annotated[pathlib.Path, cyclopts.Parameter()]
) -> int:
    """Runs an entry host until SIGTERM.

    Args:
        settings: YAML file with the settings of this host.
    """
    checked = settings_module.load_settings(settings)
    if not pipeline.is_successful(checked):
        _print_problems(checked.failure())
        return EXIT_REFUSED
    logs.write_logs_to(sys.stderr)
    return uvloop.run(daemon.serve(checked.unwrap()))


@settings_app.command
def check(file: pathlib.Path) -> int:
    """Checks a settings file and prints every problem in it.

    Args:
        file: YAML file to check.
    """
    checked = settings_module.load_settings(file)
    if not pipeline.is_successful(checked):
        _print_problems(checked.failure())
        return EXIT_REFUSED
    print(f"{file}: settings are valid")
    return 0


def _print_problems(problems: list[settings_module.SettingProblem]) -> None:
    for problem in problems:
        print(problem, file=sys.stderr)


def main() -> None:
    """Runs the command line and exits with its status."""
    sys.exit(app())
