"""Recovery of the tasks that upstreams run, before a new dispatcher grants.

Entry hosts report their grants, but one that is partitioned from the new
dispatcher can't. Its tasks keep running and use units of their teams' limits,
so the dispatcher asks the upstreams of its zone as well.
"""

import asyncio
from collections import abc

import eliot

from chervillead import types
from chervillead.entries import leader_role as leader_role_module
from chervillead.fleet import log_reader
from chervillead.upstreams import slots
from chervillead.upstreams import usage

# Returns the running tasks of an upstream; None if it doesn't answer.
ReadTasks = abc.Callable[
    [str], abc.Awaitable[abc.Sequence[usage.ReportedTask] | None]
]

CHECK_INTERVAL_S = 0.05
# Entry host of a task that only its upstream has reported.
UNKNOWN_ENTRY_HOST = ""


async def recover_running(
    leader_role: leader_role_module.LeaderRole,
    reader: log_reader.LogReader,
    zone: str,
    read_tasks: ReadTasks,
) -> None:
    """Recovers the running tasks of the zone's upstreams, until cancelled.

    Runs once for each incarnation of this process that becomes the zone's
    dispatcher, unless the previous one handed over its complete state.
    """
    while True:
        incarnation = leader_role.leadership.active_incarnation
        if (
            incarnation is not None
            and leader_role.recovered_incarnation != incarnation
        ):
            if not leader_role.leadership.had_complete_handover:
                hosts = reader.configuration.hosts.items()
                names = [name for name, host in hosts if host.zone == zone]
                await asyncio.gather(
                    *(_recover(leader_role, name, read_tasks) for name in names)
                )
            leader_role.record_recovery(incarnation)
        await asyncio.sleep(CHECK_INTERVAL_S)


async def _recover(
    leader_role: leader_role_module.LeaderRole,
    upstream: str,
    read_tasks: ReadTasks,
) -> None:
    tasks = await read_tasks(upstream)
    if tasks is None:
        eliot.log_message("entries:running-tasks-unknown", upstream=upstream)
    for task in tasks or ():
        leader_role.dispatcher.restore_grant(
            slots.HeldSlot(
                task.grant_id,
                upstream,
                task.queue,
                task.team,
                UNKNOWN_ENTRY_HOST,
                types.Size(),
                task.request_id,
            )
        )
