"""Runs all benchmarks; exits with 1 if a bound is broken."""

from collections import abc
import sys

from benchmarks import black_hole
from benchmarks import configuration_spread
from benchmarks import deployments
from benchmarks import dispatcher
from benchmarks import escrow
from benchmarks import fairness
from benchmarks import figures
from benchmarks import fold
from benchmarks import pooling
from benchmarks import request_path

BENCHMARKS: tuple[
    abc.Callable[[], abc.Iterator[figures.BenchmarkResult]], ...
] = (
    fold.measure,
    configuration_spread.measure,
    dispatcher.measure,
    black_hole.measure,
    request_path.measure,
    deployments.measure,
    pooling.measure,
    fairness.measure,
    escrow.measure,
)


def main() -> int:
    """Prints a line for each figure and returns the exit status."""
    broken = 0
    for benchmark in BENCHMARKS:
        for figure in benchmark():
            verdict = "ok" if figure.holds else "BROKEN"
            print(
                f"{figure.name:48} {figure.value:10.3f} "
                f"{figure.bound:>12} {verdict}"
            )
            broken += not figure.holds
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
