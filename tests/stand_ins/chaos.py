"""Kills, stops and continues entry hosts of a fleet left up, under load.

`python -m stand_ins.chaos --seconds N` uses the fleet that `make run KEEP=1`
left up. It prints the violations of each invariant and exits with 1 if there
are any. `--seed N` repeats the choice of faults, not their effects.
"""

import argparse
import asyncio
import collections
from collections import abc
import os
import random
import signal
import sys
import time

import psutil

from chervillead import http_exchange
from stand_ins import fleet_state
from stand_ins import free_ports
from stand_ins import invariants
from stand_ins import local_fleet
from stand_ins import process_load

CALLERS_PER_HOST = 3
TRY_TIMEOUT_S = 5.0
EXIT_TIMEOUT_S = 60.0
# Ids of a request end in the record of its last submission; a restarted host
# needs this long until its zone grants again.
SETTLE_S = 6.0
# More hosts at a time would leave zones with no host most of the time.
MOST_FAULTS = 2


class ChaosRun:
    """A fleet under load and faults.

    Attributes:
        fleet: Its plan, and the processes that this run started.
        load: The callers.
        faults: Faults so far, by kind.
    """

    def __init__(self, seed: int) -> None:
        plan, self._pids = local_fleet.load_kept_fleet(local_fleet.FOLDER)
        ports = free_ports.ReservedPorts(plan.base_port, [])
        self.fleet = local_fleet.Fleet(plan, {}, local_fleet.FOLDER, ports)
        self.load = process_load.ProcessLoad(
            plan,
            try_timeout_s=TRY_TIMEOUT_S,
            # The kept fleet's delay for the balancer is only 0.3 s.
            lag_requests=1,
            move_chance=0.05,
        )
        self.faults: collections.Counter[str] = collections.Counter()
        self.random = random.Random(seed)

    def process(self, name: str) -> psutil.Process:
        """Returns the process of an entry host.

        Raises:
            RuntimeError: Its process id belongs to another process by now.
        """
        process = psutil.Process(self._pids[name])
        if not any(f"{name}.yaml" in part for part in process.cmdline()):
            raise RuntimeError(f"pid {process.pid} isn't {name} any more")
        return process

    def restart(self, index: int) -> None:
        """Starts an entry host again and notes its process id."""
        name = self.fleet.plan.entry_name(index)
        local_fleet.start_entry_host(self.fleet, index)
        self._pids[name] = self.fleet.processes[name].pid
        local_fleet.write_kept_fleet(self.fleet.plan, self._pids)


Fault = abc.Callable[[ChaosRun, int], abc.Awaitable[None]]


async def kill(run: ChaosRun, index: int) -> None:
    """Kills an entry host and starts it again after some seconds."""
    name = run.fleet.plan.entry_name(index)
    process = run.process(name)
    process.send_signal(signal.SIGKILL)
    await _wait_for_exit(process)
    await asyncio.sleep(run.random.uniform(0.2, 6.0))
    run.restart(index)


async def stop(run: ChaosRun, index: int) -> None:
    """Stops an entry host as planned and starts it again."""
    name = run.fleet.plan.entry_name(index)
    process = run.process(name)
    started_s = time.monotonic()
    process.send_signal(signal.SIGTERM)
    await fleet_state.wait_until_not_ready(run.fleet.plan, index)
    run.load.unavailable.add(name)
    await _wait_for_exit(process)
    run.load.planned_stops.append(
        invariants.Interval(name, started_s, time.monotonic())
    )
    run.restart(index)


async def pause(run: ChaosRun, index: int) -> None:
    """Stops a process without notice and continues it."""
    process = run.process(run.fleet.plan.entry_name(index))
    process.send_signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(run.random.uniform(0.2, 6.0))
    finally:
        process.send_signal(signal.SIGCONT)


FAULTS: tuple[Fault, ...] = (kill, stop, pause)


async def _wait_for_exit(process: psutil.Process) -> None:
    """Returns once a process has ended; it may stay a zombie."""
    async with asyncio.timeout(EXIT_TIMEOUT_S):
        while process.is_running():
            if process.status() == psutil.STATUS_ZOMBIE:
                return
            await asyncio.sleep(0.02)


async def _inject(run: ChaosRun, index: int) -> None:
    """Applies one fault, and returns once the host is ready again."""
    fault = run.random.choice(FAULTS)
    run.faults[fault.__name__] += 1
    name = run.fleet.plan.entry_name(index)
    print(f"{time.monotonic():10.3f} {fault.__name__} {name}", flush=True)
    await fault(run, index)
    await _wait_until_ready(run, index)
    run.load.unavailable.discard(name)
    await asyncio.sleep(run.random.uniform(0.5, 3.0))


async def _wait_until_ready(run: ChaosRun, index: int) -> None:
    request = http_exchange.HttpRequest("GET", "/readyz")
    address = run.fleet.plan.callers_address(index)
    async with asyncio.timeout(EXIT_TIMEOUT_S):
        while True:
            try:
                response = await http_exchange.call_once(
                    http_exchange.dial, address, request
                )
                if response.status == 200:
                    return
            except fleet_state.BROKEN:
                pass
            await asyncio.sleep(0.1)


async def run_chaos(run: ChaosRun, time_s: float) -> invariants.Evidence:
    """Runs load and faults for `time_s` seconds."""
    run.load.start(CALLERS_PER_HOST)
    end_s = time.monotonic() + time_s
    hosts = list(range(run.fleet.plan.entry_hosts))
    run.random.shuffle(hosts)

    async def inject_until_end(own: list[int]) -> None:
        while time.monotonic() < end_s:
            await _inject(run, run.random.choice(own))

    async with asyncio.TaskGroup() as tasks:
        for number in range(MOST_FAULTS):
            own = hosts[number::MOST_FAULTS]
            tasks.create_task(inject_until_end(own))
    await asyncio.sleep(SETTLE_S)
    await run.load.finish()
    return await run.load.evidence()


def report(run: ChaosRun, evidence: invariants.Evidence) -> int:
    """Prints what was seen; returns the number of violations."""
    outcomes = collections.Counter(
        "answered" if s.refusal is None else s.refusal.reason
        for s in evidence.submissions
    )
    print(f"faults {dict(run.faults)}")
    print(f"submissions by outcome {dict(outcomes)}")
    broken = set(run.load.broken)
    told = fleet_state.outcome_counts(evidence, broken)
    print(f"{len(broken)} requests lost a host, (outcome, runs) {dict(told)}")
    found = invariants.violations(evidence)
    for name in invariants.CHECKS:
        lines = found.get(name, [])
        print(f"{name:16} {len(lines)} violations")
        for line in lines[:10]:
            print(f"    {line}")
    return sum(len(lines) for lines in found.values())


def main(arguments: list[str]) -> int:
    """Runs the check and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=time.time_ns() % 10**6)
    options = parser.parse_args(arguments)
    print(f"seed {options.seed}")
    run = ChaosRun(options.seed)
    evidence = asyncio.run(run_chaos(run, options.seconds))
    broken = report(run, evidence)
    sys.stdout.flush()
    # The restarted hosts stay up; an ordinary exit would warn of each.
    os._exit(1 if broken else 0)


if __name__ == "__main__":
    main(sys.argv[1:])
