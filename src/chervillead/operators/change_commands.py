"""Commands that publish queues, teams, pools, hosts and zones."""

import cyclopts
from returns import pipeline

from chervillead import types
from chervillead.fleet import records
from chervillead.operators import commands
from chervillead.operators import publishing

publish_app = cyclopts.App(
    name="publish",
    help=(
        "Publishes a queue, team, pool, host or zone. Fields that aren't given "
        "keep their values."
    ),
)


@publish_app.command(
    help_epilogue="Example: `chervillead publish queue portal --pool portal "
    "--target-part 0.99 --target-s 2`"
)
def queue(
    name: str,
    /,
    *,
    log: commands.LogParameter = commands.DEFAULT_LOG_OPTIONS,
    how: commands.ChangeParameter = commands.DEFAULT_CHANGE_OPTIONS,
    pool: str | None = None,
    target_part: float | None = None,
    target_s: float | None = None,
    max_waiting: int | None = None,
    open_to_all: bool | None = None,
    refuse_keyed_after_unconfirmed_s: float | None = None,
    remove: commands.RemoveFlag = False,
) -> int:
    """Publishes a queue and its service-level target.

    Args:
        name: Queue to add, change or remove.
        log: Options for access to the log.
        how: Options for publishing.
        pool: Pool whose hosts serve the queue; a new queue needs one.
        target_part: Fraction of requests to be answered in time, above 0 and
            at most 1.
        target_s: Target for the duration of a request, in seconds.
        max_waiting: Maximum length of the waiting list in each zone.
        open_to_all: Whether requests without a key are accepted.
        refuse_keyed_after_unconfirmed_s: Rejects requests with a key once the
            configuration has been unconfirmed for this many seconds.
        remove: Removes the queue.
    """
    fields = commands.provided_fields(
        pool=pool,
        target_part=target_part,
        target_s=target_s,
        max_waiting=max_waiting,
        open_to_all=open_to_all,
        refuse_keyed_after_unconfirmed_s=refuse_keyed_after_unconfirmed_s,
    )
    change = publishing.Change(records.QUEUE, name, fields, remove)
    return commands.publish(change, log, how)


@publish_app.command(
    help_epilogue="Example: `chervillead publish team nursery-north --share 2 "
    "--limit 64`"
)
def team(
    name: str,
    /,
    *,
    log: commands.LogParameter = commands.DEFAULT_LOG_OPTIONS,
    how: commands.ChangeParameter = commands.DEFAULT_CHANGE_OPTIONS,
    share: float | None = None,
    limit: int | None = None,
    remove: commands.RemoveFlag = False,
) -> int:
    """Publishes a team's share and limit.

    Args:
        name: Team to add, change or remove.
        log: Options for access to the log.
        how: Options for publishing.
        share: Relative share of the capacity when the fleet is full.
        limit: Maximum number of running requests in the whole fleet.
        remove: Removes the team; its keys must be removed first.
    """
    fields = commands.provided_fields(share=share, limit=limit)
    change = publishing.Change(records.TEAM, name, fields, remove)
    return commands.publish(change, log, how)


@publish_app.command(
    help_epilogue="Example: `chervillead publish pool portal "
    "--max-unavailable 2`"
)
def pool(
    name: str,
    /,
    *,
    log: commands.LogParameter = commands.DEFAULT_LOG_OPTIONS,
    how: commands.ChangeParameter = commands.DEFAULT_CHANGE_OPTIONS,
    max_unavailable: int | None = None,
    max_unavailable_racks: int | None = None,
    max_unavailable_zones: int | None = None,
    spare: bool | None = None,
    remove: commands.RemoveFlag = False,
) -> int:
    """Publishes a pool and its availability budget.

    Args:
        name: Pool to add, change or remove.
        log: Options for access to the log.
        how: Options for publishing.
        max_unavailable: Maximum number of unavailable hosts at a time.
        max_unavailable_racks: Maximum number of racks with drains at a time.
        max_unavailable_zones: Maximum number of zones with drains at a time.
        spare: Whether other pools may borrow hosts from it.
        remove: Removes the pool; it must not be in use.
    """
    fields = commands.provided_fields(
        max_unavailable=max_unavailable,
        max_unavailable_racks=max_unavailable_racks,
        max_unavailable_zones=max_unavailable_zones,
        spare=spare,
    )
    change = publishing.Change(records.POOL, name, fields, remove)
    return commands.publish(change, log, how)


@publish_app.command(
    help_epilogue="Example: `chervillead publish host portal-8 --pool portal "
    "--zone a --rack a-rack-1 --address 127.0.0.1:17390`"
)
def host(
    name: str,
    /,
    *,
    log: commands.LogParameter = commands.DEFAULT_LOG_OPTIONS,
    how: commands.ChangeParameter = commands.DEFAULT_CHANGE_OPTIONS,
    pool: str | None = None,
    zone: str | None = None,
    rack: str | None = None,
    address: str | None = None,
    slots: int | None = None,
    connections: int | None = None,
    cores: float | None = None,
    memory_mb: int | None = None,
    accelerators: int | None = None,
    remove: commands.RemoveFlag = False,
) -> int:
    """Publishes a worker. Only `chervillead move` changes its pool.

    Args:
        name: Host to add, change or remove.
        log: Options for access to the log.
        how: Options for publishing.
        pool: Pool of the host.
        zone: Availability zone of the host.
        rack: Rack of the host.
        address: IP address and port of its service.
        slots: Maximum number of requests that it runs at a time.
        connections: Maximum number of connections that it accepts.
        cores: Number of processor cores.
        memory_mb: Memory, in MB.
        accelerators: Number of accelerators.
        remove: Removes the host.
    """
    fields = commands.provided_fields(
        pool=pool, zone=zone, rack=rack, slots=slots, connections=connections
    )
    if address is not None:
        parsed = types.parse_address(address)
        if not pipeline.is_successful(parsed):
            return commands.report_usage_error(f"--address: {parsed.failure()}")
        fields["address"] = list(parsed.unwrap())
    size = commands.provided_fields(
        cores=cores, memory_mb=memory_mb, accelerators=accelerators
    )
    change = publishing.Change(records.HOST, name, fields, remove)
    return commands.publish(
        change,
        log,
        how,
        complete=lambda partial, state: publishing.merge_size(
            partial, size, state
        ),
    )


@publish_app.command(
    help_epilogue="Example: `chervillead publish zone e --index 4`"
)
def zone(
    name: str,
    /,
    *,
    log: commands.LogParameter = commands.DEFAULT_LOG_OPTIONS,
    how: commands.ChangeParameter = commands.DEFAULT_CHANGE_OPTIONS,
    index: int | None = None,
    remove: commands.RemoveFlag = False,
) -> int:
    """Declares an availability zone, or removes an unused one.

    Args:
        name: Zone to declare or remove.
        log: Options for access to the log.
        how: Options for publishing.
        index: Position of the zone in the order of claim zones; can't be
            changed later.
        remove: Removes the zone; it must not be in use.
    """
    fields = commands.provided_fields(index=index)
    change = publishing.Change(records.ZONE, name, fields, remove)
    return commands.publish(change, log, how)
