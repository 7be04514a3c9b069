"""Maintenance controller: drives drains, reboots, rollouts and moves.

It is normally active on one entry host, the fleet leader. Two active ones do no
harm: they propose the same records, of which the fold accepts one each, and
request the same reboots, which the platform starts once for each id.
"""

import asyncio
from collections import abc
import typing

import eliot

from chervillead import types
from chervillead.fleet import budgets
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import drain_steps
from chervillead.fleet import host_list
from chervillead.fleet import host_monitor
from chervillead.fleet import log_client
from chervillead.fleet import log_reader
from chervillead.fleet import pool_moves
from chervillead.fleet import publisher
from chervillead.fleet import records
from chervillead.fleet import rollouts

INTERVAL_S = 1.0
# No reboot is requested and no record proposed on an older confirmation of the
# log.
MAX_UNCONFIRMED_S = 1.0
PUBLISH_TIMEOUT_S = 5.0


class MaintenancePorts(typing.NamedTuple):
    """Functions that maintenance needs from the rest of an entry host.

    Attributes:
        is_fleet_leader: Returns whether this entry host is the fleet leader.
        is_folded_everywhere: Returns whether every live entry host has folded
            the log up to an offset.
        running_tasks: Asks a host's upstream for the number of its running
            tasks; None if it does not answer.
        checkpoint: Asks a host's upstream to checkpoint all its tasks; returns
            whether it accepted.
    """

    is_fleet_leader: abc.Callable[[], bool]
    is_folded_everywhere: abc.Callable[[int], bool]
    running_tasks: abc.Callable[[str], abc.Awaitable[int | None]]
    checkpoint: abc.Callable[[str], abc.Awaitable[bool]]


class MaintenanceContext(typing.NamedTuple):
    """State and functions that the maintenance controller works with."""

    reader: log_reader.LogReader
    platform: log_client.PlatformClient
    hosts: host_list.HostListCache
    clock: types.Clock
    ports: MaintenancePorts
    monitor: host_monitor.HostMonitor


async def run_maintenance(
    reader: log_reader.LogReader,
    platform: log_client.PlatformClient,
    hosts: host_list.HostListCache,
    clock: types.Clock,
    ports: MaintenancePorts,
) -> None:
    """Advances all maintenance each second, until cancelled."""
    monitor: host_monitor.HostMonitor | None = None
    while True:
        await asyncio.sleep(INTERVAL_S)
        if not ports.is_fleet_leader():
            # Observations from an earlier term as leader are outdated.
            monitor = None
            continue
        if monitor is None:
            monitor = host_monitor.HostMonitor()
            # The previous leader may have returned them a moment ago, so they
            # soak for the whole time again.
            for name in rollouts.returned_hosts(reader.configuration):
                monitor.record_return(name, clock.monotonic())
        context = MaintenanceContext(
            reader, platform, hosts, clock, ports, monitor
        )
        if _is_log_confirmed(context):
            await _advance_all(context)


def is_fleet_leader(
    configuration: configuration_module.Configuration,
    host: str,
    live: abc.Container[str],
    *,
    leader_seat_number: int = 0,
) -> bool:
    """Returns whether `host` is the fleet leader.

    The fleet leader holds the leader seat of the zone with the lowest index
    among the zones whose leader is live. Hosts may disagree on who is live, but
    two fleet leaders do no harm.

    Args:
        configuration: The current fleet configuration.
        host: Name of an entry host.
        live: Names of live entry hosts.
        leader_seat_number: Number of the leader seat in each zone.
    """
    zones = configuration.zones
    leader_seats = [
        (zones[seat.zone].index, seat.host)
        for seat in configuration.seats.values()
        if seat.number == leader_seat_number and seat.zone in zones
    ]
    leaders = (leader for _, leader in sorted(leader_seats) if leader in live)
    return next(leaders, None) == host


def hosts_to_check(
    configuration: configuration_module.Configuration,
    hosts: host_list.HostList,
) -> set[str]:
    """Returns the unavailable hosts and those that are listed as down."""
    names = set(hosts.down) & set(configuration.hosts)
    return names.union(
        *(use.unavailable for use in configuration.pool_use.values())
    )


def _is_log_confirmed(context: MaintenanceContext) -> bool:
    return (
        context.reader.unconfirmed_s < MAX_UNCONFIRMED_S
        and not context.reader.alarms
    )


async def _advance_all(context: MaintenanceContext) -> None:
    """Advances each host that needs it, then the rollouts."""
    configuration = context.reader.configuration
    names = hosts_to_check(configuration, context.hosts.hosts)
    context.monitor.forget_except(names)
    # Run concurrently, so that no host waits for another's upstream or record.
    await asyncio.gather(*(_advance_host(context, n) for n in sorted(names)))
    if _is_log_confirmed(context):
        for subject in rollouts.rollouts_to_stop(context.reader.configuration):
            await _stop_rollout(context, subject)
        for reason in rollouts.active_rollouts(context.reader.configuration):
            await _start_wave(context, reason)


