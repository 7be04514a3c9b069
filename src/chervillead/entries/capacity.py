"""Free capacity of one zone's hosts, by pool.

The index is rebuilt when the hosts of the configuration change and kept up to
date by each grant and release, so finding a host for a request does not look at
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
    """Where a request of some size fits an idle host."""

    HERE = "here"
    ELSEWHERE = "elsewhere"
    NOWHERE = "nowhere"


class HostLoad(typing.NamedTuple):
    """What runs on one host."""

    slots: int = 0
    size: types.Size = types.Size()


class _PoolIndex:
    """Hosts of one pool with a free slot, by slots in use."""

    def __init__(self) -> None:
        self.by_used_slots: dict[int, dict[str, configuration_module.Host]] = {}
        self.limits: dict[str, int] = {}
        self.free = 0
        self.total = 0
        self.unplaceable_sizes: set[types.Size] = set()


class ZoneCapacity:
    """Hosts of one zone that take work, and what runs on them."""

    def __init__(self, zone: str, usable_slots: UsableSlots) -> None:
        self._zone = zone
        self._usable_slots = usable_slots
        self._loads: dict[str, HostLoad] = {}
        self._hosts: dict[str, configuration_module.Host] = {}
        self._pools: dict[str, _PoolIndex] = {}
        self._sizes_here: dict[str, set[types.Size]] = {}
        self._sizes_anywhere: dict[str, set[types.Size]] = {}

    def index_hosts(
        self, configuration: configuration_module.Configuration
    ) -> None:
        """Rebuilds the index from a new configuration."""
        self._hosts = {}
        self._pools = {}
        self._sizes_here = {}
        self._sizes_anywhere = {}
        for name, host in configuration.hosts.items():
            self._sizes_anywhere.setdefault(host.pool, set()).add(host.size)
            if host.zone != self._zone:
                continue
            if configuration_module.host_takes_work(configuration, name):
                self._hosts[name] = host
                self._sizes_here.setdefault(host.pool, set()).add(host.size)
                self._pools.setdefault(host.pool, _PoolIndex())
                self._index_host(name, host)

    def refresh_limits(self) -> None:
        """Asks again how many slots each host may use.

        Ejection and the ramp after a zone's return change it with time, without
        a new configuration.
        """
        for name in self._hosts:
            self.refresh_limit(name)

    def refresh_limit(self, upstream: str) -> None:
        """Asks again how many slots one host may use."""
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
        """Returns the usable slots of `pool`, free or not."""
        index = self._pools.get(pool)
        return 0 if index is None else index.total

    def fit(self, pool: str, size: types.Size) -> Fit:
        """Returns where a request of `size` fits an idle host of `pool`."""
        for fit, sizes in (
            (Fit.HERE, self._sizes_here),
            (Fit.ELSEWHERE, self._sizes_anywhere),
        ):
            if any(slots.size_fits(size, s) for s in sizes.get(pool, ())):
                return fit
        return Fit.NOWHERE

    def pick(
        self, pool: str, size: types.Size
    ) -> tuple[str, configuration_module.Host] | None:
        """Returns the least used host with room for `size`, if any.

        A size that found no room is remembered until a host frees enough, so
        repeats of it cost nothing.
        """
        index = self._pools.get(pool)
        if index is None or index.free <= 0 or size in index.unplaceable_sizes:
            return None
        for used in sorted(index.by_used_slots):
            for name, host in index.by_used_slots[used].items():
                if slots.size_fits(size, self._room(name, host)):
                    return name, host
        index.unplaceable_sizes.add(size)
        return None

    def allocate(self, upstream: str, size: types.Size) -> None:
        """Notes that a request of `size` uses a slot of `upstream`."""
        self._change_load(upstream, size, 1)

    def release(self, upstream: str, size: types.Size) -> None:
        """Notes that a request of `size` left `upstream`."""
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

    def _room(self, name: str, host: configuration_module.Host) -> types.Size:
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
            room = self._room(name, host)
            index.unplaceable_sizes = {
                size
                for size in index.unplaceable_sizes
                if not slots.size_fits(size, room)
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
    # Rounding keeps fractions of cores from adding up to a host that is never
    # quite idle again.
    return types.Size(
        round(size.cores + sign * other.cores, 6),
        size.memory_mb + sign * other.memory_mb,
        size.accelerators + sign * other.accelerators,
    )
