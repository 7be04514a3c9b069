"""Grants that this host holds, as it reports them to dispatchers."""

import typing

from chervillead import types
from chervillead.entries import messages


class _GrantInZone(typing.NamedTuple):
    zone: str
    holding: messages.HeldGrant


class HeldGrants:
    """Held grants, by the zone that granted them."""

    def __init__(self) -> None:
        self._held: dict[str, _GrantInZone] = {}

    def record_grant(self, request: types.Request, grant: types.Grant) -> None:
        """Records a grant until it is released."""
        holding = messages.HeldGrant(
            grant.grant_id,
            request.request_id,
            grant.upstream.name,
            request.queue,
            request.team,
            request.size,
        )
        self._held[grant.grant_id] = _GrantInZone(grant.upstream.zone, holding)

    def remove_grant(self, grant_id: str) -> str | None:
        """Removes a grant; returns its zone, or None if it is unknown."""
        grant_in_zone = self._held.pop(grant_id, None)
        return None if grant_in_zone is None else grant_in_zone.zone

    def in_zone(self, zone: str) -> list[messages.HeldGrant]:
        """Returns the held grants of one zone."""
        return [
            grant_in_zone.holding
            for grant_in_zone in self._held.values()
            if grant_in_zone.zone == zone
        ]
