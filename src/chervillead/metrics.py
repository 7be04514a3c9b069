"""Metrics sent to statsd; without an address they are discarded."""

from collections import abc
import re
import typing

import statsd

from chervillead import types


class Metrics(typing.NamedTuple):
    """Functions that update metrics.

    Attributes:
        increment: Adds to a counter.
        time_ms: Records a duration in milliseconds.
        gauge: Sets a gauge.
    """

    increment: abc.Callable[[str, int], None]
    time_ms: abc.Callable[[str, float], None]
    gauge: abc.Callable[[str, float], None]


def connect_metrics(address: types.Address | None) -> Metrics:
    """Returns metrics that go to the statsd server at `address` over UDP."""
    if address is None:
        return Metrics(_drop, _drop, _drop)
    client = statsd.StatsClient(
        address.host, address.port, prefix="chervillead"
    )
    return Metrics(client.incr, client.timing, client.gauge)


def metric_name(*parts: str) -> str:
    """Joins parts with dots; replaces characters that statsd reserves."""
    return ".".join(re.sub(r"[.:|@/\s]", "_", part) for part in parts)


def _drop(name: str, value: float) -> None:
    """Discards a metric."""
