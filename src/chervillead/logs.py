"""Structured logs: eliot messages as JSON lines on standard error."""

import sys
import typing

import eliot


def write_logs_to(stream: typing.TextIO = sys.stderr) -> None:
    """Writes all log messages of the process to `stream`."""
    eliot.to_file(stream)
