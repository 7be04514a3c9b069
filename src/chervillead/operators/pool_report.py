"""Sizes and needs of pools over time, read from the logs of entry hosts.

For the question why jobs of a pool waited: whether the pool lacked hosts, and
which pools had them meanwhile.
"""

from collections import abc
import typing

import msgspec

ALLOCATION_EVENT = "hosts:allocated"


class PoolRow(typing.NamedTuple):
    """One pool at one time; numbers of hosts.

    Attributes:
        time_s: Unix time of the log line.
        host: Entry host that divided the hosts.
        pool: Name of the pool.
        hosts: Hosts that the pool had or that were moving to it.
        min_hosts: Hosts that it could not release.
        urgent: Hosts that work needed which could still meet its target.
        needed: Hosts that all its work needed.
        retained: Hosts that it had needed a short time before.
        size: Hosts that it should have.
        spare: Usable hosts of the spare pool.
    """

    time_s: float
    host: str
    pool: str
    hosts: int
    min_hosts: int
    urgent: int
    needed: int
    retained: int
    size: int
    spare: int


class _AllocationLine(typing.TypedDict):
    message_type: str
    timestamp: float
    host: str
    spare: int
    pools: dict[str, tuple[int, int, int, int, int, int]]


_decoder = msgspec.json.Decoder(_AllocationLine)


def read_rows(lines: abc.Iterable[str]) -> abc.Iterator[PoolRow]:
    """Yields a row for each pool and log line about the division of hosts.

    Args:
        lines: Lines of logs. Text before the JSON object is ignored, as are
            all other lines.
    """
    texts = (
        line[line.find("{") :] for line in lines if ALLOCATION_EVENT in line
    )
    for text in texts:
        try:
            line = _decoder.decode(text)
        except msgspec.DecodeError:
            continue
        if line["message_type"] != ALLOCATION_EVENT:
            continue
        for pool, numbers in sorted(line["pools"].items()):
            yield PoolRow(
                line["timestamp"], line["host"], pool, *numbers, line["spare"]
            )


def render(rows: abc.Iterable[PoolRow]) -> abc.Iterator[str]:
    """Yields the lines of a table, with times since its first row."""
    yield (
        f"{'second':>8} {'pool':<16}{'hosts':>6}{'min':>6}{'urgent':>8}"
        f"{'needed':>8}{'retained':>10}{'size':>6}{'lacks':>7}{'spare':>7}"
        "  host"
    )
    began_s: float | None = None
    for row in rows:
        began_s = row.time_s if began_s is None else began_s
        lacks = max(0, row.needed - row.hosts)
        yield (
            f"{row.time_s - began_s:8.1f} {row.pool:<16}{row.hosts:6}"
            f"{row.min_hosts:6}{row.urgent:8}{row.needed:8}{row.retained:10}"
            f"{row.size:6}{lacks:7}{row.spare:7}  {row.host}"
        )
