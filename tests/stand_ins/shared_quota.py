"""A client account's quota that four partitions share, under load.

Partitions start and end tasks of different sizes within the shares that they
hold. Messages come late, twice or not at all, replies of the store are lost,
owners are replaced, also that of the ledger, and the quota is lowered. Runs go
on while a partition changes its owner.
"""

import asyncio
import itertools
import random
import typing

from returns import result

from chervillead import verdicts
from chervillead.entries import job_messages
from chervillead.jobs import job_api
from chervillead.jobs import model
from chervillead.jobs import quotas
from chervillead.jobs import task_runs
from chervillead.pools import partition_owner
from chervillead.pools import pool_partitions
from stand_ins import memory_owners
from stand_ins import memory_store
from stand_ins import virtual_time

ACCOUNT = "account"
PARTITIONS = 4
FIRST_QUOTA = model.Resources(64_000, 0, 8)
LOWER_QUOTA = model.Resources(16_000, 0, 4)
RUN_S = 14.0
QUIET_FROM_S = 10.0
# What one partition alone needs at last, with nothing else running.
LARGE_TASK = model.Resources(12_000, 0, 3)
LARGEST_TASK = 6_000
STEP_S = 0.02
LONGEST_STORE_CALL_S = 0.04
LOST_REPLIES = 0.03
LOST_CALLS = 0.05
LATE_CALLS = 0.05
LATEST_S = 2.0
RECOVERY_S = 0.3


class Outcome(typing.NamedTuple):
    """Result of a run.

    Attributes:
        violations: Starts that took the account beyond its quota, and times at
            which partitions held more than the whole.
        starts: Number of tasks that were started.
        large_start_s: How long the large task waited; None if it never started.
        most_held: Largest share that one partition has held.
    """

    violations: list[str]
    starts: int
    large_start_s: float | None
    most_held: int


