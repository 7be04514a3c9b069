"""Steps of tests/fleet/fold.feature."""

import itertools
import json
from unittest import mock

import behave
import hypothesis
from hypothesis import stateful

from chervillead.fleet import budgets
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import fold
from chervillead.fleet import fold_rules
from chervillead.fleet import persistent_map
from chervillead.fleet import records
from stand_ins import fold_machine


@behave.when(
    "a state machine folds random valid, stale, repeated and malformed records"
)
def step(context):
    context.violation = run_machine(examples=80)


@behave.then("no invariant of the fold is violated")
def step(context):
    assert context.violation is None, context.violation


@behave.when("the state machine runs on a fold that {fault}")
def step(context, fault):
    with FAULTS[fault]():
        context.violation = run_machine(examples=200, shrink=False)


@behave.then("an invariant violation of the fold is reported")
def step(context):
    assert context.violation is not None, "no check detected the fault"


def run_machine(*, examples, shrink=True):
    """Returns the error of the violated invariant, or None."""
    phases = [hypothesis.Phase.generate]
    if shrink:
        phases.append(hypothesis.Phase.shrink)
    try:
        stateful.run_state_machine_as_test(
            fold_machine.FoldMachine,
            settings=hypothesis.settings(
                derandomize=True,
                max_examples=examples,
                stateful_step_count=50,
                deadline=None,
                database=None,
                phases=phases,
                report_multiple_bugs=False,
                suppress_health_check=list(hypothesis.HealthCheck),
            ),
        )
    except AssertionError as error:
        return error
    return None


def ignore_versions():
    evaluate = fold._evaluate

    def faulty(state, record):
        version = state.versions.get((record.kind, record.subject), -1)
        return evaluate(state, record._replace(based_on=version))

    return mock.patch.object(fold, "_evaluate", faulty)


def ignore_repeated_ids():
    evaluate = fold._evaluate
    return mock.patch.object(
        fold,
        "_evaluate",
        lambda state, record: evaluate(state._replace(recent_ids={}), record),
    )


def ignore_budgets():
    return mock.patch.object(
        budgets, "budget_violation", lambda state, host, drains: None
    )


def change_pools_without_move():
    rule = fold_rules._RULES[records.HOST]

    def faulty(state, name, host):
        if host is not None and name in state.hosts:
            known = state.hosts[name]._replace(pool=host.pool)
            hosts = persistent_map.as_persistent(state.hosts)
            state = state._replace(hosts=hosts.with_entry(name, known))
        return rule(state, name, host)

    return mock.patch.dict(fold_rules._RULES, {records.HOST: faulty})


def accept_lower_offsets():
    original = fold.fold_records

    def faulty(state, entries):
        for entry in entries:
            lowered = state._replace(offset=entry.offset - 1)
            for step in original(lowered, [entry]):
                state = step.configuration
                yield step

    return mock.patch.object(fold, "fold_records", faulty)


def ignore_incarnations():
    rule = fold_rules._RULES[records.TRANSFER]

    def faulty(state, zone, transfer):
        if transfer is not None:
            version = state.versions.get((records.SEAT, f"{zone}/0"), -1)
            transfer = transfer._replace(incarnation=version)
        return rule(state, zone, transfer)

    return mock.patch.dict(fold_rules._RULES, {records.TRANSFER: faulty})


def divide_limit_anew():
    rule = fold_rules._RULES[records.TEAM]

    def faulty(state, name, team):
        teams = persistent_map.as_persistent(state.teams).without(name)
        return rule(state._replace(teams=teams), name, team)

    return mock.patch.dict(fold_rules._RULES, {records.TEAM: faulty})


def modify_earlier_states():
    def faulty(self, key, value):
        self._merge()
        self._base[key] = value
        self._length = len(self._base)
        return self

    return mock.patch.object(persistent_map.PersistentMap, "with_entry", faulty)


