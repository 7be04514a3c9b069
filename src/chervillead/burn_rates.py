"""Service-level burn from counts and mergeable histograms.

Pure functions over values: nothing here reads a clock, a log or a connection.
A part is what one entry host counted in one period. Parts are keyed by host
and time, so a part that is read twice counts once, and a stretch of time for
which a host's part is lacking is known to be missing.
"""

from collections import abc
import typing

from hdrh import histogram

# Two digits of a time in milliseconds up to the longest deadline, in 14 KB.
MIN_DURATION_MS = 1
MAX_DURATION_MS = 600_000
SIGNIFICANT_DIGITS = 2


class Count(typing.NamedTuple):
    """Finished requests of one queue and team in one bucket of time.

    Attributes:
        start_s: Start of the bucket, in seconds since the epoch.
        queue: Queue.
        team: Team.
        in_time: Answered within the queue's target at that time.
        late: Answered later.
        failed: Not answered, or answered with a server error.
    """

    start_s: int
    queue: str
    team: str
    in_time: int
    late: int
    failed: int


class DurationHistogram(typing.NamedTuple):
    """Encoded histogram of answer times in ms of one queue and team."""

    queue: str
    team: str
    encoded: bytes


class CountedPeriod(typing.NamedTuple):
    """What one entry host counted in one period.

    Attributes:
        host: Entry host.
        zone: Its zone.
        from_s: Start of the period, in seconds since the epoch.
        until_s: End of the period.
        is_last: Whether the host stopped as planned at its end.
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
    """A stretch of time for which a host should have counted."""

    from_s: int
    until_s: int


class Target(typing.NamedTuple):
    """Part of the requests to be answered within a time."""

    part: float
    within_s: float


class Window(typing.NamedTuple):
    """Burn of one queue and team over one stretch of time.

    Attributes:
        length_s: Length of the window.
        requests: Requests that count.
        good: Those answered in time.
        burn: Rate at which the error budget is used, 1 being just what the
            target allows; None without requests.
        missing: Part of the hosts' time for which no counts are known.
    """

    length_s: int
    requests: int
    good: int
    burn: float | None
    missing: float

    @property
    def state(self) -> str:
        """One of burning, missing, idle, good.

        Missing data never make a window good or idle; a burn that the known
        data show stays visible.
        """
        if self.burn is not None and self.burn > 1:
            return "burning"
        if self.missing > 0:
            return "missing"
        return "idle" if self.burn is None else "good"


def new_histogram() -> histogram.HdrHistogram:
    """Returns an empty histogram of times in milliseconds."""
    return histogram.HdrHistogram(
        MIN_DURATION_MS, MAX_DURATION_MS, SIGNIFICANT_DIGITS
    )


def merge_histograms(
    parts: abc.Iterable[CountedPeriod], queue: str, team: str
) -> histogram.HdrHistogram:
    """Returns the merged histogram of a queue and team."""
    merged = new_histogram()
    for part in deduplicate(parts):
        for times in part.times:
            if (times.queue, times.team) == (queue, team):
                merged.decode_and_add(times.encoded)
    return merged


def deduplicate(
    parts: abc.Iterable[CountedPeriod],
) -> abc.Iterator[CountedPeriod]:
    """Yields each host's part of each period once."""
    seen: set[tuple[str, int, int]] = set()
    for part in parts:
        key = part.host, part.from_s, part.until_s
        if key not in seen:
            seen.add(key)
            yield part


def expected_spans(
    parts: abc.Iterable[CountedPeriod],
    present: abc.Container[str],
    *,
    as_of_s: int,
    period_s: int,
) -> dict[str, tuple[Span, ...]]:
    """Returns from when until when each host should have counted.

    A host that stopped as planned is expected until then, and again from its
    return on. One that holds a seat is expected until now. One that is gone
    without a last part has taken up to a period of counts with it.

    Args:
        parts: All known parts.
        present: Hosts that hold a seat.
        as_of_s: End of the report.
        period_s: Time between two parts of a host.
    """
    by_host: dict[str, list[CountedPeriod]] = {}
    for part in sorted(parts, key=lambda part: part.from_s):
        by_host.setdefault(part.host, []).append(part)
    return {
        host: tuple(
            Span(start_s, min(end_s, as_of_s))
            for start_s, end_s in _spans(
                own, as_of_s if host in present else None, period_s
            )
        )
        for host, own in by_host.items()
    }


