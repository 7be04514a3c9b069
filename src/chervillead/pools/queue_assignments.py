"""Which queues the owner of a partition may accept jobs of.

The id of a job is unique within its queue, and the owner of a partition knows
its own jobs only. Operators may assign a queue to another pool, whose jobs lie
in another partition. So a queue is open in one partition at a time. Before its
owner accepts the first job it registers the queue in the store, and closes it
in every partition that has registered it before. Those owners accept none of
its jobs any more, and say which ones they have accepted a short time ago, so
that a repeated submission is recognized.

The version of the configuration that assigns the queue decides between two
partitions. All of it is stored, so that a later owner knows it too.
"""

import asyncio
from collections import abc
import typing

from returns import pipeline
from returns import result

from chervillead import verdicts
from chervillead.entries import job_messages
from chervillead.jobs import model
from chervillead.jobs import partition_records
from chervillead.pools import owner_state
from chervillead.pools import pool_partitions
from chervillead.store import group_commit
from chervillead.store import interface as store_interface

# Callers repeat a submission some seconds later at most.
REPEAT_HORIZON_S = 60.0
# Keeps the record of a queue within the limits of the store.
MAX_REPEATABLE_JOBS = 8_000
# Time for another owner to close a queue, or for the store to accept a record.
CALL_TIMEOUT_S = 1.5
RETRY_AFTER_S = 1.0
# Lower than the version of any configuration.
_NO_VERSION = -1

QUEUE_MOVING = "queue-moving"

ReplyOutcome = result.Result[job_messages.JobReply, verdicts.Refusal]


class _Opening(typing.NamedTuple):
    version: int
    task: asyncio.Task[verdicts.Refusal | None]


