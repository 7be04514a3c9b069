"""Steps of tests/entries/seats.feature."""

import asyncio

import behave

from stand_ins import local_fleet
from stand_ins import memory_fleet
from stand_ins import seat_run

PLAN = local_fleet.FleetPlan(upstreams_per_queue=4)


def run_script(context, script, zone=None):
    context.zone = zone
    context.runs = seat_run.run_seeds(script, context.seed, PLAN)


@behave.when("the dispatcher of zone {zone} is killed under load")
def step(context, zone):
    async def script(run):
        await run.fleet.kill_host(run.holder(zone))
        await asyncio.sleep(8.0)

    run_script(context, script, zone)


@behave.when("the standby of zone {zone} is killed under load")
def step(context, zone):
    async def script(run):
        holder = run.holder(zone)
        hosts = run.fleet.hosts.items()
        standby = next(
            n for n, p in hosts if p.settings.zone == zone and n != holder
        )
        await run.fleet.kill_host(standby)
        await asyncio.sleep(5.0)
        run.fleet.platform.is_down = True
        await asyncio.sleep(5.0)

    run_script(context, script, zone)


@behave.when(
    "all hosts of zone {zone} are killed and its {role} is started again"
)
def step(context, zone, role):
    async def script(run):
        holder = run.holder(zone)
        names = [PLAN.entry_name(i) for i in range(PLAN.entry_hosts)]
        for name in [n for n in names if n[-2] == zone]:
            await run.fleet.kill_host(name)
        await asyncio.sleep(1.0)
        wanted = role == "dispatcher"
        run.fleet.start_host(
            next(
                i
                for i, n in enumerate(names)
                if n[-2] == zone and (n == holder) is wanted
            )
        )
        await asyncio.sleep(8.0 if wanted else 40.0)

    run_script(context, script, zone)


@behave.when(
    "the dispatcher of zone {zone} is killed while the log is down for 10 s"
)
def step(context, zone):
    async def script(run):
        run.fleet.platform.is_down = True
        await run.fleet.kill_host(run.holder(zone))
        await asyncio.sleep(10.0)
        run.fleet.platform.is_down = False
        await asyncio.sleep(10.0)

    run_script(context, script, zone)


@behave.when("the log is down for 20 s")
def step(context):
    async def script(run):
        run.fleet.platform.is_down = True
        await asyncio.sleep(20.0)

    run_script(context, script)


@behave.when(
    "the dispatcher of zone {zone} is cut off from the log and its zone"
)
def step(context, zone):
    async def script(run):
        holder = run.holder(zone)
        hosts = run.fleet.hosts.items()
        others = [
            n for n, p in hosts if p.settings.zone == zone and n != holder
        ]
        run.fleet.network.cut([holder], [memory_fleet.PLATFORM, *others])
        await asyncio.sleep(12.0)
        run.fleet.network.heal()
        await asyncio.sleep(3.0)

    run_script(context, script, zone)


@behave.when("hosts are cut off, killed and restarted at random")
def step(context):
    async def script(run):
        names = [PLAN.entry_name(i) for i in range(PLAN.entry_hosts)]
        for _ in range(8):
            index = run.random.randrange(PLAN.entry_hosts)
            if names[index] not in run.fleet.hosts:
                run.fleet.start_host(index)
            elif run.random.random() < 0.4:
                await run.fleet.kill_host(names[index])
            else:
                far = run.random.sample([*names, memory_fleet.PLATFORM], 5)
                run.fleet.network.cut([names[index]], far)
            run.fleet.platform.is_down = run.random.random() < 0.2
            await asyncio.sleep(run.random.uniform(0.1, 6.0))
            if run.random.random() < 0.5:
                run.fleet.network.heal()

    run_script(context, script)


@behave.when("a second process with the dispatcher's name is started")
def step(context):
    async def script(run):
        first = run.holder("a")
        index = [PLAN.entry_name(i) for i in range(9)].index(first)
        run.fleet.start_double(index)
        await asyncio.sleep(10.0)
        hosts = run.fleet.hosts
        run.seats = [
            hosts[name].entry.duties.state.own_seats
            for name in (first, f"{first}-double")
        ]
        run.active = run.fleet.active_hosts("a")

    run_script(context, script)


@behave.when("the dispatcher of zone {zone} leaves under load")
def step(context, zone):
    async def script(run):
        holder = run.holder(zone)
        await run.fleet.hosts[holder].entry.leave()
        await asyncio.sleep(0.5)
        assert run.holder(zone) != holder
        await run.fleet.kill_host(holder)
        await asyncio.sleep(3.0)

    run_script(context, script, zone)


@behave.when(
    "the dispatcher and the next standby of zone {zone} leave at the same time"
)
def step(context, zone):
    async def script(run):
        holder = run.holder(zone)
        seats = {
            name: parts.entry.duties.state.own_seats[0].number
            for name, parts in run.fleet.hosts.items()
            if parts.settings.zone == zone
        }
        standby = next(n for n, number in seats.items() if number == 1)
        # The standby says that it leaves, but can't give its seat up.
        run.fleet.network.cut([standby], [memory_fleet.PLATFORM])
        first = asyncio.ensure_future(run.fleet.hosts[standby].entry.leave())
        await asyncio.sleep(0.4)
        await asyncio.gather(first, run.fleet.hosts[holder].entry.leave())
        await asyncio.sleep(1.0)

    run_script(context, script, zone)


@behave.then(
    "the zone is without grants for at least {low:g} s and at most {high:g} s"
)
def step(context, low, high):
    gaps = {run.seed: run.gap_s(context.zone) for run in context.runs}
    print(f"time without grants by seed: {gaps}")
    assert all(low <= gap <= high for gap in gaps.values()), gaps


@behave.then("no zone is without grants")
def step(context):
    for run in context.runs:
        assert not run.gaps_s, (run.seed, run.gaps_s)


@behave.then("every request that got an outcome was answered")
def step(context):
    for run in context.runs:
        refused = [o for o in run.outcomes.values() if not o.value_or(None)]
        assert not refused, (run.seed, refused)


@behave.then("only the second process holds a seat")
def step(context):
    for run in context.runs:
        assert run.seats[0] == [] and run.seats[1], (run.seed, run.seats)
        assert run.active[0].endswith("-double"), (run.seed, run.active)


@behave.then("no zone ever had two dispatchers and no request ran twice")
def step(context):
    for run in context.runs:
        assert not run.doubles, (run.seed, run.doubles[:3])
        assert not run.wrong_outcomes(), (run.seed, run.wrong_outcomes()[:3])
        answered = [o for o in run.outcomes.values() if o.value_or(None)]
        assert answered, (run.seed, len(run.outcomes))
