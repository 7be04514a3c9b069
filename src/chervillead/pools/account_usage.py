"""Resources that the runs of each client account use, kept by increments."""

from collections import abc

from chervillead.jobs import model
from chervillead.jobs import task_runs

# A run on a worker: its id may be in use on two workers for a moment.
_Place = tuple[str, task_runs.RunKey]


class AccountUsage:
    """Requested resources of the running tasks of each account."""

    def __init__(self) -> None:
        self._by_account: dict[str, model.Resources] = {}
        self._counted: dict[_Place, tuple[str, model.Resources]] = {}

    @property
    def by_account(self) -> abc.Mapping[str, model.Resources]:
        """Requested resources by account."""
        return self._by_account

    def add(self, run: task_runs.Run, account: str, step: model.Step) -> None:
        """Adds a run of an account."""
        self.remove(run.worker_id, run.key)
        self._counted[run.worker_id, run.key] = account, step.size
        used = self._by_account.get(account, model.Resources())
        self._by_account[account] = used.plus(step.size)

    def remove(self, worker_id: str, key: task_runs.RunKey) -> None:
        """Removes a run; one that isn't counted changes nothing."""
        counted = self._counted.pop((worker_id, key), None)
        if counted is None:
            return
        account, size = counted
        self._by_account[account] = self._by_account[account].minus(size)
