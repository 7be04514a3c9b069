"""Slots of the upstreams of one zone, as its dispatcher counts them."""

from collections import abc
import typing

from chervillead import types


class HeldSlot(typing.NamedTuple):
    """One slot in use."""

    grant_id: str
    upstream: str
    queue: str
    team: str
    entry_host: str
    size: types.Size
    request_id: str = ""


class SlotTable:
    """Which grant uses which upstream.

    An upstream offers slots; grants beyond that aren't given. A host that
    leaves keeps its grants until they are released.
    """

    def __init__(self) -> None:
        self._held: dict[str, HeldSlot] = {}
        self._used: dict[str, int] = {}
        self._running: dict[str, int] = {}

    @property
    def held(self) -> dict[str, HeldSlot]:
        """Slots in use by grant id."""
        return self._held

    def used(self, upstream: str) -> int:
        """Returns how many slots of `upstream` are in use."""
        return self._used.get(upstream, 0)

    def running(self, team: str) -> int:
        """Returns how many grants `team` holds here."""
        return self._running.get(team, 0)

    def hold(self, slot: HeldSlot) -> None:
        """Notes that a slot is in use; a repeat has no effect."""
        if slot.grant_id in self._held:
            return
        self._held[slot.grant_id] = slot
        self._used[slot.upstream] = self.used(slot.upstream) + 1
        self._running[slot.team] = self.running(slot.team) + 1

    def release(self, grant_id: str) -> HeldSlot | None:
        """Frees a slot; returns None if the grant is unknown or was freed."""
        slot = self._held.pop(grant_id, None)
        if slot is not None:
            self._used[slot.upstream] -= 1
            self._running[slot.team] -= 1
        return slot


def size_fits(size: types.Size, offered: types.Size) -> bool:
    """Returns whether a request of `size` fits an idle host at all."""
    return (
        size.cores <= offered.cores
        and size.memory_mb <= offered.memory_mb
        and size.accelerators <= offered.accelerators
    )


class Candidate(typing.NamedTuple):
    """An upstream that may be granted, with the slots that it offers."""

    upstream: types.Upstream
    slots: int


def choose_upstream(
    candidates: abc.Iterable[Candidate],
    *,
    used: abc.Callable[[str], int],
    usable: abc.Callable[[str, int], int],
    slowness: abc.Callable[[str], float] = lambda upstream: 1.0,
) -> types.Upstream | None:
    """Returns the upstream with the most free usable slots, if any is free.

    Args:
        candidates: Upstreams that may serve the request.
        used: Returns the slots of an upstream in use.
        usable: Returns how many of its slots an upstream may be given.
        slowness: Returns by how much an upstream is slower than its pool, from
            1; its free slots count for less by that factor.
    """
    best: types.Upstream | None = None
    best_free = 0.0
    for upstream, offered in candidates:
        free = usable(upstream.name, offered) - used(upstream.name)
        weighted_free = free / slowness(upstream.name)
        if weighted_free > best_free:
            best, best_free = upstream, weighted_free
    return best
