"""Worker tickets for queues whose advisory service restricts placement."""

import asyncio
from collections import abc
import typing

from returns import pipeline

from chervillead.jobs import advice_requests
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import placement
from chervillead.pools import owner_state
from chervillead.pools import ports as ports_module

# Pause of a step whose call has failed; other steps go on.
RETRY_DELAY_S = 0.3
# How often it is looked whether a step needs further workers. With many steps
# it is done less often, as each look goes over all workers of a pool.
CHECK_INTERVAL_S = 0.1
STEPS_PER_INTERVAL = 5
# Tickets are discarded this long before they expire.
EXPIRY_MARGIN_S = 0.3
# Time for the network, beyond what the service says that it takes.
TIMEOUT_MARGIN_S = 1.0

# Job id, occurrence and number of a step.
_StepKey = tuple[str, int, int]


class _Answer(typing.NamedTuple):
    """What the service said of one process of a worker.

    Attributes:
        incarnation: The process.
        ticket: Its ticket; None if it may not run the step.
        expires_s: When the ticket expires.
    """

    incarnation: int
    ticket: str | None
    expires_s: float


class _StepAdvice:
    """Answers for one step."""

    def __init__(self) -> None:
        self.answers: dict[str, _Answer] = {}
        self.next_check_s = float("-inf")
        self.tickets: dict[str, str] = {}
        # When `tickets` has to be read from the answers again.
        self.tickets_until_s = float("-inf")


