"""Steps of tests/fleet/persistent_map.feature."""

import behave
import hypothesis
from hypothesis import strategies

from chervillead.fleet import persistent_map


@behave.when(
    "hypothesis applies the same changes to persistent maps and dictionaries"
)
def step(context):
    context.pairs = 0
    keys = strategies.integers(0, 200)
    changes = strategies.tuples(keys, keys | strategies.none())

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.lists(changes, min_size=100, max_size=300))
    def check(steps):
        shared, plain, kept = persistent_map.PersistentMap(), {}, []
        for number, (key, value) in enumerate(steps):
            plain = dict(plain)
            if value is None:
                plain.pop(key, None)
                shared = shared.without(key)
            else:
                plain[key] = value
                shared = shared.with_entry(key, value)
            assert len(shared) == len(plain)
            assert shared.get(key) == plain.get(key)
            if number % 37 == 0:
                list(shared)
            kept.append((shared, plain))
        for shared, plain in kept:
            context.pairs += 1
            assert list(shared.items()) == list(plain.items())

    check()


@behave.then("each copy equals its dictionary in content and order")
def step(context):
    assert context.pairs > 1000, context.pairs
