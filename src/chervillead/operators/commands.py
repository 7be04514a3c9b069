"""Options, log sessions and output shared by the operators' commands."""

import asyncio
from collections import abc
import os
import sys
import time
import typing

import cyclopts
from returns import pipeline
from returns import result

from chervillead import types
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import log_client
from chervillead.operators import publishing
from chervillead.operators import session as session_module
from chervillead.operators import tables

CLOCK = types.Clock(time.monotonic, time.time)
Output = typing.Literal["text", "json"]


class LogOptions(typing.NamedTuple):
    """Options for access to the log and for output.

    Attributes:
        platform: IP address and port of the platform's log; by default the
            value of CHERVILLEAD_PLATFORM.
        output: Output format: aligned tables, or JSON for programs.
        timeout_s: Timeout of each call to the platform, in seconds.
        read_within_s: Timeout for reading the log to its end, in seconds.
    """

    platform: str = ""
    output: Output = "text"
    timeout_s: float = 2.0
    read_within_s: float = session_module.READ_LOG_TIMEOUT_S


class ChangeOptions(typing.NamedTuple):
    """Options for publishing a change.

    Attributes:
        dry_run: Prints what the outcome would be without appending anything.
        record_id: Id of an earlier attempt with the outcome "unknown".
        within_s: Seconds after which the outcome is "unknown".
    """

    dry_run: bool = False
    record_id: str | None = None
    within_s: float = 10.0


DEFAULT_LOG_OPTIONS = LogOptions()
DEFAULT_CHANGE_OPTIONS = ChangeOptions()
LogParameter = typing.Annotated[LogOptions, cyclopts.Parameter(name="*")]
ChangeParameter = typing.Annotated[ChangeOptions, cyclopts.Parameter(name="*")]
RemoveFlag = typing.Annotated[bool, cyclopts.Parameter(negative="")]
CompleteChange = abc.Callable[
    [publishing.Change, configuration_module.Configuration],
    result.Result[publishing.Change, str],
]


def provided_fields(**fields: typing.Any) -> dict[str, typing.Any]:
    """Returns the fields that aren't None, those set on the command line."""
    return {name: value for name, value in fields.items() if value is not None}


def report_usage_error(reason: str) -> int:
    """Prints a usage error to standard error and returns its exit status."""
    print(reason, file=sys.stderr)
    return publishing.EXIT_USAGE


def resolve_address(
    option: str, text: str
) -> result.Result[types.Address, str]:
    """Returns the address in an option or its environment variable.

    Args:
        option: Name of the option, without dashes.
        text: Value of the option; if empty, `CHERVILLEAD_<OPTION>` is used.

    Returns:
        The address, or an error message that names both sources.
    """
    variable = f"CHERVILLEAD_{option.upper()}"
    text = text or os.environ.get(variable, "")
    return types.parse_address(text).alt(
        lambda reason: f"--{option} or {variable}: {reason}"
    )


def publish(
    change: publishing.Change,
    log: LogOptions,
    how: ChangeOptions,
    *,
    complete: CompleteChange | None = None,
) -> int:
    """Publishes a change, prints its outcome and returns the exit status.

    Args:
        change: Change to publish.
        log: Options for access to the log.
        how: Options for publishing.
        complete: Completes the change from the folded state, or rejects it.
    """
    address = resolve_address("platform", log.platform)
    if not pipeline.is_successful(address):
        return report_usage_error(address.failure())
    answer = asyncio.run(_publish(change, address.unwrap(), log, how, complete))
    print_answer(answer, log.output)
    return publishing.exit_status(answer)


async def _publish(
    change: publishing.Change,
    address: types.Address,
    log: LogOptions,
    how: ChangeOptions,
    complete: CompleteChange | None,
) -> publishing.PublishAnswer:
    platform = log_client.connect_platform(address, timeout_s=log.timeout_s)
    async with session_module.open_session(
        platform, CLOCK, within_s=log.read_within_s
    ) as opened:
        if not pipeline.is_successful(opened):
            return publishing.not_appended_answer(
                change, how.record_id, opened.failure(), dry_run=how.dry_run
            )
        session = opened.unwrap()
        if complete is not None:
            completed = complete(change, session.reader.configuration)
            if not pipeline.is_successful(completed):
                return publishing.not_appended_answer(
                    change, None, completed.failure(), dry_run=how.dry_run
                )
            change = completed.unwrap()
        return await publishing.publish_change(
            change,
            session,
            record_id=how.record_id,
            dry_run=how.dry_run,
            within_s=how.within_s,
        )


def print_answer(answer: publishing.PublishAnswer, output: Output) -> None:
    """Prints the outcome of a change as text or JSON."""
    if output == "json":
        tables.print_json(answer)
        return
    words = [answer["publication"], answer["kind"], answer["subject"]]
    if answer["offset"] is not None:
        words.append(f"at offset {answer['offset']}")
    line = " ".join(word for word in words if word)
    if answer["dry_run"]:
        line = f"dry run, would be {line}"
    if answer["reason"]:
        line += f": {answer['reason']}"
    print(line)
    if answer["publication"] == "unknown":
        print(f"repeat the command with --record-id {answer['record_id']}")


def read_state(
    address: types.Address, log: LogOptions
) -> result.Result[configuration_module.Configuration, str]:
    """Returns the state at the end of the log, or why it can't be read."""

    async def read() -> result.Result[configuration_module.Configuration, str]:
        platform = log_client.connect_platform(address, timeout_s=log.timeout_s)
        async with session_module.open_session(
            platform, CLOCK, within_s=log.read_within_s
        ) as opened:
            return opened.map(lambda session: session.reader.configuration)

    return asyncio.run(read())
