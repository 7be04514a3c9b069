"""Prometheus counters and latency histograms of a process."""

from collections import abc

import prometheus_client

BUCKETS_S = (
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 1.5, 2, 3, 5, 8, 13, 20, 40,
)  # fmt: skip

_COUNTERS: dict[str, tuple[str, tuple[str, ...]]] = {
    "chervillead_calls": ("Calls of callers.", ("method", "status")),
    "chervillead_requests_refused": (
        "Requests and connections refused by the limits on them.",
        ("reason",),
    ),
    "chervillead_store_calls": ("Calls to the store.", ("path", "status")),
    "chervillead_refused_records": (
        "Records that the store never accepts.",
        ("kind",),
    ),
    "chervillead_worker_calls": ("Calls to workers.", ("path", "status")),
    "chervillead_worker_call_errors": (
        "Calls to workers that raised an error.",
        ("call",),
    ),
    "chervillead_machine_calls": ("Calls for hosts.", ("path", "status")),
    "chervillead_starts": ("Orders to start a run.", ("outcome",)),
    "chervillead_suspect_starts": (
        "Starts of tasks that may crash workers, by how they use a worker.",
        ("how",),
    ),
    "chervillead_runs_ended": ("Runs that ended.", ("kind",)),
    "chervillead_run_time_samples": (
        "Completed runs, by whether their run time was used, or why not.",
        ("use",),
    ),
    "chervillead_run_moves": ("Runs stopped to go on elsewhere.", ("why",)),
    "chervillead_jobs_ended": ("Jobs that ended.", ("phase",)),
    "chervillead_interference": (
        "Tasks placed apart, paced or moved because they interfere.",
        ("action",),
    ),
    "chervillead_overloads": ("Times a pool became overloaded.", ("pool",)),
    "chervillead_overload_refusals": (
        "Submissions refused for load.",
        ("reason",),
    ),
    "chervillead_memory_refusals": (
        "Submissions refused because accepted jobs hold too much memory.",
        ("reason",),
    ),
    "chervillead_hosts_requested": ("Hosts sent to pools.", ("reason",)),
    "chervillead_operator_syncs": (
        "Fetches of operator records from peers.",
        ("outcome",),
    ),
}
_HISTOGRAMS = {
    "call_seconds": "Time to answer a caller.",
    "job_seconds": "Time from a job's acceptance to its end.",
    "loop_lag_seconds": "Delay of the event loop behind its timers.",
}


class MetricsPage:
    """Metrics of one process, in a registry of its own."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._counters = {
            name: prometheus_client.Counter(
                name, text, labels, registry=self._registry
            )
            for name, (text, labels) in _COUNTERS.items()
        }
        self._histograms = {
            name: prometheus_client.Histogram(
                f"chervillead_{name}",
                text,
                buckets=BUCKETS_S,
                registry=self._registry,
            )
            for name, text in _HISTOGRAMS.items()
        }

    def increment(self, name: str, *labels: str) -> None:
        """Increments a counter by one, by name and label values."""
        self._counters[name].labels(*labels).inc()

    def observe(self, name: str, seconds: float) -> None:
        """Records a duration in a histogram, by its name without the prefix."""
        self._histograms[name].observe(seconds)

    def gauge(
        self, name: str, text: str, value: abc.Callable[[], float]
    ) -> None:
        """Registers a gauge whose value is read when the page is rendered."""
        prometheus_client.Gauge(
            name, text, registry=self._registry
        ).set_function(value)

    def render(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)
