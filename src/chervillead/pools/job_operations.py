"""Calls about jobs that an owner carries out: submit, cancel, count."""

import asyncio

from returns import result

from chervillead import verdicts
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import records
from chervillead.pools import owner_state

# A store that has not taken records for this long won't take a new job soon.
STORE_PATIENCE_S = 0.4
RETRY_AFTER_S = 1.0

Outcome = result.Result[None, verdicts.Refusal]

_TRAITS = (
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
    """Jobs on their way into the store."""

    def __init__(self, state: owner_state.OwnerState) -> None:
        self._state = state
        self._submitting: dict[str, asyncio.Future[None]] = {}

    async def submit(self, spec: model.JobSpec, timeout_s: float) -> Outcome:
        """Stores a job; a repeat of a known id changes nothing."""
        state = self._state
        if spec.job_id in state.jobs:
            return result.Success(None)
        stored = self._submitting.get(spec.job_id)
        if stored is None:
            failing_s = state.writer.failure_duration_s()
            if (
                state.ownership.is_store_unavailable()
                or failing_s > STORE_PATIENCE_S
            ):
                return result.Failure(_store_away("no records are taken"))
            stored = state.writer.append(
                records.spec_key(spec.job_id), records.encode_spec(spec)
            )
            self._submitting[spec.job_id] = stored
            stored.add_done_callback(lambda f: self._submitted(spec, f))
        done, _ = await asyncio.wait([stored], timeout=timeout_s)
        if not done:
            if state.writer.discard_unsent(stored):
                self._submitting.pop(spec.job_id, None)
                return result.Failure(_store_away("not sent in time"))
            return result.Failure(_store_silent())
        if not is_stored(stored):
            return result.Failure(
                verdicts.may_have_run(
                    "owner-replaced", 502, "another host owns the queue now"
                )
            )
        return result.Success(None)

    def _submitted(
        self, spec: model.JobSpec, stored: asyncio.Future[None]
    ) -> None:
        self._submitting.pop(spec.job_id, None)
        if not is_stored(stored):
            return
        state = self._state
        state.jobs.setdefault(
            spec.job_id, job_state.JobState(spec, accepted_s=state.now_s())
        )
        state.log(
            "job:accepted",
            job=spec.job_id,
            queue=spec.queue,
            pool=spec.pool,
            account=spec.account,
            steps=[step.tasks for step in spec.steps],
            traits=sorted(_traits(spec)),
            token=state.token,
        )
        state.wake()

    async def cancel(self, job_id: str, timeout_s: float) -> Outcome:
        """Cancels a job; it is known to be stored when this returns."""
        state = self._state
        job = state.jobs.get(job_id)
        if job is None:
            return result.Failure(unknown_job(job_id))
        if job.is_finished and not job.is_cancelled:
            return result.Success(None)
        job.cancel(state.now_s())
        state.log("job:cancelled", job=job_id, token=state.token)
        state.stop_runs(job.active_runs(), "cancelled")
        stored = state.record(job)
        await asyncio.wait([stored], timeout=timeout_s)
        if is_stored(stored):
            return result.Success(None)
        return result.Failure(_store_silent())

    def pending(self, queue: str) -> int:
        """Returns the jobs of a queue for which no task has started."""
        return sum(
            job.spec.queue == queue and job.phase is job_state.Phase.QUEUED
            for job in self._state.jobs.values()
        )


def is_stored(stored: asyncio.Future[None]) -> bool:
    """Returns whether a record has been stored."""
    return (
        stored.done() and not stored.cancelled() and stored.exception() is None
    )


def unknown_job(job_id: str) -> verdicts.Refusal:
    """Returns the refusal of a call about a job that doesn't exist."""
    return verdicts.not_run("unknown-job", 410, f"no job {job_id}")


def _store_away(detail: str) -> verdicts.Refusal:
    return verdicts.not_run(
        "store-away", 503, detail, retry_after_s=RETRY_AFTER_S
    )


def _store_silent() -> verdicts.Refusal:
    return verdicts.may_have_run(
        "store-silent", 504, "the store has not answered"
    )


def _traits(spec: model.JobSpec) -> set[str]:
    """Returns what is special about a job's steps, for logs."""
    return {
        name for step in spec.steps for name in _TRAITS if getattr(step, name)
    }
