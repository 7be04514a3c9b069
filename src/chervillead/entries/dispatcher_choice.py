"""Choice of the dispatchers with which an entry host registers a request."""

from collections import abc
import random
import typing

from chervillead.entries import messages
from chervillead.entries import seats
from chervillead.fleet import configuration as configuration_module


class DispatcherView(typing.NamedTuple):
    """A reachable dispatcher of a zone in service.

    Attributes:
        entry_host: Entry host that it runs on.
        free_slots: Free slots of the queue in its last heartbeat.
        is_own: Whether it dispatches this host's zone.
    """

    entry_host: str
    free_slots: int
    is_own: bool


def reachable_dispatchers(
    configuration: configuration_module.Configuration,
    own_zone: str,
    queue: str,
    heartbeat_of: abc.Callable[[str], messages.Heartbeat | None],
    is_reachable: abc.Callable[[str], bool],
) -> list[DispatcherView]:
    """Returns the reachable dispatchers of zones in service.

    Args:
        configuration: Newest configuration.
        own_zone: Zone of this host.
        queue: Queue of the request.
        heartbeat_of: Returns the last heartbeat of an entry host, if any.
        is_reachable: Returns whether this host can reach an entry host.
    """
    views = []
    for zone in configuration.zones:
        holder = seats.zone_leader(configuration, zone)
        if (
            holder is None
            or not configuration_module.is_zone_in_service(configuration, zone)
            or not is_reachable(holder)
        ):
            continue
        heartbeat = heartbeat_of(holder)
        free = 0 if heartbeat is None else heartbeat.free_slots.get(queue, 0)
        views.append(DispatcherView(holder, free, zone == own_zone))
    return views


def next_dispatcher(
    views: abc.Iterable[DispatcherView],
    registered: abc.Container[str],
    registered_count: int,
) -> DispatcherView | None:
    """Returns the dispatcher to register with next, or None.

    The host's own zone comes first, then the zone with the most free slots.
    Zones beyond the second are used only if they report free slots. Ties are
    broken at random, so that entry hosts don't all choose the same zone.

    Args:
        views: Dispatchers that may serve the request.
        registered: Entry hosts of dispatchers that already have the request.
        registered_count: Number of these dispatchers.
    """
    new = [view for view in views if view.entry_host not in registered]
    own = next((view for view in new if view.is_own), None)
    if own is not None:
        return own
    best = max(
        new, key=lambda view: (view.free_slots, random.random()), default=None
    )
    if best is None or (registered_count >= 2 and best.free_slots <= 0):
        return None
    return best
