"""Steps of tests/callers/signals.feature."""

import asyncio
import collections
import pathlib
import shutil
import signal
import tempfile
import time

import behave

from stand_ins import fleet_state
from stand_ins import invariants
from stand_ins import local_fleet
from stand_ins import process_load

CALLERS_PER_HOST = 3
# Number of submissions between two signals; several for each caller.
SUBMISSIONS_BETWEEN_SIGNALS = 150
IDLE_CONNECTIONS = 4
TEAM = next(iter(local_fleet.TEAM_KEYS))


async def kill(fleet, load, zone):
    """Kills the dispatcher of a zone with SIGKILL under load."""
    killed = await fleet_state.seat_holder(fleet.plan, zone)
    fleet.processes[killed].send_signal(signal.SIGKILL)
    await asyncio.to_thread(fleet.processes[killed].wait, 30)
    load.unavailable.add(killed)


async def stop(fleet, load, zone):
    """Stops the dispatcher of a zone while it has load and idle connections."""
    name = await fleet_state.seat_holder(fleet.plan, zone)
    names = [fleet.plan.entry_name(i) for i in range(fleet.plan.entry_hosts)]
    index = names.index(name)
    idle = [
        process_load.CallerConnection(load) for _ in range(IDLE_CONNECTIONS)
    ]
    await asyncio.gather(*(load.submit(c, index, TEAM) for c in idle))
    assert all(c.is_open for c in idle), "the host closed idle connections"
    started_s, kept = time.monotonic(), load.kept[name]
    fleet.processes[name].send_signal(signal.SIGTERM)
    await fleet_state.wait_until_not_ready(fleet.plan, index)
    await asyncio.gather(*(load.submit(c, index, TEAM) for c in idle))
    kept = load.kept[name] - kept
    still_open = [c for c in idle if c.is_open]
    load.unavailable.add(name)
    status = await asyncio.to_thread(fleet.processes[name].wait, 60)
    load.planned_stops.append(
        invariants.Interval(name, started_s, time.monotonic())
    )
    return name, kept, still_open, status


@behave.given(
    "two teams that load a fleet of {count:d} entry hosts on keep-alive "
    "connections"
)
def step(context, count):
    start_fleet(context, count, "chervillead")


@behave.given("two teams that load a fleet of {count:d} abrupt entry hosts")
def step(context, count):
    start_fleet(context, count, "stand_ins.abrupt_entry")


def start_fleet(context, count, entry_module):
    """Starts a fleet that is stopped when the scenario ends."""
    plan = local_fleet.FleetPlan(
        entry_hosts=count,
        upstreams_per_queue=4,
        stop_delay_s=5.0,
        entry_module=entry_module,
    )
    folder = pathlib.Path(tempfile.mkdtemp(prefix="callers-signals-"))
    context.add_cleanup(shutil.rmtree, folder)
    context.fleet = local_fleet.start_fleet(plan, folder)
    context.add_cleanup(local_fleet.stop_fleet, context.fleet)


@behave.when(
    "the dispatcher of zone {first} gets SIGKILL and that of zone {second} "
    "SIGTERM"
)
def step(context, first, second):
    async def main():
        fleet = context.fleet
        await local_fleet.wait_until_ready(fleet)
        load = process_load.ProcessLoad(fleet.plan)
        load.start(CALLERS_PER_HOST)
        await load.wait_for_submissions(SUBMISSIONS_BETWEEN_SIGNALS)
        await kill(fleet, load, first)
        await load.wait_for_submissions(SUBMISSIONS_BETWEEN_SIGNALS)
        context.stopped = await stop(fleet, load, second)
        await load.wait_for_submissions(SUBMISSIONS_BETWEEN_SIGNALS)
        await load.finish()
        context.load, context.evidence = load, await load.evidence()

    asyncio.run(main())


@behave.when(
    "the dispatcher of zone {zone} gets SIGTERM in the middle of the load"
)
def step(context, zone):
    async def main():
        fleet = context.fleet
        await local_fleet.wait_until_ready(fleet)
        load = process_load.ProcessLoad(fleet.plan)
        load.start(CALLERS_PER_HOST)
        await load.wait_for_submissions(SUBMISSIONS_BETWEEN_SIGNALS)
        name = await fleet_state.seat_holder(fleet.plan, zone)
        started_s = time.monotonic()
        fleet.processes[name].send_signal(signal.SIGTERM)
        await asyncio.to_thread(fleet.processes[name].wait, 60)
        load.unavailable.add(name)
        load.planned_stops.append(
            invariants.Interval(name, started_s, time.monotonic())
        )
        await load.finish()
        context.evidence = await load.evidence()

    asyncio.run(main())


@behave.then('the check "{name}" finds requests that were interrupted')
def step(context, name):
    assert name in invariants.violations(context.evidence)


@behave.then("no invariant is violated")
def step(context):
    answered = [s for s in context.evidence.submissions if s.answer]
    assert len(answered) >= SUBMISSIONS_BETWEEN_SIGNALS, len(answered)
    found = invariants.violations(context.evidence)
    refusals = collections.Counter(
        s.refusal.reason for s in context.evidence.submissions if s.refusal
    )
    print(f"refusals {dict(refusals)}")
    print(
        f"submissions {len(context.evidence.submissions)}, answered "
        f"{len(answered)}, executions {len(context.evidence.executions)}"
    )
    assert not found, found


@behave.then(
    "each caller that lost its host got a correct verdict from another"
)
def step(context):
    broken = set(context.load.broken)
    assert broken, "no request was in progress on the killed host"
    counts = fleet_state.outcome_counts(context.evidence, broken)
    print(f"lost hosts of {len(broken)} requests, (outcome, runs): {counts}")
    allowed = {("answered", 1), ("ran", 1)}
    allowed |= {("may-have-run", 0), ("may-have-run", 1)}
    assert set(counts) <= allowed, counts


@behave.then(
    "after SIGTERM the host served keep-alive connections and exited with "
    "{status:d}"
)
def step(context, status):
    name, kept, still_open, exit_status = context.stopped
    print(f"{name}: {kept} requests on keep-alive connections after SIGTERM")
    assert kept >= IDLE_CONNECTIONS, (name, kept)
    assert not still_open, (
        "a response of a stopping host left its connection open"
    )
    assert exit_status == status, exit_status
