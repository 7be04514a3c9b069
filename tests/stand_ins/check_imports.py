"""Checks that modules are imported, not names, as the style guide asks."""

import ast
from collections import abc
import importlib.util
import pathlib
import sys


def imported_names(path: pathlib.Path) -> abc.Iterator[str]:
    """Yields the places in `path` where a name is imported from a module."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or node.module is None:
            continue
        for alias in node.names:
            if not _is_module(f"{node.module}.{alias.name}"):
                yield f"{path}:{node.lineno}: {node.module}.{alias.name}"


def _is_module(name: str) -> bool:
    try:
        return importlib.util.find_spec(name) is not None
    except ModuleNotFoundError:
        return False


def main(folders: list[str]) -> int:
    """Prints every finding and returns the exit status."""
    findings = [
        finding
        for folder in folders
        for path in sorted(pathlib.Path(folder).rglob("*.py"))
        for finding in imported_names(path)
    ]
    for finding in findings:
        print(f"{finding}: import the module instead of the name")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
