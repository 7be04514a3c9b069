"""Free capacity of one zone's hosts, by pool.

The index is rebuilt when the hosts of the configuration change and updated
incrementally by each grant and release, so that placing a request doesn't scan
the whole fleet.
"""

from collections import abc
import enum
import typing

from chervillead import types
from chervillead.fleet import configuration as configuration_module
from chervillead.upstreams import slots

NO_SIZE = types.Size()

UsableSlots = abc.Callable[[str, configuration_module.Host], int]


class Fit(enum.Enum):
    """Where an idle host is large enough for a request.

    Attributes:
        HERE: In the zone.
        ELSEWHERE: Only in another zone.
        NOWHERE: In no zone.
    """

    HERE = "here"
    ELSEWHERE = "elsewhere"
    NOWHERE = "nowhere"


class HostLoad(typing.NamedTuple):
    """Slots and resources in use on one host."""

    slots: int = 0
    size: types.Size = types.Size()


class _PoolIndex:
    """Hosts of one pool with a free slot, by slots in use.

    Attributes:
        by_used_slots: Hosts with a free slot by name, by their slots in use.
        limits: Usable slots by host.
        free: Free slots of all hosts.
        total: Usable slots of all hosts.
        unplaceable_sizes: Sizes for which no host has enough free resources.
    """

    def __init__(self) -> None:
        self.by_used_slots: dict[int, dict[str, configuration_module.Host]] = {}
        self.limits: dict[str, int] = {}
        self.free = 0
        self.total = 0
        self.unplaceable_sizes: set[types.Size] = set()


class ZoneCapacity:
    """Schedulable hosts of one zone and the load on them."""

    def __init__(self, zone: str, usable_slots: UsableSlots) -> None:
        self._zone = zone
        self._usable_slots = usable_slots
        self._loads: dict[str, HostLoad] = {}
        self._hosts: dict[str, configuration_module.Host] = {}
        self._pools: dict[str, _PoolIndex] = {}
        self._sizes_in_zone: dict[str, set[types.Size]] = {}
        self._sizes_in_fleet: dict[str, set[types.Size]] = {}

    def index_hosts(
        self, configuration: configuration_module.Configuration
    ) -> None:
        """Rebuilds the index from a new configuration."""
        self._hosts = {}
        self._pools = {}
        self._sizes_in_zone = {}
        self._sizes_in_fleet = {}
        for name, host in configuration.hosts.items():
            self._sizes_in_fleet.setdefault(host.pool, set()).add(host.size)
            if host.zone != self._zone:
                continue
            if configuration_module.is_host_schedulable(configuration, name):
                self._hosts[name] = host
                self._sizes_in_zone.setdefault(host.pool, set()).add(host.size)
                self._pools.setdefault(host.pool, _PoolIndex())
                self._index_host(name, host)

    def refresh_limits(self) -> None:
        """Re-evaluates the usable slots of each host.

        Ejections and the slow start of a returned zone change them over time,
        without a new configuration.
        """
        for name in self._hosts:
            self.refresh_limit(name)

    def refresh_limit(self, upstream: str) -> None:
        """Re-evaluates the usable slots of one host."""
        host = self._hosts.get(upstream)
        if host is None:
            return
        limit = self._usable_slots(upstream, host)
        if limit != self._pools[host.pool].limits[upstream]:
            self._unindex_host(upstream, host)
            self._index_host(upstream, host)

    def free(self, pool: str) -> int:
        """Returns the free slots of `pool`."""
        index = self._pools.get(pool)
        return 0 if index is None else index.free

    def total(self, pool: str) -> int:
        """Returns the usable slots of `pool`, both free and in use."""
        index = self._pools.get(pool)
        return 0 if index is None else index.total

    def fit(self, pool: str, size: types.Size) -> Fit:
        """Returns where an idle host of `pool` fits a request of `size`."""
        for fit, sizes in (
            (Fit.HERE, self._sizes_in_zone),
            (Fit.ELSEWHERE, self._sizes_in_fleet),
        ):
            if any(slots.size_fits(size, s) for s in sizes.get(pool, ())):
                return fit
        return Fit.NOWHERE

    def pick(
        self, pool: str, size: types.Size
    ) -> tuple[str, configuration_module.Host] | None:
        """Returns the host with the fewest used slots that fits `size`, if any.

        A size that fits no host is remembered until a host has enough free
        resources again, so that repeated requests don't scan the index.
        """
        index = self._pools.get(pool)
        if index is None or index.free <= 0 or size in index.unplaceable_sizes:
            return None
        for used in sorted(index.by_used_slots):
            for name, host in index.by_used_slots[used].items():
                if slots.size_fits(size, self._free_resources(name, host)):
                    return name, host
        index.unplaceable_sizes.add(size)
        return None

    def allocate(self, upstream: str, size: types.Size) -> None:
        """Allocates a slot and resources of `size` on `upstream`."""
        self._change_load(upstream, size, 1)

    def release(self, upstream: str, size: types.Size) -> None:
        """Releases a slot and resources of `size` on `upstream`."""
        self._change_load(upstream, size, -1)

    def _change_load(self, upstream: str, size: types.Size, sign: int) -> None:
        host = self._hosts.get(upstream)
        if host is not None:
            self._unindex_host(upstream, host)
        load = self._loads.get(upstream, HostLoad())
        load = HostLoad(load.slots + sign, _add_sizes(load.size, size, sign))
        self._loads[upstream] = load
        if load.slots <= 0:
            del self._loads[upstream]
        if host is not None:
            self._index_host(upstream, host)

    def _free_resources(
        self, name: str, host: configuration_module.Host
    ) -> types.Size:
        load = self._loads.get(name, HostLoad())
        return _add_sizes(host.size, load.size, -1)

    def _index_host(self, name: str, host: configuration_module.Host) -> None:
        index = self._pools[host.pool]
        limit = index.limits[name] = self._usable_slots(name, host)
        index.total += limit
        used = self._loads.get(name, HostLoad()).slots
        if used >= limit:
            return
        index.free += limit - used
        index.by_used_slots.setdefault(used, {})[name] = host
        if index.unplaceable_sizes:
            free_resources = self._free_resources(name, host)
            index.unplaceable_sizes = {
                size
                for size in index.unplaceable_sizes
                if not slots.size_fits(size, free_resources)
            }

    def _unindex_host(self, name: str, host: configuration_module.Host) -> None:
        index = self._pools[host.pool]
        limit = index.limits.pop(name)
        index.total -= limit
        used = self._loads.get(name, HostLoad()).slots
        if used < limit:
            index.free -= limit - used
            del index.by_used_slots[used][name]
            if not index.by_used_slots[used]:
                del index.by_used_slots[used]


def _add_sizes(
    size: types.Size, other: types.Size, sign: int = 1
) -> types.Size:
    if other == NO_SIZE:
        return size
    # Without rounding, floating-point errors of fractional cores accumulate
    # until a host never counts as idle again.
    return types.Size(
        round(size.cores + sign * other.cores, 6),
        size.memory_mb + sign * other.memory_mb,
        size.accelerators + sign * other.accelerators,
    )
