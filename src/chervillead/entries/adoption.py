"""What a new dispatcher learns from the upstreams of its zone before it grants.

Entry hosts report what they hold, but one that is cut off from the new holder
of a duty seat can't; its tasks run on and use units of their teams' limits.
"""

import asyncio
from collections import abc

import eliot

from chervillead import types
from chervillead.entries import duties as duties_module
from chervillead.fleet import log_reader
from chervillead.upstreams import slots
from chervillead.upstreams import usage

# Returns what an upstream runs; None if it doesn't answer.
ReadTasks = abc.Callable[
    [str], abc.Awaitable[abc.Sequence[usage.ReportedTask] | None]
]

CHECK_S = 0.05
# Stands for the entry host of a task that only its upstream has reported.
UNKNOWN_ENTRY_HOST = ""


async def adopt_running(
    duties: duties_module.Duties,
    reader: log_reader.LogReader,
    zone: str,
    read_tasks: ReadTasks,
) -> None:
    """Counts what the zone's upstreams run before a new holder grants."""
    while True:
        incarnation = duties.state.active_incarnation
        if incarnation is not None and duties.adopted != incarnation:
            if not duties.state.took_whole_state:
                hosts = reader.configuration.hosts.items()
                names = [name for name, host in hosts if host.zone == zone]
                await asyncio.gather(
                    *(_adopt(duties, name, read_tasks) for name in names)
                )
            duties.note_adopted(incarnation)
        await asyncio.sleep(CHECK_S)


async def _adopt(
    duties: duties_module.Duties, upstream: str, read_tasks: ReadTasks
) -> None:
    tasks = await read_tasks(upstream)
    if tasks is None:
        eliot.log_message("entries:upstream-not-asked", upstream=upstream)
    for task in tasks or ():
        duties.dispatcher.adopt(
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
