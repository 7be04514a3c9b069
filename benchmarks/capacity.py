"""Measures the slopes of docs/CAPACITY.md and extends them to the design size.

`python -m benchmarks.capacity [NAME]` runs all groups or the one named.
"""

from collections import abc
import sys

from benchmarks import figures
from benchmarks.slopes import burn
from benchmarks.slopes import dispatch
from benchmarks.slopes import line
from benchmarks.slopes import maintenance
from benchmarks.slopes import memory
from benchmarks.slopes import platform
from benchmarks.slopes import streams
from benchmarks.slopes import upstreams

GROUPS: dict[str, abc.Callable[[], abc.Iterator[line.Slope]]] = {
    "fold": platform.measure_fold,
    "snapshots": platform.measure_snapshots,
    "index": platform.measure_index,
    "spread": platform.measure_spread,
    "maintenance": platform.measure_maintenance,
    "look": maintenance.measure_look,
    "burn": burn.measure_burn,
    "appends": platform.measure_appends,
    "heartbeats": streams.measure_heartbeats,
    "requests": streams.measure_requests,
    "hand-over": streams.measure_hand_over,
    "dispatcher": dispatch.measure_dispatcher,
    "memory": memory.measure_memory,
    "transfers": dispatch.measure_transfers,
    "urgent": dispatch.measure_urgent,
    "worker": upstreams.measure_worker,
    "renewals": upstreams.measure_renewals,
}

# Counts and virtual times, which a busy machine doesn't change.
_BOUND_GROUPS = ("worker", "hand-over", "maintenance", "appends", "urgent")


def measure() -> abc.Iterator[figures.BenchmarkResult]:
    """Yields the figures at the design size that a shared machine allows."""
    for name in _BOUND_GROUPS:
        for slope in GROUPS[name]():
            yield figures.BenchmarkResult(
                slope.name[:48],
                line.design_value(slope),
                format_target(slope),
                line.reaches_target(slope) is not False,
            )


def format_target(slope: line.Slope) -> str:
    """Returns the target as a bound, or a dash."""
    if slope.target is None:
        return "-"
    return f"{'>=' if slope.at_least else '<='} {slope.target:.4g}"


def format_slope(slope: line.Slope) -> str:
    """Returns the measured points, the line and the value at design size."""
    gradient, intercept = line.fit_line(slope.points)
    points = ", ".join(f"{x:g}: {y:.4g}" for x, y in slope.points)
    verdict = {None: "-", True: "reached", False: "NOT REACHED"}[
        line.reaches_target(slope)
    ]
    return (
        f"{slope.name} [{slope.unit} by {slope.axis}]\n"
        f"  measured {points}\n"
        f"  slope {gradient:.4g}, intercept {intercept:.4g}; "
        f"at {slope.design:g}: {line.design_value(slope):.4g}, "
        f"target {format_target(slope)}: {verdict}"
    )


def main() -> int:
    """Prints each slope; returns 2 if the group is unknown."""
    names = sys.argv[1:] or list(GROUPS)
    unknown = [name for name in names if name not in GROUPS]
    if unknown:
        print(f"unknown {unknown[0]!r}, allowed are {', '.join(GROUPS)}")
        return 2
    for name in names:
        for slope in GROUPS[name]():
            print(format_slope(slope), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
