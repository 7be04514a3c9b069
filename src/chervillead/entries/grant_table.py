"""Active grants of one dispatcher: granted and not yet released."""

from collections import abc
import typing

from chervillead.entries import messages
from chervillead.upstreams import slots


class ActiveGrant(typing.NamedTuple):
    """A grant that was not released yet.

    Attributes:
        slot: Slot that it uses.
        pool: Pool of the request's queue when it was granted or restored; empty
            for an unknown queue.
        granted: Message that was sent; None if the grant was restored from a
            report.
        granted_s: Monotonic time at which it was granted or restored.
    """

    slot: slots.HeldSlot
    pool: str
    granted: messages.Granted | None
    granted_s: float


class GrantTable:
    """Active grants by id, by request and by entry host."""

    def __init__(self) -> None:
        self._slots = slots.SlotTable()
        self._grants: dict[str, ActiveGrant] = {}
        self._by_request: dict[str, str] = {}
        self._by_entry_host: dict[str, set[str]] = {}
        self._unreported_since_s: dict[str, float] = {}

    @property
    def slots(self) -> slots.SlotTable:
        """Slots in use by active grants."""
        return self._slots

    def __contains__(self, grant_id: str) -> bool:
        return grant_id in self._grants

    def of_request(self, request_id: str) -> ActiveGrant | None:
        """Returns the active grant of a registered request, if any."""
        grant_id = self._by_request.get(request_id)
        return None if grant_id is None else self._grants[grant_id]

    def of_entry_host(self, entry_host: str) -> abc.Iterator[ActiveGrant]:
        """Yields the active grants of an entry host."""
        for grant_id in list(self._by_entry_host.get(entry_host, ())):
            yield self._grants[grant_id]

    def expired(
        self,
        entry_host: str,
        reported: abc.Container[str],
        now_s: float,
        expiry_s: float,
    ) -> list[str]:
        """Returns the grants not reported by an entry host for `expiry_s`.

        One report without a grant isn't enough: the grant may be in transit, or
        kept until the lease of a request that may still run has expired.

        Args:
            entry_host: Entry host that reports.
            reported: Ids of the grants in its newest report.
            now_s: Monotonic time.
            expiry_s: Time without a report after which a grant expires.
        """
        expired_ids = []
        for grant in self.of_entry_host(entry_host):
            grant_id = grant.slot.grant_id
            if grant_id in reported:
                self._unreported_since_s.pop(grant_id, None)
                continue
            since_s = self._unreported_since_s.setdefault(grant_id, now_s)
            if now_s - since_s >= expiry_s:
                expired_ids.append(grant_id)
        return expired_ids

    def add(self, grant: ActiveGrant) -> None:
        """Adds a grant; its id must be new."""
        slot = grant.slot
        self._slots.hold(slot)
        self._grants[slot.grant_id] = grant
        self._by_entry_host.setdefault(slot.entry_host, set()).add(
            slot.grant_id
        )
        if grant.granted is not None:
            self._by_request[grant.granted.request_id] = slot.grant_id

    def remove(self, grant_id: str) -> ActiveGrant | None:
        """Removes a grant; returns None if it is unknown or already removed."""
        grant = self._grants.pop(grant_id, None)
        if grant is None:
            return None
        self._slots.release(grant_id)
        self._unreported_since_s.pop(grant_id, None)
        held = self._by_entry_host[grant.slot.entry_host]
        held.discard(grant_id)
        if not held:
            del self._by_entry_host[grant.slot.entry_host]
        if grant.granted is not None:
            self._by_request.pop(grant.granted.request_id, None)
        return grant
