"""Draws the plots of the burn report as SVG."""

from collections import abc
import io
import typing

import matplotlib
from matplotlib import axes as axes_module
from matplotlib import dates
from matplotlib import figure

from chervillead import burn_rates
from chervillead.fleet import records
from chervillead.operators import history as history_module

# Fits the screen of a phone without scaling the text down.
FIGURE_SIZE_INCHES = (4.2, 2.5)
BAR_COUNT = 60
COLOURS = {"in_time": "#4477aa", "late": "#ddaa33", "failed": "#bb5566"}
SECONDS_PER_DAY = 86400


def plot_queue(
    queue: str, history: history_module.History, as_of_s: int, length_s: int
) -> str:
    """Returns an SVG of a queue's requests with zone events and missing data.

    Args:
        queue: Name of the queue to plot.
        history: Counts and events, with at least one counted period.
        as_of_s: End of the plot, in seconds since the epoch.
        length_s: Length of the plot, in seconds.
    """
    bar_s = max(1, length_s // BAR_COUNT)
    starts = range(as_of_s - length_s, as_of_s, bar_s)
    # Keeps text as text, and makes element ids unique on a page of several
    # plots.
    options: typing.Any = {
        "svg.fonttype": "none",
        "svg.hashsalt": queue,
        "font.size": 8,
    }
    with matplotlib.rc_context(options):
        drawing = figure.Figure(
            figsize=FIGURE_SIZE_INCHES, layout="constrained"
        )
        axes = drawing.add_subplot()
        _draw_bars(axes, queue, history.periods, starts)
        _draw_gap(axes, history.periods, starts.start)
        _draw_zone_events(axes, history.events, starts)
        _label_axes(axes, queue, starts)
        output = io.BytesIO()
        drawing.savefig(
            output, format="svg", metadata={"Date": None, "Creator": None}
        )
    text = output.getvalue().decode()
    return text[text.index("<svg") :]


def _draw_bars(
    axes: axes_module.Axes,
    queue: str,
    periods: abc.Sequence[burn_rates.CountedPeriod],
    starts: range,
) -> None:
    days = [_to_days(start_s) for start_s in starts]
    bottoms = [0.0] * len(starts)
    for name, colour in COLOURS.items():
        heights = _sum_counts(periods, queue, name, starts)
        axes.bar(
            days,
            heights,
            width=_to_days(starts.step),
            bottom=bottoms,
            align="edge",
            color=colour,
            label=name.replace("_", " "),
        )
        bottoms = [
            bottom + height
            for bottom, height in zip(bottoms, heights, strict=True)
        ]


def _draw_gap(
    axes: axes_module.Axes,
    periods: abc.Sequence[burn_rates.CountedPeriod],
    from_s: int,
) -> None:
    first_s = min(period.from_s for period in periods)
    if first_s > from_s:
        axes.axvspan(
            _to_days(from_s),
            _to_days(first_s),
            color="#dddddd",
            label="missing",
        )


def _draw_zone_events(
    axes: axes_module.Axes,
    events: abc.Iterable[history_module.Event],
    starts: range,
) -> None:
    """Marks the times at which zones went out of service or returned.

    Labels alternate between three heights, because events of one outage are
    often close to each other.
    """
    zone_events = [
        event
        for event in events
        if event.kind == records.ZONE
        and event.after_s is not None
        and event.after_s >= starts.start
    ]
    for number, event in enumerate(zone_events):
        day = _to_days(event.after_s or 0)
        axes.axvline(day, color="#222222", ls=":", lw=1)
        axes.annotate(
            f"{event.name} {event.description.removeprefix('zone ')}",
            (day, 1 - 0.1 * (number % 3)),
            xytext=(2, -1),
            xycoords=("data", "axes fraction"),
            textcoords="offset points",
            fontsize=7,
            va="top",
            bbox={"facecolor": "white", "alpha": 0.8, "lw": 0, "pad": 0.5},
        )


def _label_axes(axes: axes_module.Axes, queue: str, starts: range) -> None:
    axes.set_xlim(_to_days(starts.start), _to_days(starts.stop))
    axes.set_ylim(0, max(1.0, axes.get_ylim()[1] * 1.5))
    axes.set_title(queue, loc="left", fontsize=9)
    axes.set_ylabel(f"requests in {starts.step} s")
    locator = dates.AutoDateLocator(maxticks=6)  # type: ignore[no-untyped-call]
    axes.xaxis.set_major_locator(locator)
    axes.xaxis.set_major_formatter(
        dates.ConciseDateFormatter(locator)  # type: ignore[no-untyped-call]
    )
    axes.legend(
        fontsize=7,
        ncols=4,
        frameon=False,
        loc="upper center",
        bbox_to_anchor=(0.5, -0.2),
    )


def _sum_counts(
    periods: abc.Iterable[burn_rates.CountedPeriod],
    queue: str,
    name: str,
    starts: range,
) -> list[float]:
    """Returns the sums of one count (a field of `Count`) for each bar."""
    sums = [0.0] * len(starts)
    for period in burn_rates.deduplicate(periods):
        for count in period.counts:
            index = (count.start_s - starts.start) // starts.step
            if count.queue == queue and 0 <= index < len(sums):
                sums[index] += getattr(count, name)
    return sums


def _to_days(seconds: float) -> float:
    """Converts seconds to days, the unit of dates in matplotlib."""
    return seconds / SECONDS_PER_DAY
