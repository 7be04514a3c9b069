"""Steps of tests/operators/keys.feature."""

import behave
from returns import pipeline

from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import records
from chervillead.operators import keys
from chervillead.operators import publishing


@behave.when("an empty, a short, a long and a non-ASCII key are checked")
def step(context):
    context.texts = ["", "short-key", "k" * 257, "schlüssel-of-the-portal"]
    context.checked = [keys.check_key(text) for text in context.texts]


@behave.then("each is rejected without showing its text")
def step(context):
    for text, checked in zip(context.texts, context.checked, strict=True):
        assert not pipeline.is_successful(checked), text
        assert not text or text not in checked.failure(), checked
    generated = keys.generate_key()
    assert keys.check_key(f"{generated}\n").unwrap() == generated


@behave.when(
    "hashes are looked up by prefixes that match none, one and two keys"
)
def step(context):
    known = ["aaaaaaaa1", "aaaaaaaa2", "bbbbbbbb1"]
    context.found = [
        keys.find_hash(prefix, known).value_or(None)
        for prefix in ("cccccccc", "bbbbbbbb", "aaaaaaaa", "bbb")
    ]


@behave.then("only the prefix that matches one key gives a hash")
def step(context):
    assert context.found == [None, "bbbbbbbb1", None, None], context.found


@behave.when("a withdrawn key and another team's key are granted")
def step(context):
    key = configuration_module.Key
    state = configuration_module.EMPTY._replace(
        keys={"h1": key("t", withdrawn=True), "h2": key("other")}
    )
    context.checked = [
        keys.check_grant(
            publishing.Change(records.KEY, name, {"team": "t"}), state
        )
        for name in ("h1", "h2", "h3")
    ]


@behave.then("both grants are rejected and that of a new key is not")
def step(context):
    succeeded = [pipeline.is_successful(found) for found in context.checked]
    assert succeeded == [False, False, True], context.checked
