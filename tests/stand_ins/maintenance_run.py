"""Rollouts and moves on an in-memory fleet, with load, faults and checks.

While the platform has a host down, its upstream doesn't listen, and the tasks
that ran there have ended.
"""

import asyncio
from collections import abc
import typing

from chervillead.fleet import budgets
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import fold
from chervillead.fleet import records
from stand_ins import fault_run
from stand_ins import invariants
from stand_ins import local_fleet
from stand_ins import upstream as upstream_stand_in
from stand_ins import virtual_time

PLAN = local_fleet.FleetPlan(entry_hosts=6, upstreams_per_queue=8, slots=4)
QUEUE, SPARE = local_fleet.QUEUES[0], local_fleet.QUEUES[-1]
QUEUES = (QUEUE, SPARE)
BUDGET = 3
REBOOT_S = 8.0


class MaintenanceRun(fault_run.FaultRun):
    """A fleet of two pools whose hosts the platform can reboot."""

    def __init__(self, seed: int) -> None:
        super().__init__(PLAN, seed)
        self.running_at_reboot: list[str] = []
        self.appended_s: dict[int, float] = {}
        self._down: set[str] = set()
        self._dead: set[str] = set()
        append = self.fleet.platform.append

        def timed_append(data: bytes, now_s: float) -> int | None:
            offset = append(data, now_s)
            if offset is not None:
                self.appended_s[offset] = self.now_s
            return offset

        self.fleet.platform.append = timed_append  # type: ignore[method-assign]
        self.fleet.platform.reboot_s = REBOOT_S
        self.fleet.platform.host_lag_s = 2.0
        self.fleet.platform.hosts = [
            {"name": f"{queue}-{i}", "live": True, "leaving": False}
            for queue in local_fleet.QUEUES
            for i in range(PLAN.upstreams_per_queue)
        ]

    def first_records(self) -> abc.Iterator[records.Record]:
        """Yields the first configuration, with racks of two hosts."""
        for record in local_fleet.initial_records(PLAN):
            fields = dict(record.fields)
            if record.kind == records.POOL:
                fields |= {
                    "max_unavailable": BUDGET,
                    "max_unavailable_racks": 2,
                    "max_unavailable_zones": 2,
                }
            yield record._replace(fields=fields)

    async def sync_upstreams(self) -> None:
        """Takes upstreams down and brings them up as the platform has them."""
        while True:
            for name in self.fleet.upstreams:
                is_up = self.fleet.platform.is_up(name, self.now_s)
                if is_up and name in self._down:
                    self._bring_up_host(name)
                elif not is_up and name not in self._down:
                    await self._take_down_host(name)
            await asyncio.sleep(0.05)

    async def fail_hosts(self, names: list[str]) -> None:
        """Makes hosts fail; the platform's list shows them as down."""
        self._dead.update(names)
        self.fleet.platform.fail_hosts(names, self.now_s)
        await asyncio.sleep(0)

    async def _take_down_host(self, name: str) -> None:
        state = self.fleet.upstreams[name]
        if name not in self._dead:
            self.running_at_reboot += state.running
        self._down.add(name)
        self.fleet._tasks.pop(name).cancel()
        self.fleet.network.reset_place(name)
        await asyncio.gather(*(state.stop(i) for i in state.running))

    def _bring_up_host(self, name: str) -> None:
        queue, _, index = name.rpartition("-")
        self._down.discard(name)
        self._dead.discard(name)
        self.fleet._serve(
            name,
            PLAN.upstream_address(local_fleet.QUEUES.index(queue), int(index)),
            upstream_stand_in.build_handler(self.fleet.upstreams[name]),
        )

    def steps(self) -> abc.Iterator[fold.FoldStep]:
        """Yields the fold steps of all records in the log."""
        entries = [records.LogEntry(*e) for e in self.fleet.platform.entries]
        yield from fold.fold_records(
            configuration_module.EMPTY, records.decode_entries(entries)
        )

    def state(self) -> configuration_module.Configuration:
        """Returns the configuration after the whole log."""
        return list(self.steps())[-1].configuration

    def publish_as_operator(
        self, kind: str, subject: str, **fields: typing.Any
    ) -> None:
        """Publishes an operator's change, based on the latest version."""
        version = self.state().versions.get((kind, subject), -1)
        self.fleet.publish(
            records.Record(
                f"operator-{self.fleet.platform.next_offset}",
                kind,
                subject,
                version,
                fields,
            )
        )

    def find_violations(self) -> dict[str, list[str]]:
        """Returns the violations by check."""
        history = availability_history(self)
        reboots = [
            invariants.Interval(name, start_s, end_s)
            for name, _, start_s, end_s in self.fleet.platform.reboots
        ]
        evidence = self.evidence()._replace(
            reboots=reboots,
            leaving=history.leaving,
            host_pools=history.pools,
            pool_budgets=dict.fromkeys(local_fleet.QUEUES, BUDGET),
        )
        violations = invariants.violations(evidence)
        if self.running_at_reboot:
            violations["running at a reboot"] = self.running_at_reboot
        return violations


