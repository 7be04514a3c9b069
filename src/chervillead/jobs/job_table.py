"""The jobs of a partition, with those that haven't finished apart.

Finished jobs stay readable for minutes, so most jobs of a busy partition have
finished. What is done for each placement must not scan them.
"""

from collections import abc
import itertools

from chervillead.jobs import held_jobs
from chervillead.jobs import job_state


class JobTable(abc.MutableMapping[str, job_state.JobState]):
    """Jobs by id, in the order in which they were added.

    Example:
        >>> table = JobTable()
        >>> list(table.unfinished())
        []
    """

    def __init__(self) -> None:
        self._held = held_jobs.HeldJobs()
        self._jobs: dict[str, job_state.JobState] = {}
        self._unfinished: dict[str, job_state.JobState] = {}
        self._orders: dict[str, int] = {}
        self._next_order = itertools.count()
        # Ordered, so that jobs are seen in the order in which they were added.
        self._changed: dict[str, None] = {}

    @property
    def held(self) -> held_jobs.HeldJobs:
        """Memory of the jobs, and of those that are being stored."""
        return self._held

    def __getitem__(self, job_id: str) -> job_state.JobState:
        return self._jobs[job_id]

    def __setitem__(self, job_id: str, job: job_state.JobState) -> None:
        replaced = self._jobs.get(job_id)
        if replaced is not None:
            self._held.remove(replaced.spec)
        self._held.add(job.spec)
        self._jobs[job_id] = job
        self._unfinished[job_id] = job
        if job_id not in self._orders:
            self._orders[job_id] = next(self._next_order)
        self.mark_changed(job_id)

    def __delitem__(self, job_id: str) -> None:
        self._held.remove(self._jobs.pop(job_id).spec)
        self._unfinished.pop(job_id, None)
        del self._orders[job_id]
        self.mark_changed(job_id)

    def __iter__(self) -> abc.Iterator[str]:
        return iter(self._jobs)

    def __len__(self) -> int:
        return len(self._jobs)

    def order_of(self, job_id: str) -> int:
        """Returns the number of a job in the order in which jobs were added."""
        return self._orders[job_id]

    def mark_changed(self, job_id: str) -> None:
        """Records that the pending tasks or the progress of a job changed."""
        self._changed[job_id] = None

    def take_changed(self) -> list[str]:
        """Returns and forgets the ids of jobs that changed or are gone."""
        changed = list(self._changed)
        self._changed.clear()
        return changed

    def unfinished(self) -> list[job_state.JobState]:
        """Returns the jobs that haven't finished.

        A job never becomes unfinished again, so each finished one is dropped
        here once.
        """
        finished = [
            job_id
            for job_id, job in self._unfinished.items()
            if job.is_finished
        ]
        for job_id in finished:
            del self._unfinished[job_id]
        return list(self._unfinished.values())
