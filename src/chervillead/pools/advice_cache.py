"""Tickets of queues whose policy lets only some workers run a step."""

import asyncio
from collections import abc
import typing

from returns import pipeline

from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.pools import owner_state

# Workers that one call names; each makes the answer take longer.
WORKERS_PER_CALL = 30
RETRY_S = 0.3
# A ticket is used up to this long before it ends.
VALID_MARGIN_S = 0.3


class _Known(typing.NamedTuple):
    tickets: dict[str, str]
    until_s: float


class AdviceCache:
    """Tickets by step, asked for one call at a time."""

    def __init__(self, state: owner_state.OwnerState) -> None:
        self._state = state
        self._known: dict[tuple[str, int, int], _Known] = {}
        self._wanted: dict[tuple[str, int, int], str] = {}
        self._wake = asyncio.Event()

    def tickets(
        self, job: job_state.JobState, task: model.TaskKey
    ) -> abc.Mapping[str, str] | None:
        """Returns the tickets of a task's step by worker.

        Returns:
            None if the queue needs none; an empty table while they are asked
            for.
        """
        queue = self._state.queue_of(job)
        if queue is None or queue.advice is None:
            return None
        key = job.spec.job_id, task.occurrence, task.step
        known = self._known.get(key)
        if known is not None and known.until_s > self._state.now_s():
            return known.tickets
        self._wanted[key] = job.spec.pool
        self._wake.set()
        return {}

    async def run(self) -> None:
        """Asks for what is wanted until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._wanted:
                key, pool = self._wanted.popitem()
                await self._ask(key, pool)

    async def _ask(self, key: tuple[str, int, int], pool: str) -> None:
        state = self._state
        ask = state.ports.ask_advice
        if ask is None:
            return
        workers = [
            watch.view.worker_id
            for watch in state.watches.values()
            if watch.view.registration.pool == pool
            and watch.view.takes_work(state.now_s(), state.ports.zones_out())
        ][:WORKERS_PER_CALL]
        asked_s = state.now_s()
        outcome = await ask(*key, workers)
        if not pipeline.is_successful(outcome):
            state.log(
                "advice:failed",
                job=key[0],
                step=key[2],
                error=outcome.failure().detail,
            )
            await asyncio.sleep(RETRY_S)
            return
        advice = outcome.unwrap()
        until_s = asked_s + advice.valid_s - VALID_MARGIN_S
        self._known[key] = _Known(advice.tickets, until_s)
        state.log(
            "advice:received",
            job=key[0],
            step=key[2],
            asked=len(workers),
            allowed=len(advice.tickets),
        )
        state.wake()
