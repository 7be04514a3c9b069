"""A straight line through measured sizes, and its value at the design size."""

from collections import abc
import time
import tracemalloc
import typing

DAY_S = 86_400
CHANGES_A_DAY = 18_000
HOSTS = 16_000
ZONES = 9
POOLS = 36
TEAMS = 74
MAX_CORE_PERCENT = 1.3
MAX_MEMORY_MB = 256.0
MAX_KB_PER_S = 6.0


class Slope(typing.NamedTuple):
    """Figures of one cost at three sizes or more.

    Attributes:
        name: What was measured.
        axis: What the sizes count.
        unit: Unit of the figures.
        points: Sizes and figures.
        design: Size to which the line is extended.
        target: Highest figure allowed at that size; None if none is stated.
        at_least: Whether the target is the lowest figure instead.
    """

    name: str
    axis: str
    unit: str
    points: tuple[tuple[float, float], ...]
    design: float
    target: float | None = None
    at_least: bool = False


def measure_points(
    sizes: abc.Iterable[float], figure: abc.Callable[[int], float]
) -> tuple[tuple[float, float], ...]:
    """Returns the figure of each size."""
    return tuple((size, figure(int(size))) for size in sizes)


def fit_line(points: abc.Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Returns slope and intercept of the least-squares line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return slope, mean_y - slope * mean_x


def design_value(slope: Slope) -> float:
    """Returns the measured figure at the design size, or the line's there."""
    measured = dict(slope.points)
    if slope.design in measured:
        return measured[slope.design]
    gradient, intercept = fit_line(slope.points)
    return gradient * slope.design + intercept


def reaches_target(slope: Slope) -> bool | None:
    """Returns whether the target is reached; None if there is no target."""
    if slope.target is None:
        return None
    value = design_value(slope)
    if slope.at_least:
        return value >= slope.target
    return value <= slope.target


def processor_s(
    operation: abc.Callable[[], object], calls: int, repeats: int = 3
) -> float:
    """Returns the processor seconds of one call, the least of some repeats."""
    best = float("inf")
    for _ in range(repeats):
        start_s = time.process_time()
        for _ in range(calls):
            operation()
        best = min(best, (time.process_time() - start_s) / calls)
    return best


def memory_mb(build: abc.Callable[[], object]) -> float:
    """Returns the megabytes that the result of `build` keeps."""
    tracemalloc.start()
    kept = build()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return used / 1e6