class AvailabilityHistory(typing.NamedTuple):
    """Availability and pools of hosts over time, from the log alone.

    Attributes:
        leaving: Times in which hosts were in maintenance.
        pools: Pools of each host, with the time at which it joined them.
    """

    leaving: list[invariants.Interval]
    pools: dict[str, list[tuple[float, str]]]


def availability_history(run: MaintenanceRun) -> AvailabilityHistory:
    """Returns the history by the log's records and their append times."""
    leaving: list[invariants.Interval] = []
    pools: dict[str, list[tuple[float, str]]] = {}
    leaving_since_s: dict[str, float] = {}
    for step in run.steps():
        state, at_s = step.configuration, run.appended_s[step.result.offset]
        for name, host in state.hosts.items():
            known = pools.setdefault(name, [(0.0, host.pool)])
            if known[-1][1] != host.pool:
                known.append((at_s, host.pool))
            if not budgets.is_in_maintenance(state, name):
                if name in leaving_since_s:
                    start_s = leaving_since_s.pop(name)
                    leaving.append(invariants.Interval(name, start_s, at_s))
            else:
                leaving_since_s.setdefault(name, at_s)
    for name, at_s in leaving_since_s.items():
        leaving.append(invariants.Interval(name, at_s, float("inf")))
    return AvailabilityHistory(leaving, pools)


Fault = abc.Callable[[MaintenanceRun], abc.Awaitable[None]]


async def fail_rack(run: MaintenanceRun) -> None:
    """Makes two hosts of a rack fail at once and brings them back later."""
    zone = run.random.randrange(4)
    names = [f"{QUEUE}-{zone}", f"{QUEUE}-{zone + 4}"]
    await run.fail_hosts(names)
    await asyncio.sleep(run.random.uniform(15.0, 40.0))
    run.fleet.platform._host_events += [
        (run.now_s, name, True, False) for name in names
    ]


async def race_operators(run: MaintenanceRun) -> None:
    """Publishes a move and drains of one host at the same time."""
    name = f"{QUEUE}-{run.random.randrange(8)}"
    pool = run.state().hosts[name].pool
    target = SPARE if pool == QUEUE else QUEUE
    version = run.fleet.platform.next_offset
    run.publish_as_operator(records.MOVE, name, to_pool=target, state="leaving")
    run.publish_as_operator(
        records.DRAIN, name, state="granted", reason="by hand"
    )
    run.publish_as_operator(
        records.DRAIN, name, state="drained", reason="by hand"
    )
    assert run.fleet.platform.next_offset > version
    await asyncio.sleep(0)


FAULTS: dict[str, Fault] = {
    "kills of entry hosts": fault_run.kill_and_restart,
    "outages of the platform": fault_run.stop_platform,
    "lost append replies": fault_run.lose_append_answers,
    "rack failures": fail_rack,
    "zones taken out of service": fault_run.take_zone_out,
    "network partitions of zones": fault_run.cut_zone,
    "racing operators": race_operators,
}


async def run_rollout(
    run: MaintenanceRun,
    faults: abc.Sequence[str],
    *,
    duration_s: float,
    fault_every_s: float = 15.0,
    prepare: abc.Callable[[MaintenanceRun], None] = lambda run: None,
) -> dict[str, list[str]]:
    """Runs a rollout of one pool under load; returns the violations by check.

    Args:
        run: The fleet.
        faults: Names in `FAULTS` of the faults to draw from.
        duration_s: Time from the start of the rollout to the last request.
        fault_every_s: Mean time between faults.
        prepare: Called before the rollout starts.
    """
    await run.fleet.start(run.first_records())
    background = asyncio.ensure_future(run.sync_upstreams())
    prepare(run)
    run.publish_as_operator(records.ROLLOUT, "kernel", pool=QUEUE, change="6.1")
    end_s = run.now_s + duration_s
    tasks, number = [], 0
    next_fault_s = run.now_s + run.random.expovariate(1 / fault_every_s)
    while run.now_s < end_s:
        await asyncio.sleep(run.random.expovariate(6.0))
        tasks.append(asyncio.ensure_future(fault_run._caller(run, number)))
        number += 1
        if faults and run.now_s >= next_fault_s:
            fault = FAULTS[run.random.choice(list(faults))]
            tasks.append(asyncio.ensure_future(fault(run)))
            next_fault_s += run.random.expovariate(1 / fault_every_s)
    await asyncio.sleep(20.0)
    await asyncio.gather(*tasks)
    violations = run.find_violations()
    background.cancel()
    await run.fleet.stop()
    return violations


def start_run(
    seed: int, faults: abc.Sequence[str], **options: typing.Any
) -> tuple[MaintenanceRun, dict[str, list[str]]]:
    """Runs one seed on a virtual clock; returns the run and its violations."""
    run = MaintenanceRun(seed)
    main = run_rollout(run, faults, **options)
    return run, virtual_time.run_virtual(main, seed)
