"""Commands for zones out of service and for roll-outs."""

import typing

import cyclopts

from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import records
from chervillead.operators import commands
from chervillead.operators import publishing

zone_app = cyclopts.App(
    name="zone", help="Takes an availability zone out of service and back."
)
rollout_app = cyclopts.App(
    name="rollout", help="Starts, stops and resumes the maintenance of a pool."
)


@zone_app.command(name="out", help_epilogue="Example: `chervillead zone out a`")
def zone_out(
    name: str,
    /,
    *,
    log: commands.LogParameter = commands.DEFAULT_LOG_OPTIONS,
    how: commands.ChangeParameter = commands.DEFAULT_CHANGE_OPTIONS,
) -> int:
    """Takes a zone out of service: nothing starts there within seconds.

    Args:
        name: Zone.
        log: Where the log is.
        how: How the change is published.
    """
    status = configuration_module.ZoneStatus.OUT
    return _publish_existing(records.ZONE, name, log, how, status=status.value)


@zone_app.command(name="in", help_epilogue="Example: `chervillead zone in a`")
def zone_in(
    name: str,
    /,
    *,
    log: commands.LogParameter = commands.DEFAULT_LOG_OPTIONS,
    how: commands.ChangeParameter = commands.DEFAULT_CHANGE_OPTIONS,
) -> int:
    """Returns a zone to service.

    Args:
        name: Zone.
        log: Where the log is.
        how: How the change is published.
    """
    status = configuration_module.ZoneStatus.IN
    return _publish_existing(records.ZONE, name, log, how, status=status.value)


@rollout_app.command(
    help_epilogue="Example: `chervillead rollout start kernel-42 --pool portal "
    "--change 'kernel 6.12.42'`"
)
def start(
    name: str,
    /,
    *,
    log: commands.LogParameter = commands.DEFAULT_LOG_OPTIONS,
    how: commands.ChangeParameter = commands.DEFAULT_CHANGE_OPTIONS,
    pool: str,
    change: str,
) -> int:
    """Starts the maintenance of all hosts of a pool, in waves.

    Args:
        name: Name of the roll-out.
        log: Where the log is.
        how: How the change is published.
        pool: Pool whose hosts are maintained.
        change: What is done to them.
    """
    fields = {"pool": pool, "change": change, "stopped": False}
    planned = publishing.Change(records.ROLLOUT, name, fields, must_be_new=True)
    return commands.publish(planned, log, how)


@rollout_app.command(
    help_epilogue="Example: `chervillead rollout stop kernel-42`"
)
def stop(
    name: str,
    /,
    *,
    log: commands.LogParameter = commands.DEFAULT_LOG_OPTIONS,
    how: commands.ChangeParameter = commands.DEFAULT_CHANGE_OPTIONS,
) -> int:
    """Stops a roll-out before its next wave.

    Args:
        name: Name of the roll-out.
        log: Where the log is.
        how: How the change is published.
    """
    return _publish_existing(records.ROLLOUT, name, log, how, stopped=True)


@rollout_app.command(
    help_epilogue="Example: `chervillead rollout resume kernel-42`"
)
def resume(
    name: str,
    /,
    *,
    log: commands.LogParameter = commands.DEFAULT_LOG_OPTIONS,
    how: commands.ChangeParameter = commands.DEFAULT_CHANGE_OPTIONS,
) -> int:
    """Resumes a stopped roll-out.

    Args:
        name: Name of the roll-out.
        log: Where the log is.
        how: How the change is published.
    """
    return _publish_existing(records.ROLLOUT, name, log, how, stopped=False)


@rollout_app.command(
    name="remove",
    help_epilogue="Example: `chervillead rollout remove kernel-42`",
)
def remove_rollout(
    name: str,
    /,
    *,
    log: commands.LogParameter = commands.DEFAULT_LOG_OPTIONS,
    how: commands.ChangeParameter = commands.DEFAULT_CHANGE_OPTIONS,
) -> int:
    """Removes a roll-out.

    Args:
        name: Name of the roll-out.
        log: Where the log is.
        how: How the change is published.
    """
    change = publishing.Change(records.ROLLOUT, name, remove=True)
    return commands.publish(change, log, how)


def _publish_existing(
    kind: str,
    name: str,
    log: commands.LogOptions,
    how: commands.ChangeOptions,
    **fields: typing.Any,
) -> int:
    """Publishes a change of a subject that must be known."""
    change = publishing.Change(kind, name, fields, must_exist=True)
    return commands.publish(change, log, how)
