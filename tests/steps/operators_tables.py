"""Steps of tests/operators/tables.feature."""

import behave

from chervillead.operators import tables


@behave.when("a table has a long name, brackets, None, a flag and a list")
def step(context):
    context.rows = [
        ("n" * 300, "[red]x[/red]", None, True, ["a", "b"]),
        ("short", ":smile:", 0.5, False, []),
    ]
    context.text_table = tables.format_table(
        ("name", "text", "number", "flag", "list"), context.rows
    )


@behave.then("no value is cut or read as markup and each column is aligned")
def step(context):
    header, _, first, second = context.text_table.splitlines()
    assert first.split() == ["n" * 300, "[red]x[/red]", "-", "yes", "a,b"]
    assert second.split() == ["short", ":smile:", "0.5", "no", "-"], second
    for name, value, line in (
        ("text", "[red]", first),
        ("text", ":smile:", second),
        ("number", "0.5", second),
        ("list", "a,b", first),
    ):
        assert header.index(name) == line.index(value), context.text_table
