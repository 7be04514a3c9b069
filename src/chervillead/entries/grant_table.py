"""Grants that one dispatcher has given and that were not released yet."""

from collections import abc
import typing

from chervillead.entries import messages
from chervillead.upstreams import slots


class ActiveGrant(typing.NamedTuple):
    """A grant in use.

    Attributes:
        slot: Slot that it uses.
        pool: Pool of the slot's host when it was granted.
        granted: The message that was sent; None if the grant was restored from
            an entry host's report.
        given_s: When it was granted or restored.
    """

    slot: slots.HeldSlot
    pool: str
    granted: messages.Granted | None
    given_s: float


class GrantTable:
    """Grants in use by id, by request and by entry host."""

    def __init__(self) -> None:
        self._slots = slots.SlotTable()
        self._grants: dict[str, ActiveGrant] = {}
        self._by_request: dict[str, str] = {}
        self._by_entry_host: dict[str, set[str]] = {}
        self._unreported_s: dict[str, float] = {}

    @property
    def slots(self) -> slots.SlotTable:
        """Slots in use."""
        return self._slots

    def __contains__(self, grant_id: str) -> bool:
        return grant_id in self._grants

    def of_request(self, request_id: str) -> ActiveGrant | None:
        """Returns the grant that was given to a registered request."""
        grant_id = self._by_request.get(request_id)
        return None if grant_id is None else self._grants[grant_id]

    def of_entry_host(self, entry_host: str) -> abc.Iterator[ActiveGrant]:
        """Yields the grants that an entry host uses."""
        for grant_id in list(self._by_entry_host.get(entry_host, ())):
            yield self._grants[grant_id]

    def lapsed(
        self,
        entry_host: str,
        reported: abc.Container[str],
        now_s: float,
        lapse_s: float,
    ) -> list[str]:
        """Returns the grants that an entry host has not reported for long.

        One report without a grant isn't enough: the grant may be on its way, or
        kept until the lease of a request that may still run has lapsed.
        """
        found = []
        for given in self.of_entry_host(entry_host):
            grant_id = given.slot.grant_id
            if grant_id in reported:
                self._unreported_s.pop(grant_id, None)
                continue
            since_s = self._unreported_s.setdefault(grant_id, now_s)
            if now_s - since_s >= lapse_s:
                found.append(grant_id)
        return found

    def add(self, grant: ActiveGrant) -> None:
        """Notes a grant; its id must be new."""
        slot = grant.slot
        self._slots.hold(slot)
        self._grants[slot.grant_id] = grant
        self._by_entry_host.setdefault(slot.entry_host, set()).add(
            slot.grant_id
        )
        if grant.granted is not None:
            self._by_request[grant.granted.request_id] = slot.grant_id

    def remove(self, grant_id: str) -> ActiveGrant | None:
        """Drops a grant; returns None if it is unknown or was dropped."""
        grant = self._grants.pop(grant_id, None)
        if grant is None:
            return None
        self._slots.release(grant_id)
        self._unreported_s.pop(grant_id, None)
        held = self._by_entry_host[grant.slot.entry_host]
        held.discard(grant_id)
        if not held:
            del self._by_entry_host[grant.slot.entry_host]
        if grant.granted is not None:
            self._by_request.pop(grant.granted.request_id, None)
        return grant
