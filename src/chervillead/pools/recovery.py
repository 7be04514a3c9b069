"""Whether a new owner knows all that earlier owners have left running."""

from chervillead.jobs import model
from chervillead.pools import crash_tracking
from chervillead.pools import owner_state
from chervillead.workers import view as view_module

# A replaced owner learns of it within this time at the latest.
MAX_OWNER_OVERLAP_S = 2.5
# Workers may have expired from the store's list during an outage. If the list
# of hosts can't be read, recovery waits this long for them to come back.
HOST_LIST_TIMEOUT_S = 2.5


class OwnerRecovery:
    """Recovery of the runs that earlier owners of a partition have started.

    Attributes:
        workers_on_live_hosts: Ids of the workers on hosts that are up; None
            until the list of hosts was read.
    """

    def __init__(self, state: owner_state.OwnerState) -> None:
        self._state = state
        self._started_s = state.now_s()
        self.workers_on_live_hosts: set[str] | None = None

    def finish(self) -> None:
        """Allows placement of recovering jobs once all workers are known."""
        state = self._state
        if not state.recovering_jobs:
            return
        # Without a worker, only the list of hosts tells that there is none.
        if not state.watches and self.workers_on_live_hosts is None:
            return
        now_s = state.now_s()
        if self._has_unlisted_workers(now_s):
            return
        if any(
            self._may_have_unknown_runs(watch.view, now_s)
            for watch in state.watches.values()
        ):
            return
        crash_tracking.give_up_jobs(state, sorted(state.recovering_jobs))
        for job_id in state.recovering_jobs:
            state.jobs[job_id].recovering_until_s = 0.0
            state.jobs.mark_changed(job_id)
        state.log(
            "owner:recovered",
            partition=state.partition,
            token=state.token,
            jobs=len(state.recovering_jobs),
            after_s=round(now_s - self._started_s, 3),
        )
        state.recovering_jobs.clear()

    def are_runs_known(self, worker_id: str) -> bool:
        """Returns whether all that runs on a worker is known.

        On one that isn't watched, tasks of earlier owners may run until their
        last lease has ended.
        """
        state = self._state
        if not worker_id or worker_id in state.ended_workers:
            return True
        watch = state.watches.get(worker_id)
        now_s = state.now_s()
        if watch is None:
            return now_s > self._latest_unlisted_lease_end_s()
        return not self._may_have_unknown_runs(watch.view, now_s)

    def unknown_usage(self) -> model.Resources:
        """Returns the most that runs of earlier owners may use unseen.

        Workers that aren't listed don't count: none may exist.
        """
        state = self._state
        unknown = model.Resources()
        if not state.recovering_jobs:
            return unknown
        now_s = state.now_s()
        for watch in state.watches.values():
            if self._may_have_unknown_runs(watch.view, now_s):
                unknown = unknown.plus(watch.view.registration.capacity)
        return unknown

    def has_uncontacted_workers(self) -> bool:
        """Returns whether recovery waits for workers that have not answered."""
        if not self._state.recovering_jobs:
            return False
        return (
            self.workers_on_live_hosts is None
            or bool(self._missing_workers())
            or any(
                not watch.view.has_answered
                for watch in self._state.watches.values()
            )
        )

    def latest_lease_end_s(self, view: view_module.WorkerView) -> float:
        """Returns when the last lease of an unresponsive worker has expired.

        An earlier owner may have extended leases until it learned that it was
        replaced, and on a slow clock a lease lasts longer.
        """
        return view.discovered_s + MAX_OWNER_OVERLAP_S + self._max_lease_s()

    def _latest_unlisted_lease_end_s(self) -> float:
        """Returns when leases of earlier owners have ended on any worker."""
        return self._started_s + MAX_OWNER_OVERLAP_S + self._max_lease_s()

    def _max_lease_s(self) -> float:
        """Returns the longest time that a lease lasts on the owner's clock.

        A worker that restarted between two calls of the previous owner may have
        been given its longest lease, by the clock of the process before.
        """
        lease_ms = self._state.ports.limits.max_lease_ms
        return lease_ms / 1000 / view_module.MIN_CLOCK_RATE

    def _may_have_unknown_runs(
        self, view: view_module.WorkerView, now_s: float
    ) -> bool:
        """Returns whether runs of a previous owner may yet be reported."""
        if view.is_replaced or view.has_reported_all:
            return False
        if view.has_answered:
            return not view.has_surely_expired(now_s)
        return now_s <= self.latest_lease_end_s(view)

    def _has_unlisted_workers(self, now_s: float) -> bool:
        """Returns whether unlisted workers may still run tasks.

        After an outage of the store, workers return to its list one by one, and
        those that are cut off do not; the list of hosts names both.
        """
        if self.workers_on_live_hosts is None:
            return now_s - self._started_s < HOST_LIST_TIMEOUT_S
        if now_s > self._latest_unlisted_lease_end_s():
            return False
        return bool(self._missing_workers())

    def _missing_workers(self) -> set[str]:
        known = self._state.watches.keys() | self._state.ended_workers
        return (self.workers_on_live_hosts or set()) - known
