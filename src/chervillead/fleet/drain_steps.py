"""Next step of one host's drain, from its record and observed conditions."""

import enum
import typing

from chervillead.fleet import budgets
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import host_monitor
from chervillead.fleet import log_client
from chervillead.fleet import rollouts

_State = configuration_module.DrainState

# An upstream reports its usage 2 s late, and a grant may be used up to 1 s
# after every entry host knows of the drain; the rest covers the poll interval.
IDLE_CONFIRMATION_S = 4.0
# Most tasks finish well within this time; longer ones are checkpointed.
CHECKPOINT_AFTER_S = 120.0
# The host list lags by a few seconds, so it may still show a completed reboot.
DEAD_AFTER_S = 5.0
HEALTHY_AFTER_S = 5.0
# A reboot takes a few minutes at most; a host that takes longer has failed.
REBOOT_TIMEOUT_S = 600.0
# Longer than a call to the platform can be in flight (2 s), so that no reboot
# request arrives after the host has returned to service.
MIN_HOLD_S = 30.0
# A failure this soon after the return is attributed to the rollout. Each wave
# waits for this time, so it is short compared with a reboot.
SOAK_S = 30.0

DEAD = "dead"
NOT_REBOOTED = "not rebooted"


class Action(enum.Enum):
    """Action of the maintenance controller on a host."""

    WAIT = "wait"
    RECORD = "record"
    CHECKPOINT = "checkpoint"
    HOLD = "hold"
    REBOOT = "reboot"


class Step(typing.NamedTuple):
    """The next action on a host.

    Attributes:
        action: The action.
        drain: The drain record to propose, if the action is RECORD.
    """

    action: Action
    drain: configuration_module.Drain | None = None


_WAIT = Step(Action.WAIT)


def next_step(
    configuration: configuration_module.Configuration,
    name: str,
    conditions: host_monitor.HostConditions,
) -> Step:
    """Returns the next step of a host, whether or not it has a drain."""
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

    The budget is checked again, since zones taken out of service and failures
    after the grant may have exceeded it.
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
        # Requests are idempotent by id, so a repeated request only returns the
        # state of the reboot.
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
    """Returns whether a drain is manual or belongs to an active rollout."""
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
