"""The owner of one partition: its jobs, its workers and placement.

Only the owner sends commands to the workers of its pools, so placing a task
needs no consensus. All of its state can be rebuilt from the store's records and
by polling the workers; see `takeover`.
"""

import asyncio
from collections import abc

from chervillead.jobs import job_state
from chervillead.pools import advice_cache
from chervillead.pools import host_drain
from chervillead.pools import interference_tracking
from chervillead.pools import job_cancelling
from chervillead.pools import job_operations
from chervillead.pools import owner_state
from chervillead.pools import placement_scheduler
from chervillead.pools import ports as ports_module
from chervillead.pools import quota_ledger
from chervillead.pools import quota_shares
from chervillead.pools import recovery
from chervillead.pools import stalled_runs
from chervillead.pools import worker_registry
from chervillead.store import group_commit
from chervillead.workers import watch as watch_module

# Events within this time, or longer, share one placement pass.
BATCH_DELAY_S = 0.003
# Time between two passes in terms of what the last one took: the rest is for
# polls, commands and calls.
PASS_DELAY_FACTOR = 3.0
# Longest time between two placement passes, for schedules and retries.
PASS_INTERVAL_S = 0.1
# Leases and stalled runs are checked at this interval, since these checks look
# at all workers.
CHECK_INTERVAL_S = 0.1
# Finished jobs are kept for minutes, and there are many of them.
EXPIRY_CHECK_INTERVAL_S = 1.0
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
        self._recovery = recovery.OwnerRecovery(self._state)
        self._workers = worker_registry.WorkerRegistry(
            self._state, self._recovery
        )
        self._drain = host_drain.HostDrain(
            self._state, self._workers, self._recovery
        )
        self._advice_cache = advice_cache.AdviceCache(self._state)
        self._placement = placement_scheduler.PlacementScheduler(
            self._state,
            self._advice_cache.tickets,
            self._recovery.unknown_usage,
        )
        self._ledger = quota_ledger.QuotaLedger(self._state)
        self._quota_shares = quota_shares.QuotaShares(
            self._state,
            lambda: not self._state.recovering_jobs,
            self._recovery.unknown_usage,
        )
        self._interference = interference_tracking.InterferenceTracking(
            self._state, self._placement.room_in
        )
        self._checked_s = float("-inf")
        self._expiry_checked_s = float("-inf")

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
    def recovery(self) -> recovery.OwnerRecovery:
        """Whether all runs of earlier owners are known."""
        return self._recovery

    @property
    def ledger(self) -> quota_ledger.QuotaLedger:
        """The ledger of quotas, which counts in the hosts partition only."""
        return self._ledger

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
            if (job.spec.job_id, job.spec.account) in state.cancelled:
                # Its submission was on its way to the store when it was
                # cancelled at the previous owner.
                job_cancelling.cancel_job(state, job)
            if not job.is_finished:
                state.recovering_jobs.add(job.spec.job_id)
        state.loaded_s = state.now_s()
        state.is_loaded = True
        state.wake()

    async def run(self) -> None:
        """Places tasks until cancelled or fenced, then releases the workers."""
        state = self._state
        background_tasks = [
            asyncio.create_task(state.writer.run()),
            asyncio.create_task(self._advice_cache.run()),
            asyncio.create_task(self._quota_shares.run()),
        ]
        for task in background_tasks:
            task.add_done_callback(self._record_failure)
        try:
            delay_s = BATCH_DELAY_S
            while not state.is_fenced:
                await state.wait_for_work(PASS_INTERVAL_S, delay_s)
                if state.failure is not None:
                    raise state.failure
                if not state.is_fenced:
                    begin_s = state.now_s()
                    self.run_pass()
                    delay_s = pass_delay_s(state.now_s() - begin_s)
        finally:
            state.is_loaded = False
            state.writer.close()
            for task in background_tasks:
                task.cancel()
            await self._workers.close_all()

    def _record_failure(self, task: asyncio.Task[None]) -> None:
        """Ends the owner if one of its tasks has failed."""
        if not task.cancelled() and task.exception() is not None:
            self._state.fail(task.exception())

    def run_pass(self) -> None:
        """Applies what changed since the last pass and starts tasks."""
        state = self._state
        is_check_due = state.now_s() - self._checked_s >= CHECK_INTERVAL_S
        if is_check_due:
            self._check_all()
        self._recovery.finish()
        self._interference.update(self._changed_watches())
        self._placement.refresh_workers(look_at_all=is_check_due)
        configuration = state.ports.configuration()
        if configuration is not None and state.may_start():
            self._placement.run_pass(configuration)

    def _check_all(self) -> None:
        """Checks what depends on the time, on all workers and jobs."""
        state = self._state
        self._checked_s = state.now_s()
        self._workers.expire_leases()
        self._drain.evict_from_draining()
        stalled_runs.stop_stalled(state)
        if state.now_s() - self._expiry_checked_s >= EXPIRY_CHECK_INTERVAL_S:
            self._expiry_checked_s = state.now_s()
            self._delete_expired_jobs()
            for key in state.cancelled.take_expired(state.now_s()):
                state.writer.delete(key)
            # Heals an index that missed a change, before callers notice.
            for job in state.jobs.unfinished():
                state.jobs.mark_changed(job.spec.job_id)

    def _changed_watches(self) -> list[watch_module.WorkerWatch]:
        watches = self._state.watches
        return [
            watches[worker_id]
            for worker_id in sorted(self._state.changed_workers)
            if worker_id in watches
        ]

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
            state.recorder.delete(job_id)


def pass_delay_s(cost_s: float) -> float:
    """Returns how long events collect before the next placement pass.

    Args:
        cost_s: Duration of the last pass, in seconds.
    """
    return max(BATCH_DELAY_S, PASS_DELAY_FACTOR * cost_s)
