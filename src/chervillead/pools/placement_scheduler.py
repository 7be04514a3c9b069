"""Keeps the indexes that placement uses, and decides how far each pass goes.

Most passes end once nothing that waits can fit. Passes over all waiting jobs
start second runs of stragglers, ask for advice ahead of time, and make up for
a change that an index missed. They take longer the more jobs wait, so they come
less often then.
"""

from chervillead.jobs import model
from chervillead.jobs import room_index
from chervillead.jobs import run_times
from chervillead.jobs import waiting_jobs
from chervillead.pools import owner_state
from chervillead.pools import placement_pass
from chervillead.pools import schedulable_workers
from chervillead.pools import worker_selection

# Least time between two passes over all waiting jobs.
MIN_THOROUGH_INTERVAL_S = 0.1
# Such passes take a twentieth of the processor at most,
THOROUGH_INTERVAL_FACTOR = 20.0
# but come this often at the least.
MAX_THOROUGH_INTERVAL_S = 1.0


class PlacementScheduler:
    """Runs the placement passes of one owner."""

    def __init__(
        self,
        state: owner_state.OwnerState,
        tickets: worker_selection.Tickets,
        unknown_usage: placement_pass.UnknownUsage,
    ) -> None:
        self._state = state
        self._tickets = tickets
        self._unknown_usage = unknown_usage
        self._workers = schedulable_workers.SchedulableWorkers(state)
        self._waiting = waiting_jobs.WaitingJobs()
        self._overload = state.overload
        self._configuration_version: int | None = None
        # A pass that ran out of time goes on in the next one.
        self._skipped_jobs: int | None = None
        self._is_thorough = False
        self._pass_time_s = 0.0
        self._thorough_from_s = float("-inf")

    def room_in(self, pool: str) -> room_index.RoomIndex:
        """Returns the schedulable workers of a pool as of the last pass."""
        return self._workers.in_pool(pool)

    def refresh_workers(self, *, look_at_all: bool) -> None:
        """Updates the index of workers from those that changed, or from all."""
        if look_at_all:
            self._workers.refresh_all()
        else:
            self._workers.refresh()

    def run_pass(self, configuration: model.FleetConfiguration) -> None:
        """Runs a placement pass, or what is left of the last one."""
        state = self._state
        self._refresh_waiting(configuration)
        self._overload.refresh(self._waiting, self._workers.millicores)
        begin_s = state.now_s()
        self._is_thorough |= begin_s >= self._thorough_from_s
        self._skipped_jobs = placement_pass.PlacementPass(
            state,
            configuration,
            self._tickets,
            self._workers,
            self._waiting,
            self._unknown_usage(),
        ).run(is_thorough=self._is_thorough, skip=self._skipped_jobs or 0)
        self._pass_time_s += state.now_s() - begin_s
        if self._skipped_jobs is not None:
            state.wake()
            return
        if self._is_thorough:
            delay_s = thorough_delay_s(self._pass_time_s)
            self._thorough_from_s = state.now_s() + delay_s
        self._is_thorough = False
        self._pass_time_s = 0.0

    def _refresh_waiting(self, configuration: model.FleetConfiguration) -> None:
        """Applies what changed in jobs, or in all their queues."""
        jobs = self._state.jobs
        changed = jobs.take_changed()
        if self._configuration_version != configuration.version:
            self._configuration_version = configuration.version
            changed += [job.spec.job_id for job in jobs.unfinished()]
        for job_id in changed:
            job = jobs.get(job_id)
            if job is None:
                self._waiting.discard(job_id)
                self._overload.backlog.discard(job_id)
                continue
            terms = self._state.terms_of(job)
            run_times.refresh(job, terms, self._state.run_times)
            for index in (self._waiting, self._overload.backlog):
                index.put(
                    job,
                    terms,
                    order=jobs.order_of(job_id),
                    now_s=self._state.now_s(),
                )


def thorough_delay_s(cost_s: float) -> float:
    """Returns the time until the next pass over all waiting jobs.

    Args:
        cost_s: Duration of the last such pass, in seconds.
    """
    delay_s = max(MIN_THOROUGH_INTERVAL_S, THOROUGH_INTERVAL_FACTOR * cost_s)
    return min(MAX_THOROUGH_INTERVAL_S, delay_s)
