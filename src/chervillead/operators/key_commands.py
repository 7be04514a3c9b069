"""Commands for API keys.

A key itself appears neither in the log nor on a command line.
"""

import pathlib
import sys
import typing

import cyclopts
from returns import pipeline
from returns import result

from chervillead.callers import credentials
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import records
from chervillead.operators import commands
from chervillead.operators import keys
from chervillead.operators import publishing

key_app = cyclopts.App(
    name="key",
    help=(
        "Grants and withdraws keys. The key is read from a file or from "
        "standard input; only its hash is published."
    ),
)


@key_app.command(
    help_epilogue="Example: `chervillead key grant nursery-north --generate`"
)
def grant(
    team: str,
    /,
    *,
    log: commands.LogParameter = commands.DEFAULT_LOG_OPTIONS,
    how: commands.ChangeParameter = commands.DEFAULT_CHANGE_OPTIONS,
    queue: list[str] | None = None,
    file: pathlib.Path | None = None,
    generate: typing.Annotated[bool, cyclopts.Parameter(negative="")] = False,
) -> int:
    """Grants a key to a team.

    Args:
        team: Team that the key identifies.
        log: Options for access to the log.
        how: Options for publishing.
        queue: Queue that the key may use; can be repeated. Default: all.
        file: File with the key. Default: standard input.
        generate: Generates a new key and prints it to standard error.
    """
    if generate and (file is not None or how.record_id is not None):
        return commands.report_usage_error(
            "--generate creates a new key and can't be combined with --file or "
            "--record-id; pass the key of the first attempt instead"
        )
    key = result.Success(keys.generate_key()) if generate else _read_key(file)
    if not pipeline.is_successful(key):
        return commands.report_usage_error(key.failure())
    if generate and not how.dry_run:
        # Printed before publishing, so that the key isn't lost if the outcome
        # is unknown and the key is in force.
        print(f"key: {key.unwrap()}", file=sys.stderr)
    change = publishing.Change(
        records.KEY,
        credentials.hash_key(key.unwrap()),
        {"team": team, "queues": queue, "withdrawn": False},
    )
    return commands.publish(change, log, how, complete=keys.check_grant)


@key_app.command(
    help_epilogue="Example: `chervillead key withdraw --hash 3f1c9a04d2b7`"
)
def withdraw(
    *,
    log: commands.LogParameter = commands.DEFAULT_LOG_OPTIONS,
    how: commands.ChangeParameter = commands.DEFAULT_CHANGE_OPTIONS,
    hash_: typing.Annotated[
        str | None, cyclopts.Parameter(name="--hash")
    ] = None,
    file: pathlib.Path | None = None,
) -> int:
    """Withdraws a key; it stops working within seconds.

    Args:
        log: Options for access to the log.
        how: Options for publishing.
        hash_: Prefix of the key's hash as listed by `chervillead show keys`.
        file: File with the key, if --hash isn't given. Default: standard input.
    """
    fields = {"withdrawn": True}
    if hash_ is not None:
        change = publishing.Change(records.KEY, hash_, fields, must_exist=True)
        return commands.publish(change, log, how, complete=_with_full_hash)
    key = _read_key(file)
    if not pipeline.is_successful(key):
        return commands.report_usage_error(key.failure())
    subject = credentials.hash_key(key.unwrap())
    change = publishing.Change(records.KEY, subject, fields, must_exist=True)
    return commands.publish(change, log, how)


def _with_full_hash(
    change: publishing.Change, state: configuration_module.Configuration
) -> result.Result[publishing.Change, str]:
    return keys.find_hash(change.subject, state.keys).map(
        lambda full_hash: change._replace(subject=full_hash)
    )


def _read_key(file: pathlib.Path | None) -> result.Result[str, str]:
    try:
        text = sys.stdin.read() if file is None else file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return result.Failure(f"{file or 'standard input'}: {error}")
    return keys.check_key(text)
