"""A pool whose queue has advice, on a virtual clock.

The advisory service answers one call at a time, after the time that its policy
takes. Runs end when they have lasted as long as the test says.
"""

import asyncio
from collections import abc
import typing

from returns import result

from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.pools import advice_cache
from chervillead.pools import ownership_checks
from chervillead.pools import ports
from stand_ins import memory_partition

POLICY = model.AdvicePolicy(20, 5, 3000)
QUEUE = "queue"
WORKER_CPU = 4_000
STEP_S = 0.02
MAX_WORKERS_PER_CALL = 100
CONFIGURATION = model.FleetConfiguration(
    1,
    {
        QUEUE: model.Queue(
            QUEUE, "example", "/jobs/", memory_partition.POOL, advice=POLICY
        )
    },
    {memory_partition.POOL: model.Pool(memory_partition.POOL)},
    {},
    {},
    1000,
)


class Call(typing.NamedTuple):
    """A call of the advisory service."""

    job_id: str
    workers: tuple[str, ...]
    at_s: float


class AdvisedPool:
    """A pool, its owner and the advisory service.

    Attributes:
        allowed: Ids of the workers that may run any step.
        failing_jobs: Ids of jobs whose calls fail.
        calls: The calls of the service.
        run_s: How long a run takes.
    """

    def __init__(self, workers: int, allowed: int) -> None:
        ids = [f"i-{number:03}" for number in range(workers)]
        self.allowed = set(ids[workers - allowed :])
        self.failing_jobs: set[str] = set()
        self.calls: list[Call] = []
        self.run_s = 1.0
        self._ids = ids
        self._jobs: list[job_state.JobState] = []
        self._ends_s: dict[typing.Any, float] = {}
        self.partition = memory_partition.MemoryPartition(
            CONFIGURATION, self._registrations(), (), self._ask
        )
        self._cache: advice_cache.AdviceCache = (
            self.partition.owner._advice_cache
        )

    def submit(self, number: int, step: model.Step) -> job_state.JobState:
        """Adds a job of one step that was accepted before it had advice."""
        spec = model.JobSpec(
            f"{number:016x}", QUEUE, memory_partition.POOL, "", "x", (step,)
        )
        job = job_state.JobState(
            spec, accepted_s=self.partition.now_s, terms=model.JobTerms(3)
        )
        self.partition.state.jobs[spec.job_id] = job
        self._jobs.append(job)
        return job

    def add_worker(self, worker_id: str) -> None:
        """Adds a worker to the pool."""
        self._ids.append(worker_id)
        self.partition.owner.workers.update(
            {w.worker_id: w for w in self._registrations()}
        )
        self.partition.report(worker_id)
        # Nothing is started on a new worker before the next renewal.
        ownership_checks.apply_renewal(self.partition.state, 1)

    async def run_until(
        self, condition: abc.Callable[[], bool], limit_s: float
    ) -> float | None:
        """Places tasks until a condition holds; returns how long that took.

        Returns:
            The time in seconds, or None if it doesn't hold within the limit.
        """
        fetching = asyncio.create_task(self._cache.run())
        began_s = self.partition.now_s
        loop = asyncio.get_running_loop()
        offset_s = began_s - loop.time()
        try:
            while self.partition.now_s - began_s <= limit_s:
                if condition():
                    return self.partition.now_s - began_s
                self._end_runs()
                self.partition.run_pass()
                await asyncio.sleep(STEP_S)
                self.partition.now_s = loop.time() + offset_s
            return None
        finally:
            fetching.cancel()

    def started(self) -> list[typing.Any]:
        """Returns all runs that were started, with their tickets."""
        return [
            run
            for watch in self.partition.state.watches.values()
            for run in watch.view.runs.values()
        ]

    def _end_runs(self) -> None:
        now_s = self.partition.now_s
        for worker_id in self._ids:
            for key in self.partition.runs_on(worker_id):
                ends_s = self._ends_s.setdefault(key, now_s + self.run_s)
                if ends_s <= now_s:
                    self.partition.report(worker_id, key)

    def _registrations(self) -> list[typing.Any]:
        return [
            memory_partition.make_worker(
                worker_id,
                model.Resources(WORKER_CPU, 16_000),
                rack=f"r-{number // 12}",
            )
            for number, worker_id in enumerate(self._ids)
        ]

    async def _ask(
        self,
        job_id: str,
        occurrence: int,
        step: int,
        workers: abc.Sequence[str],
        timeout_s: float,
    ) -> result.Result[ports.Advice, ports.AdviceFailure]:
        assert 0 < len(workers) <= MAX_WORKERS_PER_CALL
        call = Call(job_id, tuple(workers), self.partition.now_s)
        self.calls.append(call)
        answer_ms = POLICY.answer_ms + POLICY.answer_per_worker_ms * len(
            workers
        )
        assert timeout_s > answer_ms / 1000
        await asyncio.sleep(answer_ms / 1000)
        if job_id in self.failing_jobs:
            return result.Failure(ports.AdviceFailure("429"))
        tickets = {w: f"ticket-{w}" for w in workers if w in self.allowed}
        return result.Success(
            ports.Advice(tickets, POLICY.ticket_ttl_ms / 1000)
        )
