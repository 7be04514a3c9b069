"""What the operators' commands share: options, sessions and output."""

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
    """Where the log is and how answers are printed.

    Attributes:
        platform: IP number and port of the platform's log; what
            CHERVILLEAD_PLATFORM holds by default.
        output: Aligned tables, or JSON for programs.
        timeout_s: Bound of each call to the platform, in seconds.
        read_within_s: Time to read the log to its end, in seconds.
    """

    platform: str = ""
    output: Output = "text"
    timeout_s: float = 2.0
    read_within_s: float = session_module.READ_LOG_TIMEOUT_S


class ChangeOptions(typing.NamedTuple):
    """How a change is published.

    Attributes:
        dry_run: Says what the log would answer now; appends nothing.
        record_id: Id of an earlier attempt that was answered "unknown".
        within_s: Seconds after which the answer is "unknown".
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
    """Returns the fields that were given on the command line."""
    return {name: value for name, value in fields.items() if value is not None}


def report_usage_error(reason: str) -> int:
    """Prints why the command can't run and returns its exit status."""
    print(reason, file=sys.stderr)
    return publishing.EXIT_USAGE


def resolve_address(
    option: str, text: str
) -> result.Result[types.Address, str]:
    """Returns the address of an option, by default from the environment.

    Args:
        option: Name of the option, without dashes.
        text: What was given; empty looks into the environment.
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
    """Publishes a change, prints its fate and returns the exit status.

    Args:
        change: The change.
        log: Where the log is.
        how: How the change is published.
        complete: Completes the change from the folded state, or refuses it.
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
    """Prints what became of a change."""
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
        print(f"repeat it with --record-id {answer['record_id']}")


def read_state(
    address: types.Address, log: LogOptions
) -> result.Result[configuration_module.Configuration, str]:
    """Returns the state at the end of the log."""

    async def read() -> result.Result[configuration_module.Configuration, str]:
        platform = log_client.connect_platform(address, timeout_s=log.timeout_s)
        async with session_module.open_session(
            platform, CLOCK, within_s=log.read_within_s
        ) as opened:
            return opened.map(lambda found: found.reader.configuration)

    return asyncio.run(read())
