"""Workers whose best-effort tasks raise the tail latency of others.

The owner of the pool is real; the world computes what its workers report.
"""

import asyncio
import collections
from collections import abc
import random

from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import task_runs
from stand_ins import memory_partition

TARGET_MS = 100
SERVICE = "service"
TICK_S = 0.1
STATUS_INTERVAL_TICKS = 10
# A worker reports its last half second.
WINDOW_TICKS = 5
# Tail latency relative to the target without neighbors, and its deviation.
BASE_RATIO = 0.35
NOISE = 0.02
CAPACITY = model.Resources(32_000, 10_000)

CONFIGURATION = model.FleetConfiguration(
    version=1,
    queues={"queue": model.Queue("queue", "", "", memory_partition.POOL)},
    pools={memory_partition.POOL: model.Pool(memory_partition.POOL)},
    accounts={},
    account_of_key={},
    max_body_bytes=0,
)


def service_step(tasks: int) -> model.Step:
    """Returns a step of latency-sensitive tasks, one on each worker."""
    return model.Step(
        tasks,
        model.Resources(1_000, 1_000),
        long_running=True,
        max_per_worker=1,
        image=SERVICE,
        latency_target_ms=TARGET_MS,
    )


def best_effort_step(image: str, tasks: int, **fields: object) -> model.Step:
    """Returns a step of best-effort tasks, one on each worker."""
    step = model.Step(
        tasks,
        model.Resources(1_000, 1_000),
        max_per_worker=1,
        image=image,
        fills=True,
        checkpointing=True,
    )
    return step._replace(**fields)


