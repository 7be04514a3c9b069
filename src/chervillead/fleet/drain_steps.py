"""The next step of one host's drain, from the state and what was observed."""

import enum
import typing

from chervillead.fleet import budgets
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import host_watch
from chervillead.fleet import log_client
from chervillead.fleet import rollouts

_State = configuration_module.DrainState

# An upstream reports its usage 2 s late, and a grant may be used up to 1 s
# after every entry host knows of the drain; the rest is for the poll interval.
QUIET_S = 4.0
# Most tasks end by themselves well before; longer ones are checkpointed.
FINISH_S = 120.0
# A list that lags by some seconds may still show a reboot that is over.
DEAD_S = 5.0
WELL_S = 5.0
# A reboot takes minutes at most; a host that needs longer is lost.
RETURN_WITHIN_S = 600.0
# Longer than a call to the platform can be on its way (2 s), so that no reboot
# arrives after the host was given back.
HOLD_S = 30.0
# A failure this soon after the return is put down to the roll-out. It also
# delays each wave, so it stays small beside the reboot itself.
SOAK_S = 30.0

DEAD = "dead"
NOT_REBOOTED = "not rebooted"


class Action(enum.Enum):
    """What to do with a host."""

    WAIT = "wait"
    RECORD = "record"
    CHECKPOINT = "checkpoint"
    HOLD = "hold"
    REBOOT = "reboot"


class Step(typing.NamedTuple):
    """An action, with the drain to propose if it is RECORD."""

    action: Action
    drain: configuration_module.Drain | None = None


_WAIT = Step(Action.WAIT)


def next_step(
    configuration: configuration_module.Configuration,
    name: str,
    signs: host_watch.HostSigns,
) -> Step:
    """Returns the next step of a host at rest or in a drain."""
    drain = configuration.drains.get(name)
    state = _State.RETURNED if drain is None else drain.state
    reason = "" if drain is None else drain.reason
    match state:
        case _State.GRANTED:
            return _step_of_granted(configuration, name, reason, signs)
        case _State.DRAINED:
            return _step_of_drained(configuration, name, reason, signs)
        case _State.FAILED if signs.well_s >= WELL_S:
            return _record(_State.RETURNED, reason)
        case _State.RETURNED if signs.dead_s >= DEAD_S and not (
            budgets.is_moving(configuration, name)
        ):
            is_recent = signs.returned_s < SOAK_S + DEAD_S
            return _record(_State.FAILED, reason if is_recent else DEAD)
    return _WAIT


def may_reboot(
    configuration: configuration_module.Configuration, name: str
) -> bool:
    """Returns whether a drained host may reboot now.

    Zones taken out and failures since the grant count: the pool may have lost
    what the budget allows already.
    """
    return not _is_over_budget(configuration, name) and _is_wanted(
        configuration, configuration.drains[name].reason
    )


def _step_of_granted(
    configuration: configuration_module.Configuration,
    name: str,
    reason: str,
    signs: host_watch.HostSigns,
) -> Step:
    if signs.dead_s >= DEAD_S:
        return _record(_State.FAILED, DEAD)
    if _is_over_budget(configuration, name) or not _is_wanted(
        configuration, reason
    ):
        return _record(_State.RETURNED, NOT_REBOOTED)
    if signs.idle_s >= QUIET_S:
        return _record(_State.DRAINED, reason)
    if signs.in_state_s >= FINISH_S:
        return Step(Action.CHECKPOINT)
    return _WAIT


def _step_of_drained(
    configuration: configuration_module.Configuration,
    name: str,
    reason: str,
    signs: host_watch.HostSigns,
) -> Step:
    if signs.reboot_asked_s is not None:
        if signs.reboot is log_client.RebootState.DONE and signs.well_s > 0:
            return _record(_State.RETURNED, reason)
        if signs.reboot_asked_s >= RETURN_WITHIN_S:
            return _record(_State.FAILED, reason)
        # The platform acts once for each id, so asking again only tells how
        # far the reboot is.
        return Step(Action.REBOOT)
    if signs.dead_s >= DEAD_S:
        return _record(_State.FAILED, DEAD)
    if not may_reboot(configuration, name):
        if signs.held_s >= HOLD_S and signs.well_s >= WELL_S:
            return _record(_State.RETURNED, NOT_REBOOTED)
        return Step(Action.HOLD)
    return Step(Action.REBOOT) if signs.idle_s > 0 else _WAIT


def _is_wanted(
    configuration: configuration_module.Configuration, reason: str
) -> bool:
    """Returns whether a drain goes on: by hand, or of an open roll-out."""
    return not reason.startswith("rollout ") or (
        reason in rollouts.open_reasons(configuration)
    )


def _is_over_budget(
    configuration: configuration_module.Configuration, name: str
) -> bool:
    pool = configuration.hosts[name].pool
    load = budgets.pool_load(configuration, pool)
    return load.hosts > configuration.pools[pool].max_unavailable


def _record(state: configuration_module.DrainState, reason: str) -> Step:
    return Step(Action.RECORD, configuration_module.Drain(state, reason))
