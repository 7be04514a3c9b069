"""Job operations that an owner executes: submit, cancel and count."""

import asyncio

from returns import result

from chervillead import verdicts
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.pools import owner_state
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


class JobOperations:
    """Submits, cancels and counts the jobs of one partition."""

    def __init__(self, state: owner_state.OwnerState) -> None:
        self._state = state
        self._pending_submissions: dict[str, asyncio.Future[None]] = {}

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
        if spec.job_id in state.jobs:
            return result.Success(None)
        stored = self._pending_submissions.get(spec.job_id)
        if stored is None:
            lag_s = state.ports.loop_lag_s()
            if lag_s > MAX_LOOP_LAG_S:
                return result.Failure(_overloaded(lag_s))
            failing_s = state.writer.failure_duration_s()
            if (
                state.ownership.is_store_unavailable()
                or failing_s > MAX_STORE_FAILURE_S
            ):
                return result.Failure(
                    _store_unavailable("the store does not accept records")
                )
            queue = state.queue(spec.queue)
            if queue is None:
                return result.Failure(_unknown_queue(spec.queue))
            terms = queue.terms
            stored = state.recorder.store_job(spec, terms)
            self._pending_submissions[spec.job_id] = stored
            stored.add_done_callback(
                lambda f: self._submission_stored(spec, terms, f)
            )
        done, _ = await asyncio.wait([stored], timeout=timeout_s)
        if not done and not state.writer.discard_unsent(stored):
            return result.Failure(_store_timeout())
        if group_commit.is_stored(stored):
            return result.Success(None)
        # Discarding completes the future, but its callback hasn't run yet.
        self._pending_submissions.pop(spec.job_id, None)
        return result.Failure(_append_refusal(stored.exception()))

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
        state.jobs.setdefault(
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
        state.wake()

    async def cancel(self, job_id: str, timeout_s: float) -> Outcome:
        """Cancels a job; on success its end has been stored.

        A job that has already finished stays as it is. The call still waits for
        its end to be stored, since otherwise a later owner would run it.
        """
        state = self._state
        job = state.jobs.get(job_id)
        if job is None:
            return result.Failure(unknown_job(job_id))
        if not job.is_finished:
            job.cancel(state.now_s())
            state.log("job:cancelled", job=job_id, token=state.token)
            run_stopping.stop_runs(state, job.active_runs(), "cancelled")
            state.recorder.store_progress(job)
        if await state.recorder.wait_for_stored_end(job, timeout_s):
            return result.Success(None)
        return result.Failure(_store_timeout())

    async def find(self, job_id: str) -> JobOutcome:
        """Finds a job whose `confirmed_phase` a caller may be told.

        A job that has ended but whose end isn't stored yet is still reported as
        running: if this owner is replaced now, it will run again. The end is
        waited for while the store can be expected to confirm it soon.
        """
        state = self._state
        job = state.jobs.get(job_id)
        if job is None:
            return await self._refuse_unknown(job_id)
        if job.is_finished and not self._is_store_failing():
            await state.recorder.wait_for_stored_end(job, MAX_END_WAIT_S)
        return result.Success(job)

    async def _refuse_unknown(self, job_id: str) -> JobOutcome:
        """Refuses a call about a job that this owner doesn't know.

        Callers take the job for lost then. So the store confirms first that no
        later owner can have accepted it.
        """
        state = self._state
        if state.writer.failure_duration_s() > 0:
            return result.Failure(_unconfirmed())
        confirmed = state.writer.confirm()
        await asyncio.wait([confirmed], timeout=MAX_CONFIRMATION_WAIT_S)
        if group_commit.is_stored(confirmed):
            return result.Failure(unknown_job(job_id))
        state.writer.discard_unsent(confirmed)
        if state.is_fenced:
            return result.Failure(_owner_replaced())
        return result.Failure(_unconfirmed())

    def _is_store_failing(self) -> bool:
        state = self._state
        return (
            state.ownership.is_store_unavailable()
            or state.writer.failure_duration_s() > 0
        )

    def pending(self, queue: str) -> int:
        """Returns how many jobs of a queue have not started any task."""
        return sum(
            job.spec.queue == queue and job.phase is job_state.Phase.QUEUED
            for job in self._state.jobs.unfinished()
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


def _unknown_queue(name: str) -> verdicts.Refusal:
    return verdicts.not_run(
        "owner-outdated",
        503,
        f"the owner's configuration has no queue {name!r}",
        retry_after_s=RETRY_AFTER_S,
    )


def _store_unavailable(detail: str) -> verdicts.Refusal:
    return verdicts.not_run(
        "store-away", 503, detail, retry_after_s=RETRY_AFTER_S
    )


def _unconfirmed() -> verdicts.Refusal:
    return _store_unavailable("the store has not confirmed the ownership")


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
