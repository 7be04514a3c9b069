"""Grants whose entry host may be gone, until they are reported or lapse."""

from collections import abc

from chervillead import types
from chervillead.entries import messages
from chervillead.upstreams import slots


class DoubtfulGrants:
    """When each unreported grant lapses.

    After `lapse_s` (start-by time plus lease) it was not started in time, or
    the host that used it could not renew its lease.
    """

    def __init__(self, clock: types.Clock, lapse_s: float) -> None:
        self._clock = clock
        self._lapse_s = lapse_s
        self._lapses: dict[str, float] = {}

    def doubt(
        self, table: slots.SlotTable, entry_host: str, reported: set[str]
    ) -> None:
        """Doubts the grants of an entry host that it has not reported."""
        lapse_s = self._clock.monotonic() + self._lapse_s
        for grant_id, slot in table.held.items():
            if slot.entry_host != entry_host:
                continue
            if grant_id in reported:
                self._lapses.pop(grant_id, None)
            else:
                self._lapses.setdefault(grant_id, lapse_s)

    def pop_lapsed(self) -> list[str]:
        """Returns the grants that have lapsed, and forgets them."""
        now_s = self._clock.monotonic()
        lapsed = [i for i, at_s in self._lapses.items() if at_s <= now_s]
        for grant_id in lapsed:
            del self._lapses[grant_id]
        return lapsed

    def clear(self) -> None:
        """Forgets all grants."""
        self._lapses.clear()


def held_by_host(
    table: slots.SlotTable,
) -> dict[str, list[messages.Holding]]:
    """Returns the grants in use, by entry host, for a hand-over.

    The table doesn't keep request ids, and a successor needs none.
    """
    held: dict[str, list[messages.Holding]] = {}
    for slot in table.held.values():
        holding = messages.Holding(
            slot.grant_id, "", slot.upstream, slot.queue, slot.team, slot.size
        )
        held.setdefault(slot.entry_host, []).append(holding)
    return held


def held_slots(
    entry_host: str, holdings: abc.Iterable[messages.Holding]
) -> abc.Iterator[slots.HeldSlot]:
    """Yields the slots that an entry host reports as in use."""
    for holding in holdings:
        yield slots.HeldSlot(
            holding.grant_id,
            holding.upstream,
            holding.queue,
            holding.team,
            entry_host,
            holding.size,
        )
