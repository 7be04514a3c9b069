"""Steps of tests/bounded_logs.feature."""

import collections
import tempfile

import behave
import msgspec

from chervillead import bounded_logs


@behave.when(
    '{first:d} lines "{first_type}" and then {second:d} lines "{second_type}" '
    "are logged"
)
def step(context, first, first_type, second, second_type):
    with tempfile.TemporaryFile() as file:
        log = bounded_logs.BoundedLog(file.fileno(), monotonic=lambda: 100.0)
        for count, message_type in (
            (first, first_type),
            (second, second_type),
        ):
            for _ in range(count):
                log({"message_type": message_type})
        log.flush()
        file.seek(0)
        context.lines = [msgspec.json.decode(line) for line in file]


@behave.then(
    '{first:d} lines "{first_type}" and {second:d} lines "{second_type}" are '
    "written"
)
def step(context, first, first_type, second, second_type):
    found = collections.Counter(line["message_type"] for line in context.lines)
    assert found == {first_type: first, second_type: second}, found


@behave.then(
    'the first line "{message_type}" tells that {count:d} lines were dropped '
    "before"
)
def step(context, message_type, count):
    line = next(
        line for line in context.lines if line["message_type"] == message_type
    )
    assert line["dropped_before"] == count, line
