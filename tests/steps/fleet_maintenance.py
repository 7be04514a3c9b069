"""Steps of tests/fleet/maintenance.feature."""

import asyncio
import re

import behave

from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import drain_steps
from chervillead.fleet import host_monitor
from chervillead.fleet import records
from chervillead.fleet import rollouts
from stand_ins import deliberate_faults
from stand_ins import maintenance_run
from stand_ins import virtual_time

ROLLOUT_S = 200.0
FAULTY_ROLLOUT_S = 60.0


@behave.when("a rollout runs under load with {faults} on seeds {seeds}")
def step(context, faults, seeds):
    kinds = [] if faults == "no faults" else faults.split(",")
    context.runs = [
        maintenance_run.start_run(int(seed), kinds, duration_s=ROLLOUT_S)
        for seed in seeds.split(",")
    ]


@behave.when("a rollout runs on a build that {fault}")
def step(context, fault):
    with deliberate_faults.applied(fault):
        context.runs = [
            maintenance_run.start_run(1, [], duration_s=FAULTY_ROLLOUT_S)
        ]


@behave.then('the rollout fails the check "{name}"')
def step(context, name):
    violations = context.runs[0][1]
    assert name in violations, f"found by {sorted(violations)} only"


@behave.then("the records of the stand-ins show no violation")
def step(context):
    for run, violations in context.runs:
        assert not violations, violations
        assert run.fleet.platform.reboots, "nothing was rebooted"
        assert any(s.answer for s in run.submissions), "nothing ran"


@behave.then("the rollout is complete: {complete}")
def step(context, complete):
    if complete == "yes":
        for run, _ in context.runs:
            names = [reboot[0] for reboot in run.fleet.platform.reboots]
            expected = {f"{maintenance_run.QUEUE}-{i}" for i in range(8)}
            assert set(names) == expected, names


@behave.when("a rollout runs whose first two hosts {failure}")
def step(context, failure):
    names = [f"{maintenance_run.QUEUE}-{index}" for index in (0, 4)]

    async def fail_after_return(run):
        while not any(
            end_s < run.now_s for *_, end_s in run.fleet.platform.reboots
        ):
            await asyncio.sleep(1.0)
        await asyncio.sleep(12.0)
        await run.fail_hosts(names)

    def prepare(run):
        if failure.startswith("don't"):
            run.fleet.platform.hosts_lost_on_reboot.update(names)
        else:
            context.task = asyncio.ensure_future(fail_after_return(run))

    context.failing_hosts = names
    timeout_s = (
        drain_steps.REBOOT_TIMEOUT_S if failure.startswith("don't") else 0
    )
    context.runs = [
        maintenance_run.start_run(
            1, [], duration_s=120.0 + timeout_s, prepare=prepare
        )
    ]


@behave.then("the rollout is stopped by a record and no host reboots after it")
def step(context):
    run, violations = context.runs[0]
    assert not violations, violations
    stops = [
        run.appended_s[s.result.offset]
        for s in run.steps()
        if any(r.stopped for r in s.configuration.rollouts.values())
    ]
    assert stops, "the rollout was not stopped"
    late = [r for r in run.fleet.platform.reboots if r[2] > stops[0]]
    assert not late, late
    assert len(run.fleet.platform.reboots) <= maintenance_run.BUDGET


@behave.then("the two hosts are recorded as failed")
def step(context):
    drains = context.runs[0][0].state().drains
    for name in context.failing_hosts:
        assert drains[name].state.value == "failed", drains[name]


@behave.when("a host drains while a task of {run_s:d} s runs on it")
def step(context, run_s):
    async def main():
        run = maintenance_run.MaintenanceRun(1)
        await run.fleet.start(run.first_records())
        background = asyncio.ensure_future(run.sync_upstreams())
        entry = next(iter(run.fleet.hosts))
        body = f"run={run_s};long".encode()
        caller = asyncio.ensure_future(
            run.fleet.submit(
                entry,
                maintenance_run.QUEUE,
                "nursery-north",
                body,
                deadline_s=2 * run_s,
            )
        )
        await asyncio.sleep(1.0)
        name = next(n for n, s in run.fleet.upstreams.items() if s.running)
        run.publish_as_operator(
            records.DRAIN, name, state="granted", reason="by hand"
        )
        while not run.fleet.platform.reboots:
            await asyncio.sleep(1.0)
        context.reboot = run.fleet.platform.reboots[0]
        await asyncio.sleep(1.0)
        context.upstream = run.fleet.upstreams[name]
        context.interrupted = run.running_at_reboot
        background.cancel()
        await caller
        await run.fleet.stop()

    virtual_time.run_virtual(main(), context.seed)


