"""Steps of tests/operators/status.feature."""

import behave
import msgspec

from chervillead import types
from chervillead.entries import escrow
from chervillead.entries import messages
from chervillead.fleet import configuration as configuration_module
from chervillead.operators import status

ADDRESS = types.Address("127.0.0.1", 1)


def example_state():
    module = configuration_module
    return module.EMPTY._replace(
        offset=9,
        zones={"a": module.Zone(0), "b": module.Zone(1)},
        queues={"q": module.Queue("p")},
        teams={"t": module.Team(1.0, 8, ("a", "b"))},
        seats={
            "a/0": module.Seat("a", 0, "e-a0", ADDRESS),
            "a/1": module.Seat("a", 1, "e-a1", ADDRESS),
            "b/0": module.Seat("b", 0, "e-b0", ADDRESS),
        },
    )


def build(state, host, **changes):
    heartbeats = {
        name: messages.Heartbeat(9, 120, False, {"q": 16}, {})
        for name in ("e-a0", "e-b0")
    }
    view = status.HostView(
        host=host,
        zone="a",
        unconfirmed_s=0.1,
        alarms=(),
        live=("e-a0", "e-a1"),
        silent_s=lambda name: 30.0 if name == "e-b0" else 0.0,
        heartbeat_of=heartbeats.get,
        waiting={"q": 3},
        team_demands={"t": escrow.TeamDemand(4, 2, 3)},
    )
    return status.build_status(state, view._replace(**changes))


@behave.when(
    "the status of a non-dispatcher host is built while zone b is silent"
)
def step(context):
    context.status = build(example_state(), "e-a1")


@behave.then("zone b's slots don't count and its host is shown as not live")
def step(context):
    (queue,) = context.status["queues"]
    assert (queue["free"], queue["free_by_zone"]) == (16, {"a": 16}), queue
    hosts = {entry["host"]: entry for entry in context.status["entry_hosts"]}
    assert hosts["e-b0"]["live"] is False, hosts
    assert hosts["e-b0"]["silent_s"] == 30.0, hosts


@behave.then("waiting, units and running are null")
def step(context):
    (queue,), (team,) = context.status["queues"], context.status["teams"]
    found = queue["waiting"], team["units"], team["running"], team["waiting"]
    assert found == (None,) * 4, found


@behave.when("the status of the dispatcher of zone a is built")
def step(context):
    context.status = build(example_state(), "e-a0")


@behave.then("waiting, units and running are those of the dispatcher")
def step(context):
    (queue,), (team,) = context.status["queues"], context.status["teams"]
    assert context.status["is_dispatcher"]
    found = queue["waiting"], team["units"], team["running"], team["waiting"]
    assert found == (3, 4, 2, 3), found


@behave.when(
    "the status is built with drains, moves and rollouts in every state"
)
def step(context):
    module = configuration_module
    state = example_state()._replace(
        drains={s.value: module.Drain(s) for s in module.DrainState},
        moves={s.value: module.Move("p", s) for s in module.MoveState},
        rollouts={"r": module.Rollout("p", "kernel", stopped=True)},
    )
    context.status = build(state, "e-a0")


@behave.then("only unfinished ones are listed")
def step(context):
    found = [(m["kind"], m["state"]) for m in context.status["maintenance"]]
    assert found == [
        ("drain", "drained"),
        ("drain", "failed"),
        ("drain", "granted"),
        ("move", "drained"),
        ("move", "leaving"),
        ("rollout", "stopped"),
    ], found


@behave.when("the status of a host that never read the log is built")
def step(context):
    context.status = build(
        configuration_module.EMPTY, "e-a9", unconfirmed_s=float("inf")
    )


@behave.then("its age is null in JSON")
def step(context):
    decoded = msgspec.json.decode(
        msgspec.json.encode(context.status), type=status.Status
    )
    assert decoded == context.status, (decoded, context.status)
    assert decoded["age_s"] is None, decoded
    assert [entry["host"] for entry in decoded["entry_hosts"]] == ["e-a9"]
