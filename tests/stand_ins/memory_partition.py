"""The owner of one partition in memory, whose workers never answer.

Tests and benchmarks apply statuses of workers themselves and run each placement
pass by hand, so that only the owner's own decisions take place.
"""

import asyncio
from collections import abc
import typing

from returns import result

from chervillead import types
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import quotas
from chervillead.jobs import task_runs
from chervillead.pools import owner_state
from chervillead.pools import partition_owner
from chervillead.pools import ports
from chervillead.pools import run_tracking
from chervillead.store import group_commit
from chervillead.store import interface as store_interface
from chervillead.workers import interface as worker_interface

POOL = "pool"
INCARNATION = 1
START_S = 1_000.0


class MemoryPartition:
    """An owner on a clock that is set by hand.

    Attributes:
        now_s: Time of the owner's clock.
        tick_s: How much the clock advances each time that it is read.
    """

    def __init__(
        self,
        configuration: model.FleetConfiguration,
        workers: abc.Sequence[worker_interface.Registration],
        jobs: abc.Iterable[job_state.JobState],
        ask_advice: ports.AskAdvice | None = None,
        *,
        running: abc.Mapping[str, abc.Iterable[task_runs.RunKey]] | None = None,
        log: abc.Callable[..., None] = lambda message_type, **fields: None,
        increment: abc.Callable[..., None] = lambda name, label: None,
        start_s: float = START_S,
    ) -> None:
        self.now_s = start_s
        self.tick_s = 0.0
        # Runs of a previous owner, by worker, until the worker has reported
        # them.
        self._found = dict(running or {})
        self._log = log
        self._increment = increment
        self._ask_advice = ask_advice
        self._clock_ms = 0
        self._end_numbers: dict[str, int] = {}
        self._owner = partition_owner.PartitionOwner(
            0,
            1,
            group_commit.PartitionWriter(_unused_store(), "topic", 0, 1),
            self._make_ports(configuration),
            owner_state.OwnershipStatus(lambda: True, lambda: False),
        )
        for account in configuration.accounts:
            self._owner.state.shares.hold(account, quotas.WHOLE)
        self._owner.load(jobs)
        self._owner.workers.update({w.worker_id: w for w in workers})
        for worker in workers:
            self.report(worker.worker_id)
        self._owner.workers.apply_host_list({w.worker_id for w in workers})

    @property
    def state(self) -> owner_state.OwnerState:
        """State of the owner."""
        return self._owner.state

    @property
    def owner(self) -> partition_owner.PartitionOwner:
        """The owner."""
        return self._owner

    def runs_on(self, worker_id: str) -> list[task_runs.RunKey]:
        """Returns the runs on a worker."""
        return list(self.state.watches[worker_id].view.runs)

    def report(
        self,
        worker_id: str,
        ended: task_runs.RunKey | None = None,
        kind: task_runs.EndKind = task_runs.EndKind.DONE,
        found: task_runs.RunKey | None = None,
        usages: abc.Mapping[task_runs.RunKey, int] | None = None,
    ) -> None:
        """Applies a status of a worker, in which one run may have ended.

        Args:
            worker_id: The worker.
            ended: The run that has ended; None if none has.
            kind: How it ended.
            found: A run that a previous owner has started there; None if there
                is none.
            usages: Usage that the worker reports for its runs; 0 if missing.
        """
        self._clock_ms += 1
        ends: tuple[worker_interface.EndedRun, ...] = ()
        if ended is not None:
            number = self._end_numbers.get(worker_id, 0) + 1
            self._end_numbers[worker_id] = number
            end = task_runs.RunEnd(ended, kind)
            ends = (worker_interface.EndedRun(number, end),)
        view = self.state.watches[worker_id].view
        running = tuple(
            worker_interface.RunStatus(key, "", 50, (usages or {}).get(key, 0))
            for key in (
                *view.runs,
                *([found] if found else []),
                *self._found.pop(worker_id, ()),
            )
            if key != ended
        )
        status = worker_interface.WorkerStatus(
            self._clock_ms, INCARNATION, running, ends
        )
        run_tracking.apply_status(self.state, view, status)

    def run_pass(self) -> None:
        """Runs one placement pass."""
        self._owner.run_pass()

    async def close(self) -> None:
        """Ends the asyncio tasks of the workers."""
        await self._owner.workers.close_all()

    def _read_clock(self) -> float:
        self.now_s += self.tick_s
        return self.now_s

    def _make_ports(
        self, configuration: model.FleetConfiguration
    ) -> ports.OwnerPorts:
        return ports.OwnerPorts(
            store=_unused_store(),
            open_worker=lambda registration, token: _silent_client(),
            clock=types.Clock(self._read_clock, lambda: self.now_s),
            limits=ports.Limits(),
            configuration=lambda: configuration,
            zones_out=frozenset,
            is_current=lambda: True,
            log=self._log,
            increment=self._increment,
            observe=lambda name, seconds: None,
            call_owner=None,
            ask_advice=self._ask_advice,
        )


def make_worker(
    worker_id: str,
    capacity: model.Resources,
    *,
    rack: str = "",
    labels: frozenset[str] = frozenset(),
) -> worker_interface.Registration:
    """Returns the registration of a worker of the partition's pool."""
    return worker_interface.Registration(
        worker_id,
        POOL,
        types.Address("10.0.0.1", 8_000),
        "zone-a",
        rack,
        labels,
        capacity,
        False,
        INCARNATION,
    )


def _unused_store() -> store_interface.Store:
    """Returns a store that is never called."""
    return typing.cast(store_interface.Store, None)


def _silent_client() -> worker_interface.WorkerClient:
    """Returns a client of a worker that never answers."""

    async def poll(
        request: worker_interface.PollRequest,
    ) -> result.Result[
        worker_interface.WorkerStatus, worker_interface.WorkerCallFailure
    ]:
        return await asyncio.get_running_loop().create_future()

    async def command(*arguments: object) -> worker_interface.CommandOutcome:
        return await asyncio.get_running_loop().create_future()

    return worker_interface.WorkerClient(
        poll, command, command, command, lambda: None
    )
