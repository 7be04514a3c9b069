"""The owner of one partition: its jobs, its workers and placement.

Only the owner sends commands to the workers of its pools, so placing a task
needs no consensus. All of its state can be rebuilt from the store's records and
by polling the workers; see `takeover`.
"""

import asyncio
from collections import abc

from chervillead.jobs import job_state
from chervillead.jobs import records
from chervillead.pools import advice_cache
from chervillead.pools import host_drain
from chervillead.pools import job_operations
from chervillead.pools import owner_state
from chervillead.pools import placement_pass
from chervillead.pools import ports as ports_module
from chervillead.pools import run_tracking
from chervillead.pools import worker_registry
from chervillead.store import group_commit
from chervillead.workers import pacing

# Events within this time share one placement pass.
BATCH_DELAY_S = 0.003
# Schedules, retries and leases are checked at this interval.
PASS_INTERVAL_S = 0.1
# Most runs of one task that an owner may leave unrecorded. A new owner skips
# this many run numbers for each earlier token, so that it never reuses the
# number of a run that it has not seen.
RUN_NUMBERS_PER_TOKEN = 8
# Finished jobs are kept this much longer than the retention period.
RETENTION_MARGIN_S = 30.0


class PartitionOwner:
    """Jobs and workers of one partition under one fencing token."""

    def __init__(
        self,
        partition: int,
        token: int,
        writer: group_commit.PartitionWriter,
        ports: ports_module.OwnerPorts,
        ownership: owner_state.OwnershipStatus,
    ) -> None:
        self._state = owner_state.OwnerState(
            partition, token, writer, ports, ownership
        )
        self._operations = job_operations.JobOperations(self._state)
        self._workers = worker_registry.WorkerRegistry(self._state)
        self._drain = host_drain.HostDrain(self._state, self._workers)
        self._advice_cache = advice_cache.AdviceCache(self._state)

    @property
    def state(self) -> owner_state.OwnerState:
        """State shared by the parts of the owner."""
        return self._state

    @property
    def operations(self) -> job_operations.JobOperations:
        """Operations on the partition's jobs."""
        return self._operations

    @property
    def workers(self) -> worker_registry.WorkerRegistry:
        """Workers of the partition's pools."""
        return self._workers

    @property
    def drain(self) -> host_drain.HostDrain:
        """Cordons and drains workers, for host maintenance and resizing."""
        return self._drain

    def load(self, jobs: abc.Iterable[job_state.JobState]) -> None:
        """Takes over the jobs that were in the store.

        Their tasks are not placed until all workers have been polled, since any
        of them may be running already.
        """
        state = self._state
        for job in jobs:
            job.recovering_until_s = float("inf")
            job.max_unrecorded_run = RUN_NUMBERS_PER_TOKEN * state.token
            state.jobs[job.spec.job_id] = job
            if not job.is_finished:
                state.recovering_jobs.add(job.spec.job_id)
        state.is_loaded = True
        state.wake()

    async def run(self) -> None:
        """Places tasks until cancelled or fenced, then releases the workers."""
        state = self._state
        background_tasks = [
            asyncio.create_task(state.writer.run()),
            asyncio.create_task(self._advice_cache.run()),
        ]
        try:
            while not state.is_fenced:
                await state.wait_for_work(PASS_INTERVAL_S, BATCH_DELAY_S)
                if state.failure is not None:
                    raise state.failure
                if not state.is_fenced:
                    self.run_pass()
        finally:
            state.is_loaded = False
            state.writer.close()
            for task in background_tasks:
                task.cancel()
            await self._workers.close_all()

    def run_pass(self) -> None:
        state = self._state
        self._workers.expire_leases()
        self._workers.finish_recovery()
        self._drain.evict_from_draining()
        run_tracking.stop_stalled(state)
        self._delete_expired_jobs()
        pacing.pace_workers(state.watches.values(), state.step_of)
        configuration = state.ports.configuration()
        if configuration is not None and state.ownership.is_confirmed():
            placement_pass.PlacementPass(
                state, configuration, self._advice_cache.tickets
            ).run()

    def _delete_expired_jobs(self) -> None:
        """Deletes finished jobs after their retention period."""
        state = self._state
        retention_s = state.ports.limits.job_retention_s + RETENTION_MARGIN_S
        finished_before_s = state.now_s() - retention_s
        expired = [
            job_id
            for job_id, job in state.jobs.items()
            if job.finished_s is not None
            and job.finished_s < finished_before_s
            and not job.runs
        ]
        for job_id in expired:
            del state.jobs[job_id]
            state.recovering_jobs.discard(job_id)
            state.writer.delete(records.spec_key(job_id))
            state.writer.delete(records.progress_key(job_id))
