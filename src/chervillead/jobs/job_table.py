"""The jobs of a partition, with those that haven't finished apart.

Finished jobs stay readable for minutes, so most jobs of a busy partition have
finished. What is done for each placement must not scan them.
"""

from collections import abc

from chervillead.jobs import job_state


class JobTable(abc.MutableMapping[str, job_state.JobState]):
    """Jobs by id, in the order in which they were added.

    Example:
        >>> table = JobTable()
        >>> list(table.unfinished())
        []
    """

    def __init__(self) -> None:
        self._jobs: dict[str, job_state.JobState] = {}
        self._unfinished: dict[str, job_state.JobState] = {}

    def __getitem__(self, job_id: str) -> job_state.JobState:
        return self._jobs[job_id]

    def __setitem__(self, job_id: str, job: job_state.JobState) -> None:
        self._jobs[job_id] = job
        self._unfinished[job_id] = job

    def __delitem__(self, job_id: str) -> None:
        del self._jobs[job_id]
        self._unfinished.pop(job_id, None)

    def __iter__(self) -> abc.Iterator[str]:
        return iter(self._jobs)

    def __len__(self) -> int:
        return len(self._jobs)

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