FAULTS = {
    "ignores versions": ignore_versions,
    "ignores repeated ids": ignore_repeated_ids,
    "ignores budgets": ignore_budgets,
    "changes pools without a move": change_pools_without_move,
    "accepts lower offsets": accept_lower_offsets,
    "ignores incarnations": ignore_incarnations,
    "divides a limit anew": divide_limit_anew,
    "modifies earlier states": modify_earlier_states,
}

HOST_FIELDS = {"pool": "p0", "zone": "z0", "rack": "r", "address": ["a", 1]}

SMALL_FLEET = (
    ("zone", "z0", {"index": 0}),
    ("zone", "z1", {"index": 1}),
    ("pool", "p0", {"max_unavailable": 1}),
    ("pool", "p1", {"spare": True}),
    ("team", "t0", {"share": 1.0, "limit": 10}),
    ("key", "k0", {"team": "t0"}),
    *(("host", f"h{index}", HOST_FIELDS) for index in range(3)),
    (
        "seat",
        "z0/0",
        {"zone": "z0", "number": 0, "host": "e0", "address": ["a", 1]},
    ),
    ("drain", "h2", {"state": "granted"}),
)


@behave.given("a folded fleet of two zones, two pools and three hosts")
def step(context):
    context.state = configuration_module.EMPTY
    for kind, subject, fields in SMALL_FLEET:
        fold_result = fold_into_small_fleet(context, kind, subject, fields)
        assert fold_result.outcome is fold.Outcome.ACCEPTED, fold_result


@behave.when("a {kind} record of {subject} with {fields} is folded")
def step(context, kind, subject, fields):
    context.before = context.state
    context.result = fold_into_small_fleet(
        context, kind, subject, json.loads(fields)
    )


def fold_into_small_fleet(context, kind, subject, fields):
    offset = context.state.offset + 1
    version = context.state.versions.get((kind, subject), records.NO_VERSION)
    record = records.Record(f"{offset}", kind, subject, version, fields)
    (step,) = fold.fold_records(
        context.state, [records.OffsetRecord(offset, record)]
    )
    context.state = step.configuration
    return step.result


@behave.then("the fold refuses it with a detail that contains {named}")
def step(context, named):
    assert context.result.outcome is fold.Outcome.REFUSED, context.result
    assert named in context.result.detail, context.result
    unchanged = context.state._replace(
        offset=context.before.offset, recent_ids=context.before.recent_ids
    )
    assert unchanged == context.before


@behave.when("{count:d} hosts are added and removed under new names")
def step(context, count):
    def log():
        for kind, subject, fields in SMALL_FLEET:
            yield records.Record(f"{kind}-{subject}", kind, subject, -1, fields)
        for number in range(count):
            name = f"new-{number}"
            added = len(SMALL_FLEET) + 2 * number
            yield records.Record(f"+{number}", "host", name, -1, HOST_FIELDS)
            yield records.Record(f"-{number}", "host", name, added, {})

    state = configuration_module.EMPTY
    context.ids = []
    entries = itertools.starmap(records.OffsetRecord, enumerate(log()))
    for folded in fold.fold_records(state, entries):
        assert folded.result.outcome is fold.Outcome.ACCEPTED, folded.result
        context.ids.append(folded.result.record_id)
        state = folded.configuration
    context.state = state


@behave.then("the state keeps at most {ids:d} ids and {versions:d} versions")
def step(context, ids, versions):
    assert len(context.state.recent_ids) <= ids
    assert len(context.state.versions) <= versions, len(context.state.versions)


@behave.then("the last {count:d} ids are known and the first id is dropped")
def step(context, count):
    outcomes = []
    for record_id in (*context.ids[-count::1000], context.ids[0]):
        record = records.Record(record_id, "host", "h0", -1, HOST_FIELDS)
        outcomes.append(fold.check_record(context.state, record).outcome)
    assert set(outcomes[:-1]) == {fold.Outcome.REPEATED}, outcomes
    assert outcomes[-1] is fold.Outcome.STALE, outcomes


@behave.then("the versions of existing subjects are kept")
def step(context):
    for offset, (kind, subject, _) in enumerate(SMALL_FLEET):
        assert context.state.versions[(kind, subject)] == offset
