"""An entry of another writer stands among the runners: does the pool go on?

Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case
couldn't run.
"""

import asyncio
import itertools
import os
import pathlib
import sys
import time
import typing

from harness_3 import deployment
from harness_3 import record
from harness_3 import runner
import msgspec

from chervillead.pools import pool_partitions
from stand_ins import http_server
from stand_ins import platform_store

FOLDER = pathlib.Path(__file__).resolve().parent
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
JOBS = [f"aaaaaaaaaaaaaa{number:02x}" for number in range(4)]
STEP_S = 0.5
# Steps that run one after the other, for half a minute in all.
STEPS: list[dict[str, typing.Any]] = [
    {"Count": 1, "Cpu": 1000, "EstimateMs": 500}
    | ({"After": [number - 1]} if number else {})
    for number in range(60)
]
# An id of another writer, and the name of its service, which no config names.
ENTRY_ID = "máy-in-hoá-đơn-1"
# Bounds of the rule.
FINISH_S = 14.0
IDLE_S = 3.0
WATCH_S = 10.0


def foreign_service() -> str:
    """Returns a service that isn't named in the config.

    Partitions are shared by the hash of the name, so another service has the
    partition of the pool with a chance of one in 24.
    """
    parts = platform_store.PARTITIONS
    wanted = pool_partitions.partition_of(deployment.POOL, parts)
    names = (f"in-hoa-don-{number}" for number in itertools.count())
    return next(
        name
        for name in names
        if pool_partitions.partition_of(name, parts) == wanted
    )


async def play(log: record.Record) -> int:
    """Plays the case and returns the exit status."""
    fleet = deployment.Deployment(log, lambda task: runner.Work(STEP_S))
    other = await http_server.serve(_answer, "127.0.0.1", 0)
    try:
        await fleet.start()
        for job_id in JOBS:
            if await fleet.submit(job_id, STEPS) != 200:
                return 2
        port = other.sockets[0].getsockname()[1]
        entry = foreign_entry(f"127.0.0.1:{port}")
        if IS_TROUBLED:
            fleet.store.put_entry("keyed.servers", ENTRY_ID, entry)
            log.write("entry", id=ENTRY_ID, value=entry.decode())
        await asyncio.sleep(FINISH_S)
        idle = await idle_submissions(fleet, log)
        for job_id in JOBS:
            await fleet.state(job_id, host=1)
        log.write("judged", idle=sorted(idle))
        return 1 if idle else 0
    finally:
        other.close()
        await fleet.stop()


def foreign_entry(address: str) -> bytes:
    """Returns the entry, which has all fields of a runner's."""
    return msgspec.json.encode(
        {
            "Service": foreign_service(),
            "Address": address,
            "Zone": "scot-central-a",
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Capacity": {"Cpu": 1000, "MemMb": 1024, "Gpu": 0},
            "Labels": ["a", "r1-0"],
            "Seq": 1,
            "born": int(1000 * time.time()),
        }
    )


async def _answer(
    request: http_server.ReceivedRequest, writer: asyncio.StreamWriter
) -> http_server.Reply:
    """Answers what another service answers to calls that it doesn't know."""
    return http_server.Reply(404)


async def idle_submissions(
    fleet: deployment.Deployment, log: record.Record
) -> set[str]:
    """Returns the submissions that had nothing running for the bound.

    Each of them has a step that is due at any time, and the runners have room
    for 512 tasks.
    """
    began_s = time.monotonic()
    last_s = dict.fromkeys(JOBS, began_s)
    idle: set[str] = set()
    while time.monotonic() < began_s + WATCH_S:
        now_s = time.monotonic()
        for found in fleet.runners:
            last_s.update((key[0][:16], now_s) for key in found.running)
        idle |= {j for j in JOBS if now_s - last_s[j] > IDLE_S}
        log.write(
            "running",
            by_runner=[len(found.running) for found in fleet.runners],
            steps_begun=sum(len(found.begun) for found in fleet.runners),
            idle=len(idle),
        )
        await asyncio.sleep(0.1)
    return idle


def main() -> int:
    """Runs the case and returns the exit status."""
    log = record.Record(FOLDER)
    try:
        return asyncio.run(play(log))
    except Exception as error:
        log.write("the case could not run", error=repr(error))
        return 2
    finally:
        log.close()


if __name__ == "__main__":
    sys.exit(main())