def _spans(
    parts: abc.Sequence[CountedPeriod],
    present_until_s: int | None,
    period_s: int,
) -> abc.Iterator[Span]:
    """Yields the spans of one host, whose parts are in order of time."""
    start_s: int | None = None
    for part in parts:
        if start_s is None:
            start_s = part.from_s
        if part.is_last:
            yield Span(start_s, part.until_s)
            start_s = None
    if start_s is not None:
        gone_s = parts[-1].until_s + period_s
        yield Span(
            start_s, gone_s if present_until_s is None else present_until_s
        )


def missing_fraction(
    parts: abc.Sequence[CountedPeriod],
    spans: abc.Mapping[str, abc.Sequence[Span]],
    *,
    from_s: int,
    until_s: int,
) -> float:
    """Returns the part of a window's time for which counts are missing.

    Before the first part of any host nothing is known, so that is missing too.
    """
    if not spans:
        return 1.0
    covered = expected = 0
    for host, own in spans.items():
        expected += sum(_overlap(*span, from_s, until_s) for span in own)
        covered += sum(
            _overlap(part.from_s, part.until_s, from_s, until_s)
            for part in parts
            if part.host == host
        )
    known = _fraction_after_first_span(spans, from_s, until_s)
    return 1.0 - known * (min(1.0, covered / expected) if expected else 0.0)


def compute_window(
    parts: abc.Sequence[CountedPeriod],
    queue: str,
    team: str,
    target: Target,
    spans: abc.Mapping[str, abc.Sequence[Span]],
    *,
    as_of_s: int,
    length_s: int,
) -> Window:
    """Returns the burn of a queue and team over the window before `as_of_s`."""
    from_s = as_of_s - length_s
    once = list(deduplicate(parts))
    good = requests = 0
    for count in _counts(once, queue, team, from_s, as_of_s):
        good += count.in_time
        requests += count.in_time + count.late + count.failed
    return Window(
        length_s,
        requests,
        good,
        burn_rate(requests, good, target.part),
        missing_fraction(once, spans, from_s=from_s, until_s=as_of_s),
    )


def burn_rate(requests: int, good: int, target_part: float) -> float | None:
    """Returns the bad part over the allowed bad part, None if idle.

    A target of 1 allows nothing, so a single bad request burns without end.
    """
    if not requests:
        return None
    bad = (requests - good) / requests
    allowed = 1.0 - target_part
    if allowed <= 0:
        return float("inf") if bad else 0.0
    return bad / allowed


def budget_left(found: Window) -> float | None:
    """Returns the part of a window's error budget that is left.

    It is below 0 when more was used than the target allows, and unknown when
    counts are missing.
    """
    if found.burn is None or found.missing > 0:
        return None
    return 1.0 - found.burn


def _counts(
    parts: abc.Iterable[CountedPeriod],
    queue: str,
    team: str,
    from_s: int,
    until_s: int,
) -> abc.Iterator[Count]:
    for part in parts:
        for count in part.counts:
            if (count.queue, count.team) == (queue, team) and (
                from_s <= count.start_s < until_s
            ):
                yield count


def _overlap(start_s: int, end_s: int, from_s: int, until_s: int) -> int:
    return max(0, min(end_s, until_s) - max(start_s, from_s))


def _fraction_after_first_span(
    spans: abc.Mapping[str, abc.Sequence[Span]], from_s: int, until_s: int
) -> float:
    """Returns the part of a window after the first span's start."""
    first_s = min(span.from_s for own in spans.values() for span in own)
    return _overlap(first_s, until_s, from_s, until_s) / (until_s - from_s)
