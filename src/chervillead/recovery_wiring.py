"""Connects the recovery of dispatch to the upstreams that it asks."""

from collections import abc
import typing

from chervillead.entries import adoption
from chervillead.entries import recovery
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import host_list
from chervillead.upstreams import pool
from chervillead.upstreams import slots
from chervillead.upstreams import usage


class RecoveryPorts(typing.NamedTuple):
    """What the recovery of dispatch asks of upstreams.

    Attributes:
        is_task_over: Whether the task of a grant can't run any more.
        read_tasks: Returns what an upstream runs; None without an answer.
    """

    is_task_over: recovery.IsTaskFinished
    read_tasks: adoption.ReadTasks


def recovery_ports(
    configuration: abc.Callable[[], configuration_module.Configuration],
    hosts: abc.Callable[[], host_list.HostList],
    pools: pool.UpstreamPools,
) -> RecoveryPorts:
    """Returns the functions that ask upstreams.

    Args:
        configuration: Returns the newest configuration.
        hosts: Returns the platform's newest host list.
        pools: Connections to upstreams.
    """

    async def is_task_over(slot: slots.HeldSlot) -> bool:
        upstream = configuration_module.host_upstream(
            configuration(), slot.upstream
        )
        if upstream is None or slot.upstream in hosts().down:
            return True
        return await usage.is_task_over(pools, upstream, slot.request_id)

    async def read_tasks(
        name: str,
    ) -> abc.Sequence[usage.ReportedTask] | None:
        upstream = configuration_module.host_upstream(configuration(), name)
        return (
            () if upstream is None else await usage.read_tasks(pools, upstream)
        )

    return RecoveryPorts(is_task_over, read_tasks)
