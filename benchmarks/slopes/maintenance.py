"""Slopes of the maintenance controller's look at all roll-outs each second."""

from collections import abc
import itertools

from benchmarks import fold as fold_benchmark
from benchmarks.slopes import line
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import host_list
from chervillead.fleet import maintenance
from chervillead.fleet import records
from chervillead.fleet import rollouts

SIZES = (1_000, 4_000, 16_000)


def _rolling_state(
    hosts: int, *, in_progress: bool
) -> configuration_module.Configuration:
    """Returns a fleet with a roll-out in each pool, and a wave if wanted."""
    state = fold_benchmark.fold_all(
        fold_benchmark.fleet_state(hosts),
        (
            records.Record(
                f"rollout-{n}",
                records.ROLLOUT,
                f"rollout-{n}",
                records.NO_VERSION,
                {"pool": f"pool-{n}", "change": "kernel"},
            )
            for n in range(line.POOLS)
        ),
    )
    if not in_progress:
        return state
    last = {host.pool: name for name, host in state.hosts.items()}
    return fold_benchmark.fold_all(
        state,
        (
            records.Record(
                f"drain-{reason}",
                records.DRAIN,
                last[rollout.pool],
                records.NO_VERSION,
                {"state": "granted", "reason": reason},
            )
            for reason, rollout in rollouts.active_rollouts(state).items()
        ),
    )


def _look(
    state: configuration_module.Configuration, listed: host_list.HostList
) -> list[str]:
    """Decides as the controller does each second, without its messages."""
    maintenance.hosts_to_check(state, listed)
    rollouts.rollouts_to_stop(state)
    waves = []
    for reason in rollouts.active_rollouts(state):
        names = rollouts.pending_hosts(state, reason)
        running = dict.fromkeys(names, 0)
        waves.append(rollouts.choose_wave(state, reason, running=running))
    return list(itertools.chain(*waves))


def measure_look() -> abc.Iterator[line.Slope]:
    """Yields the cost of a look during waves, and of one between them."""

    def look_s(hosts: int, *, in_progress: bool) -> float:
        state = _rolling_state(hosts, in_progress=in_progress)
        if bool(_look(state, host_list.HostList())) is in_progress:
            raise ValueError("a wave was chosen during another, or none was")
        return line.processor_s(lambda: _look(state, host_list.HostList()), 1)

    yield line.Slope(
        "maintenance: look each second, 36 waves in progress",
        "hosts",
        "% core",
        line.measure_points(
            SIZES, lambda hosts: look_s(hosts, in_progress=True) * 100
        ),
        line.HOSTS,
        line.MAX_CORE_PERCENT,
    )
    yield line.Slope(
        "maintenance: look that starts 36 waves",
        "hosts",
        "ms",
        line.measure_points(
            SIZES, lambda hosts: look_s(hosts, in_progress=False) * 1000
        ),
        line.HOSTS,
    )
