"""Counts the finished requests of one entry host and appends burn records.

Each entry host appends its own `burn` records to the log;
docs/decisions/burn-report.md gives the reasons.
"""

import asyncio
from collections import abc
import typing
import zlib

import eliot
from hdrh import histogram
import msgspec
from returns import pipeline
from returns import result

from chervillead import burn_rates
from chervillead import error_texts
from chervillead import metrics as metrics_module
from chervillead import types
from chervillead.callers import submission
from chervillead.fleet import log_client
from chervillead.fleet import log_reader
from chervillead.fleet import publisher
from chervillead.fleet import records

BUCKETS_PER_PERIOD = 5

# Records kept while the log is unavailable: one day of the usual periods.
MAX_PENDING_RECORDS = 288

# Rejections with a lower status are caused by the request itself (a withdrawn
# key, an id in use, a cancellation), so they don't use up the error budget.
FIRST_SERVER_STATUS = 500

Publish = abc.Callable[
    [records.Record], abc.Awaitable[publisher.PublishedRecord]
]
Submit = abc.Callable[
    ..., abc.Coroutine[typing.Any, typing.Any, submission.RequestOutcome]
]


class RequestCounter:
    """Counts of the current period of one entry host."""

    def __init__(
        self, *, host: str, zone: str, period_s: int, clock: types.Clock
    ) -> None:
        self._host = host
        self._zone = zone
        self._bucket_s = max(1, period_s // BUCKETS_PER_PERIOD)
        self._clock = clock
        self._from_s = int(clock.wall())
        self._counts: dict[tuple[int, str, str], list[int]] = {}
        self._histograms: dict[tuple[str, str], histogram.HdrHistogram] = {}

    def record(
        self,
        queue: str,
        team: str,
        *,
        run_s: float,
        in_time: bool,
        failed: bool,
    ) -> None:
        """Counts one finished request.

        Args:
            queue: Queue of the request.
            team: Team of the request.
            run_s: Duration of the request, in seconds.
            in_time: Whether it was answered within the queue's target.
            failed: Whether it failed; its duration is then not recorded.
        """
        # After a backward clock step, requests must not be counted into a
        # period that has already ended.
        now_s = max(self._from_s, int(self._clock.wall()))
        start_s = max(self._from_s, now_s - now_s % self._bucket_s)
        counts = self._counts.setdefault((start_s, queue, team), [0, 0, 0])
        counts[2 if failed else 0 if in_time else 1] += 1
        if failed:
            return
        duration_histogram = self._histograms.get((queue, team))
        if duration_histogram is None:
            duration_histogram = self._histograms[queue, team] = (
                burn_rates.new_histogram()
            )
        ms = round(run_s * 1000)
        duration_histogram.record_value(
            max(burn_rates.MIN_DURATION_MS, min(burn_rates.MAX_DURATION_MS, ms))
        )

    def end_period(self, *, is_last: bool = False) -> burn_rates.CountedPeriod:
        """Returns the counts of the current period and starts the next one.

        Args:
            is_last: Whether the host shuts down after this period.
        """
        until_s = max(self._from_s, int(self._clock.wall()))
        if any(start_s >= until_s for start_s, *_ in self._counts):
            until_s += 1
        period = burn_rates.CountedPeriod(
            self._host,
            self._zone,
            self._from_s,
            until_s,
            is_last,
            tuple(
                burn_rates.Count(*key, *counts)
                for key, counts in sorted(self._counts.items())
            ),
            tuple(
                burn_rates.DurationHistogram(*key, duration_histogram.encode())
                for key, duration_histogram in sorted(self._histograms.items())
            ),
        )
        self._from_s, self._counts, self._histograms = until_s, {}, {}
        return period


def count_requests(
    submit: Submit,
    counter: RequestCounter,
    reader: log_reader.LogReader,
    metrics: metrics_module.Metrics,
    clock: types.Clock,
) -> Submit:
    """Wraps `submit` so that each finished request is counted.

    Requests of unknown queues and rejections caused by the request itself are
    not counted.
    """

    async def submit_and_count(
        request: types.Request, *arguments: typing.Any
    ) -> submission.RequestOutcome:
        started_s = clock.monotonic()
        outcome = await submit(request, *arguments)
        status = _status_of(outcome)
        queue = reader.configuration.queues.get(request.queue)
        failed = status >= FIRST_SERVER_STATUS
        refused = not pipeline.is_successful(outcome)
        if queue is None or (refused and not failed):
            return outcome
        run_s = clock.monotonic() - started_s
        in_time = not failed and run_s <= queue.target_s
        counter.record(
            request.queue,
            request.team,
            run_s=run_s,
            in_time=in_time,
            failed=failed,
        )
        outcome_name = "failed" if failed else "in_time" if in_time else "late"
        name = metrics_module.metric_name("requests", request.queue)
        metrics.increment(f"{name}.{outcome_name}", 1)
        metrics.time_ms(f"{name}.time", run_s * 1000)
        return outcome

    return submit_and_count


def _status_of(outcome: submission.RequestOutcome) -> int:
    if pipeline.is_successful(outcome):
        return outcome.unwrap().status
    return outcome.failure().status


async def append_burn_records(
    counter: RequestCounter,
    pending: list[records.Record],
    publish: Publish,
    propose: abc.Callable[[burn_rates.CountedPeriod], records.Record],
    *,
    host: str,
    period_s: int,
    clock: types.Clock,
) -> None:
    """Appends a record in each period until cancelled.

    Each host appends at its own offset within the period, derived from a hash
    of its name. So burn records are spread over the period, and the time of
    other records can be inferred from the burn records around them.
    """
    offset_s = zlib.crc32(host.encode()) % period_s
    while True:
        wall_s = clock.wall()
        await asyncio.sleep(period_s - (wall_s - offset_s) % period_s)
        pending.append(propose(counter.end_period()))
        if len(pending) > MAX_PENDING_RECORDS:
            eliot.log_message("burn:dropped", record=pending[0].record_id)
            del pending[0]
        await append_pending(pending, publish)


async def append_pending(
    pending: list[records.Record], publish: Publish
) -> None:
    """Appends pending records, oldest first, until one can't be appended.

    A record with an unknown outcome is appended again under the same id, so it
    counts once whether or not the first attempt succeeded.
    """
    while pending:
        published = await publish(pending[0])
        if published.publication is not publisher.Publication.ACCEPTED:
            eliot.log_message("burn:not-appended", detail=published.detail)
            return
        del pending[0]


def propose_record(
    period: burn_rates.CountedPeriod, reader: log_reader.LogReader
) -> records.Record:
    """Returns a burn record that holds a counted period."""
    fields = msgspec.to_builtins(period._asdict(), builtin_types=(bytes,))
    subject = f"{period.zone}/{period.host}"
    return publisher.propose(reader, records.BURN, subject, fields)


def decode_period(
    record: records.Record,
) -> result.Result[burn_rates.CountedPeriod, str]:
    """Returns the counted period in a burn record, or why it is malformed."""
    ordered = [
        record.fields.get(name) for name in burn_rates.CountedPeriod._fields
    ]
    try:
        return result.Success(
            msgspec.convert(ordered, burn_rates.CountedPeriod)
        )
    except msgspec.ValidationError as error:
        detail = f"burn record {record.record_id!r}: {error}"
        return result.Failure(error_texts.shorten_text(detail))


class BurnRecorder(typing.NamedTuple):
    """Functions that count and record the requests of one entry host.

    Attributes:
        submit: Submits a request and counts it when it has finished.
        run: Appends a burn record in each period until cancelled.
        finish: Appends the last burn record within a bounded time.
    """

    submit: Submit
    run: abc.Callable[[], abc.Coroutine[typing.Any, typing.Any, None]]
    finish: abc.Callable[[], abc.Coroutine[typing.Any, typing.Any, None]]


def start_burn_recorder(
    submit: Submit,
    *,
    host: str,
    zone: str,
    period_s: int,
    reader: log_reader.LogReader,
    platform: log_client.PlatformClient,
    metrics: metrics_module.Metrics,
    clock: types.Clock,
    finish_within_s: float = 2.0,
) -> BurnRecorder:
    """Returns the functions that count and record the requests of a host.

    Args:
        submit: Submits a request.
        host: Name of the entry host.
        zone: Zone of the entry host.
        period_s: Length of a period, in seconds.
        reader: Provides the folded configuration.
        platform: Client of the log.
        metrics: Receives counters and durations of requests.
        clock: Source of time.
        finish_within_s: Time limit for appending the last record, in seconds.
    """
    counter = RequestCounter(
        host=host, zone=zone, period_s=period_s, clock=clock
    )
    pending: list[records.Record] = []

    def propose(period: burn_rates.CountedPeriod) -> records.Record:
        return propose_record(period, reader)

    async def run() -> None:
        async def publish(
            record: records.Record,
        ) -> publisher.PublishedRecord:
            return await publisher.publish(record, reader, platform, clock)

        await append_burn_records(
            counter,
            pending,
            publish,
            propose,
            host=host,
            period_s=period_s,
            clock=clock,
        )

    async def finish() -> None:
        async def publish(
            record: records.Record,
        ) -> publisher.PublishedRecord:
            return await publisher.publish(
                record, reader, platform, clock, within_s=finish_within_s
            )

        pending.append(propose(counter.end_period(is_last=True)))
        await append_pending(pending, publish)

    return BurnRecorder(
        count_requests(submit, counter, reader, metrics, clock), run, finish
    )
