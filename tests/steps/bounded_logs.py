"""Steps of tests/bounded_logs.feature."""

import collections
import os
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


@behave.when(
    "{count:d} lines of {characters:d} characters are logged to a full pipe at "
    "the start"
)
def step(context, count, characters):
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    context.log = bounded_logs.BoundedLog(writing)
    for _ in range(count):
        context.log({"message_type": "test", "detail": "x" * characters})
    os.close(reading)
    os.close(writing)


@behave.then("lines were kept within the buffer, and no error was raised")
def step(context):
    limit = bounded_logs.MAX_BUFFER_BYTES
    assert limit / 2 < len(context.log._buffer) <= limit + 2000
