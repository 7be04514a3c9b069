"""Requests of an entry host that wait for a grant of a dispatcher."""

import asyncio
import collections
from collections import abc
import itertools

from chervillead import types
from chervillead.entries import messages

Post = abc.Callable[[str, messages.Message], object]


class PendingGrant:
    """One attempt of a request to get a grant.

    Dispatchers know it by an id of the attempt, so that a late message about an
    earlier attempt can't withdraw a later one.

    Attributes:
        register: Registration as it is sent to dispatchers.
        deadline_s: Monotonic time at which the wait ends.
        registered: Monotonic time of the last registration, by dispatcher.
        backoff_until: Monotonic time until which a dispatcher is not tried
            again, by dispatcher.
        decisions: Received decisions with their dispatchers, oldest first.
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
        """Adds a decision and wakes the waiting request."""
        self.decisions.append((dispatcher, decision))
        self._arrived.set()

    async def wait(self, timeout_s: float) -> None:
        """Returns once a decision has arrived or `timeout_s` has passed."""
        self._arrived.clear()
        if self.decisions:
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self._arrived.wait()
        except TimeoutError:
            return


class GrantWaiters:
    """Waiting requests of this host, and the grants that they have accepted."""

    def __init__(self, clock: types.Clock, post: Post) -> None:
        self._clock = clock
        self._post = post
        self._pending: dict[str, PendingGrant] = {}
        self._current_attempts: dict[str, str] = {}
        self._accepted_grants: set[str] = set()
        self._attempt_numbers = itertools.count(1)

    def registrations_at(self, dispatcher: str) -> list[messages.Register]:
        """Returns the registrations at a dispatcher, to report to it again."""
        return [
            with_time_left(pending, self._clock)
            for pending in self._pending.values()
            if dispatcher in pending.registered
        ]

    def open(self, request: types.Request) -> PendingGrant:
        """Starts an attempt of `request` to get a grant."""
        register = messages.Register(
            f"{request.request_id}/{next(self._attempt_numbers)}",
            request.queue,
            request.team,
            request.size,
            int(max(0.0, request.deadline_s - self._clock.monotonic()) * 1000),
            int((request.run_s or 0.0) * 1000),
        )
        pending = PendingGrant(register, request.deadline_s)
        self._pending[register.request_id] = pending
        self._current_attempts[request.request_id] = register.request_id
        return pending

    def refuse(self, refused: messages.Refused) -> None:
        """Ends the wait of a request with a refusal by this host.

        Args:
            refused: The refusal, with the request's own id instead of the id of
                an attempt.
        """
        attempt = self._current_attempts.get(refused.request_id, "")
        pending = self._pending.get(attempt)
        if pending is not None:
            pending.add("", refused)

    def close(self, pending: PendingGrant, winner: types.Grant | None) -> None:
        """Ends an attempt: releases other grants and withdraws elsewhere.

        Args:
            pending: The attempt.
            winner: The accepted grant, if any.
        """
        attempt = pending.register.request_id
        del self._pending[attempt]
        request_id = attempt.rpartition("/")[0]
        if self._current_attempts.get(request_id) == attempt:
            del self._current_attempts[request_id]
        if winner is not None:
            self._accepted_grants.add(winner.grant_id)
        for dispatcher, decision in pending.decisions:
            if isinstance(decision, messages.Granted):
                self._release_unused(dispatcher, decision)
        for dispatcher in pending.registered:
            self.withdraw(pending, dispatcher)

    def mark_released(self, grant_id: str) -> None:
        """Records that an accepted grant is no longer used."""
        self._accepted_grants.discard(grant_id)

    def withdraw(self, pending: PendingGrant, dispatcher: str) -> None:
        """Withdraws a request from one dispatcher."""
        self._post(dispatcher, messages.Withdraw(pending.register.request_id))

    def deliver(
        self, dispatcher: str, message: messages.Granted | messages.Refused
    ) -> None:
        """Delivers a dispatcher's decision to the request that waits for it.

        A grant that no request waits for any more is released.
        """
        pending = self._pending.get(message.request_id)
        if pending is not None:
            pending.add(dispatcher, message)
        elif isinstance(message, messages.Granted):
            self._release_unused(dispatcher, message)

    def _release_unused(
        self, dispatcher: str, granted: messages.Granted
    ) -> None:
        # The same grant can arrive twice, as a message and as the reply to a
        # repeated registration. The duplicate must not release a grant in use.
        if granted.grant_id not in self._accepted_grants:
            self._post(dispatcher, unused_release(granted.grant_id))


def unused_release(grant_id: str) -> messages.Release:
    """Returns the release of a grant that was never used."""
    return messages.Release(grant_id, started=False, failed=False, run_ms=0)


def with_time_left(
    pending: PendingGrant, clock: types.Clock
) -> messages.Register:
    """Returns the registration of a request with its remaining time."""
    left_s = max(0.0, pending.deadline_s - clock.monotonic())
    return pending.register._replace(time_left_ms=int(left_s * 1000))
