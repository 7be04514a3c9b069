"""Scenarios that run entry hosts on the platform's stand-ins.

Given and when steps only record the actions of the scenario. The first then
step runs all of them on a virtual clock and keeps the result for the checks.
"""

import asyncio
from collections import abc
import functools
import typing

from behave import runner
import msgspec
from returns import result

from chervillead import verdicts
from stand_ins import platform_fleet
from stand_ins import platform_worker
from stand_ins import virtual_time

JOB = platform_fleet.job_id(1)
# A step that waits for longer than this waits for what won't happen.
MAX_WAIT_S = 60.0


Action = abc.Callable[..., abc.Awaitable[typing.Any]]


class ScenarioResult:
    """Result of a scenario: the fleet, phases, outcomes and violations.

    The owner of the pool is None unless exactly one host owns it.
    """

    def __init__(
        self,
        fleet: platform_fleet.PlatformFleet,
        phases: dict[str, str],
        outcomes: list[typing.Any],
        pool_owner: str | None,
    ) -> None:
        self.fleet = fleet
        self.phases = phases
        self.outcomes = outcomes
        self.runs = fleet.runs(JOB)
        self.violations = list(fleet.violations())
        self.owners = fleet.owner_names()
        self.pool_owner = pool_owner


def add_action(
    context: runner.Context, action: Action, **arguments: typing.Any
) -> None:
    """Adds an action to the scenario."""
    context.actions.append(functools.partial(action, **arguments))


def run_once(context: runner.Context) -> ScenarioResult:
    """Runs the scenario on the first call and returns its result."""
    if not hasattr(context, "scenario_result"):
        context.scenario_result = virtual_time.run_virtual(
            run_scenario(context), context.seed
        )
    return typing.cast(ScenarioResult, context.scenario_result)


async def run_scenario(context: runner.Context) -> ScenarioResult:
    """Runs the actions of a scenario on a new fleet."""
    fleet = platform_fleet.PlatformFleet(
        hosts=context.hosts,
        workers=context.workers,
        seed=context.seed,
        turned_off=getattr(context, "turned_off", 0),
        max_lease_ms=getattr(
            context, "max_lease_ms", platform_worker.MAX_LEASE_MS
        ),
    )
    for worker in fleet.workers.values():
        worker.work_s = context.work_s
    fleet.other_pool_workers = getattr(context, "other_pool_workers", set())
    slow_hosts = getattr(context, "slow_hosts", len(fleet.host_names))
    for host in fleet.host_names[:slow_hosts]:
        if hasattr(context, "link_rate"):
            fleet.network.limit_incoming(host, context.link_rate)
    fleet.host_cores = getattr(context, "host_cores", {})
    await fleet.start()
    outcomes = []
    last_action = getattr(context, "last_action", None)
    for action in (*context.actions, *([last_action] if last_action else [])):
        outcome = await action(fleet)
        if outcome is not None:
            outcomes.append(outcome)
    phases = {host: await fleet.phase(JOB, host=host) for host in fleet.hosts}
    owners = [
        name
        for name, host in fleet.hosts.items()
        if host.ownership.owner_of(host.partition_of(platform_fleet.POOL))
    ]
    await fleet.stop()
    return ScenarioResult(
        fleet, phases, outcomes, owners[0] if len(owners) == 1 else None
    )


async def submit(
    fleet: platform_fleet.PlatformFleet,
    steps: list[dict[str, typing.Any]],
    host: abc.Callable[[platform_fleet.PlatformFleet], str] | None = None,
    **arguments: typing.Any,
) -> result.Result[None, verdicts.Refusal]:
    """Submits the scenario's job; `host` selects one of the fleet."""
    name = host(fleet) if host is not None else None
    return await fleet.submit(JOB, steps, host=name, **arguments)


async def wait_until(
    condition: abc.Callable[[], object], interval_s: float = 0.05
) -> None:
    """Waits until a condition holds.

    Raises:
        TimeoutError: It doesn't within `MAX_WAIT_S`.
    """
    async with asyncio.timeout(MAX_WAIT_S):
        while not condition():
            await asyncio.sleep(interval_s)


async def publish_wave(
    fleet: platform_fleet.PlatformFleet, *, cap: int, duration_s: int = 20
) -> None:
    """Publishes a maintenance wave over all hosts, as operators do."""
    wave = {
        "Wave": 1,
        "Machines": fleet.hosts_service.names,
        "DurationS": duration_s,
        "Cap": cap,
    }
    fleet.store.put("keyed.op", "wave/1", msgspec.json.encode(wave))
