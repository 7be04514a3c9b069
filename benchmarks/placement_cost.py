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

from benchmarks import figures
from chervillead.jobs import job_state
from chervillead.jobs import model
from stand_ins import memory_partition

QUEUE = "queue"
ACCOUNTS = 20
TASKS_PER_STEP = 8
CAPACITY = model.Resources(32_000, 64_000)
MEAN_TASK_MILLICORES = 6_200
RACKS = 12
EVENT_INTERVAL_S = 0.001
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
        self._worker_ids = [f"worker-{n}" for n in range(size.workers)]
        workers = [
            memory_partition.make_worker(
                worker_id,
                CAPACITY,
                rack=f"rack-{number % RACKS}",
                labels=frozenset({f"rack-{number % RACKS}"}),
            )
            for number, worker_id in enumerate(self._worker_ids)
        ]
        # Enough tasks to fill the pool, and those that wait.
        room = size.workers * CAPACITY.millicores // MEAN_TASK_MILLICORES
        tasks = size.waiting_tasks + room + EVENTS
        self._partition = memory_partition.MemoryPartition(
            _make_configuration(),
            workers,
            self._make_jobs(size.retained_jobs, tasks),
        )
        # Recovery ends in the first pass, and the second one fills the pool.
        for _ in range(2):
            self._partition.run_pass()

    def end_a_run(self) -> None:
        """Ends one run and lets the owner place tasks."""
        partition = self._partition
        partition.now_s += EVENT_INTERVAL_S
        worker_id = self._rng.choice(self._worker_ids)
        runs = partition.runs_on(worker_id)
        partition.report(worker_id, self._rng.choice(runs) if runs else None)
        partition.run_pass()

    async def close(self) -> None:
        """Ends the asyncio tasks of the workers."""
        await self._partition.close()

    def _make_jobs(
        self, finished: int, waiting_tasks: int
    ) -> abc.Iterator[job_state.JobState]:
        for number in range(finished):
            job = self._make_job(number)
            job.cancel(memory_partition.START_S)
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
            memory_partition.POOL,
            f"account-{number % ACCOUNTS}",
            "",
            (first, first._replace(depends_on=(0,))),
        )
        accepted_s = memory_partition.START_S - self._rng.uniform(0.0, 5.0)
        return job_state.JobState(spec, accepted_s=accepted_s)


def _make_configuration() -> model.FleetConfiguration:
    pool = memory_partition.POOL
    queue = model.Queue(QUEUE, "", "", pool, stretch=1.5, target_ms=600)
    return model.FleetConfiguration(
        version=1,
        queues={QUEUE: queue},
        pools={pool: model.Pool(pool)},
        accounts={
            f"account-{number}": model.Account(
                f"account-{number}", 1.0, model.Resources()
            )
            for number in range(ACCOUNTS)
        },
        account_of_key={},
        max_body_bytes=0,
    )
