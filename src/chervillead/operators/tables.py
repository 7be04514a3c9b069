"""Prints aligned tables and JSON to standard output."""

from collections import abc
import sys
import typing

import msgspec
from rich import box as box_module
from rich import console as console_module
from rich import table as table_module
from rich import text

# Wide enough for any row: a terminal wraps long lines, while rich truncates
# them.
WIDTH_CHARACTERS = 1000


def print_json(value: object) -> None:
    """Prints a value as JSON, indented by two spaces."""
    encoded = msgspec.json.format(msgspec.json.encode(value), indent=2)
    sys.stdout.write(encoded.decode() + "\n")


def print_table(
    columns: abc.Sequence[str], rows: abc.Iterable[abc.Sequence[typing.Any]]
) -> None:
    """Prints rows in aligned columns under a header."""
    sys.stdout.write(format_table(columns, rows))


def format_table(
    columns: abc.Sequence[str], rows: abc.Iterable[abc.Sequence[typing.Any]]
) -> str:
    """Returns rows in aligned columns under a header, one line each."""
    table = table_module.Table(box=box_module.SIMPLE_HEAD, pad_edge=False)
    for column in columns:
        table.add_column(text.Text(column), no_wrap=True)
    for row in rows:
        table.add_row(*(text.Text(format_cell(value)) for value in row))
    console = console_module.Console(
        width=WIDTH_CHARACTERS, color_system=None, force_terminal=False
    )
    with console.capture() as capture:
        console.print(table)
    lines = (line.rstrip() for line in capture.get().splitlines())
    return "".join(f"{line}\n" for line in lines if line)


def format_cell(value: typing.Any) -> str:
    """Returns the text of a value in a table; None and "" give a dash."""
    match value:
        case None | "":
            return "-"
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:g}"
        case dict():
            return " ".join(f"{k}={format_cell(v)}" for k, v in value.items())
        case list() | tuple():
            return ",".join(format_cell(item) for item in value) or "-"
        case _:
            return str(value)
