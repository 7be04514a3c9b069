"""Drains workers within disruption budgets before their hosts go down."""

from chervillead.jobs import task_runs
from chervillead.pools import owner_state
from chervillead.pools import recovery
from chervillead.pools import run_stopping
from chervillead.pools import worker_registry


class HostDrain:
    """Cordons and drains the workers of one partition."""

    def __init__(
        self,
        state: owner_state.OwnerState,
        workers: worker_registry.WorkerRegistry,
        owner_recovery: recovery.OwnerRecovery,
    ) -> None:
        self._state = state
        self._workers = workers
        self._recovery = owner_recovery

    def count_pending_tasks(self, pool: str) -> int:
        """Returns how many tasks of a pool are pending and not blocked.

        A task is blocked until all steps that its step depends on are done.
        """
        return sum(
            len(indexes)
            for job in self._state.jobs.unfinished()
            if job.spec.pool == pool
            for (occurrence, number), indexes in job.pending_tasks.items()
            if all(
                job.step_is_done(occurrence, earlier)
                for earlier in job.spec.steps[number].depends_on
            )
        )

    def cordon(self, worker_id: str, purpose: str) -> bool:
        """Stops the placement of new tasks on a worker.

        Returns:
            False if the worker is already cordoned for another purpose.
        """
        watch = self._state.watches.get(worker_id)
        if watch is None:
            return True
        if watch.view.cordoned_for not in ("", purpose):
            return False
        watch.view.cordoned_for = purpose
        self._state.changed_workers.add(worker_id)
        return True

    def uncordon(self, worker_id: str) -> None:
        """Allows the placement of new tasks on a worker again."""
        watch = self._state.watches.get(worker_id)
        if watch is not None:
            watch.view.cordoned_for = ""
            self._state.changed_workers.add(worker_id)
            self._state.wake()

    def are_runs_known(self, worker_id: str) -> bool:
        """Returns whether all that runs on a worker is known."""
        return self._recovery.are_runs_known(worker_id)

    def task_counts(self, worker_id: str) -> tuple[int, int]:
        """Returns the numbers of batch and long-running tasks on a worker."""
        watch = self._state.watches.get(worker_id)
        runs = list(watch.view.runs.values()) if watch is not None else []
        long_running = sum(self._is_long_running(run) for run in runs)
        return len(runs) - long_running, long_running

    def stop_long_running(self, worker_id: str, reason: str) -> None:
        """Stops long-running tasks on a worker as their budgets allow."""
        state = self._state
        watch = state.watches.get(worker_id)
        if watch is None:
            return
        for run in list(watch.view.runs.values()):
            job = state.jobs.get(run.job_id)
            if (
                job is None
                or run.stop_requested
                or not self._is_long_running(run)
            ):
                continue
            run_stopping.stop_within_budget(state, run, reason)

    def has_unrecorded_ends(self, worker_id: str) -> bool:
        """Returns whether ends would be lost if the worker went down now.

        An end is safe once its record is stored and it is acknowledged.
        """
        watch = self._state.watches.get(worker_id)
        if watch is None:
            return False
        return watch.view.acknowledged_end < watch.view.applied_end

    def mark_host_down(self, worker_id: str, reason: str) -> None:
        """Ends the runs of a worker whose host this owner took down."""
        watch = self._state.watches.get(worker_id)
        if watch is not None:
            incarnation = watch.view.registration.incarnation
            self._state.taken_down_incarnations[worker_id] = incarnation
            self._workers.close(worker_id, reason)

    def evict_from_draining(self) -> None:
        """Stops long-running tasks on draining workers.

        They restart on other workers.
        """
        if not self._state.has_authority():
            return
        for watch in self._state.watches.values():
            if not watch.view.registration.is_draining:
                continue
            for run in list(watch.view.runs.values()):
                is_stopping = run.stop_requested and not run.needs_budget
                if self._is_long_running(run) and not is_stopping:
                    run.needs_budget = False
                    run_stopping.stop_run(
                        self._state, run, "its worker is draining"
                    )

    def _is_long_running(self, run: task_runs.Run) -> bool:
        step = self._state.step_of(run)
        return step is not None and step.long_running