class AdviceCache:
    """Cached tickets by step, fetched one call at a time."""

    def __init__(self, state: owner_state.OwnerState) -> None:
        self._state = state
        self._steps: dict[_StepKey, _StepAdvice] = {}
        # Steps to look at, in the order of their requests.
        self._requested: dict[_StepKey, None] = {}
        self._wake = asyncio.Event()

    def tickets(
        self, job: job_state.JobState, task: model.TaskKey
    ) -> abc.Mapping[str, str] | None:
        """Returns the valid tickets for a task's step, by worker.

        Asks for more if the tasks that wait can't be placed with them.

        Returns:
            None if the queue needs no tickets.
        """
        if self._policy_of(job) is None:
            return None
        key = job.spec.job_id, task.occurrence, task.step
        advice = self._steps.setdefault(key, _StepAdvice())
        now_s = self._state.now_s()
        if now_s >= advice.next_check_s and key not in self._requested:
            self._requested[key] = None
            self._wake.set()
        if now_s >= advice.tickets_until_s:
            advice.tickets = dict(self._valid_tickets(advice))
            advice.tickets_until_s = now_s + CHECK_INTERVAL_S
        return advice.tickets

    async def run(self) -> None:
        """Asks about the workers of requested steps until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._requested:
                key = next(iter(self._requested))
                del self._requested[key]
                await self._advance(key)
            self._forget_finished_jobs()

    def _policy_of(self, job: job_state.JobState) -> model.AdvicePolicy | None:
        """Returns the policy of a job's queue, which workers go by.

        The queue may have got or lost its policy since the job was accepted.
        """
        queue = self._state.queue(job.spec.queue)
        return (
            self._state.terms_of(job).advice if queue is None else queue.advice
        )

    def _valid_tickets(
        self, advice: _StepAdvice
    ) -> abc.Iterator[tuple[str, str]]:
        now_s = self._state.now_s()
        for worker_id, answer in advice.answers.items():
            if (
                answer.ticket is not None
                and answer.expires_s > now_s
                and answer.incarnation == self._incarnation(worker_id)
            ):
                yield worker_id, answer.ticket

    def _incarnation(self, worker_id: str) -> int | None:
        watch = self._state.watches.get(worker_id)
        return None if watch is None else watch.view.registration.incarnation

    async def _advance(self, key: _StepKey) -> None:
        """Asks about the next workers of a step, if it needs any."""
        state = self._state
        job = state.jobs.get(key[0])
        ask_advice = state.ports.ask_advice
        if job is None or job.is_finished:
            return
        policy = self._policy_of(job)
        advice = self._steps.get(key)
        if ask_advice is None or policy is None or advice is None:
            return
        workers = self._select_workers(job, key, advice)
        advice.next_check_s = state.now_s() + CHECK_INTERVAL_S * max(
            1.0, len(self._steps) / STEPS_PER_INTERVAL
        )
        if not workers:
            return
        incarnations = {w: self._incarnation(w) for w in workers}
        requested_s = state.now_s()
        outcome = await ask_advice(
            *key, workers, call_timeout_s(policy, len(workers))
        )
        if not pipeline.is_successful(outcome):
            advice.next_check_s = state.now_s() + RETRY_DELAY_S
            state.log(
                "advice:failed",
                job=key[0],
                step=key[2],
                requested=len(workers),
                error=outcome.failure().detail,
            )
            return
        reply = outcome.unwrap()
        expires_s = requested_s + reply.valid_s - EXPIRY_MARGIN_S
        advice.answers.update(
            (
                worker_id,
                _Answer(incarnation, reply.tickets.get(worker_id), expires_s),
            )
            for worker_id, incarnation in incarnations.items()
            if incarnation is not None
        )
        advice.next_check_s = advice.tickets_until_s = float("-inf")
        self._log_received(key, advice, workers, reply)
        state.wake()

    def _select_workers(
        self, job: job_state.JobState, key: _StepKey, advice: _StepAdvice
    ) -> list[str]:
        step = job.spec.steps[key[2]]
        waiting = len(job.pending_tasks.get((key[1], key[2]), ()))
        return advice_requests.select_workers(
            list(self._options(job.spec.pool, step, key, advice)),
            step.tasks if step.gang else waiting,
            may_preempt=step.long_running,
        )

    def _options(
        self, pool: str, step: model.Step, key: _StepKey, advice: _StepAdvice
    ) -> abc.Iterator[advice_requests.WorkerOption]:
        """Yields the workers of a pool that could run a task of a step."""
        now_s = self._state.now_s()
        zones_out = self._state.ports.zones_out()
        for worker_id, watch in self._state.watches.items():
            view = watch.view
            if view.registration.pool != pool:
                continue
            if not view.is_schedulable(now_s, zones_out):
                continue
            snapshot = view.as_snapshot()
            if not placement.is_suitable(snapshot, step):
                continue
            answer = advice.answers.get(worker_id)
            is_known = (
                answer is not None
                and answer.incarnation == view.registration.incarnation
            )
            is_allowed = (
                is_known and answer is not None and answer.ticket is not None
            )
            yield advice_requests.WorkerOption(
                worker_id,
                snapshot.rack,
                advice_requests.count_slots(snapshot, step, key),
                is_known=is_known,
                is_allowed=is_allowed,
                has_ticket=is_allowed
                and answer is not None
                and answer.expires_s > now_s,
            )

    def _forget_finished_jobs(self) -> None:
        jobs = self._state.jobs
        for key in list(self._steps):
            job = jobs.get(key[0])
            if job is None or job.is_finished:
                del self._steps[key]

    def _log_received(
        self,
        key: _StepKey,
        advice: _StepAdvice,
        workers: abc.Sequence[str],
        reply: ports_module.Advice,
    ) -> None:
        self._state.log(
            "advice:received",
            job=key[0],
            step=key[2],
            requested=len(workers),
            allowed=len(reply.tickets),
            known=len(advice.answers),
        )


def call_timeout_s(policy: model.AdvicePolicy, workers: int) -> float:
    """Returns how long to wait for an answer, in seconds.

    Args:
        policy: What the queue says of the service.
        workers: Number of workers in the call.
    """
    answer_ms = policy.answer_ms + policy.answer_per_worker_ms * workers
    return answer_ms / 1000 + TIMEOUT_MARGIN_S
