"""Job operations that an owner executes: submit, cancel and count."""

import asyncio
import typing

from returns import result

from chervillead import verdicts
from chervillead.entries import job_messages
from chervillead.jobs import job_access
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import records
from chervillead.pools import owner_state
from chervillead.pools import queue_assignments
from chervillead.pools import retry_after
from chervillead.pools import run_stopping
from chervillead.store import group_commit

# New jobs are refused once appends have failed for this long, since the store
# is unlikely to accept them soon.
MAX_STORE_FAILURE_S = 0.4
RETRY_AFTER_S = 1.0
# How long a caller who asks for a job waits for the store to confirm its end.
# It is told of an end at most this much later, and asks again otherwise.
MAX_END_WAIT_S = 0.4
# How long an answer that a job is unknown may wait for the store to confirm the
# ownership: a few appends of a slow store.
MAX_CONFIRMATION_WAIT_S = 1.0
# Callers wait 3 s, in which their host tries an owner twice for 1.2 s each. In
# that time a submission waits four times for the event loop: to be read, to be
# sent to the store, for the store's reply, and to be answered.
MAX_LOOP_LAG_S = 0.3

OWNER_OVERLOADED = "owner-overloaded"
OWNER_REPLACED = "owner-replaced"
CANCELLED = "cancelled"

Outcome = result.Result[None, verdicts.Refusal]
JobOutcome = result.Result[job_state.JobState, verdicts.Refusal]

_FEATURES = (
    "checkpointing",
    "gang",
    "same_rack",
    "required_label",
    "data_rack",
    "max_per_worker",
    "speculative",
    "long_running",
    "latency_target_ms",
    "fills",
)


class _PendingSubmission(typing.NamedTuple):
    spec: model.JobSpec
    stored: asyncio.Future[None]


class JobOperations:
    """Submits, cancels and counts the jobs of one partition."""

    def __init__(self, state: owner_state.OwnerState) -> None:
        self._state = state
        # Submissions on their way to the store, by job.
        self._pending_submissions: dict[str, _PendingSubmission] = {}
        self._queues = queue_assignments.QueueAssignments(state)

    @property
    def queues(self) -> queue_assignments.QueueAssignments:
        """Which queues the partition accepts jobs of."""
        return self._queues

    async def submit(self, spec: model.JobSpec, timeout_s: float) -> Outcome:
        """Stores a job; submitting a known id again changes nothing.

        Args:
            spec: The job.
            timeout_s: How long to wait for the store, in seconds.

        Returns:
            Success once the job is stored, or a refusal that indicates whether
            it may have been stored.
        """
        state = self._state
        ends_s = state.now_s() + timeout_s
        if not self._is_known(spec.job_id):
            refusal = self._check_load() or await self._open_queue(
                spec, timeout_s
            )
            if refusal is not None:
                return result.Failure(refusal)
        # Nothing waits from here on until the record is queued: the queue may
        # be closed at any other time.
        if spec.job_id in state.jobs:
            return result.Success(None)
        pending = self._pending_submissions.get(spec.job_id)
        if pending is not None:
            stored = pending.stored
        else:
            if (spec.job_id, spec.account) in state.cancelled:
                return result.Failure(_cancelled_before(spec.job_id))
            queue = state.queue(spec.queue)
            if queue is None or queue.pool != spec.pool:
                return result.Failure(_outdated(spec.queue))
            if not self._queues.is_open(queue):
                return result.Failure(
                    queue_assignments.moving(
                        f"{queue.address} was given to another pool"
                    )
                )
            if self._queues.has_accepted_elsewhere(queue, spec.job_id):
                return result.Success(None)
            terms = queue.terms
            stored = state.recorder.store_job(spec, terms)
            self._pending_submissions[spec.job_id] = _PendingSubmission(
                spec, stored
            )
            stored.add_done_callback(
                lambda f: self._submission_stored(spec, terms, f)
            )
        timeout_s = max(0.0, ends_s - state.now_s())
        done, _ = await asyncio.wait([stored], timeout=timeout_s)
        if not done and not state.writer.discard_unsent(stored):
            return result.Failure(_store_timeout())
        if group_commit.is_stored(stored):
            return result.Success(None)
        # Discarding completes the future, but its callback hasn't run yet.
        self._pending_submissions.pop(spec.job_id, None)
        return result.Failure(_append_refusal(stored.exception()))

    def _is_known(self, job_id: str) -> bool:
        return job_id in self._state.jobs or job_id in self._pending_submissions

    def _check_load(self) -> verdicts.Refusal | None:
        """Returns why no further job can be accepted soon, or None."""
        state = self._state
        lag_s = state.ports.loop_lag_s()
        if lag_s > MAX_LOOP_LAG_S:
            return _overloaded(lag_s)
        if (
            state.ownership.is_store_unavailable()
            or state.writer.failure_duration_s() > MAX_STORE_FAILURE_S
        ):
            return _store_unavailable("the store does not accept records")
        return None

    async def _open_queue(
        self, spec: model.JobSpec, timeout_s: float
    ) -> verdicts.Refusal | None:
        """Opens a job's queue in this partition unless it is open."""
        queue = self._state.queue(spec.queue)
        if queue is None or queue.pool != spec.pool:
            return _outdated(spec.queue)
        return await self._queues.open(queue, timeout_s)

    def _submission_stored(
        self,
        spec: model.JobSpec,
        terms: model.JobTerms,
        stored: asyncio.Future[None],
    ) -> None:
        self._pending_submissions.pop(spec.job_id, None)
        if not group_commit.is_stored(stored):
            return
        state = self._state
        job = state.jobs.setdefault(
            spec.job_id,
            job_state.JobState(spec, accepted_s=state.now_s(), terms=terms),
        )
        state.log(
            "job:accepted",
            job=spec.job_id,
            queue=spec.queue,
            pool=spec.pool,
            account=spec.account,
            steps=[step.tasks for step in spec.steps],
            traits=sorted(_features(spec)),
            token=state.token,
        )
        if (spec.job_id, spec.account) in state.cancelled:
            self.cancel_known(job)
        state.wake()

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
            return result.Failure(unknown_job(job_id))
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
            return result.Failure(unknown_job(job_id))
        self.cancel_known(job)
        left_s = max(0.0, ends_s - state.now_s())
        if await state.recorder.wait_for_stored_end(job, left_s):
            return result.Success(None)
        return result.Failure(_store_timeout())

    def cancel_known(self, job: job_state.JobState) -> None:
        """Cancels a job unless it has finished, and queues its record."""
        state = self._state
        if job.is_finished:
            return
        job.cancel(state.now_s())
        state.log("job:cancelled", job=job.spec.job_id, token=state.token)
        run_stopping.stop_runs(state, job.active_runs(), "cancelled")
        state.recorder.store_progress(job)

    def _spec_of(self, job_id: str) -> model.JobSpec | None:
        """Returns the spec of a job that is known or being stored."""
        job = self._state.jobs.get(job_id)
        if job is not None:
            return job.spec
        pending = self._pending_submissions.get(job_id)
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
            return _too_many_cancellations()
        state.cancelled.add(job_id, account, state.now_s())
        stored = state.recorder.store_cancellation(
            records.Cancellation(job_id, account)
        )
        await asyncio.wait([stored], timeout=timeout_s)
        if group_commit.is_stored(stored):
            state.log("submission:cancelled", job=job_id, token=state.token)
            return None
        if state.writer.discard_unsent(stored):
            state.cancelled.discard(job_id, account)
            return _unconfirmed()
        return _owner_replaced() if state.is_fenced else _store_timeout()

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
        pending = self._pending_submissions.get(job_id)
        if pending is not None:
            await asyncio.wait([pending.stored], timeout=MAX_END_WAIT_S)
            if not pending.stored.done():
                return result.Failure(_being_stored(job_id))
        job = state.jobs.get(job_id)
        if job is None and confirm_unknown:
            refusal = await self._confirm_ownership()
            if refusal is not None:
                return result.Failure(refusal)
            job = state.jobs.get(job_id)
        if job is None:
            return result.Failure(unknown_job(job_id))
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
            return _unconfirmed()
        confirmed = state.writer.confirm()
        await asyncio.wait([confirmed], timeout=MAX_CONFIRMATION_WAIT_S)
        if group_commit.is_stored(confirmed):
            return None
        state.writer.discard_unsent(confirmed)
        return _owner_replaced() if state.is_fenced else _unconfirmed()

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
                return result.Failure(_outdated(call.queue))
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


