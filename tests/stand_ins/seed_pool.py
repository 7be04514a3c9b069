"""Executes independent seeded runs on several processor cores.

Each run has its own seed and a new virtual clock, so its result depends neither
on the number of processes nor on the one that executes it.
"""

import atexit
from collections import abc
import concurrent.futures
import functools
import multiprocessing
import os
import typing

ResultT = typing.TypeVar("ResultT")
MAX_WORKERS = 8


@functools.cache
def _executor() -> concurrent.futures.ProcessPoolExecutor:
    """Returns the shared pool, since starting one for each use is slow."""
    pool = concurrent.futures.ProcessPoolExecutor(
        min(MAX_WORKERS, os.cpu_count() or 1),
        multiprocessing.get_context("spawn"),
    )
    atexit.register(pool.shutdown)
    return pool


def run_seeds(
    run: abc.Callable[[int], ResultT], seeds: abc.Iterable[int]
) -> dict[int, ResultT]:
    """Returns the result of `run` for each seed, in the order of the seeds.

    Args:
        run: Picklable function of a seed: a module-level function, or a partial
            of one.
        seeds: Seeds to run.
    """
    seeds = list(seeds)
    return dict(zip(seeds, _executor().map(run, seeds), strict=True))
