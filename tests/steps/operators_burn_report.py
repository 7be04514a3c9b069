"""Steps of tests/operators/burn_report.feature."""

import re

import behave

from chervillead import burn_rates
from chervillead import types
from chervillead.fleet import configuration as configuration_module
from chervillead.operators import burn_page
from chervillead.operators import burn_report
from chervillead.operators import history

QUEUE = "<script>q&"


def make_history(ends, silent=()):
    """Returns a history in which each host reported up to a period's number."""
    address = types.Address("127.0.0.1", 1)
    seats = {
        f"a/{number}": configuration_module.Seat("a", number, host, address)
        for number, host in enumerate((*ends, *silent))
    }
    periods = tuple(
        burn_rates.CountedPeriod(
            host,
            "a",
            300 * number,
            300 * number + 300,
            False,
            (burn_rates.Count(300 * number, QUEUE, "t", 10, 0, 0),),
            (),
        )
        for host, end in ends.items()
        for number in range(end)
    )
    state = configuration_module.EMPTY._replace(
        seats=seats, queues={QUEUE: configuration_module.Queue("p")}
    )
    return history.History(state, periods, (), 0)


def build(context, built_history):
    context.history = built_history
    context.report = burn_report.build_report(built_history, [(300, 3000)])


@behave.when(
    "one host is a period behind and a host with a seat has never reported"
)
def step(context):
    build(context, make_history({"e1": 12, "e2": 11}, ("silent",)))


@behave.then("the report ends at the last period of the slower host")
def step(context):
    assert context.report["as_of_s"] == 11 * 300, context.report


@behave.then("only the silent host has missing counts")
def step(context):
    hosts = {h["host"]: h["missing"] for h in context.report["hosts"]}
    assert hosts == {"e1": 0, "e2": 0, "silent": 1}, hosts
    (row,) = context.report["rows"]
    assert row["met"] == "unknown", row


@behave.when("one host is ten periods behind")
def step(context):
    build(context, make_history({"e1": 22, "e2": 12}))


@behave.then("the report doesn't wait for it and shows its counts as missing")
def step(context):
    assert context.report["as_of_s"] == 20 * 300, context.report
    hosts = {h["host"]: h["missing"] for h in context.report["hosts"]}
    assert hosts["e1"] == 0 and abs(hosts["e2"] - 0.8) < 1e-9, hosts


@behave.when(
    "a good, an idle, a burning and windows with missing data are formatted"
)
def step(context):
    windows = [
        burn_rates.Window(300, 10, 10, 0.0, 0.0),
        burn_rates.Window(300, 0, 0, None, 0.0),
        burn_rates.Window(300, 10, 0, 100.0, 0.0),
        burn_rates.Window(300, 10, 10, 0.0, 0.25),
        burn_rates.Window(300, 10, 0, 100.0, 0.25),
        burn_rates.Window(300, 0, 0, None, 1.0),
    ]
    context.window_texts = [
        burn_report.format_window({**w._asdict(), "state": w.state})
        for w in windows
    ]


@behave.then("windows with missing data are shown as missing and never as good")
def step(context):
    assert context.window_texts == [
        "0.00 good",
        "idle",
        "100.00 burning",
        "25% missing",
        "100.00 burning, 25% missing",
        "100% missing",
    ], context.window_texts


@behave.when("the page of a queue with markup in its name is rendered")
def step(context):
    build(context, make_history({"e1": 12}))
    context.page = burn_page.render_page(context.report, context.history)


@behave.then("it has a plot, loads no other resources and escapes the name")
def step(context):
    assert context.page.count("<svg") == 1
    assert "<script" not in context.page
    # XML namespaces look like links but load nothing.
    loads = re.findall(
        r'(?:src|href)="(?!#)[^"]*"|@import|url\((?!#)', context.page
    )
    assert not loads, loads
    assert "@media print" in context.page and "viewport" in context.page


@behave.when("the report and the page of an empty log are created")
def step(context):
    build(context, history.build_history([]))
    context.page = burn_page.render_page(context.report, context.history)


@behave.then("the report has no rows and the page shows none")
def step(context):
    assert context.report["rows"] == [], context.report
    assert context.report["as_of_s"] is None, context.report
    assert "<p>none</p>" in context.page and "<svg" not in context.page
