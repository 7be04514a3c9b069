"""Steps of tests/store/keyed_state.feature.

Records are written as key=value; one without a value deletes its key.
"""

import behave

from chervillead.store import interface
from chervillead.store import keyed_state


def parse_record(text, offset):
    key, _, value = text.partition("=")
    return interface.KeyedRecord(key, value.encode(), offset)


def describe(records):
    """Returns records or changes as they are written in the feature."""
    return " ".join(
        f"{record.key}={(record.value or b'').decode()}" for record in records
    )


def state_of(context):
    if not hasattr(context, "keyed_state"):
        context.keyed_state = keyed_state.KeyedState()
        context.changes = []
    return context.keyed_state


@behave.given(
    "a host that has read {record} at offset {offset:d}, up to offset {end:d}"
)
def step(context, record, offset, end):
    state_of(context).merge_log([parse_record(record, offset)], end)


@behave.given("the log has continued with {record} at offset {offset:d}")
@behave.when("the log continues with {record} at offset {offset:d}")
def step(context, record, offset):
    context.changes += state_of(context).merge_log(
        [parse_record(record, offset)], offset + 1
    )


@behave.when(
    "a copy with {record} at offset {offset:d}, complete up to {position:d}, "
    "arrives"
)
@behave.when(
    "a read of all records with {record} at offset {offset:d}, complete up to "
    "{position:d}, ends"
)
def step(context, record, offset, position):
    found = parse_record(record, offset)
    state = state_of(context)
    context.changes += state.merge_snapshot([found], {found.key}, position)


@behave.when("a copy without records, complete up to {position:d}, arrives")
def step(context, position):
    context.changes += state_of(context).merge_snapshot([], (), position)


@behave.then("the host has {records} and is complete up to {position:d}")
def step(context, records, position):
    state = context.keyed_state
    found = describe(state.records_since(0)) or "nothing"
    assert (found, state.position) == (records, position)


@behave.then("the changes were {changes}")
def step(context, changes):
    assert (describe(context.changes) or "none") == changes


@behave.then("a peer that is complete up to {position:d} gets {records}")
def step(context, position, records):
    found = context.keyed_state.records_since(position)
    assert (describe(found) or "nothing") == records
