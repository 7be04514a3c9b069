"""Steps of tests/fleet/host_borrowing.feature."""

import asyncio

import behave

from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import demand
from chervillead.fleet import host_borrowing
from chervillead.fleet import records
from stand_ins import borrowing_run

# Times since the start of the load.
RISE_START_S = 60.0
ZONE_OUT_S = 70.0


@behave.when("the borrowing controller sees bursts for {duration_s:d} s")
def step(context, duration_s):
    context.run, context.violations = borrowing_run.start_run(
        1, borrowing_run.bursts, duration_s
    )


@behave.then("no host is borrowed")
def step(context):
    assert not context.violations, context.violations
    assert not borrowing_run.accepted_moves(context.run), (
        borrowing_run.accepted_moves(context.run)
    )


@behave.when(
    "the borrowing controller sees the load rise to {fraction:f} of the pool "
    "for {rise_s:d} s"
)
def step(context, fraction, rise_s):
    def load(at_s):
        return fraction if RISE_START_S < at_s < RISE_START_S + rise_s else 0.15

    context.run, context.violations = borrowing_run.start_run(1, load, 620.0)
    context.event_s = RISE_START_S


@behave.when(
    "the borrowing controller sees a zone go out of service at a load of "
    "{fraction:f}"
)
def step(context, fraction):
    async def take_out(run):
        await asyncio.sleep(ZONE_OUT_S)
        run.publish_as_operator(records.ZONE, "c", index=2, status="out")

    context.run, context.violations = borrowing_run.start_run(
        1, lambda at_s: fraction, 120.0, take_out
    )
    context.event_s = ZONE_OUT_S


@behave.then("hosts are borrowed within {bound_s:d} s of the {event}")
def step(context, bound_s, event):
    assert not context.violations, context.violations
    # The fleet starts about 3 s before the load.
    event_s = context.event_s + 3.0
    times = [
        m[0]
        for m in borrowing_run.accepted_moves(context.run)
        if m[3] == "joined"
    ]
    assert times and event_s <= times[0] <= event_s + bound_s, times


@behave.then("each borrowed host is returned once and none is borrowed again")
def step(context):
    moves = borrowing_run.accepted_moves(context.run)
    joined = [(name, pool) for _, name, pool, s in moves if s == "joined"]
    assert len(joined) == len(set(joined)), joined
    pools = [pool for _, pool in joined]
    assert pools.count("back-office") * 2 == len(pools), joined


@behave.given(
    "an overloaded pool and a spare pool of 8 hosts with {utilization:f} and "
    "{budget:d}"
)
def step(context, utilization, budget):
    spare = demand.PoolDemand(80, utilization * 80, observed_s=300.0)
    context.moves = _choose_moves(spare, budget)


@behave.given(
    "an overloaded pool and a spare pool whose bursts need all but one host"
)
def step(context):
    # The last request of a peak of 140 on the 70 slots left waits for two run
    # times and then runs, so its answer comes just at the target of 30 s.
    spare = demand.PoolDemand(
        80,
        8.0,
        run_s=10.0,
        observed_s=300.0,
        peak_requests=140.0,
        target_s=30.0,
    )
    context.moves = _choose_moves(spare, budget=8)


def _choose_moves(spare, budget):
    """Returns the proposed moves to an overloaded pool of 8 hosts."""
    names = [f"{pool}-{i}" for pool in ("p", "spare") for i in range(8)]
    state = configuration_module.Configuration(
        zones={"z": configuration_module.Zone(0)},
        pools={
            "p": configuration_module.Pool(),
            "spare": configuration_module.Pool(
                max_unavailable=budget, spare=True
            ),
        },
        hosts={
            name: configuration_module.Host(
                name.split("-")[0], "z", "r", ("a", 1), slots=10
            )
            for name in names
        },
        pool_use={
            pool: configuration_module.PoolUse({"z": 8})
            for pool in ("p", "spare")
        },
    )
    demands = {
        "p": demand.PoolDemand(80, 120.0, observed_s=300.0),
        "spare": spare,
    }
    return host_borrowing.choose_moves(state, demands, dict.fromkeys(names, 0))


@behave.then("the borrowing controller borrows {count:d} hosts")
def step(context, count):
    assert len(context.moves) == count, context.moves
    assert {m.to_pool for m in context.moves} <= {"p"}
