"""Health of a zone's upstreams as its dispatcher sees it.

Combines three sources: the outcomes of the granted requests, the platform's
host list, and the number of hosts of a pool that the dispatchers of other zones
have ejected.
"""

from collections import abc
import typing

from chervillead import types
from chervillead.entries import messages
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import host_list
from chervillead.upstreams import ejection
from chervillead.upstreams import slots


class HealthPorts(typing.NamedTuple):
    """Functions on the health of upstreams.

    Attributes:
        usable_slots: Returns how many slots of a host may be used now.
        record_release: Records the outcome of a granted request.
        ejected: Returns the number of ejected hosts of this zone by pool.
    """

    usable_slots: abc.Callable[[str, configuration_module.Host], int]
    record_release: abc.Callable[[slots.HeldSlot, messages.Release], None]
    ejected: abc.Callable[[], dict[str, int]]


def connect_health(
    *,
    configuration: abc.Callable[[], configuration_module.Configuration],
    hosts: abc.Callable[[], host_list.HostList],
    ejected_elsewhere: abc.Callable[[str], int],
    clock: types.Clock,
) -> HealthPorts:
    """Returns the health functions of one dispatcher.

    Args:
        configuration: Returns the newest configuration.
        hosts: Returns the platform's newest host list.
        ejected_elsewhere: Returns how many hosts of a pool the dispatchers of
            other zones have ejected, so that the limit on ejections holds for
            the whole pool.
        clock: Source of time.
    """

    def pool_size(pool: str) -> int:
        use = configuration().pool_use.get(pool)
        return 0 if use is None else sum(use.zone_hosts.values())

    outliers = ejection.OutlierDetector(pool_size, ejected_elsewhere)

    def usable_slots(name: str, host: configuration_module.Host) -> int:
        host_states = hosts()
        if name in host_states.leaving or name in host_states.down:
            return 0
        return outliers.usable_slots(name, host.slots, clock.monotonic())

    def record_release(slot: slots.HeldSlot, message: messages.Release) -> None:
        host = configuration().hosts.get(slot.upstream)
        if message.started and host is not None:
            outliers.record_outcome(
                slot.upstream,
                host.pool,
                message.failed,
                message.run_ms / 1000,
                clock.monotonic(),
            )

    def ejected() -> dict[str, int]:
        now_s = clock.monotonic()
        counts = {
            pool: outliers.ejected_count(pool, now_s)
            for pool in configuration().pools
        }
        return {pool: count for pool, count in counts.items() if count}

    return HealthPorts(usable_slots, record_release, ejected)
