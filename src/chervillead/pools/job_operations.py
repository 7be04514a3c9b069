"""Operations of callers that an owner executes on its jobs."""

import asyncio

from returns import result

from chervillead import verdicts
from chervillead.entries import job_messages
from chervillead.jobs import job_access
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import partition_records
from chervillead.pools import job_cancelling
from chervillead.pools import job_refusals
from chervillead.pools import job_submissions
from chervillead.pools import owner_state
from chervillead.pools import queue_assignments
from chervillead.store import group_commit

# How long a caller who asks for a job waits for the store to confirm its end.
# It is told of an end at most this much later, and asks again otherwise.
MAX_END_WAIT_S = 0.4
# How long an answer that a job is unknown may wait for the store to confirm the
# ownership: a few appends of a slow store.
MAX_CONFIRMATION_WAIT_S = 1.0

Outcome = result.Result[None, verdicts.Refusal]
JobOutcome = result.Result[job_state.JobState, verdicts.Refusal]


class JobOperations:
    """Finds, cancels and counts the jobs of one partition."""

    def __init__(self, state: owner_state.OwnerState) -> None:
        self._state = state
        self._queues = queue_assignments.QueueAssignments(state)
        self._submissions = job_submissions.JobSubmissions(state, self._queues)

    @property
    def submissions(self) -> job_submissions.JobSubmissions:
        """Submits jobs."""
        return self._submissions

    @property
    def queues(self) -> queue_assignments.QueueAssignments:
        """Which queues the partition accepts jobs of."""
        return self._queues

    async def cancel(
        self,
        job_id: str,
        account: str,
        timeout_s: float,
        *,
        confirm_unknown: bool,
    ) -> Outcome:
        """Cancels a job; on success its end has been stored.

        A job that has already finished stays as it is. The call still waits for
        its end to be stored, since otherwise a later owner would run it.

        Args:
            job_id: The job.
            account: Client account of the caller.
            timeout_s: How long to wait for the store, in seconds.
            confirm_unknown: Whether an unknown job is refused if it is
                submitted later. Otherwise the answer that it is unknown
                promises nothing.
        """
        state = self._state
        spec = self._spec_of(job_id)
        if spec is None and not confirm_unknown:
            return result.Failure(job_refusals.unknown_job(job_id))
        refusal = spec and job_access.check_account(spec.account, account)
        if refusal is not None:
            return result.Failure(refusal)
        ends_s = state.now_s() + timeout_s
        job = state.jobs.get(job_id)
        if job is None:
            refusal = await self._refuse_later(job_id, account, timeout_s)
            if refusal is not None:
                return result.Failure(refusal)
            job = state.jobs.get(job_id)
        if job is None:
            return result.Failure(job_refusals.unknown_job(job_id))
        job_cancelling.cancel_job(state, job)
        left_s = max(0.0, ends_s - state.now_s())
        if await state.recorder.wait_for_stored_end(job, left_s):
            return result.Success(None)
        return result.Failure(job_refusals.store_timeout())

    def _spec_of(self, job_id: str) -> model.JobSpec | None:
        """Returns the spec of a job that is known or being stored."""
        job = self._state.jobs.get(job_id)
        if job is not None:
            return job.spec
        pending = self._submissions.pending(job_id)
        return None if pending is None else pending.spec

    async def _refuse_later(
        self, job_id: str, account: str, timeout_s: float
    ) -> verdicts.Refusal | None:
        """Stores that a submission has been cancelled before it arrived.

        A submission that is being stored is cancelled once it is. Records are
        stored in order, so it is known by then.

        Returns:
            Why that isn't certain, or None if it is.
        """
        state = self._state
        if state.cancelled.is_full:
            return job_refusals.too_many_cancellations()
        state.cancelled.add(job_id, account, state.now_s())
        stored = state.recorder.store(
            partition_records.Cancellation(job_id, account)
        )
        await asyncio.wait([stored], timeout=timeout_s)
        if group_commit.is_stored(stored):
            state.log("submission:cancelled", job=job_id, token=state.token)
            return None
        if state.writer.discard_unsent(stored):
            state.cancelled.discard(job_id, account)
            return job_refusals.unconfirmed()
        return (
            job_refusals.owner_replaced()
            if state.is_fenced
            else job_refusals.store_timeout()
        )

    async def find(self, job_id: str, *, confirm_unknown: bool) -> JobOutcome:
        """Finds a job whose `confirmed_phase` a caller may be told.

        A job that has ended but whose end isn't stored yet is still reported as
        running: if this owner is replaced now, it will run again. The end is
        waited for while the store can be expected to confirm it soon.

        Args:
            job_id: The job.
            confirm_unknown: Whether the store has to confirm that no later
                owner can have accepted a job that this one doesn't know.
        """
        state = self._state
        pending = self._submissions.pending(job_id)
        if pending is not None:
            await asyncio.wait([pending.stored], timeout=MAX_END_WAIT_S)
            if not pending.stored.done():
                return result.Failure(job_refusals.being_stored(job_id))
        job = state.jobs.get(job_id)
        if job is None and confirm_unknown:
            refusal = await self._confirm_ownership()
            if refusal is not None:
                return result.Failure(refusal)
            job = state.jobs.get(job_id)
        if job is None:
            return result.Failure(job_refusals.unknown_job(job_id))
        if job.is_finished and not self._is_store_failing():
            await state.recorder.wait_for_stored_end(job, MAX_END_WAIT_S)
        return result.Success(job)

    async def _confirm_ownership(self) -> verdicts.Refusal | None:
        """Lets the store confirm that there is no later owner.

        Callers who are told that a job is unknown take it for lost.

        Returns:
            Why it isn't certain, or None if it is.
        """
        state = self._state
        if state.writer.failure_duration_s() > 0:
            return job_refusals.unconfirmed()
        confirmed = state.writer.confirm()
        await asyncio.wait([confirmed], timeout=MAX_CONFIRMATION_WAIT_S)
        if group_commit.is_stored(confirmed):
            return None
        state.writer.discard_unsent(confirmed)
        return (
            job_refusals.owner_replaced()
            if state.is_fenced
            else job_refusals.unconfirmed()
        )

    def _is_store_failing(self) -> bool:
        state = self._state
        return (
            state.ownership.is_store_unavailable()
            or state.writer.failure_duration_s() > 0
        )

    async def count_pending(
        self, call: job_messages.CountPending
    ) -> result.Result[job_messages.JobReply, verdicts.Refusal]:
        """Counts the jobs of a queue that have not started any task.

        The reply names other partitions that may hold some, if the queue is
        assigned to this one.
        """
        state = self._state
        partitions: tuple[int, ...] = ()
        if call.queue:
            queue = state.queue(call.queue)
            if (
                queue is None
                or queue.pool != call.pool
                or queue.address != call.address
            ):
                return result.Failure(job_refusals.outdated(call.queue))
            refusal = await self._queues.open(queue, call.timeout_ms / 1000)
            if refusal is not None:
                return result.Failure(refusal)
            partitions = state.queues[call.address].other_partitions
        return result.Success(
            job_messages.JobReply(
                verdicts.Verdict.RAN.value,
                pending=state.count_pending(call.address),
                partitions=partitions,
            )
        )
