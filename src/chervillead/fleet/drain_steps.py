"""The next step of one host's drain, from the state and what was observed."""

import enum
import typing

from chervillead.fleet import budgets
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import host_monitor
from chervillead.fleet import log_client
from chervillead.fleet import rollouts

_State = configuration_module.DrainState

# An upstream reports its usage 2 s late, and a grant may be used up to 1 s
# after every entry host knows of the drain; the rest is for the poll interval.
IDLE_CONFIRMATION_S = 4.0
# Most tasks end by themselves well before; longer ones are checkpointed.
CHECKPOINT_AFTER_S = 120.0
# A list that lags by some seconds may still show a reboot that is over.
DEAD_AFTER_S = 5.0
HEALTHY_AFTER_S = 5.0
# A reboot takes minutes at most; a host that needs longer is lost.
REBOOT_TIMEOUT_S = 600.0
# Longer than a call to the platform can be on its way (2 s), so that no reboot
# arrives after the host was given back.
MIN_HOLD_S = 30.0
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
    conditions: host_monitor.HostConditions,
) -> Step:
    """Returns the next step of a host at rest or in a drain."""
    drain = configuration.drains.get(name)
    state = _State.RETURNED if drain is None else drain.state
    reason = "" if drain is None else drain.reason
    match state:
        case _State.GRANTED:
            return _step_of_granted(configuration, name, reason, conditions)
        case _State.DRAINED:
            return _step_of_drained(configuration, name, reason, conditions)
        case _State.FAILED if conditions.healthy_s >= HEALTHY_AFTER_S:
            return _record(_State.RETURNED, reason)
        case _State.RETURNED if conditions.dead_s >= DEAD_AFTER_S and not (
            budgets.is_moving(configuration, name)
        ):
            is_recent = conditions.returned_s < SOAK_S + DEAD_AFTER_S
            return _record(_State.FAILED, reason if is_recent else DEAD)
    return _WAIT


def may_reboot(
    configuration: configuration_module.Configuration, name: str
) -> bool:
    """Returns whether a drained host may reboot now.

    Zones taken out and failures since the grant count: the pool may have lost
    what the budget allows already.
    """
    return not _is_over_budget(configuration, name) and _should_continue(
        configuration, configuration.drains[name].reason
    )


def _step_of_granted(
    configuration: configuration_module.Configuration,
    name: str,
    reason: str,
    conditions: host_monitor.HostConditions,
) -> Step:
    if conditions.dead_s >= DEAD_AFTER_S:
        return _record(_State.FAILED, DEAD)
    if _is_over_budget(configuration, name) or not _should_continue(
        configuration, reason
    ):
        return _record(_State.RETURNED, NOT_REBOOTED)
    if conditions.idle_s >= IDLE_CONFIRMATION_S:
        return _record(_State.DRAINED, reason)
    if conditions.in_state_s >= CHECKPOINT_AFTER_S:
        return Step(Action.CHECKPOINT)
    return _WAIT


def _step_of_drained(
    configuration: configuration_module.Configuration,
    name: str,
    reason: str,
    conditions: host_monitor.HostConditions,
) -> Step:
    if conditions.reboot_requested_s is not None:
        if (
            conditions.reboot is log_client.RebootState.DONE
            and conditions.healthy_s > 0
        ):
            return _record(_State.RETURNED, reason)
        if conditions.reboot_requested_s >= REBOOT_TIMEOUT_S:
            return _record(_State.FAILED, reason)
        # The platform acts once for each id, so asking again only tells how
        # far the reboot is.
        return Step(Action.REBOOT)
    if conditions.dead_s >= DEAD_AFTER_S:
        return _record(_State.FAILED, DEAD)
    if not may_reboot(configuration, name):
        if (
            conditions.held_s >= MIN_HOLD_S
            and conditions.healthy_s >= HEALTHY_AFTER_S
        ):
            return _record(_State.RETURNED, NOT_REBOOTED)
        return Step(Action.HOLD)
    return Step(Action.REBOOT) if conditions.idle_s > 0 else _WAIT


def _should_continue(
    configuration: configuration_module.Configuration, reason: str
) -> bool:
    """Returns whether a drain goes on: by hand, or of an open roll-out."""
    return not reason.startswith("rollout ") or (
        reason in rollouts.active_rollouts(configuration)
    )


def _is_over_budget(
    configuration: configuration_module.Configuration, name: str
) -> bool:
    pool = configuration.hosts[name].pool
    load = budgets.budget_usage(configuration, pool)
    return load.hosts > configuration.pools[pool].max_unavailable


def _record(state: configuration_module.DrainState, reason: str) -> Step:
    return Step(Action.RECORD, configuration_module.Drain(state, reason))
