"""Moves of hosts between pools: leaving, drained, joined.

The fold accepts the start of a move only within the budget of the pool that the
host leaves, and changes the host's pool only when the move is joined. A host
thus belongs to exactly one pool at any time, even if proposers race.
"""

from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import drain_steps
from chervillead.fleet import host_monitor

_State = configuration_module.MoveState


def next_move(
    configuration: configuration_module.Configuration,
    name: str,
    conditions: host_monitor.HostConditions,
) -> configuration_module.Move | None:
    """Returns the next state of a host's move to propose, or None to wait.

    A host that dies during the move joins its new pool at once, since nothing
    runs there any more. Only then can it be recorded as failed, and it counts
    against the budget of the new pool.
    """
    move = configuration.moves.get(name)
    if move is None:
        return None
    is_dead = conditions.dead_s >= drain_steps.DEAD_AFTER_S
    is_idle = conditions.idle_s >= drain_steps.IDLE_CONFIRMATION_S
    if move.state is _State.LEAVING and (is_idle or is_dead):
        return move._replace(state=_State.DRAINED)
    if move.state is _State.DRAINED:
        return move._replace(state=_State.JOINED)
    return None


def needs_checkpoint(
    configuration: configuration_module.Configuration,
    name: str,
    conditions: host_monitor.HostConditions,
) -> bool:
    """Returns whether the tasks of a leaving host are to be checkpointed."""
    move = configuration.moves.get(name)
    return (
        move is not None
        and move.state is _State.LEAVING
        and conditions.in_state_s >= drain_steps.CHECKPOINT_AFTER_S
    )
