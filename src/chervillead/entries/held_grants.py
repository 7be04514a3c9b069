"""Grants that this host holds, as it reports them to dispatchers."""

import typing

from chervillead import types
from chervillead.entries import messages


class _GrantInZone(typing.NamedTuple):
    zone: str
    held_grant: messages.HeldGrant


class HeldGrants:
    """Held grants, by the zone that granted them."""

    def __init__(self) -> None:
        self._held: dict[str, _GrantInZone] = {}

    def record_grant(self, request: types.Request, grant: types.Grant) -> None:
        """Records a grant until it is released."""
        held_grant = messages.HeldGrant(
            grant.grant_id,
            request.request_id,
            grant.upstream.name,
            request.queue,
            request.team,
            request.size,
        )
        self._held[grant.grant_id] = _GrantInZone(
            grant.upstream.zone, held_grant
        )

    def remove_grant(self, grant_id: str) -> str | None:
        """Removes a grant; returns its zone, or None if it is unknown."""
        entry = self._held.pop(grant_id, None)
        return None if entry is None else entry.zone

    def in_zone(self, zone: str) -> list[messages.HeldGrant]:
        """Returns the held grants of one zone."""
        return [
            entry.held_grant
            for entry in self._held.values()
            if entry.zone == zone
        ]
