"""Runs independent seeded runs on all cores.

Each run gets its own seed and a fresh virtual clock, so its result depends
neither on the number of workers nor on the worker that runs it.
"""

import atexit
from collections import abc
import concurrent.futures
import functools
import multiprocessing
import os
import typing

Found = typing.TypeVar("Found")
MAX_WORKERS = 8


@functools.cache
def _workers() -> concurrent.futures.ProcessPoolExecutor:
    """Returns the pool of this process; starting one for each use is slow."""
    pool = concurrent.futures.ProcessPoolExecutor(
        min(MAX_WORKERS, os.cpu_count() or 1),
        multiprocessing.get_context("spawn"),
    )
    atexit.register(pool.shutdown)
    return pool


def run_seeds(
    run: abc.Callable[[int], Found], seeds: abc.Iterable[int]
) -> dict[int, Found]:
    """Returns what `run` returns for each seed, in the order of the seeds.

    Args:
        run: Picklable function of a seed: one of a module, or a partial of it.
        seeds: Seeds to run.
    """
    seeds = list(seeds)
    return dict(zip(seeds, _workers().map(run, seeds), strict=True))