class World:
    """A pool of workers on a clock that is set by hand.

    Attributes:
        worker_ids: Ids of the workers.
        effects: Rise of the tail latency relative to its target, by image of a
            task at full pace.
        slowness: Factor of the tail latency, by worker.
        silent: Ids of workers that don't answer.
        loses_paces: Whether commands for paces get lost.
        ratios: Tail latencies relative to the target over time, by worker.
        counts: Counters of the owner, by name and label.
        partition: The partition, whose owner is under test.
    """

    def __init__(self, worker_ids: abc.Sequence[str], seed: int) -> None:
        self.worker_ids = list(worker_ids)
        self.effects: dict[str, float] = {}
        self.slowness: dict[str, float] = {}
        self.silent: set[str] = set()
        self.loses_paces = False
        self.ratios: dict[str, list[float]] = collections.defaultdict(list)
        self.counts: collections.Counter[tuple[str, ...]] = (
            collections.Counter()
        )
        self._loop = asyncio.new_event_loop()
        self._lines: list[tuple[float, str, dict[str, object]]] = []
        self._specs: list[model.JobSpec] = []
        self._rng = random.Random(seed)
        self._ticks = 0
        # Paces as the owner set them and as the workers apply them, which is
        # one tick later.
        self._sent: dict[task_runs.RunKey, int] = {}
        self._paces: dict[task_runs.RunKey, int] = {}
        self._within(lambda: self._start_owner({}))

    def close(self) -> None:
        """Ends the asyncio tasks of the owner."""
        self._loop.run_until_complete(self.partition.close())
        self._loop.close()

    def submit(self, step: model.Step) -> job_state.JobState:
        """Submits a job of one step and places its tasks."""
        job_id = f"{len(self._specs):016x}"
        spec = model.JobSpec(
            job_id, "queue", memory_partition.POOL, "", "", (step,)
        )
        self._specs.append(spec)
        job = job_state.JobState(spec, accepted_s=self.partition.now_s)
        self.partition.state.jobs[job_id] = job
        self._within(self.partition.run_pass)
        return job

    def pass_time(self, seconds: float) -> None:
        """Lets the workers run and report."""
        for _ in range(round(seconds / TICK_S)):
            self._within(self._tick)

    def change_owner(self) -> None:
        """Replaces the owner by one that finds the jobs and their runs."""
        running = {
            worker_id: [run.key for run, _ in self.runs(worker_id)]
            for worker_id in self.worker_ids
        }
        self._loop.run_until_complete(self.partition.close())
        self._sent = dict.fromkeys(self._sent, 100)
        self._within(lambda: self._start_owner(running))

    def log_lines(self, kind: str) -> list[tuple[float, dict[str, object]]]:
        """Returns the times and fields of the log lines of one kind."""
        return [(at_s, fields) for at_s, k, fields in self._lines if k == kind]

    def paces(self, image: str) -> dict[str, int]:
        """Returns the pace of the run of an image on each worker."""
        return {
            worker_id: self._paces.get(run.key, 100)
            for worker_id in self.worker_ids
            for run, step in self.runs(worker_id)
            if step.image == image
        }

    def workers_with(self, image: str) -> list[str]:
        """Returns the ids of the workers on which an image runs."""
        return list(self.paces(image))

    def runs(self, worker_id: str) -> list[tuple[task_runs.Run, model.Step]]:
        """Returns the runs on a worker with their steps."""
        state = self.partition.state
        return [
            (run, state.step_of(run))
            for run in state.watches[worker_id].view.runs.values()
        ]

    def longest_miss_s(self, worker_id: str, since_s: float = 0.0) -> float:
        """Returns the longest time over the target, without interruption."""
        longest = current = 0
        for ratio in self.ratios[worker_id][round(since_s / TICK_S) :]:
            current = current + 1 if ratio >= 1 else 0
            longest = max(longest, current)
        return longest * TICK_S

    def _within(self, function: abc.Callable[[], None]) -> None:
        """Calls a function of the owner, which needs an event loop."""

        async def call() -> None:
            function()

        self._loop.run_until_complete(call())

    def _start_owner(
        self, running: abc.Mapping[str, abc.Iterable[task_runs.RunKey]]
    ) -> None:
        now_s = memory_partition.START_S + self._ticks * TICK_S
        self.partition = memory_partition.MemoryPartition(
            CONFIGURATION,
            [
                memory_partition.make_worker(worker_id, CAPACITY)
                for worker_id in self.worker_ids
            ],
            [job_state.JobState(spec, accepted_s=0.0) for spec in self._specs],
            running=running,
            log=lambda kind, **fields: self._lines.append(
                (self._ticks * TICK_S, kind, fields)
            ),
            increment=lambda *labels: self.counts.update([labels]),
            start_s=now_s,
        )
        self.partition.run_pass()

    def _tick(self) -> None:
        self._ticks += 1
        self.partition.now_s += TICK_S
        for number, worker_id in enumerate(self.worker_ids):
            self._measure(worker_id)
            is_due = (self._ticks + number) % STATUS_INTERVAL_TICKS == 0
            if is_due and worker_id not in self.silent:
                self._report(worker_id)
        self._end_stopped()
        self.partition.run_pass()
        self._check_runs()

    def _end_stopped(self) -> None:
        """Ends the runs that were told to stop, on workers that answer."""
        for worker_id in self.worker_ids:
            for run, _ in self.runs(worker_id):
                if run.stop_requested and worker_id not in self.silent:
                    kind = task_runs.EndKind.STOPPED
                    self.partition.report(worker_id, run.key, kind)

    def _check_runs(self) -> None:
        tasks = collections.Counter(
            (run.job_id, run.task)
            for worker_id in self.worker_ids
            for run, _ in self.runs(worker_id)
        )
        assert max(tasks.values(), default=0) <= 1, tasks

    def _measure(self, worker_id: str) -> None:
        runs = self.runs(worker_id)
        rise = sum(
            self.effects[step.image] * self._paces.get(run.key, 100) / 100
            for run, step in runs
            if step.fills
        )
        ratio = self.slowness.get(worker_id, 1.0) * BASE_RATIO + rise
        self.ratios[worker_id].append(ratio + self._rng.gauss(0, NOISE))
        for run, _ in runs:
            self._apply_pace(run)

    def _apply_pace(self, run: task_runs.Run) -> None:
        """Applies a pace that was sent since the last tick."""
        is_sent = run.pace_percent != self._sent.get(run.key, 100)
        self._sent[run.key] = run.pace_percent
        if is_sent and self.loses_paces:
            run.is_pace_uncertain = True
        elif not run.is_pace_uncertain:
            self._paces[run.key] = run.pace_percent

    def _report(self, worker_id: str) -> None:
        window = self.ratios[worker_id][-WINDOW_TICKS:]
        tail_ms = round(TARGET_MS * sum(window) / len(window))
        usages = {
            run.key: tail_ms
            for run, step in self.runs(worker_id)
            if step.latency_target_ms
        }
        self.partition.report(worker_id, usages=usages)
        # The report doesn't pass through the watch, which would note it.
        self.partition.state.watches[worker_id]._has_new_status = True
