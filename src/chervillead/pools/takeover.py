"""Restores the jobs of a partition from the store for a new owner."""

import asyncio
from collections import abc
import typing

from returns import pipeline

from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import partition_records
from chervillead.jobs import records
from chervillead.pools import owner_state
from chervillead.pools import partition_owner
from chervillead.pools import pool_partitions
from chervillead.pools import ports as ports_module
from chervillead.pools import run_samples
from chervillead.store import group_commit
from chervillead.store import interface as store_interface

RETRY_DELAY_S = 0.1

_Value = typing.TypeVar("_Value")


async def load(
    owner: partition_owner.PartitionOwner,
    writer: group_commit.PartitionWriter,
    ports: ports_module.OwnerPorts,
) -> bool:
    """Fences the previous owner, then loads the jobs from the store.

    Returns:
        False if a newer owner has fenced this one.
    """
    started_s = ports.clock.monotonic()

    def log_failure(call: str, failure: store_interface.StoreFailure) -> None:
        ports.log(
            "owner:load-failed",
            partition=owner.state.partition,
            token=owner.state.token,
            call=call,
            error=failure.detail,
            after_s=round(ports.clock.monotonic() - started_s, 3),
        )

    while True:
        failure = await writer.open()
        if failure is None:
            break
        log_failure("fence", failure)
        if writer.is_fenced:
            return False
        await asyncio.sleep(RETRY_DELAY_S)
    while True:
        outcome = await ports.store.read_latest(
            pool_partitions.JOBS_TOPIC, owner.state.partition
        )
        if pipeline.is_successful(outcome):
            break
        log_failure("read", outcome.failure())
        await asyncio.sleep(RETRY_DELAY_S)
    stored = outcome.unwrap().records
    jobs = restore_jobs(
        stored, ports.clock.monotonic(), 1000 * ports.clock.wall(), ports.log
    )
    for cancellation in _decode_records(
        stored, partition_records.Cancellation, ports.log
    ):
        # Kept as long as by the previous owner, whose clock isn't this one.
        owner.state.cancelled.add(
            cancellation.job_id,
            cancellation.account,
            ports.clock.monotonic(),
        )
    owner.state.queues.update(
        (assignment.address, assignment)
        for assignment in _decode_records(
            stored, partition_records.QueueAssignment, ports.log
        )
    )
    _restore_quotas(owner.state, stored)
    run_samples.restore(
        owner.state,
        _decode_records(stored, partition_records.LearnedRunTime, ports.log),
    )
    owner.load(jobs)
    owner.state.unreadable_jobs.update(
        _stored_ids(stored) - {job.spec.job_id for job in jobs}
    )
    _take_over_parts(owner.state, stored)
    for key in _keys_without_job(stored):
        writer.delete(key)
    ports.log(
        "owner:loaded",
        partition=owner.state.partition,
        token=owner.state.token,
        jobs=len(jobs),
        value_bytes=sum(len(record.value) for record in stored),
        after_s=round(ports.clock.monotonic() - started_s, 3),
    )
    return True


def _restore_quotas(
    state: owner_state.OwnerState,
    stored: tuple[store_interface.KeyedRecord, ...],
) -> None:
    """Restores the shares that a partition holds, and the ledger of all."""
    for share in _decode_records(
        stored, partition_records.QuotaShare, state.log
    ):
        state.shares.hold(share.account, share.share)
    for grants in _decode_records(
        stored, partition_records.QuotaGrants, state.log
    ):
        state.grants[grants.account] = dict(grants.shares)
        for partition, report in grants.reports.items():
            last = state.reports.get(partition, report)
            state.reports[partition] = max(last, report)


