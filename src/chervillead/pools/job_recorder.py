"""Writes the records of an owner's jobs and knows which ends are stored."""

import asyncio

from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import partition_records
from chervillead.jobs import records
from chervillead.store import group_commit

# Names of the kinds of records, by the first letter of their keys.
_KINDS = {
    records.SPEC_PREFIX: "spec",
    records.TERMS_PREFIX: "terms",
    records.PROGRESS_PREFIX: "progress",
    group_commit.OPENING_KEY: "opening",
    **partition_records.KINDS,
}


def kind_of(key: str) -> str:
    """Returns the name of the kind of a record, for logs and counters."""
    return _KINDS.get(key[:1], "other")


class JobRecorder:
    """Records of the jobs of one partition.

    What isn't stored yet is unknown to the next owner, so callers are told of
    the end of a job only once it is.
    """

    def __init__(self, writer: group_commit.PartitionWriter) -> None:
        self._writer = writer
        # Appends that have yet to confirm the end of a job, by job.
        self._end_appends: dict[str, asyncio.Future[None]] = {}

    def store_job(
        self, spec: model.JobSpec, terms: model.JobTerms
    ) -> asyncio.Future[None]:
        """Queues the records of a new job.

        Records are stored in order, so no spec is stored without its terms.

        Returns:
            A future that completes when all of them are stored.
        """
        self.store_terms(spec.job_id, terms)
        return self._writer.append(
            records.spec_key(spec.job_id), records.encode_spec(spec)
        )

    def store_terms(self, job_id: str, terms: model.JobTerms) -> None:
        """Queues a job's terms for the store."""
        self._writer.append(
            records.terms_key(job_id), records.encode_terms(terms)
        )

    def store_progress(self, job: job_state.JobState) -> asyncio.Future[None]:
        """Queues a job's progress for the store.

        Returns:
            A future that completes when the record is stored.
        """
        stored = self._writer.append(
            records.progress_key(job.spec.job_id),
            records.encode_progress(job),
        )
        if job.is_finished:
            phase = job.phase
            self._end_appends[job.spec.job_id] = stored
            stored.add_done_callback(lambda f: self._end_stored(job, phase, f))
        return stored

    def _end_stored(
        self,
        job: job_state.JobState,
        phase: job_state.Phase,
        stored: asyncio.Future[None],
    ) -> None:
        if self._end_appends.get(job.spec.job_id) is stored:
            del self._end_appends[job.spec.job_id]
        if group_commit.is_stored(stored):
            job.stored_end = phase

    async def wait_for_stored_end(
        self, job: job_state.JobState, timeout_s: float
    ) -> bool:
        """Waits until the store has confirmed the end of a finished job.

        Args:
            job: The job.
            timeout_s: Longest wait, in seconds.

        Returns:
            Whether the end is stored.
        """
        stored = self._end_appends.get(job.spec.job_id)
        if not job.is_end_stored and stored is not None:
            await asyncio.wait([stored], timeout=timeout_s)
        return job.is_end_stored

    def store(self, record: partition_records.Record) -> asyncio.Future[None]:
        """Queues a record that describes no job.

        Returns:
            A future that completes when it is stored.
        """
        return self._writer.append(
            partition_records.key_of(record), partition_records.encode(record)
        )

    def delete(self, job_id: str) -> None:
        """Queues the deletion of all records of a job."""
        self._writer.delete(records.spec_key(job_id))
        self._writer.delete(records.terms_key(job_id))
        self._writer.delete(records.progress_key(job_id))
