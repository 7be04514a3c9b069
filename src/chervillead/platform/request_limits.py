"""Builds the limiter of an entry host on the platform."""

from collections import abc
import resource

from chervillead import metrics_page
from chervillead.callers import refusal_log
from chervillead.callers import request_limiter
from chervillead.jobs import held_jobs

BYTES_PER_MB = 1024 * 1024
# Memory of a process without its jobs and requests; docs/CAPACITY.md has what
# processes took on played days.
REST_BYTES = 64 * BYTES_PER_MB
# Requests take up to this many times the bytes that are counted for a moment.
PEAK_FACTOR = 3


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


def check_memory(
    memory_bytes: int,
    requests: request_limiter.Limits,
    jobs: held_jobs.Limits,
    log: abc.Callable[..., None],
) -> bool:
    """Returns whether the limits together fit into a machine; logs if not.

    Args:
        memory_bytes: Memory of the machine.
        requests: Limits on requests.
        jobs: Limits on accepted jobs.
        log: Writes a log line.
    """
    needed = REST_BYTES + jobs.host_bytes + PEAK_FACTOR * requests.memory_bytes
    if needed <= memory_bytes:
        return True
    log(
        "process:memory-short",
        machine_mb=memory_bytes // BYTES_PER_MB,
        needed_mb=-(-needed // BYTES_PER_MB),
        at_rest_mb=REST_BYTES // BYTES_PER_MB,
        jobs_mb=jobs.host_bytes // BYTES_PER_MB,
        requests_mb=requests.memory_bytes // BYTES_PER_MB,
        request_peak_factor=PEAK_FACTOR,
    )
    return False


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
