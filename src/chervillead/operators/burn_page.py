"""Renders the burn report as an HTML page with plots."""

from collections import abc
import html

from chervillead.operators import burn_plots
from chervillead.operators import burn_report
from chervillead.operators import history as history_module
from chervillead.operators import tables

STYLE = """
body { font: 16px/1.45 system-ui, sans-serif; margin: 1rem auto;
  max-width: 70rem; padding: 0 1rem; color: #222; background: #fff }
h1 { font-size: 1.4rem } h2 { font-size: 1.1rem; margin-top: 1.6rem }
.wide { overflow-x: auto }
table { border-collapse: collapse; font-size: .85rem; white-space: nowrap }
th, td { text-align: left; padding: .25rem .6rem;
  border-bottom: 1px solid #ccc }
.plots { display: grid; gap: 1rem;
  grid-template-columns: repeat(auto-fill, minmax(min(20rem, 100%), 1fr)) }
svg { width: 100%; height: auto }
.burning { color: #a02030; font-weight: bold }
.missing { color: #7a5200; font-style: italic }
@media print {
  body { font-size: 10pt; max-width: none; margin: 0; padding: 0 }
  table { font-size: 7.5pt; white-space: normal } .wide { overflow: visible }
  figure, tr { break-inside: avoid }
  .plots { grid-template-columns: 1fr 1fr }
}
figure { margin: 0 }
"""


def render_page(
    document: burn_report.BurnDocument, history: history_module.History
) -> str:
    """Returns a self-contained HTML page without external files or scripts."""
    lengths = sorted({n for pair in document["pairs"] for n in pair})
    as_of = document["as_of_s"]
    plots = "".join(_plots(document, history, lengths[-1]))
    return f"""<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Service-level burn</title><style>{STYLE}</style></head><body>
<h1>Service-level burn as of {_time(as_of)}</h1>
<p>Counts go back to {_time(document["oldest_s"])}. A burn rate of 1 uses up
the error budget exactly. Windows with missing counts are never shown as good.
</p>
<h2>Queues and teams</h2><div class="wide">{_rows_table(document, lengths)}
</div><h2>Finished requests</h2><div class="plots">{plots}</div>
<h2>Zones, drains, moves and rollouts</h2>
<div class="wide">{_events_table(document)}</div>
<h2>Missing counts</h2><div class="wide">{_hosts_table(document)}</div>
</body></html>
"""


def _plots(
    document: burn_report.BurnDocument,
    history: history_module.History,
    length_s: int,
) -> abc.Iterator[str]:
    as_of_s = document["as_of_s"]
    if as_of_s is None:
        return
    for queue in sorted({row["queue"] for row in document["rows"]}):
        plot = burn_plots.plot_queue(queue, history, as_of_s, length_s)
        yield f"<figure>{plot}</figure>"


def _rows_table(
    document: burn_report.BurnDocument, lengths: abc.Sequence[int]
) -> str:
    rows = []
    for row in document["rows"]:
        left = row["budget_left"]
        cells = [
            _cell(row["queue"]),
            _cell(row["team"] or "(no key)"),
            _cell(f"{row['target_part']:g} in {row['target_s']:g} s"),
            _cell(row["met"]),
            _cell("unknown" if left is None else f"{left:.0%}"),
            _cell(row["p50_ms"]),
            _cell(row["p99_ms"]),
        ]
        for window in row["windows"]:
            text = burn_report.format_window(window)
            cells.append(_cell(text, window["state"]))
        rows.append("".join(cells))
    names = ["queue", "team", "target", "met", "budget left", "p50 ms"]
    return _table(
        [*names, "p99 ms", *(f"burn rate over {n} s" for n in lengths)], rows
    )


def _events_table(document: burn_report.BurnDocument) -> str:
    rows = [
        "".join(
            _cell(value)
            for value in (
                _time(event["after_s"]),
                _time(event["before_s"]),
                event["kind"],
                event["name"],
                event["what"],
                event["buffer"],
            )
        )
        for event in document["events"]
    ]
    columns = ["after", "before", "kind", "name", "change", "from spare pool"]
    return _table(columns, rows)


def _hosts_table(document: burn_report.BurnDocument) -> str:
    rows = [
        _cell(host["host"]) + _cell(f"{host['missing']:.0%}", "missing")
        for host in document["hosts"]
        if host["missing"] > 0
    ]
    return _table(["entry host", "missing"], rows)


def _table(columns: abc.Iterable[str], rows: abc.Sequence[str]) -> str:
    if not rows:
        return "<p>none</p>"
    head = "".join(f"<th>{html.escape(name)}</th>" for name in columns)
    body = "".join(f"<tr>{row}</tr>" for row in rows)
    return f"<table><tr>{head}</tr>{body}</table>"


def _cell(value: object, style: str = "") -> str:
    text = html.escape(tables.format_cell(value))
    return f'<td class="{html.escape(style)}">{text}</td>'


def _time(seconds: int | None) -> str:
    return burn_report.format_time(seconds)
