"""Burn rates of error budgets from request counts and mergeable histograms.

All functions are pure: they read no clock, log or connection. The input is the
counted periods of the entry hosts. A counted period is identified by its host
and times, so one that is read twice counts once, and gaps between the periods
of a host are detected as missing data.
"""

from collections import abc
import typing

from hdrh import histogram

# Range and precision of histograms: two significant digits up to the longest
# request deadline take 14 KB each.
MIN_DURATION_MS = 1
MAX_DURATION_MS = 600_000
SIGNIFICANT_DIGITS = 2


class Count(typing.NamedTuple):
    """Finished requests of one queue and team in one time bucket.

    Attributes:
        start_s: Start of the bucket, in seconds since the epoch.
        queue: Name of the queue.
        team: Name of the team; empty for requests without a key.
        in_time: Requests answered within the queue's target at that time.
        late: Requests answered later than the target.
        failed: Requests without an answer or with a server error.
    """

    start_s: int
    queue: str
    team: str
    in_time: int
    late: int
    failed: int


class DurationHistogram(typing.NamedTuple):
    """Encoded histogram of the durations in ms of one queue and team."""

    queue: str
    team: str
    encoded: bytes


class CountedPeriod(typing.NamedTuple):
    """Counts and durations of the requests of one entry host in one period.

    The field names are stored in the burn records of the log.

    Attributes:
        host: Entry host.
        zone: Zone of the entry host.
        from_s: Start of the period, in seconds since the epoch.
        until_s: End of the period (exclusive), in seconds since the epoch.
        is_last: Whether the host shut down in a planned way at its end.
        counts: Counts by bucket, queue and team.
        times: Histograms by queue and team.
    """

    host: str
    zone: str
    from_s: int
    until_s: int
    is_last: bool
    counts: tuple[Count, ...]
    times: tuple[DurationHistogram, ...]


class Span(typing.NamedTuple):
    """A time range, in s since the epoch, that a host is expected to cover."""

    from_s: int
    until_s: int


class Target(typing.NamedTuple):
    """Service-level objective: fraction of requests answered in time."""

    fraction: float
    within_s: float


class Window(typing.NamedTuple):
    """Burn rate of one queue and team over one time window.

    Attributes:
        length_s: Length of the window, in seconds.
        requests: Number of finished requests.
        good: Number of requests answered in time.
        burn: Burn rate of the error budget; 1 uses exactly what the target
            allows. None without requests.
        missing: Fraction of the hosts' expected time without counts.
    """

    length_s: int
    requests: int
    good: int
    burn: float | None
    missing: float

    @property
    def state(self) -> str:
        """One of burning, missing, idle, good.

        A window with missing data is never good or idle. It is still burning
        if the known data show a burn rate above 1.
        """
        if self.burn is not None and self.burn > 1:
            return "burning"
        if self.missing > 0:
            return "missing"
        return "idle" if self.burn is None else "good"


def new_histogram() -> histogram.HdrHistogram:
    """Returns an empty histogram of durations in milliseconds."""
    return histogram.HdrHistogram(
        MIN_DURATION_MS, MAX_DURATION_MS, SIGNIFICANT_DIGITS
    )


def merge_histograms(
    periods: abc.Iterable[CountedPeriod], queue: str, team: str
) -> histogram.HdrHistogram:
    """Returns the merged duration histogram of a queue and team."""
    merged = new_histogram()
    for period in deduplicate(periods):
        for times in period.times:
            if (times.queue, times.team) == (queue, team):
                merged.decode_and_add(times.encoded)
    return merged


def deduplicate(
    periods: abc.Iterable[CountedPeriod],
) -> abc.Iterator[CountedPeriod]:
    """Yields each counted period once, identified by its host and times."""
    seen: set[tuple[str, int, int]] = set()
    for period in periods:
        key = period.host, period.from_s, period.until_s
        if key not in seen:
            seen.add(key)
            yield period


