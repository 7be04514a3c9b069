"""Commands that print reports."""

import asyncio
from collections import abc
import pathlib
import sys

import cyclopts
from returns import pipeline
from returns import result

from chervillead.fleet import log_client
from chervillead.operators import burn_report
from chervillead.operators import commands
from chervillead.operators import history as history_module
from chervillead.operators import pool_report
from chervillead.operators import publishing
from chervillead.operators import tables

report_app = cyclopts.App(
    name="report", help="Prints reports on past requests."
)


@report_app.command(
    help_epilogue="Example: `chervillead report burn --pairs 300/3600 --pairs "
    "3600/21600 --html burn.html`"
)
def burn(
    *,
    log: commands.LogParameter = commands.DEFAULT_LOG_OPTIONS,
    pairs: list[str] | None = None,
    html: pathlib.Path | None = None,
) -> int:
    """Reports the burn rate of the error budget of each queue and team.

    Args:
        log: Options for access to the log.
        pairs: Short and long window in seconds; can be repeated. Default:
            300/3600 and 3600/21600.
        html: File to which an HTML page with plots is also written.
    """
    parsed = _parse_pairs(pairs)
    address = commands.resolve_address("platform", log.platform)
    if not pipeline.is_successful(parsed):
        return commands.report_usage_error(parsed.failure())
    if not pipeline.is_successful(address):
        return commands.report_usage_error(address.failure())
    platform = log_client.connect_platform(
        address.unwrap(), timeout_s=log.timeout_s
    )
    history = asyncio.run(history_module.read_history(platform))
    if not pipeline.is_successful(history):
        print(f"can't read the log: {history.failure()}", file=sys.stderr)
        return publishing.EXIT_UNKNOWN
    document = burn_report.build_report(history.unwrap(), parsed.unwrap())
    if html is not None:
        # Imported here because matplotlib takes 1 s and 40 MB, which entry
        # hosts, started from the same command line, must not spend.
        from chervillead.operators import burn_page

        html.write_text(burn_page.render_page(document, history.unwrap()))
    if log.output == "json":
        tables.print_json(document)
    else:
        _print_report(document)
    return publishing.EXIT_ACCEPTED


@report_app.command(
    help_epilogue="Example: `chervillead report pools entry-a0.log`"
)
def pools(files: list[pathlib.Path], *, output: str = "table") -> int:
    """Reports how many hosts each pool had and needed over time.

    Args:
        files: Logs of entry hosts.
        output: Format: table or json.
    """
    if output not in ("table", "json"):
        return commands.report_usage_error(
            f"output is {output!r}, expected table or json"
        )
    try:
        lines = [line for file in files for line in file.open(errors="replace")]
    except OSError as error:
        return commands.report_usage_error(f"can't read a log: {error}")
    rows = sorted(pool_report.read_rows(lines))
    if output == "json":
        tables.print_json([row._asdict() for row in rows])
    else:
        print(*pool_report.render(rows), sep="\n")
    return publishing.EXIT_ACCEPTED


def _parse_pairs(
    texts: list[str] | None,
) -> result.Result[abc.Sequence[burn_report.WindowPair], str]:
    if not texts:
        return result.Success(burn_report.DEFAULT_PAIRS)
    pairs: list[burn_report.WindowPair] = []
    for text in texts:
        short, _, long = text.partition("/")
        if not (short.isdecimal() and long.isdecimal()) or not (
            0 < int(short) < int(long)
        ):
            return result.Failure(
                f"--pairs: got {text!r}; expected a shorter and a longer "
                "window in seconds, such as '300/3600'"
            )
        pairs.append((int(short), int(long)))
    return result.Success(pairs)


def _print_report(document: burn_report.BurnDocument) -> None:
    print(f"burn rates as of {burn_report.format_time(document['as_of_s'])}")
    print(
        f"counts go back to {burn_report.format_time(document['oldest_s'])}\n"
    )
    lengths = sorted({n for pair in document["pairs"] for n in pair})
    columns = ["queue", "team", "target", "met", "budget left", "p50", "p99"]
    rows = []
    for row in document["rows"]:
        left = row["budget_left"]
        rows.append(
            [
                row["queue"],
                row["team"] or "(no key)",
                f"{row['target_part']:g} in {row['target_s']:g} s",
                row["met"],
                "unknown" if left is None else f"{left:.0%}",
                row["p50_ms"],
                row["p99_ms"],
                *(
                    burn_report.format_window(window)
                    for window in row["windows"]
                ),
            ]
        )
    tables.print_table([*columns, *(f"burn rate {n} s" for n in lengths)], rows)
    print(
        "\nzones, drains, moves and rollouts (* takes a host from a spare pool)"
    )
    tables.print_table(
        ["after", "before", "kind", "name", "change"],
        (
            [
                burn_report.format_time(event["after_s"]),
                burn_report.format_time(event["before_s"]),
                event["kind"],
                event["name"],
                event["what"] + (" *" if event["buffer"] else ""),
            ]
            for event in document["events"]
        ),
    )
    hosts_with_gaps = [
        host for host in document["hosts"] if host["missing"] > 0
    ]
    if hosts_with_gaps:
        print("\nmissing counts")
        tables.print_table(
            ["entry host", "missing"],
            ([h["host"], f"{h['missing']:.0%}"] for h in hosts_with_gaps),
        )
