"""Steps of tests/operators/pages.feature."""

import ast
import pathlib
import re
import shlex

import behave

from chervillead import command_line

ROOT = pathlib.Path(__file__).parents[2]
# Index of the reason or log event among the arguments, by function name.
ARGUMENT_INDEXES = {
    "not_run": 0,
    "may_have_run": 0,
    "ran": 0,
    "Refusal": 1,
    "Refused": 1,
    "_refuse": 1,
    "_refuse_temporarily": 1,
    "log_message": 0,
    "log": 0,
    "_log": 0,
    "log_run": 0,
    "Alarm": 0,
}


def named_values(trees):
    """Returns the string constants of modules by name."""
    return {
        target.id: node.value.value
        for tree in trees
        for node in tree.body
        if isinstance(node, ast.Assign)
        and isinstance(node.value, ast.Constant)
        and isinstance(node.value.value, str)
        for target in node.targets
        if isinstance(target, ast.Name)
    }


def texts_in(node, constants):
    """Yields the possible values of an argument."""
    if isinstance(node, ast.Subscript):
        # The value is looked up at run time; its key is not a reason.
        return
    for part in ast.walk(node):
        if isinstance(part, ast.Constant) and isinstance(part.value, str):
            yield part.value
        elif isinstance(part, ast.Name | ast.Attribute):
            name = part.id if isinstance(part, ast.Name) else part.attr
            if name in constants:
                yield constants[name]


@behave.when("the rejection reasons and log events are collected from the code")
def step(context):
    paths = sorted((ROOT / "src").rglob("*.py"))
    trees = [ast.parse(path.read_text()) for path in paths]
    constants = named_values(trees)
    context.found = set()
    for node in (n for tree in trees for n in ast.walk(tree)):
        if not isinstance(node, ast.Call):
            continue
        name = getattr(node.func, "attr", getattr(node.func, "id", ""))
        index = ARGUMENT_INDEXES.get(name)
        if index is not None and len(node.args) > index:
            context.found.update(texts_in(node.args[index], constants))


@behave.then("the runbook explains each of them")
def step(context):
    pages = ("RUNBOOK.md", "OPERATIONS.md")
    page = "\n".join((ROOT / "docs" / name).read_text() for name in pages)
    # Only names in the first column of a table are explained.
    cells = re.findall(r"^\| ([^|]+) \|", page, re.MULTILINE)
    named = set(re.findall(r"`([^`]+)`", " ".join(cells)))
    reasons = {t for t in context.found if re.fullmatch(r"[a-z:-]+", t)}
    assert len(reasons) >= 60, sorted(reasons)
    assert reasons <= named, sorted(reasons - named)


@behave.when("the commands of docs/OPERATORS.md are collected")
def step(context):
    page = (ROOT / "docs" / "OPERATORS.md").read_text()
    context.lines = re.findall(
        r"^ {4}\$ .*?chervillead (.*)$", page, re.MULTILINE
    )


@behave.then("the command line accepts each of them")
def step(context):
    assert len(context.lines) >= 20, context.lines
    for line in context.lines:
        words = shlex.split(line)
        if "|" in words:
            words = words[: words.index("|")]
        command_line.app.parse_args(
            words, exit_on_error=False, print_error=False
        )
