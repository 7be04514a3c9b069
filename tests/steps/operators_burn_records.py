"""Steps of tests/operators/burn_records.feature."""

import asyncio
import itertools

import behave
from returns import result

from chervillead import burn_rates
from chervillead import metrics
from chervillead import types
from chervillead import verdicts
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import fold
from chervillead.fleet import records
from chervillead.operators import burn_records
from stand_ins import log_fleet
from stand_ins import virtual_time

PERIOD_S = 300


def request(number, queue="q"):
    return types.Request(
        f"id-{number}", queue, "t", b"", "", types.Size(), 1e9, True
    )


def start_recorder(fleet, host, submit, reader=None):
    """Returns the burn recorder of a host whose requests go to `submit`."""
    return burn_records.start_burn_recorder(
        submit,
        host=host,
        zone="a",
        period_s=PERIOD_S,
        reader=reader or fleet.start_reader(),
        platform=fleet.client,
        metrics=metrics.connect_metrics(None),
        clock=virtual_time.clock(),
    )


def declare_queue(fleet):
    fleet.append("zone", "a", index=0)
    fleet.append("pool", "p", spare=False)
    fleet.append("queue", "q", pool="p", target_s=1.0)


def accepted_periods(fleet):
    """Returns the periods in the burn records that the fold accepts."""
    fleet.reference()
    entries = list(records.decode_entries(fleet.published))
    steps = fold.fold_records(configuration_module.EMPTY, entries)
    return [
        burn_records.decode_period(entry.record).unwrap()
        for entry, step in zip(entries, steps, strict=True)
        if entry.record.kind == records.BURN
        and step.result.outcome is fold.Outcome.ACCEPTED
    ]


def total(periods, name):
    return sum(getattr(c, name) for period in periods for c in period.counts)


@behave.when(
    "requests end in time, late, with server errors and with rejections"
)
def step(context):
    answer = types.Answer(200, "", b"")
    outcomes = [
        (0.5, result.Success(answer)),
        (1.5, result.Success(answer)),
        (9.0, result.Success(answer._replace(status=404))),
        (0.1, result.Success(answer._replace(status=500))),
        (0.0, result.Failure(verdicts.not_run("queue-full", 503))),
        (0.2, result.Failure(verdicts.may_have_run("lost", 504))),
        (0.0, result.Failure(verdicts.not_run("cancelled", 410))),
        (0.0, result.Failure(verdicts.not_run("id-in-use", 422))),
    ]

    async def main():
        fleet = log_fleet.LogFleet()
        declare_queue(fleet)
        remaining = iter(outcomes)

        async def submit(submitted, claimed):
            run_s, outcome = next(remaining)
            await asyncio.sleep(run_s)
            return outcome

        recorder = start_recorder(fleet, "e1", submit)
        await asyncio.sleep(1)
        for number, (_, outcome) in enumerate(outcomes):
            assert await recorder.submit(request(number), True) is outcome
        await recorder.finish()
        context.periods = accepted_periods(fleet)
        await fleet.stop()

    virtual_time.run_virtual(main(), context.seed)


@behave.then("1 is in time, 2 are late, 3 have failed and 2 are not counted")
def step(context):
    found = [
        total(context.periods, name) for name in ("in_time", "late", "failed")
    ]
    assert found == [1, 2, 3], context.periods
    merged = burn_rates.merge_histograms(context.periods, "q", "t")
    assert merged.get_total_count() == 3, merged.get_total_count()


@behave.when(
    "three hosts count requests while the log drops replies and is unavailable"
)
def step(context):
    async def main():
        fleet = log_fleet.LogFleet()
        declare_queue(fleet)
        context.sent = 0

        async def submit(submitted):
            return result.Success(types.Answer(200, "", b""))

        recorders = [start_recorder(fleet, f"e{n}", submit) for n in range(3)]
        tasks = [asyncio.ensure_future(c.run()) for c in recorders]
        await asyncio.sleep(1)
        for second in range(3600):
            fleet.platform.is_down = 600 <= second < 1500
            if second % 100 == 0:
                fleet.platform.replies_to_drop = 2
            for recorder in recorders:
                await recorder.submit(request(second))
                context.sent += 1
            await asyncio.sleep(1)
        for recorder, task in zip(recorders, tasks, strict=True):
            task.cancel()
            await recorder.finish()
        context.periods = accepted_periods(fleet)
        await fleet.stop()

    virtual_time.run_virtual(main(), context.seed)


@behave.then(
    "the accepted records count each request once and cover all of the time"
)
def step(context):
    periods = list(burn_rates.deduplicate(context.periods))
    assert len(periods) == len(context.periods), "a period was accepted twice"
    assert total(periods, "in_time") == context.sent, (
        total(periods, "in_time"),
        context.sent,
    )
    first_s = max(
        min(p.from_s for p in periods if p.host == f"e{n}") for n in range(3)
    )
    last_s = max(period.until_s for period in periods)
    spans = burn_rates.expected_spans(
        periods, (), as_of_s=last_s, period_s=PERIOD_S
    )
    missing = burn_rates.missing_fraction(
        periods, spans, from_s=first_s, until_s=last_s
    )
    assert missing == 0, missing


@behave.when("a host counts a request and stops before its period ends")
def step(context):
    async def main():
        fleet = log_fleet.LogFleet()
        declare_queue(fleet)

        async def submit(submitted):
            return result.Success(types.Answer(200, "", b""))

        recorder = start_recorder(fleet, "e1", submit)
        await asyncio.sleep(1)
        await recorder.submit(request(1))
        await recorder.finish()
        context.periods = accepted_periods(fleet)
        await fleet.stop()

    virtual_time.run_virtual(main(), context.seed)


@behave.then("its last record counts the request and is marked as the last")
def step(context):
    (period,) = context.periods
    assert period.is_last and total([period], "in_time") == 1, period


@behave.when("{hosts:d} hosts count for an hour with a period of 300 s")
def step(context, hosts):
    async def main():
        fleet = log_fleet.LogFleet()
        reader = fleet.start_reader()

        async def submit(submitted):
            return result.Success(types.Answer(200, "", b""))

        tasks = [
            asyncio.ensure_future(
                start_recorder(fleet, f"entry-{n}", submit, reader).run()
            )
            for n in range(hosts)
        ]
        await asyncio.sleep(3600)
        for task in tasks:
            task.cancel()
        context.periods = accepted_periods(fleet)
        await fleet.stop()

    virtual_time.run_virtual(main(), context.seed)


@behave.then("at most 27 records are appended in any period, spread over it")
def step(context):
    end_times = sorted(period.until_s for period in context.periods)
    assert 27 * 11 <= len(end_times) <= 27 * 12, len(end_times)
    for start_s in end_times:
        within = [e for e in end_times if start_s <= e < start_s + PERIOD_S]
        assert len(within) <= 27, (start_s, len(within))
    gaps = [b - a for a, b in itertools.pairwise(end_times)]
    assert max(gaps) < PERIOD_S / 4, max(gaps)
