"""Steps of tests/upstreams/slots.feature."""

import behave

from chervillead import types
from chervillead.upstreams import slots


@behave.when('upstreams offer 8 slots, usable "{usable}", used "{used}"')
def step(context, usable, used):
    usable_by_name = dict(enumerate(map(int, usable.split(","))))
    used_by_name = dict(enumerate(map(int, used.split(","))))
    address = types.Address("127.0.0.1", 17300)
    chosen = slots.choose_upstream(
        [
            slots.Candidate(types.Upstream(str(n), "a", address), 8)
            for n in usable_by_name
        ],
        used=lambda name: used_by_name[int(name)],
        usable=lambda name, offered: min(offered, usable_by_name[int(name)]),
    )
    context.chosen = "none" if chosen is None else chosen.name


@behave.then('the chosen upstream is "{name}"')
def step(context, name):
    assert context.chosen == name, context.chosen
