"""Slots of the upstreams of one zone, as its dispatcher tracks them."""

from collections import abc
import typing

from chervillead import types


class HeldSlot(typing.NamedTuple):
    """One slot that is in use by a grant."""

    grant_id: str
    upstream: str
    queue: str
    team: str
    entry_host: str
    size: types.Size
    request_id: str = ""


class SlotTable:
    """Slots in use, by grant and counted by upstream and team.

    A dispatcher gives no grants beyond the slots that an upstream offers. An
    upstream that leaves the fleet keeps its grants until they are released.
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
        """Returns how many grants of this table belong to `team`."""
        return self._running.get(team, 0)

    def hold(self, slot: HeldSlot) -> None:
        """Records that a slot is in use; a known grant has no effect."""
        if slot.grant_id in self._held:
            return
        self._held[slot.grant_id] = slot
        self._used[slot.upstream] = self.used(slot.upstream) + 1
        self._running[slot.team] = self.running(slot.team) + 1

    def release(self, grant_id: str) -> HeldSlot | None:
        """Frees and returns the slot of a grant; None if it is not in use."""
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
    """An upstream that may serve a request, with the slots it offers."""

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
        used: Returns how many slots of an upstream are in use.
        usable: Returns how many of its slots an upstream may have in use.
        slowness: Returns the factor, at least 1, by which an upstream is
            slower than its pool; its free slots are divided by it.
    """
    best: types.Upstream | None = None
    best_free = 0.0
    for upstream, offered in candidates:
        free = usable(upstream.name, offered) - used(upstream.name)
        weighted_free = free / slowness(upstream.name)
        if weighted_free > best_free:
            best, best_free = upstream, weighted_free
    return best
