"""The report on service-level burn, as a document for people and programs."""

from collections import abc
import datetime
import typing

from chervillead import burn_rates
from chervillead.fleet import configuration as configuration_module
from chervillead.operators import history as history_module

# A short and a long window: the long one shows that a burn matters, the short
# one that it still goes on.
DEFAULT_PAIRS = ((300, 3600), (3600, 21600))
# How far the report waits for the slowest host before it counts as missing.
MAX_LAG_PERIODS = 2

WindowPair = tuple[int, int]


class WindowRow(typing.TypedDict):
    """One window; burn is null without requests."""

    length_s: int
    requests: int
    good: int
    burn: float | None
    missing: float
    state: str


class BurnRow(typing.TypedDict):
    """One queue and team; what isn't known is null."""

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
    """A change that fell into the longest window."""

    kind: str
    name: str
    what: str
    buffer: bool
    after_s: int | None
    before_s: int | None


class HostRow(typing.TypedDict):
    """Part of the longest window for which a host's counts are missing."""

    host: str
    missing: float


class BurnDocument(typing.TypedDict):
    """The whole report."""

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
    """Returns the report on what the log holds."""
    parts = history.periods
    seats = history.configuration.seats.values()
    present = {seat.host for seat in seats}
    period_s = max((p.until_s - p.from_s for p in parts), default=0)
    as_of_s = _as_of_s(parts, present, period_s)
    spans = burn_rates.expected_spans(
        parts, present, as_of_s=as_of_s, period_s=period_s
    )
    for host in present - set(spans):
        spans[host] = (burn_rates.Span(as_of_s - period_s, as_of_s),)
    lengths = sorted({length for pair in pairs for length in pair})
    from_s = as_of_s - lengths[-1]
    return BurnDocument(
        as_of_s=as_of_s if parts else None,
        oldest_s=min((p.from_s for p in parts), default=None),
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
                    [part for part in parts if part.host == host],
                    {host: own},
                    from_s=max(from_s, own[0].from_s),
                    until_s=as_of_s,
                ),
            )
            for host, own in sorted(spans.items())
            if own[0].from_s < as_of_s
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
    parts: abc.Sequence[burn_rates.CountedPeriod],
    present: abc.Container[str],
    period_s: int,
) -> int:
    """Returns the time to which all hosts have reported.

    A host that lags by more than some periods isn't waited for: what it lacks
    is then missing.
    """
    newest: dict[str, int] = {}
    for part in parts:
        newest[part.host] = max(newest.get(part.host, 0), part.until_s)
    if not newest:
        return 0
    last_s = max(newest.values())
    slowest_s = min(
        (until_s for host, until_s in newest.items() if host in present),
        default=last_s,
    )
    return max(slowest_s, last_s - MAX_LAG_PERIODS * period_s)


def _queues_and_teams(
    history: history_module.History,
) -> list[tuple[str, str]]:
    return sorted(
        {
            (count.queue, count.team)
            for part in history.periods
            for count in part.counts
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
    # A queue that was removed meanwhile is held to the default target.
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
        part
        for part in history.periods
        if part.until_s > as_of_s - longest.length_s
    ]
    times = burn_rates.merge_histograms(recent, queue, team)
    known = times.get_total_count() > 0
    return BurnRow(
        queue=queue,
        team=team,
        target_part=target.part,
        target_s=target.within_s,
        met={"good": "yes", "burning": "no"}.get(longest.state, "unknown"),
        budget_left=burn_rates.budget_left(longest),
        p50_ms=int(times.get_value_at_percentile(50)) if known else None,
        p99_ms=int(times.get_value_at_percentile(99)) if known else None,
        windows=[
            WindowRow(
                length_s=found.length_s,
                requests=found.requests,
                good=found.good,
                burn=found.burn,
                missing=found.missing,
                state=found.state,
            )
            for found in windows
        ],
    )


def format_window(window: WindowRow) -> str:
    """Returns the burn of a window in words, what is missing first."""
    burn_text = "" if window["burn"] is None else f"{window['burn']:.2f}"
    if window["missing"] > 0:
        lacks = f"{window['missing']:.0%} missing"
        burning = (
            f"{burn_text} burning, " if window["state"] == "burning" else ""
        )
        return f"{burning}{lacks}"
    return f"{burn_text} {window['state']}".strip()


def format_time(seconds: int | None) -> str:
    """Returns a time in UTC; a dash stands for none."""
    if seconds is None:
        return "-"
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")
