"""A queue that operators assign to one pool after another, under load.

Each pool's jobs lie in a partition of their own. Hosts learn of each version of
the configuration at different times, callers submit each job several times at
any host, owners are replaced, and replies of the store are lost. The owners run
the production code; the store and the calls between hosts are stand-ins.
"""

import asyncio
import collections
from collections import abc
import random
import typing

from returns import pipeline
from returns import result

from chervillead import verdicts
from chervillead.entries import job_messages
from chervillead.jobs import model
from chervillead.jobs import records
from chervillead.pools import pool_partitions
from stand_ins import memory_owners
from stand_ins import memory_store
from stand_ins import virtual_time

POOLS = ("pool-0", "pool-1", "pool-2")
JOBS = 25
SUBMISSIONS_PER_JOB = 3
VERSIONS = 6
RUN_S = 12.0
LONGEST_STORE_CALL_S = 0.08
LOST_REPLIES = 0.03
# Hosts learn of a version within this time, some of them much later.
LONGEST_SPREAD_S = 1.5
CALL_TIMEOUT_S = 1.0


class Outcome(typing.NamedTuple):
    """Result of a run.

    Attributes:
        partitions_of_job: Partitions that have stored each job.
        accepted: Jobs whose callers were told that they are accepted.
        refused: Jobs whose callers were told each time that they are not.
        reasons: How often calls were refused, by reason.
    """

    partitions_of_job: dict[str, list[int]]
    accepted: set[str]
    refused: set[str]
    reasons: collections.Counter[str]


class MovingQueue:
    """The partitions of three pools, and a host for each that owns it."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._store = memory_store.MemoryStore(
            self._rng, LONGEST_STORE_CALL_S, LOST_REPLIES
        )
        self._configurations = [_configuration(1, POOLS[0])] * len(POOLS)
        self._owners = memory_owners.MemoryOwners(
            self._store,
            lambda partition: self._configurations[partition],
            self._call_owner,
        )
        self._accepted: set[str] = set()
        self._attempts: dict[str, list[verdicts.Verdict]] = {}
        self._reasons: collections.Counter[str] = collections.Counter()

    async def run(self) -> Outcome:
        """Plays all calls and faults, and returns what was stored."""
        for partition in range(len(POOLS)):
            await self._owners.replace(partition)
        tasks = [
            asyncio.create_task(work)
            for work in (
                *self._spread_versions(),
                *self._submissions(),
                *self._replacements(),
            )
        ]
        await asyncio.gather(*tasks)
        await asyncio.sleep(3.0)
        await self._owners.stop()
        return Outcome(
            self._partitions_of_job(),
            self._accepted,
            {
                job_id
                for job_id, attempts in self._attempts.items()
                if set(attempts) == {verdicts.Verdict.NOT_RUN}
            },
            self._reasons,
        )

    def _partitions_of_job(self) -> dict[str, list[int]]:
        found: dict[str, list[int]] = {}
        for partition in range(len(POOLS)):
            for record in self._store.latest(
                pool_partitions.JOBS_TOPIC, partition
            ):
                if record.key.startswith(records.SPEC_PREFIX):
                    found.setdefault(record.key[1:], []).append(partition)
        return found

    def _spread_versions(
        self,
    ) -> abc.Iterator[abc.Coroutine[typing.Any, typing.Any, None]]:
        """Yields what tells each host of each version of the configuration."""

        async def learn(
            host: int, version: int, pool: str, at_s: float
        ) -> None:
            await asyncio.sleep(at_s)
            if self._configurations[host].version < version:
                self._configurations[host] = _configuration(version, pool)

        for version in range(2, VERSIONS + 1):
            published_s = self._rng.uniform(0.5, RUN_S - 2.0)
            pool = self._rng.choice(POOLS)
            for host in range(len(POOLS)):
                spread_s = self._rng.uniform(0.0, LONGEST_SPREAD_S)
                yield learn(host, version, pool, published_s + spread_s)

    def _submissions(
        self,
    ) -> abc.Iterator[abc.Coroutine[typing.Any, typing.Any, None]]:
        async def submit(job_id: str, host: int, at_s: float) -> None:
            await asyncio.sleep(at_s)
            await self._submit(job_id, host)

        for number in range(JOBS):
            first_s = self._rng.uniform(0.0, RUN_S - 4.0)
            for _ in range(SUBMISSIONS_PER_JOB):
                host = self._rng.randrange(len(POOLS))
                delay_s = self._rng.choice((0.0, 0.05, 0.5, 3.0))
                yield submit(f"{number:016x}", host, first_s + delay_s)

    def _replacements(
        self,
    ) -> abc.Iterator[abc.Coroutine[typing.Any, typing.Any, None]]:
        async def replace(partition: int, at_s: float) -> None:
            await asyncio.sleep(at_s)
            await self._owners.replace(partition)

        for _ in range(5):
            partition = self._rng.randrange(len(POOLS))
            yield replace(partition, self._rng.uniform(0.0, RUN_S - 2.0))

    async def _submit(self, job_id: str, host: int) -> None:
        """Submits a job by a host's configuration, as the job router does."""
        pool = self._configurations[host].queues["queue"].pool
        partition = POOLS.index(pool)
        await asyncio.sleep(self._rng.uniform(0.0, 0.05))
        owner = self._owners.owners[partition]
        if not owner.state.is_loaded:
            return
        outcome = await owner.operations.submissions.submit(
            _job(job_id, pool), CALL_TIMEOUT_S
        )
        if pipeline.is_successful(outcome):
            self._accepted.add(job_id)
            self._attempts.setdefault(job_id, []).append(verdicts.Verdict.RAN)
            return
        refusal = outcome.failure()
        self._reasons[refusal.reason] += 1
        self._attempts.setdefault(job_id, []).append(refusal.verdict)

    async def _call_owner(
        self, call: job_messages.JobCall, timeout_s: float
    ) -> result.Result[job_messages.JobReply, verdicts.Refusal]:
        assert isinstance(call, job_messages.CloseQueue)
        await asyncio.sleep(self._rng.uniform(0.0, 0.05))
        owner = self._owners.owners[call.partition]
        if not owner.state.is_loaded:
            return result.Failure(verdicts.not_run("no-owner", 503))
        outcome = await owner.operations.queues.close(
            call.address, call.version, call.timeout_ms / 1000
        )
        await asyncio.sleep(self._rng.uniform(0.0, 0.05))
        return outcome


def run_seeded(seed: int) -> Outcome:
    """Plays one run on a virtual clock."""

    async def main() -> Outcome:
        return await MovingQueue(seed).run()

    return typing.cast(Outcome, virtual_time.run_virtual(main(), seed))


def _configuration(version: int, pool: str) -> model.FleetConfiguration:
    queue = model.Queue("queue", "example", "/jobs/", pool, max_attempts=3)
    return model.FleetConfiguration(
        version,
        {"queue": queue},
        {name: model.Pool(name) for name in POOLS},
        {},
        {},
        1000,
    )


def _job(job_id: str, pool: str) -> model.JobSpec:
    step = model.Step(1, model.Resources(1000, 100))
    return model.JobSpec(job_id, "queue", pool, "account", "x", (step,))