async def _advance_host(context: MaintenanceContext, name: str) -> None:
    """Observes one host and applies its next step."""
    running = await context.ports.running_tasks(name)
    configuration = context.reader.configuration
    if name not in configuration.hosts or not _is_log_confirmed(context):
        return
    now_s = context.clock.monotonic()
    is_moving = budgets.is_moving(configuration, name)
    kind = records.MOVE if is_moving else records.DRAIN
    offset = host_monitor.last_record_offset(configuration, kind, name)
    context.monitor.track_record(name, offset, now_s)
    context.monitor.record_observation(
        name, context.hosts.hosts, running, now_s
    )
    if not context.ports.is_folded_everywhere(offset):
        # An entry host that hasn't read the record may still start work here.
        context.monitor.set_condition(name, "idle", now_s, False)
    conditions = context.monitor.conditions(name, now_s)
    if is_moving:
        await _advance_move(context, name, conditions)
    else:
        await _apply_step(
            context,
            name,
            drain_steps.next_step(configuration, name, conditions),
        )


async def _advance_move(
    context: MaintenanceContext,
    name: str,
    conditions: host_monitor.HostConditions,
) -> None:
    configuration = context.reader.configuration
    move = pool_moves.next_move(configuration, name, conditions)
    if move is not None:
        await _publish(
            context,
            records.MOVE,
            name,
            {"to_pool": move.to_pool, "state": move.state.value},
        )
    elif pool_moves.needs_checkpoint(configuration, name, conditions):
        await context.ports.checkpoint(name)


async def _apply_step(
    context: MaintenanceContext, name: str, step: drain_steps.Step
) -> None:
    now_s = context.clock.monotonic()
    is_held = step.action is drain_steps.Action.HOLD
    context.monitor.set_condition(name, "held", now_s, is_held)
    match step.action:
        case drain_steps.Action.RECORD if step.drain is not None:
            await _publish_drain(context, name, step.drain)
        case drain_steps.Action.CHECKPOINT:
            await context.ports.checkpoint(name)
        case drain_steps.Action.REBOOT:
            await _reboot(context, name)


async def _reboot(context: MaintenanceContext, name: str) -> None:
    """Requests a host's reboot, or its state if it was requested before."""
    offset = host_monitor.last_record_offset(
        context.reader.configuration, records.DRAIN, name
    )
    response = await context.platform.reboot_host(name, f"drain-{offset}")
    context.monitor.record_reboot(
        name, response.value_or(None), context.clock.monotonic()
    )
    eliot.log_message(
        "maintenance:reboot",
        host=name,
        drain=offset,
        state=response.map(lambda state: state.value).value_or("unknown"),
    )


async def _start_wave(context: MaintenanceContext, reason: str) -> None:
    """Proposes the drains of a rollout's next wave."""
    configuration = context.reader.configuration
    if reason not in rollouts.active_rollouts(configuration):
        return
    soaking = context.monitor.returned_within(
        drain_steps.SOAK_S, context.clock.monotonic()
    )
    down = context.hosts.hosts.down
    names = rollouts.pending_hosts(configuration, reason, soaking=soaking)
    counts = await asyncio.gather(
        *(context.ports.running_tasks(n) for n in names)
    )
    running = {
        name: count
        for name, count in zip(names, counts, strict=True)
        if count is not None
    }
    wave = rollouts.choose_wave(
        context.reader.configuration,
        reason,
        running=running,
        soaking=soaking,
        down=down,
    )
    drain = configuration_module.Drain(
        configuration_module.DrainState.GRANTED, reason
    )
    await asyncio.gather(*(_publish_drain(context, n, drain) for n in wave))


async def _stop_rollout(context: MaintenanceContext, subject: str) -> None:
    rollout = context.reader.configuration.rollouts[subject]
    await _publish(
        context,
        records.ROLLOUT,
        subject,
        rollout._replace(stopped=True)._asdict(),
    )


async def _publish_drain(
    context: MaintenanceContext, name: str, drain: configuration_module.Drain
) -> None:
    accepted = await _publish(
        context,
        records.DRAIN,
        name,
        {"state": drain.state.value, "reason": drain.reason},
    )
    if accepted and drain.state is configuration_module.DrainState.RETURNED:
        context.monitor.record_return(name, context.clock.monotonic())


async def _publish(
    context: MaintenanceContext,
    kind: str,
    subject: str,
    fields: dict[str, typing.Any],
) -> bool:
    """Proposes a record; returns whether the fold has accepted it."""
    record = publisher.propose(context.reader, kind, subject, fields)
    published = await publisher.publish(
        record,
        context.reader,
        context.platform,
        context.clock,
        within_s=PUBLISH_TIMEOUT_S,
    )
    eliot.log_message(
        "maintenance:proposed",
        kind=kind,
        subject=subject,
        fields=fields,
        publication=published.publication.value,
        detail=published.detail,
    )
    return published.publication is publisher.Publication.ACCEPTED
