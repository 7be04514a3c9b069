"""Waves of rollouts: which hosts to drain next, and when to stop.

The reason of a drain names the rollout and its change, so the folded
configuration alone shows which hosts of a pool are done and which rollouts have
failed hosts.
"""

from collections import abc
import typing

from returns import pipeline

from chervillead.fleet import budgets
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import fold_hosts

_DrainState = configuration_module.DrainState


class Candidate(typing.NamedTuple):
    """A host that a rollout has yet to maintain; sorts by zone and rack."""

    zone: str
    rack: str
    running: int
    name: str


def rollout_reason(subject: str, change: str) -> str:
    """Returns the reason that the drains of a rollout carry."""
    return f"rollout {subject}: {change}"


def active_rollouts(
    configuration: configuration_module.Configuration,
) -> dict[str, configuration_module.Rollout]:
    """Returns the active rollouts by the reason of their drains.

    A rollout is active until it is stopped or one of its hosts fails.
    """
    return {
        rollout_reason(subject, rollout.change): rollout
        for subject, rollout in sorted(configuration.rollouts.items())
        if not rollout.stopped and not _has_failed(configuration, subject)
    }


def rollouts_to_stop(
    configuration: configuration_module.Configuration,
) -> list[str]:
    """Returns the rollouts with failed hosts that aren't stopped yet."""
    return [
        subject
        for subject, rollout in sorted(configuration.rollouts.items())
        if not rollout.stopped and _has_failed(configuration, subject)
    ]


def choose_wave(
    configuration: configuration_module.Configuration,
    reason: str,
    *,
    running: abc.Mapping[str, int],
    soaking: abc.Container[str] = (),
    down: abc.Collection[str] = (),
) -> list[str]:
    """Returns the hosts of the next wave, as wide as the budget allows.

    Args:
        configuration: The current fleet configuration.
        reason: A key of `active_rollouts`.
        running: Number of running tasks by host, as the upstreams report them;
            a host without an entry did not answer and is left for a later wave.
        soaking: Hosts that returned a short time ago. The next wave waits for
            them, since they may still fail.
        down: Hosts that the host list shows as down. They count as failed even
            if the log has no record of that yet.

    Returns:
        Hosts to drain; empty while the last wave is in progress.
    """
    candidates = []
    for name in pending_hosts(configuration, reason, soaking=soaking):
        host = configuration.hosts[name]
        if name in running and name not in down:
            candidates.append(
                Candidate(host.zone, host.rack, running[name], name)
            )
    pool = active_rollouts(configuration)[reason].pool
    for name in sorted(down):
        if name in configuration.hosts and (
            configuration.hosts[name].pool == pool
        ):
            configuration = _with_drain(
                configuration, name, _DrainState.FAILED, ""
            )
    return _acceptable_drains(
        configuration, reason, order_candidates(candidates)
    )


def pending_hosts(
    configuration: configuration_module.Configuration,
    reason: str,
    *,
    soaking: abc.Container[str] = (),
) -> list[str]:
    """Returns the hosts left to maintain; none while a wave is in progress.

    Args:
        configuration: The current fleet configuration.
        reason: Reason of the rollout's drains.
        soaking: Hosts that returned a short time ago; a wave with such a host
            is still in progress.
    """
    rollout = active_rollouts(configuration).get(reason)
    if rollout is None or _is_wave_in_progress(
        configuration, rollout.pool, reason
    ):
        return []
    pending = []
    for name, host in configuration.hosts.items():
        if host.pool != rollout.pool:
            continue
        drain = configuration.drains.get(name)
        if drain is not None and drain.reason == reason:
            if drain.state is not _DrainState.RETURNED or name in soaking:
                return []
        elif not budgets.is_in_maintenance(configuration, name):
            pending.append(name)
    return pending


def _is_wave_in_progress(
    configuration: configuration_module.Configuration, pool: str, reason: str
) -> bool:
    """Returns whether a host of `pool` is in maintenance for `reason`.

    Uses the pool's index of unavailable hosts: a scan of all hosts would run
    twice a second for each rollout.
    """
    use = configuration.pool_use.get(pool)
    drains = configuration.drains
    return use is not None and any(
        name in drains
        and drains[name].reason == reason
        and drains[name].state is not _DrainState.RETURNED
        for name in use.unavailable
    )


def returned_hosts(
    configuration: configuration_module.Configuration,
) -> list[str]:
    """Returns the hosts that active rollouts have maintained."""
    reasons = active_rollouts(configuration)
    return [
        name
        for name, drain in configuration.drains.items()
        if drain.state is _DrainState.RETURNED and drain.reason in reasons
    ]


def order_candidates(
    candidates: abc.Iterable[Candidate],
) -> list[Candidate]:
    """Returns the hosts in the order in which drains are tried.

    Hosts of one rack are adjacent, since the first host of a rack uses up the
    rack budget for all of them. Racks with the most hosts left come first, so
    that all racks finish at about the same time and the last waves aren't
    limited to a single rack. Among equals, fewer running tasks come first.
    """
    racks: dict[tuple[str, str], list[Candidate]] = {}
    for candidate in candidates:
        rack = (candidate.zone, candidate.rack)
        racks.setdefault(rack, []).append(candidate)

    def rank(rack: tuple[str, str]) -> tuple[int, int, tuple[str, str]]:
        hosts = racks[rack]
        return -len(hosts), sum(host.running for host in hosts), rack

    return [
        host
        for rack in sorted(racks, key=rank)
        for host in sorted(racks[rack], key=lambda h: (h.running, h.name))
    ]


def _acceptable_drains(
    configuration: configuration_module.Configuration,
    reason: str,
    candidates: abc.Iterable[Candidate],
) -> list[str]:
    """Returns the candidates whose drains the fold would accept in order."""
    granted = []
    for candidate in candidates:
        after = _with_drain(
            configuration, candidate.name, _DrainState.GRANTED, reason
        )
        if after is not configuration:
            granted.append(candidate.name)
            configuration = after
    return granted


def _with_drain(
    configuration: configuration_module.Configuration,
    name: str,
    state: configuration_module.DrainState,
    reason: str,
) -> configuration_module.Configuration:
    """Returns the configuration after a drain; unchanged if it is refused."""
    applied = fold_hosts.apply_drain(
        configuration, name, configuration_module.Drain(state, reason)
    )
    return (
        applied.unwrap() if pipeline.is_successful(applied) else (configuration)
    )


def _has_failed(
    configuration: configuration_module.Configuration, subject: str
) -> bool:
    """Returns whether a host is recorded as failed by the rollout."""
    rollout = configuration.rollouts[subject]
    reason = rollout_reason(subject, rollout.change)
    use = configuration.pool_use.get(rollout.pool)
    drains = configuration.drains
    return use is not None and any(
        name in drains
        and drains[name].state is _DrainState.FAILED
        and drains[name].reason == reason
        for name in use.unavailable
    )
