"""Steps of tests/upstreams/ejection.feature."""

import behave

from chervillead import types
from chervillead.upstreams import ejection
from chervillead.upstreams import slots

START_S = 100.0
ADDRESS = types.Address("127.0.0.1", 17300)


def fail(context, upstream, now_s=START_S, times=1):
    for _ in range(times):
        context.outliers.record_outcome(upstream, "pool", True, 0.001, now_s)


def fill(context, count):
    context.count = count
    for number in range(20 * count):
        name = str(number % count)
        context.outliers.record_outcome(name, "pool", False, 0.1, START_S - 1)


@behave.given(
    "{count:d} healthy upstreams in the outlier detector, and {other:d} "
    "ejected elsewhere"
)
def step(context, count, other):
    context.outliers = ejection.OutlierDetector(
        ejected_elsewhere=lambda pool: {"pool": other}[pool]
    )
    fill(context, count)


@behave.given("{count:d} healthy upstreams in the outlier detector")
def step(context, count):
    context.outliers = ejection.OutlierDetector()
    fill(context, count)


@behave.when("upstream {name} fails 3 times in a row")
def step(context, name):
    fail(context, name, times=3)


@behave.when("upstream {name} fails once after {after_s:g} s")
def step(context, name, after_s):
    fail(context, name, START_S + after_s)


@behave.when("the first {failing:d} upstreams fail 3 times in a row")
def step(context, failing):
    for number in range(failing):
        fail(context, str(number), times=3)


@behave.when("every upstream fails 9 of 10 requests")
def step(context):
    for turn in range(100):
        for number in range(context.count):
            failed = (turn + number) % 10 != 0
            context.outliers.record_outcome(
                str(number), "pool", failed, 0.01, START_S
            )


@behave.when("upstream {name} takes {factor:d} times as long")
def step(context, name, factor):
    for _ in range(50):
        context.outliers.record_outcome(
            name, "pool", False, 0.1 * factor, START_S
        )


@behave.then("upstream {name} has {count:d} usable slots after {after_s:g} s")
def step(context, name, count, after_s):
    found = context.outliers.usable_slots(name, 8, START_S + after_s)
    assert found == count, found


@behave.then("{count:d} upstreams are ejected")
def step(context, count):
    found = context.outliers.ejected_count("pool", START_S)
    assert found == count, found


@behave.then("upstream {name} is chosen last")
def step(context, name):
    candidates = [
        slots.Candidate(types.Upstream(str(number), "a", ADDRESS), 8)
        for number in range(context.count)
    ]
    used = {str(number): 0 for number in range(context.count)}
    chosen = []
    while name not in chosen:
        upstream = slots.choose_upstream(
            candidates,
            used=used.__getitem__,
            usable=lambda n, s: context.outliers.usable_slots(n, s, START_S),
            slowness=context.outliers.slowness,
        )
        used[upstream.name] += 1
        chosen.append(upstream.name)
    # Most slots of each other upstream must be in use by then.
    others = [n for n in used if n != name]
    assert min(used[n] for n in others) >= 6, used
