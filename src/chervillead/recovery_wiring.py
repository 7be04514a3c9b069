"""Connects the recovery of dispatchers to the upstreams."""

from collections import abc
import typing

from chervillead.entries import recovery
from chervillead.entries import task_recovery
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import host_list
from chervillead.upstreams import pool
from chervillead.upstreams import slots
from chervillead.upstreams import usage


class RecoveryPorts(typing.NamedTuple):
    """Functions with which the recovery of dispatchers queries upstreams.

    Attributes:
        is_task_finished: Returns whether the task of a grant has ended and
            can no longer run.
        read_tasks: Returns the running tasks of an upstream; None if it does
            not answer.
    """

    is_task_finished: recovery.IsTaskFinished
    read_tasks: task_recovery.ReadTasks


def recovery_ports(
    configuration: abc.Callable[[], configuration_module.Configuration],
    hosts: abc.Callable[[], host_list.HostList],
    pools: pool.UpstreamPools,
) -> RecoveryPorts:
    """Returns the functions that query upstreams.

    Args:
        configuration: Returns the current fleet configuration.
        hosts: Returns the platform's latest host list.
        pools: Connections to upstreams.
    """

    async def is_task_finished(slot: slots.HeldSlot) -> bool:
        upstream = configuration_module.host_upstream(
            configuration(), slot.upstream
        )
        if upstream is None or slot.upstream in hosts().down:
            return True
        return await usage.is_task_finished(pools, upstream, slot.request_id)

    async def read_tasks(
        name: str,
    ) -> abc.Sequence[usage.ReportedTask] | None:
        upstream = configuration_module.host_upstream(configuration(), name)
        return (
            () if upstream is None else await usage.read_tasks(pools, upstream)
        )

    return RecoveryPorts(is_task_finished, read_tasks)