def restore_jobs(
    stored: tuple[store_interface.KeyedRecord, ...],
    now_s: float,
    now_unix_ms: float,
    log: abc.Callable[..., None],
) -> list[job_state.JobState]:
    """Returns the jobs that the records of a partition describe.

    Unreadable records are logged and skipped.

    Args:
        stored: The records.
        now_s: Time of the owner's clock.
        now_unix_ms: Wall-clock time.
        log: Writes a log line.
    """
    jobs: dict[str, job_state.JobState] = {}
    terms = _restore_terms(stored, log)
    for record in stored:
        if record.key.startswith(records.SPEC_PREFIX):
            try:
                spec = records.decode_spec(record.value)
            except records.MalformedRecordError as error:
                log("record:unreadable", key=record.key, error=str(error))
                continue
            age_s = max(0.0, now_unix_ms - spec.accepted_unix_ms) / 1000
            jobs[spec.job_id] = job_state.JobState(
                spec,
                accepted_s=now_s - age_s,
                terms=terms.get(spec.job_id),
            )
    for job_id, parts in _restore_progress(jobs, stored, log).items():
        records.apply_parts(jobs[job_id], parts, now_s)
    return list(jobs.values())


def _restore_progress(
    jobs: abc.Mapping[str, job_state.JobState],
    stored: tuple[store_interface.KeyedRecord, ...],
    log: abc.Callable[..., None],
) -> dict[str, dict[int, records.Progress]]:
    """Returns the readable parts of the progress of each job, by number."""
    progress: dict[str, dict[int, records.Progress]] = {}
    for record in stored:
        job_id, part = records.parse_progress_key(record.key) or ("", 0)
        job = jobs.get(job_id)
        if job is None:
            continue
        try:
            decoded = records.decode_progress(job, record.value)
        except records.MalformedRecordError as error:
            log("record:unreadable", key=record.key, error=str(error))
            continue
        progress.setdefault(job_id, {})[part] = decoded
    return progress


def _take_over_parts(
    state: owner_state.OwnerState,
    stored: tuple[store_interface.KeyedRecord, ...],
) -> None:
    """Notes which parts of progress are stored, and splits undivided ones."""
    for record in stored:
        job_id, part = records.parse_progress_key(record.key) or ("", 0)
        if job_id in state.jobs:
            state.recorder.restore_parts(job_id, (part,))
    for job in state.jobs.unfinished():
        if job.has_unsplit_progress:
            state.recorder.split_progress(job)
            job.has_unsplit_progress = False


def _decode_records(
    stored: tuple[store_interface.KeyedRecord, ...],
    kind: type[_Value],
    log: abc.Callable[..., None],
) -> abc.Iterator[_Value]:
    """Yields the decoded records of one kind; logs unreadable ones."""
    for record in stored:
        if not partition_records.has_kind(record.key, kind):
            continue
        try:
            yield partition_records.decode(kind, record.value)
        except records.MalformedRecordError as error:
            log("record:unreadable", key=record.key, error=str(error))


def _restore_terms(
    stored: tuple[store_interface.KeyedRecord, ...],
    log: abc.Callable[..., None],
) -> dict[str, model.JobTerms]:
    """Returns the stored terms of jobs, by job."""
    terms: dict[str, model.JobTerms] = {}
    for record in stored:
        if not record.key.startswith(records.TERMS_PREFIX):
            continue
        try:
            terms[record.key[1:]] = records.decode_terms(record.value)
        except records.MalformedRecordError as error:
            log("record:unreadable", key=record.key, error=str(error))
    return terms


def _stored_ids(stored: tuple[store_interface.KeyedRecord, ...]) -> set[str]:
    """Returns the ids of all jobs that have a spec, readable or not."""
    return {
        record.key.removeprefix(records.SPEC_PREFIX)
        for record in stored
        if record.key.startswith(records.SPEC_PREFIX)
    }


def _keys_without_job(
    stored: tuple[store_interface.KeyedRecord, ...],
) -> abc.Iterator[str]:
    """Yields the keys of terms and parts of progress without a spec.

    Terms stay when a submission was given up between the two records, and when
    an earlier build has deleted a job, and so do further parts then.
    """
    keys = {record.key for record in stored}
    for key in sorted(keys):
        if key.startswith(records.TERMS_PREFIX):
            job_id = key.removeprefix(records.TERMS_PREFIX)
        else:
            job_id, part = records.parse_progress_key(key) or ("", 0)
            if not part:
                continue
        if records.spec_key(job_id) not in keys:
            yield key
