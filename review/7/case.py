"""Case 7: an accepted submission is unknown at all hosts, and nothing runs it.

All partitions are reassigned at once, twice, while the store turns their owner
away. That owner goes on with what it knew before, as it hears of neither.
"""

import asyncio
import pathlib
import sys

import msgspec
from stage import deployment
from stage import record as record_module
from stage import script
from stage import workers

from chervillead.pools import pool_partitions
from stand_ins import platform_store

POOL = "service-a"
HOSTS = 3
JOB = "85c0e7a21d94b36f"
TASKS = 2
WORK_S = 20.0
# How long the store turns the owner away; its membership lasts for 2.5 s.
TURNED_AWAY_S = 1.9
# The other hosts renew their membership each 0.5 s.
TAKEOVER_S = 0.75
# `ContactMs` after the disruption, and more than `visible_ms` after the ack.
CALM_S = 8.0
ROUNDS = 6
ROUND_PAUSE_S = 2.0
PARTITION = pool_partitions.partition_of(POOL, platform_store.PARTITIONS)


def make_workers(
    record: record_module.Record,
) -> dict[str, list[workers.Worker]]:
    """Makes the workers of one pool."""
    return {
        POOL: [
            workers.Worker(f"{POOL}-{number}", record, work_s=WORK_S)
            for number in (1, 2)
        ]
    }


def find_owner(fleet: deployment.Deployment) -> int:
    """Returns the host to which the pool's partition is assigned."""
    assigned = fleet.store.assignments(pool_partitions.OWNERS_GROUP)
    name = assigned[PARTITION].split("/")[2]
    return [deployment.name_of(host) for host in range(HOSTS)].index(name)


def reassign(
    fleet: deployment.Deployment, record: record_module.Record
) -> None:
    """Reassigns all partitions of the group at once, without any request."""
    fleet.store.rebalance(pool_partitions.OWNERS_GROUP)
    record.write(
        "store: all partitions are reassigned; that of the pool is assigned "
        f"to {deployment.name_of(find_owner(fleet))}"
    )


async def play(
    fleet: deployment.Deployment, record: record_module.Record
) -> script.Outcome:
    """Submits a job to the owner in between, and looks for it later."""
    await fleet.start(HOSTS, POOL)
    first = find_owner(fleet)
    name = deployment.name_of(first)
    await fleet.wait_for_join(first)
    await asyncio.sleep(0.05)
    started_s = record.now_s()
    if script.has_trouble():
        fleet.store.rejected_hosts.add(name)
        record.write(f"store: turns {name} away")
        reassign(fleet, record)
        await asyncio.sleep(TAKEOVER_S)
    step = {"Count": TASKS, "Cpu": 1000, "MemMb": 500, "EstimateMs": 20000}
    body = msgspec.json.encode({"Spec": "one step", "Phases": [step]})
    if not await fleet.submit(find_owner(fleet), JOB, body):
        return script.Outcome.NOT_RUN
    if script.has_trouble():
        while find_owner(fleet) != first:
            reassign(fleet, record)
        left_s = started_s + TURNED_AWAY_S - record.now_s()
        if left_s < 0:
            return script.Outcome.NOT_RUN
        await asyncio.sleep(left_s)
        fleet.store.rejected_hosts.clear()
        record.write(f"store: serves {name} again")
    await asyncio.sleep(CALM_S)
    unknown = 0
    for _ in range(ROUNDS):
        for host in range(HOSTS):
            unknown += (await fleet.call(host, "GET", JOB)).status == 410
        await asyncio.sleep(ROUND_PAUSE_S)
    record.write(f"answered 410: {unknown} of {ROUNDS * HOSTS}")
    return script.Outcome.BROKEN if unknown else script.Outcome.HELD


if __name__ == "__main__":
    sys.exit(
        script.run(pathlib.Path(__file__).resolve().parent, make_workers, play)
    )
