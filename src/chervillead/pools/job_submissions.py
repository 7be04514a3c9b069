"""Submissions of jobs to the owner of a partition, until they are stored."""

import asyncio
import typing

from returns import result

from chervillead import verdicts
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import run_times
from chervillead.pools import job_cancelling
from chervillead.pools import job_refusals
from chervillead.pools import owner_state
from chervillead.pools import pool_work
from chervillead.pools import queue_assignments
from chervillead.pools import retry_after
from chervillead.store import group_commit

# New jobs are refused once appends have failed for this long, since the store
# is unlikely to accept them soon.
MAX_STORE_FAILURE_S = 0.4
# Callers wait 3 s, in which their host tries an owner twice for 1.2 s each. In
# that time a submission waits four times for the event loop: to be read, to be
# sent to the store, for the store's reply, and to be answered.
MAX_LOOP_LAG_S = 0.3

Outcome = result.Result[None, verdicts.Refusal]

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


class PendingSubmission(typing.NamedTuple):
    """A submission whose records are on their way to the store."""

    spec: model.JobSpec
    stored: asyncio.Future[None]


class JobSubmissions:
    """Stores the jobs that are submitted to one partition."""

    def __init__(
        self,
        state: owner_state.OwnerState,
        queues: queue_assignments.QueueAssignments,
    ) -> None:
        self._state = state
        self._queues = queues
        self._pending: dict[str, PendingSubmission] = {}

    def pending(self, job_id: str) -> PendingSubmission | None:
        """Returns the submission of a job that is being stored, if any."""
        return self._pending.get(job_id)

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
        pending = self._pending.get(spec.job_id)
        if pending is not None:
            stored = pending.stored
        else:
            if (spec.job_id, spec.account) in state.cancelled:
                return result.Failure(
                    job_refusals.cancelled_before(spec.job_id)
                )
            queue = state.queue(spec.queue)
            if queue is None or queue.pool != spec.pool:
                return result.Failure(job_refusals.outdated(spec.queue))
            if not self._queues.is_open(queue):
                return result.Failure(
                    queue_assignments.moving(
                        f"{queue.address} was given to another pool"
                    )
                )
            if self._queues.has_accepted_elsewhere(queue, spec.job_id):
                return result.Success(None)
            terms = queue.terms
            # Known jobs have been answered above, here or elsewhere.
            refusal = state.overload.check(spec, terms, state.run_times)
            if refusal is not None:
                return result.Failure(refusal)
            refusal = self._check_memory(spec)
            if refusal is not None:
                return result.Failure(refusal)
            stored = state.recorder.store_job(spec, terms)
            state.jobs.held.add(spec)
            self._pending[spec.job_id] = PendingSubmission(spec, stored)
            stored.add_done_callback(
                lambda f: self._submission_stored(spec, terms, f)
            )
        timeout_s = max(0.0, ends_s - state.now_s())
        done, _ = await asyncio.wait([stored], timeout=timeout_s)
        if not done and not state.writer.discard_unsent(stored):
            return result.Failure(job_refusals.store_timeout())
        if group_commit.is_stored(stored):
            return result.Success(None)
        # Discarding completes the future, but its callback hasn't run yet.
        self._pending.pop(spec.job_id, None)
        return result.Failure(job_refusals.append_failed(stored.exception()))

    def _is_known(self, job_id: str) -> bool:
        return job_id in self._state.jobs or job_id in self._pending

    def _check_load(self) -> verdicts.Refusal | None:
        """Returns why no further job can be accepted soon, or None."""
        state = self._state
        lag_s = state.ports.loop_lag_s()
        if lag_s > MAX_LOOP_LAG_S:
            return job_refusals.overloaded(lag_s, MAX_LOOP_LAG_S)
        if (
            state.ownership.is_store_unavailable()
            or state.writer.failure_duration_s() > MAX_STORE_FAILURE_S
        ):
            return job_refusals.store_unavailable(
                "the store does not accept records"
            )
        return None

    def _check_memory(self, spec: model.JobSpec) -> verdicts.Refusal | None:
        """Returns why there is no memory for a new job, or None."""
        ports = self._state.ports
        refusal = self._state.jobs.held.check(
            spec,
            ports.limits.accepted_jobs,
            host_bytes=ports.held_bytes(),
            retry_after_s=retry_after.draw_s(),
        )
        if refusal is not None:
            ports.increment("chervillead_memory_refusals", refusal.reason)
        return refusal

    async def _open_queue(
        self, spec: model.JobSpec, timeout_s: float
    ) -> verdicts.Refusal | None:
        """Opens a job's queue in this partition unless it is open."""
        queue = self._state.queue(spec.queue)
        if queue is None or queue.pool != spec.pool:
            return job_refusals.outdated(spec.queue)
        return await self._queues.open(queue, timeout_s)

    def _accept(
        self, spec: model.JobSpec, terms: model.JobTerms
    ) -> job_state.JobState:
        """Adds a job that was stored, and counts it as offered load."""
        state = self._state
        job = job_state.JobState(spec, accepted_s=state.now_s(), terms=terms)
        job.is_over_rate = not state.overload.take_token(spec.account)
        run_times.refresh(job, terms, state.run_times)
        state.jobs[spec.job_id] = job
        pool_work.record_offered(state, job)
        return job

    def _submission_stored(
        self,
        spec: model.JobSpec,
        terms: model.JobTerms,
        stored: asyncio.Future[None],
    ) -> None:
        state = self._state
        self._pending.pop(spec.job_id, None)
        state.jobs.held.remove(spec)
        if not group_commit.is_stored(stored):
            return
        job = state.jobs.get(spec.job_id) or self._accept(spec, terms)
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
            job_cancelling.cancel_job(state, job)
        state.wake()


def _features(spec: model.JobSpec) -> set[str]:
    """Returns the scheduling features that a job's steps use, for logs."""
    return {
        name for step in spec.steps for name in _FEATURES if getattr(step, name)
    }
