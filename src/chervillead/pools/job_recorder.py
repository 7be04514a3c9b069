"""Writes the records of an owner's jobs and knows which ends are stored."""

import asyncio
from collections import abc

from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import partition_records
from chervillead.jobs import progress_parts
from chervillead.jobs import records
from chervillead.store import group_commit

# Room for the key of a record and its length.
KEY_MARGIN_BYTES = 64

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

    def __init__(
        self,
        writer: group_commit.PartitionWriter,
        max_record_bytes: int,
        log: abc.Callable[..., None],
    ) -> None:
        """Makes a recorder.

        Args:
            writer: Writer of the partition.
            max_record_bytes: Longest record that the store accepts, in bytes.
            log: Writes a log line.
        """
        self._writer = writer
        self._max_value_bytes = max_record_bytes - KEY_MARGIN_BYTES
        self._log = log
        # Numbers of the stored parts of progress, by job.
        self._parts: dict[str, set[int]] = {}
        # Parts that were stored without some checkpoints, by job.
        self._shortened: dict[str, set[int]] = {}
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

    def store_progress(
        self, job: job_state.JobState, tasks: abc.Iterable[model.TaskKey] = ()
    ) -> asyncio.Future[None]:
        """Queues a job's progress for the store.

        Args:
            job: The job.
            tasks: The tasks whose progress has changed; none if only the job
                was cancelled or has failed.

        Returns:
            A future that completes when all records are stored.
        """
        parts = progress_parts.parts_of(job, tasks)
        # How a job has ended stands in its first part, which goes first: a
        # later owner must not start a task whose last attempt has failed.
        if not parts or job.is_cancelled or job.is_failed:
            parts.add(0)
        return self._store_parts(job, sorted(parts))

    def split_progress(self, job: job_state.JobState) -> None:
        """Queues the progress of a job that earlier builds stored as a whole.

        The first part replaces that record, so it goes last.
        """
        self._store_parts(
            job, [*sorted(progress_parts.begun_parts(job) - {0}), 0]
        )

    def restore_parts(self, job_id: str, parts: abc.Iterable[int]) -> None:
        """Notes which parts of a job's progress previous owners have stored."""
        self._parts.setdefault(job_id, set()).update(parts)

    def _store_parts(
        self, job: job_state.JobState, parts: abc.Sequence[int]
    ) -> asyncio.Future[None]:
        job_id = job.spec.job_id
        self._parts.setdefault(job_id, set()).update(parts)
        stored = group_commit.all_stored(
            [
                self._writer.append(
                    records.progress_key(job_id, part), self._encode(job, part)
                )
                for part in parts
            ]
        )
        if job.is_finished:
            phase = job.phase
            self._end_appends[job_id] = stored
            stored.add_done_callback(lambda f: self._end_stored(job, phase, f))
        return stored

    def _encode(self, job: job_state.JobState, part: int) -> bytes:
        """Returns the value of a part; logs once if it lacks checkpoints."""
        job_id = job.spec.job_id
        encoded = records.encode_progress_within(
            job, part, self._max_value_bytes
        )
        shortened = self._shortened.setdefault(job_id, set())
        if encoded.dropped_checkpoints and part not in shortened:
            shortened.add(part)
            self._log(
                "record:without-checkpoints",
                job=job_id,
                part=part,
                checkpoints=encoded.dropped_checkpoints,
                max_bytes=self._max_value_bytes,
            )
        return encoded.value

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
        for part in sorted(self._parts.pop(job_id, {0})):
            self._writer.delete(records.progress_key(job_id, part))
        self._shortened.pop(job_id, None)
