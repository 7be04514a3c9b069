"""Runs behave features on several processes and prints one summary.

Each feature file runs in a process of its own, so scenarios can't share state,
and the time of a whole run is that of its longest features.

Example:
    python -m stand_ins.run_features tests/callers tests/client.feature
"""

import asyncio
from collections import abc
import os
import pathlib
import re
import sys
import time
import typing

# Features that start real processes need processors of their own.
PROCESSES = max(1, min(6, (os.cpu_count() or 2) - 2))
# Features that take longest start first, so none is left alone at the end.
LONGEST_FIRST = (
    "invariants.feature",
    "fleet/maintenance.feature",
    "entries/escrow.feature",
    "fleet/host_borrowing.feature",
    "pools/random_faults.feature",
    "pools/shared_quotas.feature",
    "pools/queue_assignments.feature",
    "entries/seats.feature",
    "fleet/pool_moves.feature",
    "callers/application.feature",
    "fleet_processes.feature",
    "callers/signals.feature",
    "operators/pages.feature",
    "examples.feature",
)
# Features that measure the memory of a process under load. They run after all
# others, one at a time.
RUN_ALONE = (
    "platform/hostile_jobs.feature",
    "platform/request_limits.feature",
)
# Begins the lines that tests/environment.py prints of failed steps.
FAILED_STEP = "failed step: "
_COUNTS = re.compile(r"^(\d+) scenarios? passed(.*)$", re.MULTILINE)
_NOT_PASSED = re.compile(r"(\d+) (?:failed|error)")


class FeatureResult(typing.NamedTuple):
    """Outcome of one feature file."""

    path: pathlib.Path
    passed: int
    failed: int
    duration_s: float
    output: str


def find_features(arguments: list[str]) -> list[pathlib.Path]:
    """Returns the feature files in files and folders, longest first."""
    found = {
        path
        for argument in arguments
        for path in (
            pathlib.Path(argument).rglob("*.feature")
            if pathlib.Path(argument).is_dir()
            else [pathlib.Path(argument.partition(":")[0])]
        )
    }
    return sorted(found, key=lambda path: (_rank(path), str(path)))


def _rank(path: pathlib.Path) -> int:
    for rank, ending in enumerate(LONGEST_FIRST):
        if str(path).endswith(ending):
            return rank
    return len(LONGEST_FIRST)


def count_scenarios(output: str, status: int) -> tuple[int, int]:
    """Returns how many scenarios passed and failed, from behave's summary.

    A run that ends badly without a failed scenario counts as one failure.
    """
    match = _COUNTS.search(output)
    if match is None:
        return 0, 1
    failed = sum(int(n) for n in _NOT_PASSED.findall(match.group(2)))
    return int(match.group(1)), max(failed, 1 if status else 0)


def failed_steps(output: str) -> abc.Iterator[str]:
    """Yields the lines of a feature's output about failed steps."""
    return (
        line for line in output.splitlines() if line.startswith(FAILED_STEP)
    )


def _excluded_scenarios() -> tuple[str, ...]:
    """Returns the arguments that leave out scenarios of KNOWN-RED.txt.

    They carry the tag `known_red`, and run if CHERVILLEAD_KNOWN_RED is set.
    """
    if os.environ.get("CHERVILLEAD_KNOWN_RED"):
        return ()
    return ("--tags", "not @known_red")


async def run_feature(path: pathlib.Path) -> FeatureResult:
    """Runs one feature file with behave."""
    started_s = time.monotonic()
    process = await asyncio.create_subprocess_exec(
        str(pathlib.Path(sys.executable).with_name("behave")),
        "--no-capture",
        "--format",
        "progress",
        *_excluded_scenarios(),
        str(path),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    data, _ = await process.communicate()
    output = data.decode(errors="replace")
    passed, failed = count_scenarios(output, process.returncode or 0)
    duration_s = time.monotonic() - started_s
    return FeatureResult(path, passed, failed, duration_s, output)


async def run_all(paths: list[pathlib.Path]) -> int:
    """Runs the features, prints the results and returns the exit status."""
    free = asyncio.Semaphore(PROCESSES)

    async def run_one(path: pathlib.Path) -> FeatureResult:
        async with free:
            outcome = await run_feature(path)
        verdict = "passed" if not outcome.failed else "FAILED"
        print(
            f"{verdict} {path}: {outcome.passed} scenarios, "
            f"{outcome.duration_s:.1f} s",
            flush=True,
        )
        if outcome.failed:
            print(outcome.output, flush=True)
        return outcome

    alone = [path for path in paths if str(path).endswith(RUN_ALONE)]
    others = [path for path in paths if path not in alone]
    outcomes = list(await asyncio.gather(*map(run_one, others)))
    outcomes += [await run_one(path) for path in alone]
    passed = sum(outcome.passed for outcome in outcomes)
    failed = sum(outcome.failed for outcome in outcomes)
    for outcome in outcomes:
        for line in failed_steps(outcome.output):
            print(line)
    print(f"{passed} scenarios passed, {failed} failed, 0 skipped")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(run_all(find_features(sys.argv[1:] or ["tests"]))))
