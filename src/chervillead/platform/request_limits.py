"""Builds the limiter of an entry host on the platform."""

from collections import abc
import resource

from chervillead import metrics_page
from chervillead.callers import refusal_log
from chervillead.callers import request_limiter


def create_limiter(
    limits: request_limiter.Limits,
    max_body_bytes: abc.Callable[[], int],
    metrics: metrics_page.MetricsPage,
    log: abc.Callable[..., None],
    monotonic: abc.Callable[[], float],
) -> request_limiter.RequestLimiter:
    """Returns a limiter that shows on the metrics page what it counts."""
    limiter = request_limiter.RequestLimiter(
        limits,
        max_body_bytes,
        refusal_log.RefusalLog(log, metrics.increment, monotonic).report,
    )
    metrics.gauge(
        "chervillead_request_bytes_held",
        "Bytes of requests that are received or handled.",
        lambda: limiter.held_bytes,
    )
    metrics.gauge(
        "chervillead_request_connections",
        "Open connections of clients and of other hosts.",
        lambda: limiter.connections,
    )
    return limiter


def within_descriptors(
    limits: request_limiter.Limits, log: abc.Callable[..., None]
) -> request_limiter.Limits:
    """Returns limits that leave descriptors for calls of this process.

    The limit of the process may be lower than that of the machine, which the
    settings state.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    allowed = max(1, soft // 2)
    if limits.connections <= allowed:
        return limits
    log("process:connections-lowered", asked=limits.connections, now=allowed)
    return limits._replace(connections=allowed)
