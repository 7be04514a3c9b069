"""Steps of tests/fleet/host_list.feature."""

import asyncio

import behave

from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import host_list
from chervillead.fleet import log_client
from stand_ins import platform as platform_stand_in
from stand_ins import virtual_time


@behave.then("it is schedulable: {schedulable}")
def step(context, schedulable):
    shown, configured = context.scenario.name.split("that is ")[1].split(
        " in the list and "
    )
    configured = configured.split(" in the configuration")[0]
    entries = {
        "live": [log_client.HostEntry("h", True, False)],
        "leaving": [log_client.HostEntry("h", True, True)],
        "down": [log_client.HostEntry("h", False, False)],
        "missing": [],
    }
    hosts = host_list.group_hosts(entries[shown])
    drains, configured_hosts = {}, {}
    if configured != "unknown":
        configured_hosts["h"] = configuration_module.Host(
            "p", "z", "r", ("a", 1)
        )
    if configured == "draining":
        drains["h"] = configuration_module.Drain(
            configuration_module.DrainState.GRANTED
        )
    state = configuration_module.Configuration(
        hosts=configured_hosts,
        drains=drains,
        zones={"z": configuration_module.Zone(0)},
    )
    is_schedulable = host_list.is_host_schedulable(state, hosts, "h")
    assert is_schedulable == (schedulable == "yes"), (
        hosts,
        is_schedulable,
    )
    expected = {"h"} if shown == "missing" and configured_hosts else set()
    assert host_list.missing_hosts(state, hosts) == expected
    assert not host_list.missing_hosts(state, host_list.UNKNOWN)


@behave.when(
    "hosts reboot while the list lags by {lag_s:d} s and the platform is down "
    "for {outage_s:d} s"
)
def step(context, lag_s, outage_s):
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
        cache = host_list.HostListCache(clock)
        task = asyncio.ensure_future(
            host_list.poll_host_list(
                cache, client._replace(list_hosts=list_hosts)
            )
        )
        context.transitions = []
        state.reboot(["h"], 10.0, 10.0, 10.0)
        while clock.monotonic() < 40:
            await cache.wait_for_change()
            hosts = cache.hosts
            name = next(
                n for n in ("live", "leaving", "down") if getattr(hosts, n)
            )
            context.transitions.append((name, clock.monotonic()))
            if len(context.transitions) == 4:
                break
        state.is_down = True
        start_s, before, context.kept = clock.monotonic(), len(calls), []
        await asyncio.sleep(outage_s)
        context.kept = cache.hosts
        context.age_s = cache.age_s
        context.calls = len(calls) - before
        state.is_down = False
        await asyncio.sleep(10)
        context.last_age_s = cache.age_s
        context.start_s = start_s
        task.cancel()

    context.outage_s = outage_s
    virtual_time.run_virtual(main(), context.seed)


@behave.then(
    "the list shows leaving, down and live in this order, each within "
    "{bound_s:d} s"
)
def step(context, bound_s):
    names = [name for name, _ in context.transitions]
    assert names == ["live", "leaving", "down", "live"], context.transitions
    for (_, at_s), due_s in zip(
        context.transitions[1:], (10, 20, 30), strict=True
    ):
        assert due_s <= at_s <= due_s + bound_s, context.transitions


@behave.then(
    "during the outage the list is kept, its age grows and calls are few"
)
def step(context):
    assert context.kept.live == {"h"}, context.kept
    assert context.age_s >= context.outage_s, context.age_s
    assert context.calls <= context.outage_s, context.calls
    assert context.last_age_s <= 2, context.last_age_s
