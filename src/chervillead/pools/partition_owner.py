"""The owner of one partition: its jobs, its workers and the starts.

An owner alone orders the workers of its pools, so placement needs no agreement
for each task. Everything it knows can be rebuilt from the store's records and
from looks at the workers; see `takeover`.
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

# Events that come within this time share one pass of placement.
GATHER_S = 0.003
# Schedules, retries and leases are looked at this often.
TICK_S = 0.1
# An owner's runs of one task that may stay unrecorded. The numbers of a new
# owner start above this many for each former token, so that the runs which it
# never saw keep other numbers.
RUNS_OF_OWNER = 8
# The state of an ended job is kept this much longer than it must be shown.
STATE_MARGIN_S = 30.0


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
        """What the owner knows."""
        return self._state

    @property
    def operations(self) -> job_operations.JobOperations:
        """Calls about jobs."""
        return self._operations

    @property
    def workers(self) -> worker_registry.WorkerRegistry:
        """The owner's workers."""
        return self._workers

    @property
    def drain(self) -> host_drain.HostDrain:
        """What upkeep asks of the owner."""
        return self._drain

    def load(self, jobs: abc.Iterable[job_state.JobState]) -> None:
        """Takes over the jobs that the store holds.

        Their tasks wait until the workers have been looked at: any of them may
        run already.
        """
        state = self._state
        for job in jobs:
            job.recovering_until_s = float("inf")
            job.max_unrecorded_run = RUNS_OF_OWNER * state.token
            state.jobs[job.spec.job_id] = job
            if not job.is_finished:
                state.recovering_jobs.add(job.spec.job_id)
        state.is_loaded = True
        state.wake()

    async def run(self) -> None:
        """Places tasks until cancelled or fenced; then lets go of workers."""
        state = self._state
        beside = [
            asyncio.create_task(state.writer.run()),
            asyncio.create_task(self._advice_cache.run()),
        ]
        try:
            while not state.is_fenced:
                await state.wait_for_work(TICK_S, GATHER_S)
                if state.failure is not None:
                    raise state.failure
                if not state.is_fenced:
                    self._pass()
        finally:
            state.is_loaded = False
            state.writer.close()
            for task in beside:
                task.cancel()
            await self._workers.close_all()

    def _pass(self) -> None:
        state = self._state
        self._workers.expire_leases()
        self._workers.finish_recovery()
        self._drain.evict_from_draining()
        run_tracking.stop_stalled(state)
        self._drop_old_jobs()
        pacing.pace_workers(state.watches.values(), state.step_of)
        configuration = state.ports.configuration()
        if configuration is not None and state.ownership.is_confirmed():
            placement_pass.PlacementPass(
                state, configuration, self._advice_cache.tickets
            ).run()

    def _drop_old_jobs(self) -> None:
        """Forgets jobs whose state need not be shown any more."""
        state = self._state
        kept_s = state.ports.limits.job_retention_s + STATE_MARGIN_S
        limit_s = state.now_s() - kept_s
        old = [
            job_id
            for job_id, job in state.jobs.items()
            if job.finished_s is not None
            and job.finished_s < limit_s
            and not job.runs
        ]
        for job_id in old:
            del state.jobs[job_id]
            state.recovering_jobs.discard(job_id)
            state.writer.delete(records.spec_key(job_id))
            state.writer.delete(records.progress_key(job_id))
