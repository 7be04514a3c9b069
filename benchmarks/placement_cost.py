"""Processor time that an event costs the owner of a partition, by its size.

The pool is full and tasks wait, as in a burst. An event is the end of a run,
and the placement pass after it. Workers and the store never answer, so only
the owner's own decisions are measured.
"""

import asyncio
from collections import abc
import random
import time
import typing

from returns import result

from benchmarks import figures
from chervillead import types
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import task_runs
from chervillead.pools import owner_state
from chervillead.pools import partition_owner
from chervillead.pools import ports
from chervillead.pools import run_tracking
from chervillead.store import group_commit
from chervillead.store import interface as store_interface
from chervillead.workers import interface as worker_interface

POOL = "pool"
QUEUE = "queue"
ACCOUNTS = 20
TASKS_PER_STEP = 8
CAPACITY = model.Resources(32_000, 64_000)
MEAN_TASK_MILLICORES = 6_200
INCARNATION = 1
WORKERS = 44
WAITING_TASKS = 1_000
RETAINED_JOBS = 500
GROWTH = 10
EVENTS = 300
SEED = 20261204

# An event must not cost more on a larger partition; the rest is for caches
# and for the sizes of the tasks that happen to end.
MAX_RATIO = 2.0


class Size(typing.NamedTuple):
    """Size of a partition: workers, waiting tasks and finished jobs."""

    workers: int = WORKERS
    waiting_tasks: int = WAITING_TASKS
    retained_jobs: int = RETAINED_JOBS


def measure() -> abc.Iterator[figures.BenchmarkResult]:
    """Yields the cost of an event, and how it grows with each size."""
    base_s = event_cost_s(Size())
    yield figures.BenchmarkResult(
        "placement: us an event, 44 workers", 1e6 * base_s, "-", True
    )
    grown = {
        "workers": Size(workers=GROWTH * WORKERS),
        "waiting tasks": Size(waiting_tasks=GROWTH * WAITING_TASKS),
        "finished jobs": Size(retained_jobs=GROWTH * RETAINED_JOBS),
    }
    for name, size in grown.items():
        ratio = event_cost_s(size) / base_s
        yield figures.BenchmarkResult(
            f"placement: cost at {GROWTH}x {name} to 1x",
            ratio,
            f"<= {MAX_RATIO:g}",
            ratio <= MAX_RATIO,
        )


def event_cost_s(size: Size) -> float:
    """Returns the mean processor time of an event, in seconds."""
    return asyncio.run(_event_cost_s(size))


async def _event_cost_s(size: Size) -> float:
    partition = FullPartition(size)
    begin_s = time.thread_time()
    for _ in range(EVENTS):
        partition.end_a_run()
    cost_s = (time.thread_time() - begin_s) / EVENTS
    await partition.close()
    return cost_s


