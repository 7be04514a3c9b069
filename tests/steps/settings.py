"""Steps of tests/settings.feature."""

import copy
import pathlib
import re

import behave
from returns import pipeline
import yaml

from chervillead import settings
from stand_ins import local_fleet

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "settings.md"
INVALID = """
host: ""
zoen: a
callers: {host: localhost, port: 0}
entries: {host: 127.0.0.1, port: "17200"}
platform: {address: {host: 127.0.0.1}, timeout_s: .nan}
peers: [{host: e1, address: {host: 10.0.0, port: 1}}, e2]
statsd: {host: metrics.example, port: 8125}
stop_delay_s: 61
"""
# Path, text of the value and text of what is allowed.
EXPECTED_ERRORS = [
    ("$.zoen", "unknown name", "did you mean 'zone'?"),
    ("$.host", "got ''", "1 to 64 characters"),
    ("$.zone", "missing", "a text, 1 to 64 characters"),
    ("$.callers.host", "'localhost'", "an IP address"),
    ("$.callers.port", "got 0", "1 to 65535"),
    ("$.entries.port", "'17200'", "a whole number, 1 to 65535"),
    ("$.platform.address.port", "missing", "a whole number, 1 to 65535"),
    ("$.platform.timeout_s", "nan", "0.05 to 60 s"),
    ("$.peers[0].address.host", "'10.0.0'", "an IP address"),
    ("$.peers[1]", "'e2'", "a mapping with host, address"),
    ("$.statsd.host", "'metrics.example'", "an IP address"),
    ("$.stop_delay_s", "61", "0 to 60 s"),
]


@behave.when("settings with an error of each kind are checked")
def step(context):
    context.problems = settings.check_settings(
        yaml.safe_load(INVALID)
    ).failure()


@behave.then("each error is reported with its path, value and what is allowed")
def step(context):
    by_path = {problem.path: problem for problem in context.problems}
    assert len(by_path) == len(context.problems), context.problems
    assert set(by_path) == {path for path, _, _ in EXPECTED_ERRORS}, set(
        by_path
    ) ^ {path for path, _, _ in EXPECTED_ERRORS}
    for path, value, allowed in EXPECTED_ERRORS:
        assert value in by_path[path].value, by_path[path]
        assert allowed in by_path[path].allowed, by_path[path]


def with_value(path, value):
    """Checks settings that are valid except for the value at `path`."""
    document = copy.deepcopy(
        local_fleet.entry_settings(local_fleet.FleetPlan(), 0)
    )
    document["platform"]["timeout_s"] = 1.0
    document["burn_period_s"] = 300
    document |= {"memory_mb": 256, "max_fds": 4096}
    document["statsd"] = {"host": "127.0.0.1", "port": 8125}
    *places, last = path.removeprefix("$.").split(".")
    target = document
    for place in places:
        target = target[place.removesuffix("[]")]
        target = target[0] if place.endswith("[]") else target
    present = target[last]
    if isinstance(present, str):
        target[last] = "x" * int(value)
    elif isinstance(present, list):
        target[last] = present[:1] * int(value)
    else:
        target[last] = value
    return settings.check_settings(document)


@behave.when("each setting is set to the limits of its range and just beyond")
def step(context):
    context.checked = {}
    for path, allowed in settings.RANGES.items():
        below = allowed.low - 0.01 if allowed.unit == "s" else allowed.low - 1
        above = allowed.high + (0.01 if allowed.unit == "s" else 1)
        for value in (below, allowed.low, allowed.high, above):
            if value >= 0 or allowed.unit in ("s",):
                fits = allowed.low <= value <= allowed.high
                context.checked[path, value] = fits, with_value(path, value)


@behave.then(
    "the limits are accepted and the values beyond are rejected by path"
)
def step(context):
    for (path, value), (fits, checked) in context.checked.items():
        assert pipeline.is_successful(checked) is fits, (path, value, checked)
        if not fits:
            (problem,) = checked.failure()
            place = path.replace("[]", "[0]")
            assert problem.path == place, (problem, place)


@behave.when("docs/settings.md is compared with the types")
def step(context):
    rows = re.findall(
        r"^\| `(\$[^`]*)` \| ([^|]+) \| ([^|]+) \| ([^|]+) \|$",
        PAGE.read_text(),
        re.MULTILINE,
    )
    context.rows = rows


@behave.then("it lists every setting with its range, default and a reason")
def step(context):
    listed = [settings.Setting(*row[:3]) for row in context.rows]
    expected = settings.describe_settings()
    assert listed == expected, set(listed) ^ set(expected)
    assert all(len(row[3].strip()) >= len("as above") for row in context.rows)
