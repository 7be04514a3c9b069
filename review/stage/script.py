"""Runs the play of a case and maps its outcome to an exit status."""

import asyncio
from collections import abc
import enum
import os
import pathlib
import tempfile

from stage import deployment
from stage import record as record_module
from stage import workers


class Outcome(enum.IntEnum):
    """Exit status of a script."""

    HELD = 0
    BROKEN = 1
    NOT_RUN = 2


Play = abc.Callable[
    [deployment.Deployment, record_module.Record], abc.Awaitable[Outcome]
]
MakeWorkers = abc.Callable[
    [record_module.Record], dict[str, list[workers.Worker]]
]


def has_trouble() -> bool:
    """Returns whether the disruption is played."""
    return os.environ.get("TROUBLE") != "0"


def run(folder: pathlib.Path, make_workers: MakeWorkers, play: Play) -> int:
    """Plays a case and returns its exit status.

    Args:
        folder: Folder of the case, in which the record is written.
        make_workers: Makes the workers, by pool.
        play: Plays the case on a deployment that isn't started yet.
    """
    record = record_module.Record(folder / "record.txt")

    async def main() -> Outcome:
        with tempfile.TemporaryDirectory() as scratch:
            fleet = deployment.Deployment(
                pathlib.Path(scratch), record, make_workers(record)
            )
            try:
                return await play(fleet, record)
            finally:
                await fleet.stop()

    try:
        outcome = asyncio.run(main())
    except Exception as error:
        # Whatever went wrong in the script says nothing about the rule.
        record.write(f"could not run: {error!r}")
        outcome = Outcome.NOT_RUN
    record.write(f"exit status {outcome.value}")
    return outcome.value
