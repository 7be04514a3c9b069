"""Requests of an entry host that wait for a grant."""

import asyncio
import collections
from collections import abc
import itertools

from chervillead import types
from chervillead.entries import messages

Post = abc.Callable[[str, messages.Message], object]


class PendingGrant:
    """One request that waits for a grant.

    It is known to dispatchers by an id of this attempt, so that a late message
    about an earlier attempt can't withdraw a later one.
    """

    def __init__(self, register: messages.Register, deadline_s: float) -> None:
        self.register = register
        self.deadline_s = deadline_s
        self.registered: dict[str, float] = {}
        self.backoff_until: dict[str, float] = {}
        self.decisions: collections.deque[
            tuple[str, messages.Granted | messages.Refused]
        ] = collections.deque()
        self._arrived = asyncio.Event()

    def add(
        self, dispatcher: str, decision: messages.Granted | messages.Refused
    ) -> None:
        """Notes a decision and wakes the request up."""
        self.decisions.append((dispatcher, decision))
        self._arrived.set()

    async def wait(self, timeout_s: float) -> None:
        """Returns when a decision has arrived or the time is over."""
        self._arrived.clear()
        if self.decisions:
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self._arrived.wait()
        except TimeoutError:
            return


class GrantWaiters:
    """Requests of this host that wait for a grant."""

    def __init__(self, clock: types.Clock, post: Post) -> None:
        self._clock = clock
        self._post = post
        self._pending: dict[str, PendingGrant] = {}
        self._attempts: dict[str, str] = {}
        self._in_use: set[str] = set()
        self._numbers = itertools.count(1)

    def registrations_at(self, dispatcher: str) -> list[messages.Register]:
        """Returns what waits at a dispatcher, for a report to its successor."""
        return [
            with_time_left(pending, self._clock)
            for pending in self._pending.values()
            if dispatcher in pending.registered
        ]

    def open(self, request: types.Request) -> PendingGrant:
        """Starts to wait for a grant of `request`."""
        register = messages.Register(
            f"{request.request_id}/{next(self._numbers)}",
            request.queue,
            request.team,
            request.size,
            int(max(0.0, request.deadline_s - self._clock.monotonic()) * 1000),
            int((request.run_s or 0.0) * 1000),
        )
        pending = PendingGrant(register, request.deadline_s)
        self._pending[register.request_id] = pending
        self._attempts[request.request_id] = register.request_id
        return pending

    def refuse(self, refused: messages.Refused) -> None:
        """Ends the wait of a request from this host's side, by its own id."""
        attempt = self._attempts.get(refused.request_id, "")
        pending = self._pending.get(attempt)
        if pending is not None:
            pending.add("", refused)

    def close(self, pending: PendingGrant, winner: types.Grant | None) -> None:
        """Stops to wait: gives further grants back and withdraws elsewhere."""
        attempt = pending.register.request_id
        del self._pending[attempt]
        request_id = attempt.rpartition("/")[0]
        if self._attempts.get(request_id) == attempt:
            del self._attempts[request_id]
        if winner is not None:
            self._in_use.add(winner.grant_id)
        for dispatcher, decision in pending.decisions:
            if isinstance(decision, messages.Granted):
                self._give_back(dispatcher, decision)
        for dispatcher in pending.registered:
            self.withdraw(pending, dispatcher)

    def mark_released(self, grant_id: str) -> None:
        """Notes that a grant is no longer used."""
        self._in_use.discard(grant_id)

    def withdraw(self, pending: PendingGrant, dispatcher: str) -> None:
        """Takes a request off one dispatcher's waiting list."""
        self._post(dispatcher, messages.Withdraw(pending.register.request_id))

    def deliver(
        self, dispatcher: str, message: messages.Granted | messages.Refused
    ) -> None:
        """Passes a dispatcher's decision to the request that waits for it."""
        pending = self._pending.get(message.request_id)
        if pending is not None:
            pending.add(dispatcher, message)
        elif isinstance(message, messages.Granted):
            self._give_back(dispatcher, message)

    def _give_back(self, dispatcher: str, granted: messages.Granted) -> None:
        # The same grant can arrive twice, as a notice and as the reply to a
        # repeated question; the second must not free it while it is in use.
        if granted.grant_id not in self._in_use:
            self._post(dispatcher, unused_release(granted.grant_id))


def unused_release(grant_id: str) -> messages.Release:
    """Returns the release of a grant that was never used."""
    return messages.Release(grant_id, started=False, failed=False, run_ms=0)


def with_time_left(
    pending: PendingGrant, clock: types.Clock
) -> messages.Register:
    """Returns the registration of a request with its present time left."""
    left_s = max(0.0, pending.deadline_s - clock.monotonic())
    return pending.register._replace(time_left_ms=int(left_s * 1000))
