"""Builds the burn report of error budgets as a document."""

from collections import abc
import datetime
import typing

from chervillead import burn_rates
from chervillead.fleet import configuration as configuration_module
from chervillead.operators import history as history_module

# Pairs of a short and a long window: the long one shows that a burn rate is
# significant, the short one that it is still going on.
DEFAULT_PAIRS = ((300, 3600), (3600, 21600))
# Lag of the slowest host, in periods, beyond which its counts are missing.
MAX_LAG_PERIODS = 2

WindowPair = tuple[int, int]


class WindowRow(typing.TypedDict):
    """Burn rate of one window; `burn` is null without requests."""

    length_s: int
    requests: int
    good: int
    burn: float | None
    missing: float
    state: str


class BurnRow(typing.TypedDict):
    """One queue and team; unknown values are null."""

    queue: str
    team: str
    target_part: float
    target_s: float
    met: str
    budget_left: float | None
    p50_ms: int | None
    p99_ms: int | None
    windows: list[WindowRow]


class EventRow(typing.TypedDict):
    """A configuration change within the longest window.

    `buffer` says whether it takes a host from a spare pool.
    """

    kind: str
    name: str
    what: str
    buffer: bool
    after_s: int | None
    before_s: int | None


class HostRow(typing.TypedDict):
    """Fraction of the longest window without counts of a host."""

    host: str
    missing: float


class BurnDocument(typing.TypedDict):
    """The burn report; its times are null while the log has no counts."""

    as_of_s: int | None
    oldest_s: int | None
    period_s: int
    pairs: list[WindowPair]
    rows: list[BurnRow]
    hosts: list[HostRow]
    events: list[EventRow]


def build_report(
    history: history_module.History,
    pairs: abc.Sequence[WindowPair] = DEFAULT_PAIRS,
) -> BurnDocument:
    """Returns the burn report.

    Args:
        history: Counts and events from the log.
        pairs: Short and long windows, in seconds.
    """
    periods = history.periods
    seats = history.configuration.seats.values()
    seat_hosts = {seat.host for seat in seats}
    period_s = max((p.until_s - p.from_s for p in periods), default=0)
    as_of_s = _as_of_s(periods, seat_hosts, period_s)
    spans = burn_rates.expected_spans(
        periods, seat_hosts, as_of_s=as_of_s, period_s=period_s
    )
    for host in seat_hosts - set(spans):
        spans[host] = (burn_rates.Span(as_of_s - period_s, as_of_s),)
    lengths = sorted({length for pair in pairs for length in pair})
    from_s = as_of_s - lengths[-1]
    return BurnDocument(
        as_of_s=as_of_s if periods else None,
        oldest_s=min((p.from_s for p in periods), default=None),
        period_s=period_s,
        pairs=list(pairs),
        rows=[
            _row(history, spans, queue, team, as_of_s, lengths)
            for queue, team in _queues_and_teams(history)
        ],
        hosts=[
            HostRow(
                host=host,
                missing=burn_rates.missing_fraction(
                    [period for period in periods if period.host == host],
                    {host: host_spans},
                    from_s=max(from_s, host_spans[0].from_s),
                    until_s=as_of_s,
                ),
            )
            for host, host_spans in sorted(spans.items())
            if host_spans[0].from_s < as_of_s
        ],
        events=[
            EventRow(
                kind=event.kind,
                name=event.name,
                what=event.description,
                buffer=event.from_spare_pool,
                after_s=event.after_s,
                before_s=event.before_s,
            )
            for event in history.events
            if event.before_s is None or event.before_s >= from_s
        ],
    )


def _as_of_s(
    periods: abc.Sequence[burn_rates.CountedPeriod],
    seat_hosts: abc.Container[str],
    period_s: int,
) -> int:
    """Returns the time up to which all hosts have reported.

    A host that lags by more than `MAX_LAG_PERIODS` doesn't hold the report
    back; its counts are then missing.
    """
    latest: dict[str, int] = {}
    for period in periods:
        latest[period.host] = max(latest.get(period.host, 0), period.until_s)
    if not latest:
        return 0
    last_s = max(latest.values())
    slowest_s = min(
        (until_s for host, until_s in latest.items() if host in seat_hosts),
        default=last_s,
    )
    return max(slowest_s, last_s - MAX_LAG_PERIODS * period_s)


def _queues_and_teams(
    history: history_module.History,
) -> list[tuple[str, str]]:
    return sorted(
        {
            (count.queue, count.team)
            for period in history.periods
            for count in period.counts
        }
    )


def _row(
    history: history_module.History,
    spans: abc.Mapping[str, abc.Sequence[burn_rates.Span]],
    queue: str,
    team: str,
    as_of_s: int,
    lengths: abc.Sequence[int],
) -> BurnRow:
    # A queue that has since been removed is measured by the default target.
    entry = history.configuration.queues.get(
        queue, configuration_module.Queue("")
    )
    target = burn_rates.Target(entry.target_part, entry.target_s)
    windows = [
        burn_rates.compute_window(
            history.periods,
            queue,
            team,
            target,
            spans,
            as_of_s=as_of_s,
            length_s=length,
        )
        for length in lengths
    ]
    longest = windows[-1]
    recent = [
        period
        for period in history.periods
        if period.until_s > as_of_s - longest.length_s
    ]
    times = burn_rates.merge_histograms(recent, queue, team)
    known = times.get_total_count() > 0
    return BurnRow(
        queue=queue,
        team=team,
        target_part=target.fraction,
        target_s=target.within_s,
        met={"good": "yes", "burning": "no"}.get(longest.state, "unknown"),
        budget_left=burn_rates.budget_left(longest),
        p50_ms=int(times.get_value_at_percentile(50)) if known else None,
        p99_ms=int(times.get_value_at_percentile(99)) if known else None,
        windows=[
            WindowRow(
                length_s=window.length_s,
                requests=window.requests,
                good=window.good,
                burn=window.burn,
                missing=window.missing,
                state=window.state,
            )
            for window in windows
        ],
    )


def format_window(window: WindowRow) -> str:
    """Returns the burn rate and state of a window as text.

    Missing data replace the state, unless the window is burning.
    """
    burn_text = "" if window["burn"] is None else f"{window['burn']:.2f}"
    if window["missing"] > 0:
        missing_text = f"{window['missing']:.0%} missing"
        burning = (
            f"{burn_text} burning, " if window["state"] == "burning" else ""
        )
        return f"{burning}{missing_text}"
    return f"{burn_text} {window['state']}".strip()


def format_time(seconds: int | None) -> str:
    """Returns a time in UTC, or a dash for None.

    Args:
        seconds: Time in seconds since the epoch.
    """
    if seconds is None:
        return "-"
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")
