"""What this host holds and waits for, as it reports to new dispatchers."""

import typing

from chervillead import types
from chervillead.entries import messages


class _Held(typing.NamedTuple):
    zone: str
    holding: messages.Holding


class _Waiting(typing.NamedTuple):
    zone: str
    register: messages.Register
    deadline_s: float


class HeldGrants:
    """Grants in use and requests that wait, by the zone that grants."""

    def __init__(self, clock: types.Clock) -> None:
        self._clock = clock
        self._held: dict[str, _Held] = {}
        # By the dispatcher that was asked first and the request id.
        self._waiting: dict[tuple[str, str], _Waiting] = {}

    def take_grant(self, request: types.Request, grant: types.Grant) -> None:
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

    def drop_grant(self, grant_id: str) -> str | None:
        """Forgets a grant that is over; returns the zone that granted it."""
        held = self._held.pop(grant_id, None)
        return None if held is None else held.zone

    def take_waiting(
        self, dispatcher: str, zone: str, register: messages.Register
    ) -> None:
        """Notes a request that is registered with a zone's dispatcher."""
        deadline_s = self._clock.monotonic() + register.time_left_ms / 1000
        key = (dispatcher, register.request_id)
        self._waiting[key] = _Waiting(zone, register, deadline_s)

    def drop_waiting(self, dispatcher: str, request_id: str) -> str | None:
        """Forgets a request that no longer waits; returns the zone."""
        waiting = self._waiting.pop((dispatcher, request_id), None)
        return None if waiting is None else waiting.zone

    def drop_waiting_in(self, zone: str, request_id: str) -> None:
        """Forgets a request whose zone has decided on it."""
        for key, waiting in list(self._waiting.items()):
            if key[1] == request_id and waiting.zone == zone:
                del self._waiting[key]

    def report(self, zone: str) -> messages.Holdings:
        """Returns the report to the dispatcher of `zone`."""
        now_s = self._clock.monotonic()
        waiting = [
            entry.register._replace(
                time_left_ms=int((entry.deadline_s - now_s) * 1000)
            )
            for entry in self._waiting.values()
            if entry.zone == zone and entry.deadline_s > now_s
        ]
        held = [e.holding for e in self._held.values() if e.zone == zone]
        return messages.Holdings(held, waiting)
