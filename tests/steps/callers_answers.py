"""Steps of tests/callers/answers.feature."""

import behave
from returns import result

from chervillead import types
from chervillead.callers import answers

BODY = b"x" * 1024


@behave.given("an answer cache with room for {count:d} answers")
def step(context, count):
    clock = types.Clock(lambda: 0.0, lambda: 0.0)
    context.max_bytes = count * (answers.ENTRY_OVERHEAD_BYTES + len(BODY))
    context.cache = answers.AnswerCache(clock, context.max_bytes)


@behave.when("{count:d} answers are cached")
def step(context, count):
    context.ids = [str(number) for number in range(count)]
    for request_id in context.ids:
        answer = types.Answer(200, "text/plain", BODY)
        context.cache.put(request_id, "team", result.Success(answer))


@behave.then("only the newest {count:d} can be fetched")
def step(context, count):
    found = [i for i in context.ids if context.cache.get(i) is not None]
    assert found == context.ids[-count:], found
    assert context.cache.cached_bytes == context.max_bytes
