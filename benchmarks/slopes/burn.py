"""Slopes of the burn counts of one entry host, by pairs of queue and team."""

from collections import abc
import random
import time
import uuid

from benchmarks.slopes import line
from chervillead import types
from chervillead.entries import leadership
from chervillead.fleet import log_reader
from chervillead.fleet import records
from chervillead.operators import burn_records

# Every team on every queue; two queues a team would be 148 pairs.
PAIRS = line.POOLS * line.TEAMS
SIZES = (74, 148, 444)
REQUESTS_A_PAIR = 20
PERIOD_S = 300
ENTRY_HOSTS = 198


def _filled_counter(pairs: int) -> burn_records.RequestCounter:
    """Returns the counts of a period in which all pairs had requests."""
    chooser = random.Random(pairs)
    counter = burn_records.RequestCounter(
        host="entry-zone-0-1",
        zone="zone-0",
        period_s=PERIOD_S,
        clock=types.Clock(time.monotonic, time.time),
    )
    for pair in range(pairs):
        for _ in range(REQUESTS_A_PAIR):
            counter.record(
                f"queue-{pair % line.POOLS}",
                f"team-{pair // line.POOLS}",
                run_s=chooser.lognormvariate(0, 1),
                in_time=True,
                failed=False,
            )
    return counter


def _record_kb(pairs: int) -> float:
    reader = log_reader.LogReader(types.Clock(time.monotonic, time.time))
    record = burn_records.propose_record(
        _filled_counter(pairs).end_period(), reader
    )
    record = record._replace(record_id=str(uuid.UUID(int=7)))
    return len(records.encode_record(record)) / 1e3


def _end_period_ms(pairs: int) -> float:
    counter = _filled_counter(pairs)
    start_s = time.process_time()
    counter.end_period()
    return (time.process_time() - start_s) * 1000


def measure_burn() -> abc.Iterator[line.Slope]:
    """Yields memory, record size and the time to end a period.

    A period ends within one turn of the event loop.
    """
    for name, unit, figure, target in (
        (
            "memory of the counts",
            "MB",
            lambda pairs: line.memory_mb(lambda: _filled_counter(pairs)),
            line.MAX_MEMORY_MB,
        ),
        ("record", "KB", _record_kb, None),
        (
            "time of a cut",
            "ms",
            _end_period_ms,
            leadership.PAUSE_THRESHOLD_S * 1000,
        ),
    ):
        yield line.Slope(
            f"burn: {name}",
            "pairs",
            unit,
            line.measure_points(SIZES, figure),
            PAIRS,
            target,
        )
    per_s = ENTRY_HOSTS / PERIOD_S
    yield line.Slope(
        "burn: read by each entry host, 198 hosts append",
        "pairs",
        "KB/s",
        line.measure_points(SIZES, lambda pairs: _record_kb(pairs) * per_s),
        148,
        line.MAX_KB_PER_S,
    )