class QueueAssignments:
    """Opens and closes queues in one partition."""

    def __init__(self, state: owner_state.OwnerState) -> None:
        self._state = state
        # Queues that are being opened, by address.
        self._openings: dict[str, _Opening] = {}

    def is_open(self, queue: model.Queue) -> bool:
        """Returns whether this partition accepts jobs of a queue."""
        assignment = self._state.queues.get(queue.address)
        return assignment is not None and assignment.is_open

    def has_accepted_elsewhere(self, queue: model.Queue, job_id: str) -> bool:
        """Returns whether another partition holds a job of an open queue."""
        return job_id in self._state.queues[queue.address].other_jobs

    async def open(
        self, queue: model.Queue, timeout_s: float
    ) -> verdicts.Refusal | None:
        """Makes this partition the only one that accepts jobs of a queue.

        Args:
            queue: The queue, as the configuration assigns it to this partition.
            timeout_s: How long to wait, in seconds. An attempt that takes
                longer goes on, and a later call waits for it.

        Returns:
            Why jobs can't be accepted now, or None if they can.
        """
        if self.is_open(queue):
            return None
        opening = self._openings.get(queue.address)
        if opening is None:
            version = self._version()
            assignment = self._state.queues.get(queue.address)
            if assignment is not None and assignment.version >= version:
                return _assigned_elsewhere(queue.address, assignment.version)
            opening = _Opening(
                version, asyncio.create_task(self._open(queue.address, version))
            )
            self._openings[queue.address] = opening
            opening.task.add_done_callback(
                lambda task: self._openings.pop(queue.address, None)
            )
        await asyncio.wait([opening.task], timeout=timeout_s)
        if not opening.task.done():
            return moving(f"{queue.address} is being opened in this partition")
        return opening.task.result()

    async def _open(
        self, address: str, version: int
    ) -> verdicts.Refusal | None:
        state = self._state
        registered = await self._register(address)
        if not pipeline.is_successful(registered):
            return _store_failed(registered.failure())
        others = registered.unwrap()
        closed = await asyncio.gather(
            *(
                self._close_elsewhere(partition, address, version)
                for partition in others
            )
        )
        for outcome in closed:
            if not pipeline.is_successful(outcome):
                return outcome.failure()
        replies = [outcome.unwrap() for outcome in closed]
        jobs = {job_id for reply in replies for job_id in reply.job_ids}
        if len(jobs) > MAX_REPEATABLE_JOBS:
            return moving(
                f"{len(jobs)} jobs may be submitted again, more than "
                f"{MAX_REPEATABLE_JOBS}"
            )
        refusal = await self._store(
            partition_records.QueueAssignment(
                address,
                version,
                True,
                tuple(sorted(jobs)),
                tuple(
                    partition
                    for partition, reply in zip(others, replies, strict=True)
                    if reply.pending
                ),
            ),
            CALL_TIMEOUT_S,
        )
        if refusal is None:
            state.log(
                "queue:opened",
                queue=address,
                partition=state.partition,
                version=version,
                other_partitions=others,
                other_jobs=len(jobs),
                token=state.token,
            )
        return refusal

    async def _register(
        self, address: str
    ) -> store_interface.StoreResult[list[int], store_interface.StoreFailure]:
        """Registers a queue here; returns the other partitions that have.

        Of two owners that register it at once, at least one sees the other.
        """
        store = self._state.ports.store
        own = pool_partitions.queue_record(self._state.partition, address)
        stored = await store.append(
            pool_partitions.QUEUES_TOPIC, 0, (own,), None
        )
        if not pipeline.is_successful(stored):
            return result.Failure(stored.failure())
        read = await store.read_latest(pool_partitions.QUEUES_TOPIC, 0)
        return read.map(
            lambda latest: sorted(
                pool_partitions.partitions_of_queue(latest.records, address)
                - {self._state.partition}
            )
        )

    async def _close_elsewhere(
        self, partition: int, address: str, version: int
    ) -> ReplyOutcome:
        outcome = await self._state.ports.call_owner(
            job_messages.CloseQueue(
                partition, address, version, int(1000 * CALL_TIMEOUT_S)
            ),
            CALL_TIMEOUT_S,
        )
        if not pipeline.is_successful(outcome):
            return result.Failure(
                moving(
                    f"the owner of partition {partition}, which may hold jobs "
                    f"of it, is unavailable: {outcome.failure().reason}"
                )
            )
        reply = outcome.unwrap()
        if reply.reason:
            return result.Failure(
                moving(f"partition {partition}: {reply.detail}")
            )
        return result.Success(reply)

    async def close(
        self, address: str, version: int, timeout_s: float
    ) -> ReplyOutcome:
        """Closes a queue for the partition that a version assigns it to.

        Args:
            address: The queue's address.
            version: Version of the configuration.
            timeout_s: How long to wait for the store, in seconds.

        Returns:
            The jobs that may be submitted again, and how many have not started.
        """
        state = self._state
        opening = self._openings.get(address)
        if opening is not None:
            if opening.version > version:
                return result.Failure(
                    _assigned_elsewhere(address, opening.version)
                )
            await asyncio.wait([opening.task], timeout=timeout_s)
            if not opening.task.done():
                return result.Failure(
                    moving(f"{address} is being opened in this partition")
                )
        assignment = state.queues.get(
            address,
            partition_records.QueueAssignment(address, _NO_VERSION, False),
        )
        if assignment.version > version or (
            assignment.version == version and assignment.is_open
        ):
            return result.Failure(
                _assigned_elsewhere(address, assignment.version)
            )
        # Stored in any case: a record that opens the queue here may have been
        # stored although its reply was lost.
        closed = assignment._replace(version=version, is_open=False)
        # Submissions are refused from now on. Those under way were queued for
        # the store before, so they are known once this record is stored.
        state.queues[address] = closed
        refusal = await self._store(closed, timeout_s)
        if refusal is not None:
            return result.Failure(refusal)
        jobs = tuple(self._repeatable_jobs(address))
        pending = state.count_pending(address)
        state.log(
            "queue:closed",
            queue=address,
            partition=state.partition,
            version=version,
            jobs=len(jobs),
            pending=pending,
            token=state.token,
        )
        return result.Success(
            job_messages.JobReply(
                verdicts.Verdict.RAN.value, pending=pending, job_ids=jobs
            )
        )

    def _repeatable_jobs(self, address: str) -> abc.Iterator[str]:
        """Yields the jobs of a queue whose submission may come again.

        Jobs of an earlier owner count from when this one loaded them: their
        stored time is that of another host's wall clock.
        """
        state = self._state
        since_s = state.now_s() - REPEAT_HORIZON_S
        return (
            job_id
            for job_id, job in state.jobs.items()
            if max(job.accepted_s, state.loaded_s) >= since_s
            and job.terms is not None
            and job.terms.queue_address == address
        )

    async def _store(
        self, assignment: partition_records.QueueAssignment, timeout_s: float
    ) -> verdicts.Refusal | None:
        """Stores an assignment, and applies it once it is stored."""
        state = self._state
        stored = state.recorder.store(assignment)
        await asyncio.wait([stored], timeout=timeout_s)
        if group_commit.is_stored(stored):
            state.queues[assignment.address] = assignment
            return None
        state.writer.discard_unsent(stored)
        return moving("the store has not confirmed the record in time")

    def _version(self) -> int:
        configuration = self._state.ports.configuration()
        return 0 if configuration is None else configuration.version


def _assigned_elsewhere(address: str, version: int) -> verdicts.Refusal:
    return verdicts.not_run(
        "queue-reassigned",
        503,
        f"version {version} assigns {address} to another pool",
        retry_after_s=RETRY_AFTER_S,
    )


def moving(detail: str) -> verdicts.Refusal:
    """Returns the refusal of a call about a queue that changes its pool."""
    return verdicts.not_run(
        QUEUE_MOVING, 503, detail, retry_after_s=RETRY_AFTER_S
    )


def _store_failed(failure: store_interface.StoreFailure) -> verdicts.Refusal:
    return verdicts.not_run(
        "store-away", 503, failure.detail, retry_after_s=RETRY_AFTER_S
    )
