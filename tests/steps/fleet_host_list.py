"""Steps of tests/fleet/host_list.feature."""

import asyncio

import behave

from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import host_list
from chervillead.fleet import log_client
from stand_ins import platform as platform_stand_in
from stand_ins import virtual_time


@behave.then("it takes work: {work}")
def step(context, work):
    shown, configured = context.scenario.name.split("that is ")[1].split(
        " in the list and "
    )
    configured = configured.split(" in the configuration")[0]
    lines = {
        "live": [log_client.HostEntry("h", True, False)],
        "leaving": [log_client.HostEntry("h", True, True)],
        "down": [log_client.HostEntry("h", False, False)],
        "missing": [],
    }
    hosts = host_list.group_hosts(lines[shown])
    drains, placed = {}, {}
    if configured != "unknown":
        placed["h"] = configuration_module.Host("p", "z", "r", ("a", 1))
    if configured == "draining":
        drains["h"] = configuration_module.Drain(
            configuration_module.DrainState.GRANTED
        )
    state = configuration_module.Configuration(
        hosts=placed,
        drains=drains,
        zones={"z": configuration_module.Zone(0)},
    )
    taken = host_list.is_host_schedulable(state, hosts, "h")
    assert taken == (work == "yes"), (hosts, taken)
    expected = {"h"} if shown == "missing" and placed else set()
    assert host_list.missing_hosts(state, hosts) == expected
    assert not host_list.missing_hosts(state, host_list.UNKNOWN)


@behave.when(
    "hosts reboot while the list lags by {lag_s:d} s and the platform is away "
    "for {away_s:d} s"
)
def step(context, lag_s, away_s):
    async def main():
        state = platform_stand_in.PlatformState()
        state.hosts = [{"name": "h", "live": True, "leaving": False}]
        state.host_lag_s = float(lag_s)
        client = platform_stand_in.memory_client(state)
        calls = []

        async def list_hosts():
            calls.append(clock.monotonic())
            return await client.list_hosts()

        clock = virtual_time.clock()
        holder = host_list.HostListCache(clock)
        task = asyncio.ensure_future(
            host_list.poll_host_list(
                holder, client._replace(list_hosts=list_hosts)
            )
        )
        context.seen = []
        state.reboot(["h"], 10.0, 10.0, 10.0)
        while clock.monotonic() < 40:
            await holder.wait_for_change()
            hosts = holder.hosts
            name = next(
                n for n in ("live", "leaving", "down") if getattr(hosts, n)
            )
            context.seen.append((name, clock.monotonic()))
            if len(context.seen) == 4:
                break
        state.is_down = True
        start_s, before, context.kept = clock.monotonic(), len(calls), []
        await asyncio.sleep(away_s)
        context.kept = holder.hosts
        context.age_s = holder.age_s
        context.calls = len(calls) - before
        state.is_down = False
        await asyncio.sleep(10)
        context.last_age_s = holder.age_s
        context.start_s = start_s
        task.cancel()

    context.away_s = away_s
    virtual_time.run_virtual(main(), context.seed)


@behave.then(
    "the list shows leaving, down and live in this order, each within "
    "{bound_s:d} s"
)
def step(context, bound_s):
    names = [name for name, _ in context.seen]
    assert names == ["live", "leaving", "down", "live"], context.seen
    for (_, at_s), due_s in zip(context.seen[1:], (10, 20, 30), strict=True):
        assert due_s <= at_s <= due_s + bound_s, context.seen


@behave.then(
    "during the outage the list is kept, its age grows and calls are few"
)
def step(context):
    assert context.kept.live == {"h"}, context.kept
    assert context.age_s >= context.away_s, context.age_s
    assert context.calls <= context.away_s, context.calls
    assert context.last_age_s <= 2, context.last_age_s
