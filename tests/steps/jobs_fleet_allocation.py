"""Steps of tests/jobs/fleet_allocation.feature."""

import random

import behave

from chervillead.jobs import fleet_allocation


@behave.given("these pools and {spare:d} spare hosts")
def step(context, spare):
    context.allocation = fleet_allocation.allocate(
        {
            row["pool"]: fleet_allocation.PoolDemand(
                *(
                    int(row[name])
                    for name in (
                        "hosts",
                        "min",
                        "urgent",
                        "needed",
                        "retained",
                    )
                )
            )
            for row in context.table
        },
        spare,
    )


@behave.then("the sizes are {sizes}")
def step(context, sizes):
    expected = dict(each.split() for each in sizes.split(", "))
    found = {name: str(size) for name, size in context.allocation.sizes.items()}
    assert found == expected, found


@behave.then("{pool} lacks {hosts:d} hosts")
def step(context, pool, hosts):
    assert context.allocation.deficits == {pool: hosts}, context.allocation


@behave.then("{pool} should release {hosts:d} hosts")
def step(context, pool, hosts):
    assert context.allocation.surpluses == {pool: hosts}, context.allocation


@behave.when("{count:d} random fleets are divided")
def step(context, count):
    draws = random.Random(context.seed)
    context.divided = []
    for _ in range(count):
        demands = {f"p{n}": _draw_demand(draws) for n in range(6)}
        spare = draws.randrange(20)
        context.divided.append(
            (demands, spare, fleet_allocation.allocate(demands, spare))
        )


def _draw_demand(draws):
    hosts = draws.randrange(60)
    least = draws.randrange(hosts + 1)
    urgent = least + draws.randrange(40)
    needed = urgent + draws.randrange(40)
    return fleet_allocation.PoolDemand(
        hosts, least, urgent, needed, needed + draws.randrange(20)
    )


@behave.then("the sizes of each add up to at most all hosts")
def step(context):
    for demands, spare, allocation in context.divided:
        total = spare + sum(demand.hosts for demand in demands.values())
        assert sum(allocation.sizes.values()) <= total, (demands, allocation)


@behave.then("no pool is below its minimum or above what it can use")
def step(context):
    for demands, _, allocation in context.divided:
        for name, demand in demands.items():
            most = max(demand.needed, min(demand.retained, demand.hosts))
            assert demand.min_hosts <= allocation.sizes[name] <= most, (
                demands,
                allocation,
            )


@behave.then(
    "a pool lacks hosts only if no other one has more beyond its minimum"
)
def step(context):
    for demands, _, allocation in context.divided:
        sizes = allocation.sizes
        for name, demand in demands.items():
            if sizes[name] >= demand.needed:
                continue
            for other, its_demand in demands.items():
                # What is late anyhow comes after the work that is not.
                due = max(its_demand.min_hosts, its_demand.urgent)
                is_due = sizes[other] <= due and sizes[name] >= demand.urgent
                is_least = sizes[other] <= its_demand.min_hosts
                is_fair = sizes[other] <= sizes[name] + 1
                assert is_least or is_due or is_fair, (
                    demands,
                    allocation,
                )


@behave.then("the order of the pools changes no total")
def step(context):
    for demands, spare, allocation in context.divided:
        reordered = dict(reversed(demands.items()))
        sizes = fleet_allocation.allocate(reordered, spare).sizes
        assert sorted(sizes.values()) == sorted(allocation.sizes.values()), (
            demands,
            sizes,
        )
