"""What a benchmark reports."""

import typing


class BenchmarkResult(typing.NamedTuple):
    """One measured figure and its bound."""

    name: str
    value: float
    bound: str
    holds: bool
