"""Steps of tests/burn_rates.feature."""

import random

import behave

from chervillead import burn_rates

TARGET = burn_rates.Target(0.99, 1.0)


def counted_period(
    host, from_s, *, in_time=99, late=1, failed=0, last=False, times=()
):
    count = burn_rates.Count(from_s, "q", "t", in_time, late, failed)
    return burn_rates.CountedPeriod(
        host, "a", from_s, from_s + 300, last, (count,), tuple(times)
    )


def report(
    context, periods, *, seat_hosts=("e1", "e2"), until_s=300, length_s=300
):
    spans = burn_rates.expected_spans(
        periods, seat_hosts, as_of_s=until_s, period_s=300
    )
    context.window = burn_rates.compute_window(
        periods, "q", "t", TARGET, spans, as_of_s=until_s, length_s=length_s
    )


@behave.when(
    "two hosts report 99 in time and 1 late each, one period of them twice"
)
def step(context):
    report(
        context,
        [
            counted_period("e1", 0),
            counted_period("e2", 0),
            counted_period("e1", 0),
        ],
    )


@behave.then("the burn rate for 0.99 is 1 over 200 requests with none missing")
def step(context):
    found = context.window
    assert (found.requests, found.good, found.missing) == (200, 198, 0), found
    assert abs(found.burn - 1) < 1e-9, found


@behave.when("one of two hosts has no counts for half of the window")
def step(context):
    periods = [
        counted_period("e1", 0),
        counted_period("e2", 0),
        counted_period("e1", 300),
    ]
    good = [p._replace(counts=()) for p in periods]
    report(context, good, until_s=600, length_s=600)


@behave.then("a quarter of the window is missing and its state is missing")
def step(context):
    assert context.window.missing == 0.25, context.window
    assert context.window.state == "missing", context.window
    assert burn_rates.budget_left(context.window) is None


@behave.when("a killed host and a stopped host no longer hold seats")
def step(context):
    periods = [
        counted_period("killed", 0),
        counted_period("stopped", 0, last=True),
        counted_period("back", 0, last=True),
        counted_period("back", 600),
        counted_period("back", 900),
        *(counted_period("e1", start_s) for start_s in (0, 300, 600, 900)),
    ]
    context.spans = burn_rates.expected_spans(
        periods, ("e1", "back"), as_of_s=1200, period_s=300
    )


@behave.then(
    "one period of the killed host is missing and none of the stopped one"
)
def step(context):
    assert context.spans == {
        "killed": ((0, 600),),
        "stopped": ((0, 300),),
        "back": ((0, 300), (600, 1200)),
        "e1": ((0, 1200),),
    }, context.spans


@behave.when("the window starts before the first counted period")
def step(context):
    perfect = counted_period("e1", 900, late=0)
    report(context, [perfect], seat_hosts=("e1",), until_s=1200, length_s=1200)


@behave.then(
    "the time before the first period is missing and no budget is reported"
)
def step(context):
    assert context.window.missing == 0.75, context.window
    assert context.window.state == "missing", context.window
    assert burn_rates.budget_left(context.window) is None


@behave.when("there are no counted periods")
def step(context):
    report(context, [])


@behave.then("the whole window is missing")
def step(context):
    found = context.window
    assert (found.missing, found.state) == (1.0, "missing"), found


@behave.when("half of the requests failed and a period is missing")
def step(context):
    periods = [counted_period("e1", 0, in_time=50, late=0, failed=50)]
    report(context, periods, seat_hosts=("e1",), until_s=600, length_s=600)


@behave.then("the window is burning")
def step(context):
    found = context.window
    assert (found.state, found.missing) == ("burning", 0.5), found


@behave.when("the duration histograms of three hosts are merged")
def step(context):
    draw = random.Random(context.seed)
    context.all_ms = []
    periods = []
    for index in range(3):
        histogram = burn_rates.new_histogram()
        for _ in range(2000):
            ms = int(draw.expovariate(1 / (50 * 4**index))) + 1
            context.all_ms.append(ms)
            histogram.record_value(ms)
        times = burn_rates.DurationHistogram("q", "t", histogram.encode())
        periods.append(counted_period(f"e{index}", 0, times=[times]))
    context.merged = burn_rates.merge_histograms(periods, "q", "t")


@behave.then("the percentiles equal those of all durations within 1 %")
def step(context):
    ordered = sorted(context.all_ms)
    assert context.merged.get_total_count() == len(ordered)
    for percentile in (50, 90, 99):
        exact = ordered[int(len(ordered) * percentile / 100) - 1]
        found = context.merged.get_value_at_percentile(percentile)
        assert abs(found - exact) <= max(1, exact * 0.01), (
            percentile,
            exact,
            found,
        )