class FullPartition:
    """An owner whose pool is full while tasks wait."""

    def __init__(self, size: Size) -> None:
        self._rng = random.Random(SEED)
        self._now_s = 1_000.0
        self._clock_ms = 0
        self._end_numbers: dict[str, int] = {}
        self._owner = partition_owner.PartitionOwner(
            0,
            1,
            group_commit.PartitionWriter(_unused_store(), "topic", 0, 1),
            self._make_ports(),
            owner_state.OwnershipStatus(lambda: True, lambda: False),
        )
        self._add_workers(size.workers)
        # Enough tasks to fill the pool, and those that wait.
        room = size.workers * CAPACITY.millicores // MEAN_TASK_MILLICORES
        tasks = size.waiting_tasks + room + EVENTS
        self._owner.load(self._make_jobs(size.retained_jobs, tasks))
        for worker_id in self._owner.state.watches:
            self._report(worker_id, None)
        self._owner.workers.apply_host_list(set(self._owner.state.watches))
        # Recovery ends in the first pass, and the second one fills the pool.
        for _ in range(2):
            self._owner.run_pass()

    def end_a_run(self) -> None:
        """Ends one run and lets the owner place tasks."""
        self._now_s += 0.001
        watches = self._owner.state.watches
        worker_id = self._rng.choice(self._worker_ids)
        runs = list(watches[worker_id].view.runs)
        self._report(worker_id, self._rng.choice(runs) if runs else None)
        self._owner.run_pass()

    async def close(self) -> None:
        """Ends the asyncio tasks of the workers."""
        await self._owner.workers.close_all()

    def _make_ports(self) -> ports.OwnerPorts:
        configuration = _make_configuration()
        return ports.OwnerPorts(
            store=_unused_store(),
            open_worker=lambda registration, token: _silent_client(),
            clock=types.Clock(lambda: self._now_s, lambda: self._now_s),
            limits=ports.Limits(),
            configuration=lambda: configuration,
            zones_out=frozenset,
            log=lambda message_type, **fields: None,
            increment=lambda name, label: None,
            observe=lambda name, seconds: None,
        )

    def _add_workers(self, count: int) -> None:
        self._worker_ids = [f"worker-{number}" for number in range(count)]
        self._owner.state.is_loaded = True
        self._owner.workers.update(
            {
                worker_id: worker_interface.Registration(
                    worker_id,
                    POOL,
                    types.Address("10.0.0.1", 8_000),
                    "zone-a",
                    f"rack-{number % 12}",
                    frozenset({f"rack-{number % 12}"}),
                    CAPACITY,
                    False,
                    INCARNATION,
                )
                for number, worker_id in enumerate(self._worker_ids)
            }
        )

    def _make_jobs(
        self, finished: int, waiting_tasks: int
    ) -> abc.Iterator[job_state.JobState]:
        for number in range(finished):
            job = self._make_job(number)
            job.cancel(self._now_s)
            yield job
        for number in range(waiting_tasks // TASKS_PER_STEP):
            yield self._make_job(finished + number)

    def _make_job(self, number: int) -> job_state.JobState:
        millicores = int(MEAN_TASK_MILLICORES * self._rng.uniform(0.5, 1.5))
        first = model.Step(
            TASKS_PER_STEP,
            model.Resources(millicores, 2 * millicores),
            estimate_ms=2_100,
        )
        spec = model.JobSpec(
            f"{number:016x}",
            QUEUE,
            POOL,
            f"account-{number % ACCOUNTS}",
            "",
            (first, first._replace(depends_on=(0,))),
        )
        accepted_s = self._now_s - self._rng.uniform(0.0, 5.0)
        return job_state.JobState(spec, accepted_s=accepted_s)

    def _report(self, worker_id: str, ended: task_runs.RunKey | None) -> None:
        """Applies a status of a worker, in which one run may have ended."""
        state = self._owner.state
        view = state.watches[worker_id].view
        self._clock_ms += 1
        ends: tuple[worker_interface.EndedRun, ...] = ()
        if ended is not None:
            number = self._end_numbers.get(worker_id, 0) + 1
            self._end_numbers[worker_id] = number
            end = task_runs.RunEnd(ended, task_runs.EndKind.DONE)
            ends = (worker_interface.EndedRun(number, end),)
        running = tuple(
            worker_interface.RunStatus(key, "", 50, 0)
            for key in view.runs
            if key != ended
        )
        run_tracking.apply_status(
            state,
            view,
            worker_interface.WorkerStatus(
                self._clock_ms, INCARNATION, running, ends
            ),
        )


def _make_configuration() -> model.FleetConfiguration:
    queue = model.Queue(QUEUE, "", "", POOL, stretch=1.5, target_ms=600)
    return model.FleetConfiguration(
        version=1,
        queues={QUEUE: queue},
        pools={POOL: model.Pool(POOL)},
        accounts={
            f"account-{number}": model.Account(
                f"account-{number}", 1.0, model.Resources()
            )
            for number in range(ACCOUNTS)
        },
        account_of_key={},
        max_body_bytes=0,
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
