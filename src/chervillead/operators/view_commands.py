"""Commands that show the folded log and the status of an entry host."""

import asyncio
from collections import abc
import sys
import typing

from returns import pipeline

from chervillead.operators import commands
from chervillead.operators import listing
from chervillead.operators import publishing
from chervillead.operators import status as status_module
from chervillead.operators import status_client
from chervillead.operators import tables

ShownName = typing.Literal[
    "queues",
    "teams",
    "keys",
    "pools",
    "hosts",
    "zones",
    "seats",
    "drains",
    "moves",
    "rollouts",
]


def show(
    what: ShownName,
    name: str | None = None,
    /,
    *,
    log: commands.LogParameter = commands.DEFAULT_LOG_OPTIONS,
) -> int:
    """Shows what the log says of queues, teams, keys and so on.

    Args:
        what: Kind to show.
        name: Shows this one alone; exit status 1 if there is none.
        log: Where the log is.
    """
    address = commands.resolve_address("platform", log.platform)
    if not pipeline.is_successful(address):
        return commands.report_usage_error(address.failure())
    state = commands.read_state(address.unwrap(), log)
    if not pipeline.is_successful(state):
        print(state.failure(), file=sys.stderr)
        return publishing.EXIT_UNKNOWN
    found = listing.list_values(state.unwrap(), what, name)
    if name is not None and not found:
        kind = listing.KINDS_BY_NAME[what]
        known = publishing.values_by_subject(state.unwrap(), kind)
        print(
            publishing.unknown_subject_message(kind, name, known),
            file=sys.stderr,
        )
        return publishing.EXIT_REFUSED
    if log.output == "json":
        tables.print_json(found)
    else:
        _print_dicts(found, f"no {what}")
    return publishing.EXIT_ACCEPTED


def status(
    *,
    entry: str = "",
    output: commands.Output = "text",
    timeout_s: float = 2.0,
) -> int:
    """Shows the fleet as one entry host sees it.

    Args:
        entry: IP number and port where the entry host listens for callers;
            what CHERVILLEAD_ENTRY holds by default.
        output: Aligned tables, or JSON for programs.
        timeout_s: Bound of the call, in seconds.
    """
    address = commands.resolve_address("entry", entry)
    if not pipeline.is_successful(address):
        return commands.report_usage_error(address.failure())
    found = asyncio.run(
        status_client.fetch_status(address.unwrap(), timeout_s=timeout_s)
    )
    if not pipeline.is_successful(found):
        print(f"{address.unwrap()}: {found.failure()}", file=sys.stderr)
        return publishing.EXIT_UNKNOWN
    if output == "json":
        tables.print_json(found.unwrap())
    else:
        _print_status(found.unwrap())
    return publishing.EXIT_ACCEPTED


def _print_status(found: status_module.Status) -> None:
    age = tables.format_cell(found["age_s"])
    duty = "dispatcher of its zone" if found["is_dispatcher"] else "no duty"
    print(f"entry host {found['host']} in zone {found['zone']}, {duty}")
    print(f"configuration at offset {found['offset']}, confirmed {age} s ago")
    sections: tuple[tuple[str, abc.Sequence[typing.Any]], ...] = (
        ("entry hosts", found["entry_hosts"]),
        ("zones", found["zones"]),
        ("queues", found["queues"]),
        ("teams", found["teams"]),
        ("maintenance", found["maintenance"]),
        ("alarms", found["alarms"]),
    )
    for title, values in sections:
        print(f"\n{title}")
        _print_dicts(values, "none")


def _print_dicts(
    values: abc.Sequence[dict[str, typing.Any]], if_empty: str
) -> None:
    """Prints dictionaries with the same keys as a table."""
    if values:
        tables.print_table(list(values[0]), [list(v.values()) for v in values])
    else:
        print(if_empty)