def unknown_job(job_id: str) -> verdicts.Refusal:
    """Returns the refusal of a call about an unknown job."""
    return verdicts.not_run("unknown-job", 410, f"no job {job_id}")


def _overloaded(lag_s: float) -> verdicts.Refusal:
    return verdicts.not_run(
        OWNER_OVERLOADED,
        503,
        f"the owner runs its tasks {lag_s:.1f} s late, more than "
        f"{MAX_LOOP_LAG_S} s",
        retry_after_s=retry_after.draw_s(),
    )


def _outdated(name: str) -> verdicts.Refusal:
    return verdicts.not_run(
        "owner-outdated",
        503,
        f"the owner's configuration has no queue {name!r} in that pool",
        retry_after_s=RETRY_AFTER_S,
    )


def _store_unavailable(detail: str) -> verdicts.Refusal:
    return verdicts.not_run(
        "store-away", 503, detail, retry_after_s=RETRY_AFTER_S
    )


def _unconfirmed() -> verdicts.Refusal:
    return _store_unavailable("the store has not confirmed the ownership")


def _being_stored(job_id: str) -> verdicts.Refusal:
    return verdicts.not_run(
        "being-stored",
        503,
        f"job {job_id} is on its way to the store",
        retry_after_s=RETRY_AFTER_S,
    )


def _cancelled_before(job_id: str) -> verdicts.Refusal:
    return verdicts.not_run(
        CANCELLED, 503, f"job {job_id} was cancelled before it was submitted"
    )


def _too_many_cancellations() -> verdicts.Refusal:
    return verdicts.not_run(
        "too-many-cancellations",
        503,
        "too many unknown jobs were cancelled recently",
        retry_after_s=retry_after.draw_s(),
    )


def _owner_replaced() -> verdicts.Refusal:
    return verdicts.not_run(
        OWNER_REPLACED,
        503,
        "another host has become the owner",
        retry_after_s=RETRY_AFTER_S,
    )


def _append_refusal(error: BaseException | None) -> verdicts.Refusal:
    """Returns the refusal of a submission whose append has failed."""
    if isinstance(error, group_commit.DiscardedError):
        return _store_unavailable(
            "the record was not sent to the store in time"
        )
    if isinstance(error, group_commit.AppendError) and not error.may_be_stored:
        return _owner_replaced()
    return verdicts.may_have_run(
        OWNER_REPLACED,
        502,
        "another host became the owner before the job was stored",
    )


def _store_timeout() -> verdicts.Refusal:
    return verdicts.may_have_run(
        "store-silent", 504, "the store did not confirm the record in time"
    )


def _features(spec: model.JobSpec) -> set[str]:
    """Returns the scheduling features that a job's steps use, for logs."""
    return {
        name for step in spec.steps for name in _FEATURES if getattr(step, name)
    }