class SharedQuota:
    """Four partitions of one account; the first one keeps the ledger."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._store = memory_store.MemoryStore(
            self._rng, LONGEST_STORE_CALL_S, LOST_REPLIES
        )
        self._quotas = [FIRST_QUOTA] * PARTITIONS
        self._owners = memory_owners.MemoryOwners(
            self._store,
            lambda partition: _configuration(self._quotas[partition]),
            self._call_owner,
        )
        # Runs of each partition, whoever owns it.
        self._runs: list[dict[task_runs.Run, model.Step]] = [
            {} for _ in range(PARTITIONS)
        ]
        self._numbers = itertools.count(1)
        self._late: set[asyncio.Task[typing.Any]] = set()
        self._violations: list[str] = []
        self._most_held = 0
        self._large_start_s: float | None = None

    async def run(self) -> Outcome:
        """Plays all load and faults."""
        for partition in range(PARTITIONS):
            await self._owners.replace(partition)
        await asyncio.gather(
            *(self._load(partition) for partition in range(PARTITIONS)),
            *(self._replace() for _ in range(6)),
            *(self._lower(partition) for partition in range(PARTITIONS)),
            self._watch(),
        )
        await self._owners.stop()
        for task in self._late:
            task.cancel()
        return Outcome(
            self._violations,
            next(self._numbers) - 1,
            self._large_start_s,
            self._most_held,
        )

    async def _load(self, partition: int) -> None:
        """Starts tasks in bursts, and at last a large one in one partition."""
        now_s = asyncio.get_running_loop().time
        while now_s() < QUIET_FROM_S:
            size = model.Resources(
                self._rng.randint(500, LARGEST_TASK),
                0,
                self._rng.choice((0, 0, 1, 2)),
            )
            ends_s = min(QUIET_FROM_S, now_s() + self._rng.uniform(0.2, 2.0))
            while now_s() < ends_s:
                self._try_start(partition, size, self._rng.uniform(0.05, 0.8))
                await asyncio.sleep(STEP_S)
            await asyncio.sleep(self._rng.uniform(0.0, 1.5))
        if partition == PARTITIONS - 1:
            began_s = now_s()
            while now_s() < RUN_S and self._large_start_s is None:
                if self._try_start(partition, LARGE_TASK, 0.5):
                    self._large_start_s = now_s() - began_s
                await asyncio.sleep(STEP_S)

    def _try_start(
        self, partition: int, size: model.Resources, duration_s: float
    ) -> bool:
        owner = self._owners.owners[partition]
        state = owner.state
        if not state.is_loaded or state.is_fenced:
            return False
        quota = self._quotas[partition]
        used = state.usage_by_account.get(ACCOUNT, model.Resources())
        if not quotas.allows(quota, state.shares.held(ACCOUNT), used, size):
            state.shares.note_shortage(ACCOUNT, size, state.now_s())
            return False
        state.shares.note_use(ACCOUNT, state.now_s())
        number = next(self._numbers)
        run = task_runs.Run(
            f"{number:016x}",
            model.TaskKey(0, 0, 0),
            1,
            "worker",
            reserved=size,
            started_s=state.now_s(),
        )
        step = model.Step(1, size)
        self._runs[partition][run] = step
        state._usage.add(run, ACCOUNT, step)
        self._check_usage()
        asyncio.get_running_loop().call_later(
            duration_s, self._end, partition, run
        )
        return True

    def _end(self, partition: int, run: task_runs.Run) -> None:
        self._runs[partition].pop(run)
        self._owners.owners[partition].state._usage.remove("worker", run.key)

    def _check_usage(self) -> None:
        used = model.Resources()
        for runs in self._runs:
            for step in runs.values():
                used = used.plus(step.size)
        # Hosts may know different versions for a moment.
        highest = max(self._quotas)
        is_lowering = len(set(self._quotas)) > 1 or highest == LOWER_QUOTA
        if not FIRST_QUOTA.covers(used) or (
            not is_lowering and not highest.covers(used)
        ):
            self._violations.append(f"running: {used} of {highest}")

    async def _watch(self) -> None:
        """Checks all the while what partitions hold."""
        now_s = asyncio.get_running_loop().time
        while now_s() < RUN_S:
            held = [
                owner.state.shares.held(ACCOUNT)
                for owner in self._owners.owners.values()
            ]
            self._most_held = max(self._most_held, *held)
            if sum(held) > quotas.WHOLE:
                self._violations.append(f"held at {now_s():.3f}: {held}")
            await asyncio.sleep(0.01)

    async def _replace(self) -> None:
        partition = self._rng.choice((0, 0, 1, 2, 3))
        await asyncio.sleep(self._rng.uniform(0.2, QUIET_FROM_S))
        await self._owners.replace(
            partition, lambda owner: self._recover_later(partition, owner)
        )

    def _recover_later(
        self, partition: int, owner: partition_owner.PartitionOwner
    ) -> None:
        """Tells a new owner the runs, and a moment later that these are all."""
        for run, step in self._runs[partition].items():
            owner.state._usage.add(run, ACCOUNT, step)
        owner.state.recovering_jobs.add("unknown")
        asyncio.get_running_loop().call_later(
            RECOVERY_S, owner.state.recovering_jobs.clear
        )

    async def _lower(self, partition: int) -> None:
        """Lowers the quota, at a different time for each host."""
        await asyncio.sleep(6.0 + self._rng.uniform(0.0, 1.0))
        self._quotas[partition] = LOWER_QUOTA

    async def _call_owner(
        self, call: job_messages.JobCall, timeout_s: float
    ) -> job_api.ReplyOutcome:
        """Passes a report on: late, without its reply, or twice."""
        assert isinstance(call, job_messages.ReportShares)
        await asyncio.sleep(self._rng.uniform(0.0, 0.03))
        if self._rng.random() < LATE_CALLS:
            task = asyncio.create_task(self._serve_late(call))
            self._late.add(task)
        if self._rng.random() < LOST_CALLS:
            return result.Failure(verdicts.may_have_run("lost", 504))
        outcome = await self._serve(call)
        await asyncio.sleep(self._rng.uniform(0.0, 0.03))
        if self._rng.random() < LOST_CALLS:
            return result.Failure(verdicts.may_have_run("lost", 504))
        return outcome

    async def _serve_late(self, call: job_messages.ReportShares) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, LATEST_S))
        await self._serve(call)

    async def _serve(
        self, call: job_messages.ReportShares
    ) -> job_api.ReplyOutcome:
        owner = self._owners.owners[pool_partitions.HOSTS_PARTITION]
        if not owner.state.is_loaded or owner.state.is_fenced:
            return result.Failure(verdicts.not_run("no-owner", 503))
        return await owner.ledger.report(call, call.timeout_ms / 1000)


def run_seeded(seed: int) -> Outcome:
    """Plays one run on a virtual clock."""

    async def main() -> Outcome:
        return await SharedQuota(seed).run()

    return typing.cast(Outcome, virtual_time.run_virtual(main(), seed))


def _configuration(quota: model.Resources) -> model.FleetConfiguration:
    return model.FleetConfiguration(
        1, {}, {}, {ACCOUNT: model.Account(ACCOUNT, 1.0, quota)}, {}, 1000
    )
