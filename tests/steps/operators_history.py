"""Steps of tests/operators/history.feature."""

import behave

from chervillead import burn_rates
from chervillead import types
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import fold
from chervillead.fleet import log_reader
from chervillead.fleet import records
from chervillead.fleet import snapshots
from chervillead.operators import burn_records
from chervillead.operators import history


class Log:
    """Records at consecutive offsets, each based on the latest version."""

    def __init__(self):
        self.entries = []
        self.state = configuration_module.EMPTY
        self.reader = log_reader.LogReader(types.Clock(float, float))

    def add(self, kind, subject, **fields):
        """Appends a record and returns it."""
        version = self.state.versions.get((kind, subject), -1)
        number = len(self.entries)
        return self.append(
            records.Record(f"r{number}", kind, subject, version, fields)
        )

    def append(self, record):
        """Appends and folds a record that may be in the log already."""
        entry = records.OffsetRecord(len(self.entries), record)
        self.entries.append(entry)
        for step in fold.fold_records(self.state, (entry,)):
            self.state = step.configuration
        return record

    def add_period(self, from_s):
        """Appends an empty burn record."""
        period = burn_rates.CountedPeriod(
            "e1", "a", from_s, from_s + 300, False, (), ()
        )
        return self.append(burn_records.propose_record(period, self.reader))


def declare(log):
    log.add("zone", "a", index=0)
    for pool, spare in (("p", False), ("s", True)):
        log.add("pool", pool, spare=spare, max_unavailable=1)
        log.add(
            "host",
            f"host-{pool}",
            pool=pool,
            zone="a",
            rack="r",
            address=["127.0.0.1", 1],
        )


@behave.when(
    "the log holds burn records, a zone out, its repeat and a rejected drain"
)
def step(context):
    log = Log()

    declare(log)
    log.add_period(0)
    out = log.add("zone", "a", index=0, status="out")
    log.append(out)
    log.add("drain", "nobody", state="granted")
    log.append(log.add_period(300))

    context.history = history.build_history(log.entries)


@behave.then(
    "the only event has the times of the burn records before and after it"
)
def step(context):
    events = [e for e in context.history.events if e.after_s is not None]
    assert [(e.name, e.description) for e in events] == [("a", "zone out")], (
        events
    )
    assert (events[0].after_s, events[0].before_s) == (300, 600), events


@behave.then("each burn record counts once")
def step(context):
    assert len(context.history.periods) == 2, context.history.periods


@behave.when("the log has lost its first records and holds a snapshot")
def step(context):
    log = Log()

    declare(log)
    log.append(snapshots.propose_snapshot(log.state))
    log.add("zone", "a", index=0, status="out")

    context.history = history.build_history(log.entries[3:])
    context.state = log.state


@behave.then("changes after the snapshot are listed and the state is complete")
def step(context):
    events = [(e.kind, e.description) for e in context.history.events]
    assert events == [("zone", "zone out")], events
    assert context.history.configuration.hosts == context.state.hosts
    assert context.history.oldest_offset == 3, context.history.oldest_offset


@behave.when("a host leaves a spare pool and one leaves another pool")
def step(context):
    log = Log()

    declare(log)
    log.add("move", "host-s", to_pool="p", state="leaving")
    log.add("move", "host-p", to_pool="s", state="leaving")

    context.history = history.build_history(log.entries)


@behave.then("only the first is shown as taken from a spare pool")
def step(context):
    found = [
        (e.name, e.from_spare_pool)
        for e in context.history.events
        if e.kind == "move"
    ]
    assert found == [("host-s", True), ("host-p", False)], found
