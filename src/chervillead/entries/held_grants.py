"""Grants that this host uses, as it reports them to new dispatchers."""

import typing

from chervillead import types
from chervillead.entries import messages


class _Held(typing.NamedTuple):
    zone: str
    holding: messages.Holding


class HeldGrants:
    """Grants in use, by the zone that grants."""

    def __init__(self) -> None:
        self._held: dict[str, _Held] = {}

    def record_grant(self, request: types.Request, grant: types.Grant) -> None:
        """Notes a grant until it is released."""
        holding = messages.Holding(
            grant.grant_id,
            request.request_id,
            grant.upstream.name,
            request.queue,
            request.team,
            request.size,
        )
        self._held[grant.grant_id] = _Held(grant.upstream.zone, holding)

    def remove_grant(self, grant_id: str) -> str | None:
        """Forgets a grant that is over; returns the zone that granted it."""
        held = self._held.pop(grant_id, None)
        return None if held is None else held.zone

    def in_zone(self, zone: str) -> list[messages.Holding]:
        """Returns the grants of one zone."""
        return [e.holding for e in self._held.values() if e.zone == zone]
