"""Worker tickets for queues whose advisory service restricts placement."""

import asyncio
from collections import abc
import typing

from returns import pipeline

from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.pools import owner_state

# Each worker in a request makes the response take longer.
MAX_WORKERS_PER_REQUEST = 30
RETRY_DELAY_S = 0.3
# Tickets are discarded this long before they expire.
EXPIRY_MARGIN_S = 0.3


class _CachedTickets(typing.NamedTuple):
    tickets: dict[str, str]
    expires_s: float


class AdviceCache:
    """Cached tickets by step, fetched one request at a time."""

    def __init__(self, state: owner_state.OwnerState) -> None:
        self._state = state
        self._cache: dict[tuple[str, int, int], _CachedTickets] = {}
        self._requested: dict[tuple[str, int, int], str] = {}
        self._wake = asyncio.Event()

    def tickets(
        self, job: job_state.JobState, task: model.TaskKey
    ) -> abc.Mapping[str, str] | None:
        """Returns the tickets for a task's step, by worker.

        Returns:
            None if the queue needs no tickets; an empty mapping while they are
            being fetched.
        """
        if self._state.terms_of(job).advice is None:
            return None
        key = job.spec.job_id, task.occurrence, task.step
        cached = self._cache.get(key)
        if cached is not None and cached.expires_s > self._state.now_s():
            return cached.tickets
        self._requested[key] = job.spec.pool
        self._wake.set()
        return {}

    async def run(self) -> None:
        """Fetches requested tickets until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._requested:
                key, pool = self._requested.popitem()
                await self._fetch(key, pool)

    async def _fetch(self, key: tuple[str, int, int], pool: str) -> None:
        state = self._state
        ask_advice = state.ports.ask_advice
        if ask_advice is None:
            return
        workers = [
            watch.view.worker_id
            for watch in state.watches.values()
            if watch.view.registration.pool == pool
            and watch.view.is_schedulable(
                state.now_s(), state.ports.zones_out()
            )
        ][:MAX_WORKERS_PER_REQUEST]
        requested_s = state.now_s()
        outcome = await ask_advice(*key, workers)
        if not pipeline.is_successful(outcome):
            state.log(
                "advice:failed",
                job=key[0],
                step=key[2],
                error=outcome.failure().detail,
            )
            await asyncio.sleep(RETRY_DELAY_S)
            return
        advice = outcome.unwrap()
        expires_s = requested_s + advice.valid_s - EXPIRY_MARGIN_S
        self._cache[key] = _CachedTickets(advice.tickets, expires_s)
        state.log(
            "advice:received",
            job=key[0],
            step=key[2],
            requested=len(workers),
            allowed=len(advice.tickets),
        )
        state.wake()