@behave.then("the task has {ending} before the reboot")
def step(context, ending):
    record = context.upstream.records[0]
    assert not context.interrupted, context.interrupted
    assert record.ended_s < context.reboot[2], (record, context.reboot)
    checkpointed = record.request_id in context.upstream.checkpoints
    assert checkpointed == (ending == "been checkpointed"), record


def _pool(*, drains=None, zones=("in", "in", "in"), **budget):
    """Returns a configuration of 12 hosts: one rack of 4 in each of 3 zones."""
    state = configuration_module.Configuration(
        zones={
            f"z{i}": configuration_module.Zone(
                i, configuration_module.ZoneStatus(status)
            )
            for i, status in enumerate(zones)
        },
        pools={"p": configuration_module.Pool(**budget)},
        rollouts={"r": configuration_module.Rollout("p", "kernel")},
        hosts={
            f"h{i}": configuration_module.Host("p", f"z{i // 4}", "r", ("a", i))
            for i in range(12)
        },
        drains=drains or {},
    )
    return state._replace(
        pool_use={
            "p": configuration_module.PoolUse(
                {f"z{i}": 4 for i in range(3)}, frozenset(drains or {})
            )
        }
    )


class LookupOnlyDict(dict):
    """Hosts that may be looked up by name but not iterated over."""

    def __iter__(self):
        raise AssertionError("all hosts were scanned")

    items = values = keys = __iter__


@behave.given("a pool whose rollout has drained host h4")
def step(context):
    context.reason = rollouts.rollout_reason("r", "kernel")
    context.drain = configuration_module.Drain(
        configuration_module.DrainState.DRAINED, context.reason
    )
    context.state = _pool(drains={"h4": context.drain})


@behave.then("no host is pending, and the hosts are not scanned")
def step(context):
    state = context.state._replace(hosts=LookupOnlyDict(context.state.hosts))
    assert rollouts.pending_hosts(state, context.reason) == []


@behave.then("11 hosts are pending once h4 has returned")
def step(context):
    returned = context.drain._replace(
        state=configuration_module.DrainState.RETURNED
    )
    state = context.state._replace(drains={"h4": returned})
    state = state._replace(
        pool_use={"p": state.pool_use["p"]._replace(unavailable=frozenset())}
    )
    pending = rollouts.pending_hosts(state, context.reason)
    assert len(pending) == 11 and "h4" not in pending, pending


@behave.given(
    "a pool of 12 hosts in racks of 4, two of them down, and {budget}"
)
def step(context, budget):
    hosts, racks, zones = map(int, re.findall(r"\d+", budget))
    state = _pool(
        max_unavailable=hosts,
        max_unavailable_racks=racks,
        max_unavailable_zones=zones,
    )
    context.wave = rollouts.choose_wave(
        state,
        rollouts.rollout_reason("r", "kernel"),
        running={f"h{i}": i for i in range(12)},
        down={"h0", "h1"},
    )


@behave.then("the next wave is {wave}")
def step(context, wave):
    expected = [] if wave == "empty" else wave.split()
    assert context.wave == expected, context.wave


@behave.given(
    "a pool with a drained host whose budget is then used up by a zone"
)
def step(context):
    reason = rollouts.rollout_reason("r", "kernel")
    drained = configuration_module.Drain(
        configuration_module.DrainState.DRAINED, reason
    )
    budget = {"max_unavailable": 4, "drains": {"h4": drained}}
    context.within_budget = _pool(**budget)
    context.over_budget = _pool(zones=("out", "in", "in"), **budget)


@behave.then(
    "the reboot is put on hold, and the host returns to service without it"
)
def step(context):
    conditions = host_monitor.HostConditions(
        idle_s=60, healthy_s=60, in_state_s=60
    )

    def next_step(state, held_s):
        return drain_steps.next_step(
            state, "h4", conditions._replace(held_s=held_s)
        )

    assert (
        next_step(context.within_budget, 0).action is drain_steps.Action.REBOOT
    )
    assert next_step(context.over_budget, 0).action is drain_steps.Action.HOLD
    returned = next_step(context.over_budget, drain_steps.MIN_HOLD_S).drain
    assert returned == configuration_module.Drain(
        configuration_module.DrainState.RETURNED, drain_steps.NOT_REBOOTED
    )