def expected_spans(
    periods: abc.Iterable[CountedPeriod],
    seat_hosts: abc.Container[str],
    *,
    as_of_s: int,
    period_s: int,
) -> dict[str, tuple[Span, ...]]:
    """Returns the time ranges for which each host is expected to have counts.

    A host is expected until a planned shutdown and again from its restart. A
    host that holds a seat is expected until `as_of_s`. A host that disappeared
    without a last period is expected for one more period, since it lost up to
    one period of counts.

    Args:
        periods: All known periods.
        seat_hosts: Hosts that hold a seat.
        as_of_s: End of the report, in seconds since the epoch.
        period_s: Length of a period, in seconds.

    Returns:
        The expected ranges by host, in order of time.
    """
    by_host: dict[str, list[CountedPeriod]] = {}
    for period in sorted(periods, key=lambda period: period.from_s):
        by_host.setdefault(period.host, []).append(period)
    return {
        host: tuple(
            Span(start_s, min(end_s, as_of_s))
            for start_s, end_s in _spans(
                host_periods, as_of_s if host in seat_hosts else None, period_s
            )
        )
        for host, host_periods in by_host.items()
    }


def _spans(
    periods: abc.Sequence[CountedPeriod],
    held_until_s: int | None,
    period_s: int,
) -> abc.Iterator[Span]:
    """Yields the expected ranges of one host from its sorted periods."""
    start_s: int | None = None
    for period in periods:
        if start_s is None:
            start_s = period.from_s
        if period.is_last:
            yield Span(start_s, period.until_s)
            start_s = None
    if start_s is not None:
        lost_s = periods[-1].until_s + period_s
        yield Span(start_s, lost_s if held_until_s is None else held_until_s)


def missing_fraction(
    periods: abc.Sequence[CountedPeriod],
    spans: abc.Mapping[str, abc.Sequence[Span]],
    *,
    from_s: int,
    until_s: int,
) -> float:
    """Returns the fraction of a window's time for which counts are missing.

    The time before the first period of any host counts as missing, since
    nothing is known about it.
    """
    if not spans:
        return 1.0
    covered = expected = 0
    for host, host_spans in spans.items():
        expected += sum(_overlap(*span, from_s, until_s) for span in host_spans)
        covered += sum(
            _overlap(period.from_s, period.until_s, from_s, until_s)
            for period in periods
            if period.host == host
        )
    known = _fraction_after_first_span(spans, from_s, until_s)
    return 1.0 - known * (min(1.0, covered / expected) if expected else 0.0)


def compute_window(
    periods: abc.Sequence[CountedPeriod],
    queue: str,
    team: str,
    target: Target,
    spans: abc.Mapping[str, abc.Sequence[Span]],
    *,
    as_of_s: int,
    length_s: int,
) -> Window:
    """Returns the burn rate of a queue and team in the window to `as_of_s`."""
    from_s = as_of_s - length_s
    once = list(deduplicate(periods))
    good = requests = 0
    for count in _counts(once, queue, team, from_s, as_of_s):
        good += count.in_time
        requests += count.in_time + count.late + count.failed
    return Window(
        length_s,
        requests,
        good,
        burn_rate(requests, good, target.fraction),
        missing_fraction(once, spans, from_s=from_s, until_s=as_of_s),
    )


def burn_rate(requests: int, good: int, target_part: float) -> float | None:
    """Returns the fraction of bad requests over the allowed fraction.

    This is the burn rate of the Google SRE Workbook, "Alerting on SLOs". It is
    None without requests. A target of 1 allows no bad request, so a single one
    gives an infinite rate.
    """
    if not requests:
        return None
    bad = (requests - good) / requests
    allowed = 1.0 - target_part
    if allowed <= 0:
        return float("inf") if bad else 0.0
    return bad / allowed


def budget_left(window: Window) -> float | None:
    """Returns the remaining fraction of a window's error budget.

    It is negative when more was used than the target allows, and None when
    counts are missing or there were no requests.
    """
    if window.burn is None or window.missing > 0:
        return None
    return 1.0 - window.burn


def _counts(
    periods: abc.Iterable[CountedPeriod],
    queue: str,
    team: str,
    from_s: int,
    until_s: int,
) -> abc.Iterator[Count]:
    for period in periods:
        for count in period.counts:
            if (count.queue, count.team) == (queue, team) and (
                from_s <= count.start_s < until_s
            ):
                yield count


def _overlap(start_s: int, end_s: int, from_s: int, until_s: int) -> int:
    return max(0, min(end_s, until_s) - max(start_s, from_s))


def _fraction_after_first_span(
    spans: abc.Mapping[str, abc.Sequence[Span]], from_s: int, until_s: int
) -> float:
    """Returns the fraction of a window after the first span's start."""
    first_s = min(
        span.from_s for host_spans in spans.values() for span in host_spans
    )
    return _overlap(first_s, until_s, from_s, until_s) / (until_s - from_s)
