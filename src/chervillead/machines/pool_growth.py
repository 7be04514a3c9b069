"""Log lines and counters of hosts that were sent to a pool."""

from chervillead.entries import host_messages
from chervillead.jobs import autoscaling
from chervillead.pools import owner_state


def record(
    state: owner_state.OwnerState,
    load: autoscaling.PoolLoad,
    report: host_messages.ReportLoad,
    arriving: int,
) -> None:
    """Logs and counts hosts that were sent to a pool upon a report."""
    for_rate = autoscaling.hosts_for_rate(load) - report.hosts
    for number in range(arriving):
        state.ports.increment(
            "chervillead_hosts_requested",
            "rate" if number < for_rate else "backlog",
        )
    fields: dict[str, object] = {}
    if load.offered is not None:
        rates, backlog = load.offered.rates, load.offered.backlog
        fields = {
            "jobs_per_s": round(rates.jobs, 1),
            "rate_millicores": rates.used.millicores,
            "on_time_core_s": backlog.on_time.millicores // 1_000_000,
            "late_core_s": backlog.late.millicores // 1_000_000,
            "drain_s": round(backlog.drain_s, 2),
        }
    state.log(
        "pool:growing",
        pool=report.pool,
        hosts=load.hosts,
        needed=report.needed,
        urgent=report.urgent,
        arriving=arriving,
        used_millicores=load.used.millicores,
        pending_millicores=load.pending.millicores,
        **fields,
    )
