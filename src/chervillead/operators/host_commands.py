"""Commands for drains and moves of hosts."""

import typing

import cyclopts

from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import records
from chervillead.operators import commands
from chervillead.operators import publishing

drain_app = cyclopts.App(
    name="drain", help="Requests a drain of a host and reports its progress."
)
move_app = cyclopts.App(name="move", help="Moves a host to another pool.")
_DrainState = configuration_module.DrainState
_MoveState = configuration_module.MoveState


@drain_app.command(
    help_epilogue="Example: `chervillead drain grant portal-3 --reason "
    "'replace a fan'`"
)
def grant(
    host: str,
    /,
    *,
    log: commands.LogParameter = commands.DEFAULT_LOG_OPTIONS,
    how: commands.ChangeParameter = commands.DEFAULT_CHANGE_OPTIONS,
    reason: str = "",
) -> int:
    """Requests the drain of a host for maintenance.

    It is granted if the availability budget of the host's pool allows it.

    Args:
        host: Host to drain.
        log: Options for access to the log.
        how: Options for publishing.
        reason: Reason for the drain; shown in reports.
    """
    fields = {"state": _DrainState.GRANTED.value, "reason": reason}
    change = publishing.Change(records.DRAIN, host, fields)
    return commands.publish(change, log, how)


@drain_app.command(
    name="set",
    help_epilogue="Example: `chervillead drain set portal-3 returned`",
)
def set_drain(
    host: str,
    state: typing.Literal["drained", "returned", "failed"],
    /,
    *,
    log: commands.LogParameter = commands.DEFAULT_LOG_OPTIONS,
    how: commands.ChangeParameter = commands.DEFAULT_CHANGE_OPTIONS,
) -> int:
    """Reports the state of a host in maintenance.

    Args:
        host: Host in maintenance.
        state: drained: nothing runs on it; returned: it accepts work again;
            failed: it didn't come back.
        log: Options for access to the log.
        how: Options for publishing.
    """
    change = publishing.Change(
        records.DRAIN, host, {"state": state}, must_exist=True
    )
    return commands.publish(change, log, how)


@move_app.command(
    help_epilogue="Example: `chervillead move start back-office-2 portal`"
)
def start(
    host: str,
    to_pool: str,
    /,
    *,
    log: commands.LogParameter = commands.DEFAULT_LOG_OPTIONS,
    how: commands.ChangeParameter = commands.DEFAULT_CHANGE_OPTIONS,
) -> int:
    """Starts the move of a host to another pool.

    It is accepted if the availability budget of the host's pool allows it.

    Args:
        host: Host to move.
        to_pool: Target pool.
        log: Options for access to the log.
        how: Options for publishing.
    """
    fields = {"to_pool": to_pool, "state": _MoveState.LEAVING.value}
    change = publishing.Change(records.MOVE, host, fields)
    return commands.publish(change, log, how)


@move_app.command(
    name="set",
    help_epilogue="Example: `chervillead move set back-office-2 joined`",
)
def set_move(
    host: str,
    state: typing.Literal["drained", "joined"],
    /,
    *,
    log: commands.LogParameter = commands.DEFAULT_LOG_OPTIONS,
    how: commands.ChangeParameter = commands.DEFAULT_CHANGE_OPTIONS,
) -> int:
    """Reports the state of a host that is being moved.

    Args:
        host: Host that is being moved.
        state: drained: nothing runs on it; joined: it is in its new pool.
        log: Options for access to the log.
        how: Options for publishing.
    """
    change = publishing.Change(
        records.MOVE, host, {"state": state}, must_exist=True
    )
    return commands.publish(change, log, how)
