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
    """Shows the queues, teams, keys and so on in the log.

    Args:
        what: Kind to show.
        name: Only entry to show; exit status 1 if it doesn't exist.
        log: Options for access to the log.
    """
    address = commands.resolve_address("platform", log.platform)
    if not pipeline.is_successful(address):
        return commands.report_usage_error(address.failure())
    state = commands.read_state(address.unwrap(), log)
    if not pipeline.is_successful(state):
        print(state.failure(), file=sys.stderr)
        return publishing.EXIT_UNKNOWN
    values = listing.list_values(state.unwrap(), what, name)
    if name is not None and not values:
        kind = listing.KINDS_BY_NAME[what]
        known = publishing.values_by_subject(state.unwrap(), kind)
        print(
            publishing.unknown_subject_message(kind, name, known),
            file=sys.stderr,
        )
        return publishing.EXIT_REFUSED
    if log.output == "json":
        tables.print_json(values)
    else:
        _print_dicts(values, f"no {what}")
    return publishing.EXIT_ACCEPTED


def status(
    *,
    entry: str = "",
    output: commands.Output = "text",
    timeout_s: float = 2.0,
) -> int:
    """Shows the status of the fleet as seen by one entry host.

    Args:
        entry: IP address and port where the entry host listens for callers; by
            default the value of CHERVILLEAD_ENTRY.
        output: Output format: aligned tables, or JSON for programs.
        timeout_s: Timeout of the call, in seconds.
    """
    address = commands.resolve_address("entry", entry)
    if not pipeline.is_successful(address):
        return commands.report_usage_error(address.failure())
    fetched = asyncio.run(
        status_client.fetch_status(address.unwrap(), timeout_s=timeout_s)
    )
    if not pipeline.is_successful(fetched):
        print(f"{address.unwrap()}: {fetched.failure()}", file=sys.stderr)
        return publishing.EXIT_UNKNOWN
    if output == "json":
        tables.print_json(fetched.unwrap())
    else:
        _print_status(fetched.unwrap())
    return publishing.EXIT_ACCEPTED


def _print_status(document: status_module.Status) -> None:
    age = tables.format_cell(document["age_s"])
    role = "dispatcher" if document["is_dispatcher"] else "not dispatcher"
    print(f"entry host {document['host']} in zone {document['zone']}, {role}")
    print(
        f"configuration at offset {document['offset']}, confirmed {age} s ago"
    )
    sections: tuple[tuple[str, abc.Sequence[typing.Any]], ...] = (
        ("entry hosts", document["entry_hosts"]),
        ("zones", document["zones"]),
        ("queues", document["queues"]),
        ("teams", document["teams"]),
        ("maintenance", document["maintenance"]),
        ("alarms", document["alarms"]),
    )
    for title, values in sections:
        print(f"\n{title}")
        _print_dicts(values, "none")


def _print_dicts(
    values: abc.Sequence[dict[str, typing.Any]], if_empty: str
) -> None:
    """Prints dictionaries with equal keys as a table, or a text if empty."""
    if values:
        tables.print_table(list(values[0]), [list(v.values()) for v in values])
    else:
        print(if_empty)
